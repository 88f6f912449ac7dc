"""Joins the status answers of all processes into one table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from camphorvalve.cli.replies import Reply

CUT_OFF_S = 3.0
"""Silence at the leader after which a process counts as cut off; it is heard once a second."""


class ProcessRow(TypedDict):
    """One process of the fleet."""

    id: str | None
    role: str | None
    url: str | None
    revision: int | None
    lag: int | None
    """Revisions behind the newest one that a process has in force."""
    waiting: int | None
    running: int | None
    leader: str | None
    term: int | None
    heard_s: float | None
    """Time since the leader last heard it; unknown without a leader."""
    cut_off: bool
    error: str | None
    """Why it is not reached, or what it answered instead."""


class MemberRow(TypedDict):
    """One replica of the log."""

    identity: str
    host: str
    role: str
    match_index: int | None
    heard_s: float | None


def processes(replies: Sequence[Reply]) -> list[ProcessRow]:
    """
    Describe every process that was asked, and those that only the leader names.

    :param replies: answers to ``GET /v1/status``, in the order of the rows
    :return: a row for each process
    """
    bodies = [reply.body for reply in replies if reply.status == 200]
    source = _source(bodies)
    known = {one["id"]: one for one in _known(source)} if source is not None else {}
    by_url = {one["url"]: one for one in known.values()}
    rows = []
    for reply in replies:
        if reply.status == 200:
            entry = known.get(reply.body.get("host_id"), _EMPTY)
            rows.append(_merged(entry, _answered(reply)))
        else:
            entry = by_url.get(reply.url.rstrip("/"), _EMPTY)
            unreached = {"url": reply.url, "cut_off": reply.status == 0, "error": reply.text}
            rows.append(_merged(entry, unreached))
    listed = {row["id"] for row in rows}
    rows.extend(
        _merged(one, {"error": "not asked"}) for one in known.values() if one["id"] not in listed
    )
    newest = max((row["revision"] for row in rows if row["revision"] is not None), default=0)
    for row in rows:
        row["lag"] = None if row["revision"] is None else newest - row["revision"]
        row["cut_off"] = row["cut_off"] or (row["heard_s"] or 0.0) > CUT_OFF_S
    return rows


def members(replies: Sequence[Reply]) -> list[MemberRow]:
    """
    List the replicas of the log, as the leader sees them.

    :param replies: answers to ``GET /v1/status``
    :return: a row for each replica
    """
    source = _source([reply.body for reply in replies if reply.status == 200])
    if source is None:
        return []
    return [
        {
            "identity": one["identity"],
            "host": one["host_id"],
            "role": "voter" if one["voter"] else "learner",
            "match_index": one["match_index"],
            "heard_s": _rounded(one["silent_s"]),
        }
        for one in source["members"]
    ]


_EMPTY: ProcessRow = {
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


def _source(bodies: Sequence[dict[str, Any]]) -> dict[str, Any] | None:
    """Choose the leader; an older leader that is cut off may still claim an older term."""
    controllers = [one for one in bodies if "members" in one]
    return max(controllers, key=lambda one: (one["leads"], one["term"]), default=None)


def _known(source: dict[str, Any]) -> Iterator[ProcessRow]:
    leads = source["leads"]
    urls = source["operator_urls"]
    silent = {one["host_id"]: one["silent_s"] for one in source["members"]}
    for host_id in dict.fromkeys((*urls, *silent)):
        row = {"id": host_id, "role": "controller", "url": urls.get(host_id)}
        yield _merged(_EMPTY, {**row, "heard_s": _rounded(silent.get(host_id))})
    for one in source["routers"]:
        row = {
            "id": one["router_id"],
            "role": "router",
            "url": one["operator_url"],
            "revision": one["revision"],
            "waiting": one["waiting_count"],
            "running": one["running_count"],
            "heard_s": _rounded(one["silent_s"]) if leads else None,
        }
        yield _merged(_EMPTY, row)


def _answered(reply: Reply) -> dict[str, Any]:
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


__all__ = ["CUT_OFF_S", "MemberRow", "ProcessRow", "members", "processes"]
