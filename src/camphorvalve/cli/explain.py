"""Commands that say why routers decided as they did, and how objectives are kept."""

from __future__ import annotations

from typing import Any
from urllib.parse import quote

from camphorvalve.cli.client import connect
from camphorvalve.cli.output import print_fields, print_json, print_rows
from camphorvalve.cli.replies import Reply, answered


async def request(request_id: str, *, router: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show the decisions on one request, from the router that served it.

    :param request_id: id from the header X-Request-Id
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect((), router) as ports:
        replies = await ports.ask_routers(f"/v1/requests/{quote(request_id, safe='')}")
    found = answered(replies)[0]
    print_fields(_with_url(found), json=json)


async def team(name: str, *, router: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show what a team gets at each router and why.

    :param name: name of the team
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect((), router) as ports:
        replies = await ports.ask_routers(f"/v1/teams/{quote(name, safe='')}")
    rows = [_with_url(reply) for reply in answered(replies)]
    if json:
        print_json(rows)
        return
    for row in rows:
        print_fields(row, json=False)


async def burn(*, router: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show how fast each team's kinds of work use up their objectives, by router.

    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect((), router) as ports:
        replies = await ports.ask_routers("/v1/burn")
    rows = [row for reply in answered(replies) for row in _burn_rows(reply)]
    print_rows(rows, json=json)


def _burn_rows(reply: Reply) -> list[dict[str, Any]]:
    match reply.body:
        case {"rows": list(rows)} | list(rows):
            return [{"router": reply.url, **row} for row in rows]
    return [_with_url(reply)]


def _with_url(reply: Reply) -> dict[str, Any]:
    return {"router": reply.url, **reply.body}


__all__ = ["burn", "request", "team"]
