"""Commands on the fleet as a whole: status and drains."""

from __future__ import annotations

from typing import Any

from camphorvalve.cli.client import connect, send_change
from camphorvalve.cli.output import print_fields, print_rows
from camphorvalve.cli.replies import Reply, answered


async def status(
    *, controller: tuple[str, ...] = (), router: tuple[str, ...] = (), json: bool = False
) -> None:
    """
    Show the status of every controller and router that is given; fails when none answers.

    :param controller: operator URL of a controller; may be repeated
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect(controller, router) as ports:
        replies = await ports.ask_all("/v1/status")
    answered(replies)
    print_rows([_row(reply, json=json) for reply in replies], json=json)


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


def _row(reply: Reply, *, json: bool) -> dict[str, Any]:
    if reply.status != 200:
        return {"url": reply.url, "error": reply.text}
    if json:
        return {"url": reply.url, **reply.body}
    plain = {key: one for key, one in reply.body.items() if not isinstance(one, (dict, list))}
    return {"url": reply.url, **plain}


__all__ = ["drain", "status"]
