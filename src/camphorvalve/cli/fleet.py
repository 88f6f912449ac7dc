"""Commands on the fleet as a whole: its status, drains and evacuations."""

from __future__ import annotations

from typing import Any

from camphorvalve.cli import overview
from camphorvalve.cli.client import connect, send_change
from camphorvalve.cli.output import CommandError, ExitCode, print_fields, print_message, print_rows
from camphorvalve.cli.replies import successful_replies


async def status(
    *,
    members: bool = False,
    evacuations: bool = False,
    rooms: bool = False,
    controller: tuple[str, ...] = (),
    router: tuple[str, ...] = (),
    json: bool = False,
) -> None:
    """
    Show every process of the fleet, including those that do not reply.

    Processes that are not given but known to the leader are listed, too. Exit code 0 when any
    process replies, 4 when none can be reached, 1 when all reject the request.

    :param members: list the replicas of the replicated log instead of the processes
    :param evacuations: list the data centres that are or were evacuated instead of the processes
    :param rooms: list the engines that are shared by their load instead of the processes: nominal
        and found room, and when and why it changed last
    :param controller: operator URL of a controller; may be repeated
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect(controller, router) as client:
        if evacuations:
            configuration = await client.read_newest("/v1/configuration")
            print_rows(overview.evacuation_rows(configuration), json=json)
            return
        if rooms:
            replies = await client.query_controllers("/v1/rooms")
            print_rows(overview.room_rows(successful_replies(replies)), json=json)
            for reply in replies:
                if reply.status != 200:
                    print_message(f"engines may be missing: {reply.text}")
            return
        replies = await client.query_all("/v1/status")
    successful_replies(replies)
    print_rows(
        overview.member_rows(replies) if members else overview.process_rows(replies), json=json
    )


async def drain(
    member: str,
    *,
    end: bool = False,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Stop giving new work to a router or an upstream, or end such a drain.

    :param member: id of the router or upstream
    :param end: end the drain, so that the member gets new work again
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    body = {"type": "set_drain", "member_id": member, "draining": not end}
    revision = await _send(body, controller, expected_revision, operation_id)
    print_fields({"member": member, "draining": not end, "revision": revision}, json=json)


async def evacuate(
    data_centre: str,
    *,
    end: bool = False,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Stop giving new work to the upstreams of a data centre, or end such an evacuation.

    :param data_centre: name of the data centre
    :param end: end the evacuation, so that its upstreams get new work again
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    body = {"type": "set_evacuation", "data_centre": data_centre, "evacuated": not end}
    revision = await _send(body, controller, expected_revision, operation_id)
    fields = {"data_centre": data_centre, "evacuated": not end, "revision": revision}
    print_fields(fields, json=json)


async def bound_room(
    upstream: str,
    *,
    most_count: int | None = None,
    end: bool = False,
    controller: tuple[str, ...] = (),
    operation_id: str | None = None,
    expected_revision: int | None = None,
    json: bool = False,
) -> None:
    """
    Bound the requests that routers may have at an engine that is shared by its load.

    :param upstream: id of the engine
    :param most_count: most requests of all routers together, from 1
    :param end: lift the bound, so that only what is found counts again
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier attempt to repeat; generated when absent
    :param expected_revision: revision that the change is based on; the newest when absent
    :param json: print JSON
    """
    if (most_count is None) is not end:
        raise CommandError(ExitCode.USAGE, "give either --most-count or --end")
    body = {"type": "set_room", "upstream_id": upstream, "most_count": most_count}
    revision = await _send(body, controller, expected_revision, operation_id)
    fields = {"upstream": upstream, "most_count": most_count, "revision": revision}
    print_fields(fields, json=json)


async def _send(
    body: dict[str, Any],
    controllers: tuple[str, ...],
    expected_revision: int | None,
    operation_id: str | None,
) -> int:
    """Send a change that builds on the newest revision, or on the given one; returns its own."""
    async with connect(controllers) as client:
        expected = await client.revision() if expected_revision is None else expected_revision
        return await send_change(client, body, expected, operation_id)


__all__ = ["bound_room", "drain", "evacuate", "status"]
