"""Selects the log lines of one request, with the state of the processes that handled it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

STATE_EVENTS = frozenset(
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
"""Events that report a change of the state on which a process bases its decisions. Of each event,
the newest one before a decision applies to it."""

_decoder = msgspec.json.Decoder(dict[str, Any])


def parse_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """
    Parse the structured lines of a log.

    Text before the JSON object is skipped, and so are lines without a valid one.

    :param lines: lines of one or several processes
    :return: fields of each structured line
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield _decoder.decode(line[start:])
        except msgspec.MsgspecError:
            # A line of another program, or a truncated one.
            continue


def select_lines(lines: Iterable[str], request_id: str) -> Iterator[dict[str, Any]]:
    """
    Select the lines of a request, each process's first one preceded by its latest state events.

    :param lines: lines in order of time
    :param request_id: id of the request
    :return: fields of the selected lines
    """
    latest_state: dict[str, dict[str, dict[str, Any]]] = {}
    reported_hosts: set[str] = set()
    for entry in parse_lines(lines):
        host_id = entry.get("host_id", "")
        if entry.get("event") in STATE_EVENTS:
            latest_state.setdefault(host_id, {})[entry["event"]] = entry
        if entry.get("request_id") != request_id and request_id not in entry.get("request_ids", ()):
            continue
        if host_id not in reported_hosts:
            reported_hosts.add(host_id)
            yield from latest_state.get(host_id, {}).values()
        yield entry


__all__ = ["STATE_EVENTS", "parse_lines", "select_lines"]
