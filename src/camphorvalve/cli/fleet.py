"""Commands on the fleet as a whole: status and drains."""

from __future__ import annotations

from camphorvalve.cli import overview
from camphorvalve.cli.client import connect, send_change
from camphorvalve.cli.output import print_fields, print_rows
from camphorvalve.cli.replies import answered


async def status(
    *,
    members: bool = False,
    controller: tuple[str, ...] = (),
    router: tuple[str, ...] = (),
    json: bool = False,
) -> None:
    """
    Show every process of the fleet; one that does not answer is a row.

    The leader adds the processes that it knows and that are not given. Exit code 0 when any process
    answers, 4 when none is reached, 1 when all refuse.

    :param members: list the replicas of the log instead of the processes
    :param controller: operator URL of a controller; may be repeated
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect(controller, router) as ports:
        replies = await ports.ask_all("/v1/status")
    answered(replies)
    print_rows(overview.members(replies) if members else overview.processes(replies), json=json)


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
    Give a router or an upstream no new work, or end that.

    :param member: id of the router or upstream
    :param end: end the drain
    :param controller: operator URL of a controller; may be repeated
    :param operation_id: id of an earlier try that is sent again; drawn when absent
    :param expected_revision: revision that the change builds on; read first when absent
    :param json: print JSON
    """
    async with connect(controller) as ports:
        expected = await ports.revision() if expected_revision is None else expected_revision
        body = {"type": "set_drain", "member_id": member, "draining": not end}
        revision = await send_change(ports, body, expected, operation_id)
    print_fields({"member": member, "draining": not end, "revision": revision}, json=json)


__all__ = ["drain", "status"]
