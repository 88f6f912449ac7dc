"""Finds in log files what was decided on one request, and what the process believed then."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

BELIEFS = frozenset(
    {
        "configuration in force",
        "leader changed",
        "list of workers lost",
        "list of workers regained",
        "manifest in force",
        "roster received",
        "router started",
        "shares are enforced strictly",
        "stopping",
        "teams over their share",
    }
)
"""Events that change what a process believes; of each, the newest one before a decision counts."""

_decoder = msgspec.json.Decoder(dict[str, Any])


def entries(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """
    Read the structured lines of a log; what stands before the JSON object and other lines is left.

    :param lines: lines of one or several processes
    :return: fields of each line
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield _decoder.decode(line[start:])
        except msgspec.MsgspecError:
            # A line of another program, or one that was cut.
            continue


def explain(lines: Iterable[str], request_id: str) -> Iterator[dict[str, Any]]:
    """
    Select the lines on a request, each process's beliefs at its first one before it.

    :param lines: lines in order of time
    :param request_id: id of the request
    :return: fields of the selected lines
    """
    beliefs: dict[str, dict[str, dict[str, Any]]] = {}
    told: set[str] = set()
    for entry in entries(lines):
        host_id = entry.get("host_id", "")
        if entry.get("event") in BELIEFS:
            beliefs.setdefault(host_id, {})[entry["event"]] = entry
        if entry.get("request_id") != request_id and request_id not in entry.get("request_ids", ()):
            continue
        if host_id not in told:
            told.add(host_id)
            yield from beliefs.get(host_id, {}).values()
        yield entry


__all__ = ["BELIEFS", "entries", "explain"]
