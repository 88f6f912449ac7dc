"""Merges the status replies of all processes into one table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from camphorvalve.cli.replies import Reply

CUT_OFF_S = 3.0
"""Time without a message at the leader after which a process counts as cut off; each process sends
one per second."""


class ProcessRow(TypedDict):
    """Row of the table: one process of the fleet."""

    id: str | None
    role: str | None
    url: str | None
    revision: int | None
    lag: int | None
    """Number of revisions behind the newest one that any process has in force."""
    waiting: int | None
    running: int | None
    leader: str | None
    term: int | None
    heard_s: float | None
    """Time since its last message to the leader; unknown without a leader."""
    cut_off: bool
    error: str | None
    """Why it could not be reached, or the error that it replied with."""


class MemberRow(TypedDict):
    """Row of the table: one replica of the replicated log."""

    identity: str
    host: str
    role: str
    match_index: int | None
    heard_s: float | None


class EvacuationRow(TypedDict):
    """Row of the table: a data centre that is or was evacuated."""

    data_centre: str
    in_force: bool
    changes_count: int


def process_rows(replies: Sequence[Reply]) -> list[ProcessRow]:
    """
    Build rows for every process that was queried, and for those that only the leader knows.

    :param replies: replies to ``GET /v1/status``, in the order of the rows
    :return: a row for each process
    """
    bodies = [reply.body for reply in replies if reply.status == 200]
    controller_status = _select_controller_status(bodies)
    known = (
        {row["id"]: row for row in _known_rows(controller_status)}
        if controller_status is not None
        else {}
    )
    by_url = {row["url"]: row for row in known.values()}
    rows = []
    for reply in replies:
        if reply.status == 200:
            entry = known.get(reply.body.get("host_id"), _EMPTY_ROW)
            rows.append(_merged(entry, _reply_fields(reply)))
        else:
            entry = by_url.get(reply.url.rstrip("/"), _EMPTY_ROW)
            fields = {"url": reply.url, "cut_off": reply.status == 0, "error": reply.text}
            rows.append(_merged(entry, fields))
    listed = {row["id"] for row in rows}
    rows.extend(
        _merged(row, {"error": "not asked"}) for row in known.values() if row["id"] not in listed
    )
    newest = max((row["revision"] for row in rows if row["revision"] is not None), default=0)
    for row in rows:
        row["lag"] = None if row["revision"] is None else newest - row["revision"]
        row["cut_off"] = row["cut_off"] or (row["heard_s"] or 0.0) > CUT_OFF_S
    return rows


def member_rows(replies: Sequence[Reply]) -> list[MemberRow]:
    """
    Build rows for the replicas of the replicated log, as the leader knows them.

    :param replies: replies to ``GET /v1/status``
    :return: a row for each replica
    """
    controller_status = _select_controller_status(
        [reply.body for reply in replies if reply.status == 200]
    )
    if controller_status is None:
        return []
    return [
        {
            "identity": member["identity"],
            "host": member["host_id"],
            "role": "voter" if member["voter"] else "learner",
            "match_index": member["match_index"],
            "heard_s": _rounded(member["silent_s"]),
        }
        for member in controller_status["members"]
    ]


def evacuation_rows(configuration: dict[str, Any]) -> list[EvacuationRow]:
    """
    Build rows for the data centres that are or were evacuated.

    :param configuration: reply to ``GET /v1/configuration``
    :return: a row for each of them
    """
    return [
        {"data_centre": name, **evacuation}
        for name, evacuation in sorted(configuration["evacuations"].items())
    ]


def room_rows(replies: Sequence[Reply]) -> list[dict[str, Any]]:
    """
    Build rows for the engines that are shared by their load.

    :param replies: successful replies to ``GET /v1/rooms``; each controller watches some engines
    :return: a row for each engine, as the controller with its newest report knows it
    """
    rows = [row for reply in replies for row in reply.body["rooms"]]
    # While routers disagree on which controllers live, an engine is read by two of them.
    rows.sort(key=lambda row: float("-inf") if row["read_s"] is None else -row["read_s"])
    newest = {row["upstream_id"]: row for row in rows}
    return [newest[upstream_id] for upstream_id in sorted(newest)]


_EMPTY_ROW: ProcessRow = {
    "id": None,
    "role": None,
    "url": None,
    "revision": None,
    "lag": None,
    "waiting": None,
    "running": None,
    "leader": None,
    "term": None,
    "heard_s": None,
    "cut_off": False,
    "error": None,
}


def _select_controller_status(bodies: Sequence[dict[str, Any]]) -> dict[str, Any] | None:
    """
    Choose the status of the leader, or without one that of the controller with the newest term.

    A former leader that is cut off may still claim to lead, in an older term.

    :param bodies: bodies of the replies
    :return: the status, ``None`` if no controller replied
    """
    controllers = [body for body in bodies if "members" in body]
    return max(controllers, key=lambda body: (body["leads"], body["term"]), default=None)


def _known_rows(controller_status: dict[str, Any]) -> Iterator[ProcessRow]:
    leads = controller_status["leads"]
    urls = controller_status["operator_urls"]
    silent_s_by_host = {
        member["host_id"]: member["silent_s"] for member in controller_status["members"]
    }
    for host_id in dict.fromkeys((*urls, *silent_s_by_host)):
        row = {"id": host_id, "role": "controller", "url": urls.get(host_id)}
        yield _merged(_EMPTY_ROW, {**row, "heard_s": _rounded(silent_s_by_host.get(host_id))})
    for router in controller_status["routers"]:
        row = {
            "id": router["router_id"],
            "role": "router",
            "url": router["operator_url"],
            "revision": router["revision"],
            "waiting": router["waiting_count"],
            "running": router["running_count"],
            "heard_s": _rounded(router["silent_s"]) if leads else None,
        }
        yield _merged(_EMPTY_ROW, row)


def _reply_fields(reply: Reply) -> dict[str, Any]:
    body = reply.body
    return {
        "id": body.get("host_id"),
        "role": body.get("role"),
        "url": reply.url,
        "revision": body.get("revision"),
        "waiting": body.get("waiting_count"),
        "running": body.get("running_count"),
        "leader": body.get("leader_id"),
        "term": body.get("term"),
    }


def _merged(row: ProcessRow, fields: dict[str, Any]) -> ProcessRow:
    return {**row, **fields}  # type: ignore[typeddict-item]


def _rounded(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s, 1)


__all__ = [
    "CUT_OFF_S",
    "EvacuationRow",
    "MemberRow",
    "ProcessRow",
    "evacuation_rows",
    "member_rows",
    "process_rows",
    "room_rows",
]
