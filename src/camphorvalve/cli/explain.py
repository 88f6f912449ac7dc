"""Commands that explain the decisions of routers and report on objectives."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec

from camphorvalve.cli.client import connect
from camphorvalve.cli.output import CommandError, ExitCode, print_fields, print_json, print_message
from camphorvalve.cli.replies import Reply, successful_replies
from camphorvalve.reports import logfile
from camphorvalve.reports.burn import BurnReport, merge_burn_reports
from camphorvalve.reports.tables import burn_table
from camphorvalve.reports.teams import merge_teams


async def request(request_id: str, *, router: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show the decisions on one request, from the router that serves or has served it.

    :param request_id: id from the header X-Request-Id
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect((), router) as client:
        replies = await client.query_routers(f"/v1/requests/{quote(request_id, safe='')}")
    reply = successful_replies(replies)[0]
    print_fields(_with_url(reply), json=json)


async def log(request_id: str, file: str, *, json: bool = False) -> None:
    """
    Show the log entries of one request, and the state that each process logged before them.

    :param request_id: id of the request
    :param file: log of one or several processes, in chronological order
    :param json: print JSON
    """
    entries = _read_log(file, request_id)
    if not entries:
        raise CommandError(ExitCode.FAILED, f"{file}: no log entry for request {request_id!r}")
    if json:
        print_json(entries)
        return
    for entry in entries:
        print_fields(entry, json=False)
        print()


async def team(name: str, *, router: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show the service that a team receives and why, merged from all given routers.

    :param name: name of the team
    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect((), router) as client:
        replies = await client.query_routers(f"/v1/teams/{quote(name, safe='')}")
    bodies = [reply.body for reply in successful_replies(replies)]
    for reply in replies:
        if reply.status != 200:
            print_message(f"left out: {reply.text}")
    print_fields(merge_teams(bodies), json=json)


async def burn(*, router: tuple[str, ...] = (), json: bool = False) -> None:
    """
    Show how fast each team's kinds of work burn their error budgets, over all given routers.

    :param router: operator URL of a router; may be repeated
    :param json: print JSON
    """
    async with connect((), router) as client:
        replies = await client.query_routers("/v1/burn")
    report = merge_burn_reports(_burn_report(reply) for reply in successful_replies(replies))
    if json:
        print_json(report)
    else:
        print(burn_table(report))


def _read_log(file: str, request_id: str) -> list[dict[str, Any]]:
    try:
        with Path(file).open(encoding="utf-8", errors="replace") as lines:
            return list(logfile.select_lines(lines, request_id))
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{file}: {error.strerror}") from error


def _burn_report(reply: Reply) -> BurnReport:
    try:
        return msgspec.convert(reply.body, BurnReport)
    except msgspec.ValidationError as error:
        raise CommandError(ExitCode.FAILED, f"{reply.url}: burn report: {error}") from error


def _with_url(reply: Reply) -> dict[str, Any]:
    return {"router": reply.url, **reply.body}


__all__ = ["burn", "log", "request", "team"]
