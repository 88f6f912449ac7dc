"""Finds responses of sound upstreams that did not reach their callers whole."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from tools.standins.stutter import Silent

from tests.processes.responsechecks import describe, findings

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tools.standins.stutter import WorkerRecord

    from tests.processes.keptcallers import Received

TIMER_MARGIN_S = 0.05
"""Time by which a router may count a deadline from an earlier moment than its caller."""
HELD_S = 1.0
"""Only a request that crosses the close of an idle connection may get no answer, and at once."""
STOP_INTAKE_S = 3.0
LAST_PART_OF_GRACE = 5 / 6
PROMISED_NOT_RUN = (429, 503)


class Stop(NamedTuple):
    """Graceful stop of a router."""

    router: str
    signalled_s: float
    """Monotonic time."""
    grace_s: float


class Bounds(NamedTuple):
    """What requests may take, and what explains that a response is not whole."""

    timeout_s: float
    """Time that the route allows."""
    attempts_count: int
    stops: tuple[Stop, ...] = ()


def silence_findings(
    received: Sequence[Received], record: WorkerRecord, bounds: Bounds
) -> Iterator[str]:
    """
    Check all responses and runs of a fleet whose upstreams are sound.

    :param received: what callers received, one entry for each request
    :param record: what workers ran and replied
    :param bounds: what requests may take
    :return: a line for each finding, which begins with the broken rule's name
    """
    yield from findings(received, record)
    for entry in received:
        for text in _lost(entry, record, bounds):
            yield f"{text}; {_describe_times(entry, bounds)}; {describe(entry, record)}"
    for request_id, runs in record.runs.items():
        if len(runs) > bounds.attempts_count:
            yield f"BUDGET: {request_id} ran {len(runs)} times of {bounds.attempts_count}"


def silence_summary(received: Sequence[Received], record: WorkerRecord) -> dict[str, int]:
    """Count responses by kind of request, place of the first upstream's silence, and outcome."""
    return dict(sorted(Counter(_outcome(entry, record) for entry in received).items()))


def _outcome(entry: Received, record: WorkerRecord) -> str:
    replies = record.replies[entry.call.request_id]
    match replies[0].fault if replies else None:
        case Silent(place):
            silence = f"silent {place}"
        case None:
            silence = "not sent on"
        case _:
            silence = "no silence"
    outcome = "whole" if entry.is_whole and entry.status == 200 else f"{entry.status}"
    if not entry.is_whole:
        outcome = "cut" if entry.status else "closed"
    return f"{entry.call.kind}, {silence}: {outcome}"


def _lost(entry: Received, record: WorkerRecord, bounds: Bounds) -> Iterator[str]:
    replies, runs = record.replies[entry.call.request_id], record.runs[entry.call.request_id]
    if entry.is_whole and entry.status < 500 and entry.status != 429:
        return
    if entry.is_whole and "server-stamp" in entry.headers:
        yield f"LOST: status {entry.status} of a sound upstream"
        return
    if entry.is_whole and _is_refusal(entry):
        if runs:
            yield f"REFUSED: status {entry.status} says that the request has not run"
        return
    took_s = entry.ended_s - entry.sent_s
    if took_s >= min(entry.call.deadline_ms / 1000, bounds.timeout_s) - TIMER_MARGIN_S:
        return
    if replies and any(_is_unfinished(entry, stop) for stop in bounds.stops):
        return
    if entry.is_whole:
        yield f"LOST: status {entry.status} before the deadline"
    elif entry.status:
        yield "LOST: broken off"
    elif replies or took_s > HELD_S:
        yield "LOST: closed without an answer"


def _is_refusal(entry: Received) -> bool:
    if entry.status not in PROMISED_NOT_RUN:
        return False
    return json.loads(entry.content)["error"]["run"] == "no"


def _is_unfinished(entry: Received, stop: Stop) -> bool:
    """Whether a request was taken early in the stop of its router, and ended with that stop."""
    return (
        entry.router == stop.router
        and entry.sent_s <= stop.signalled_s + STOP_INTAKE_S
        and entry.ended_s >= stop.signalled_s + LAST_PART_OF_GRACE * stop.grace_s
        and entry.ended_s <= stop.signalled_s + stop.grace_s + HELD_S
    )


def _describe_times(entry: Received, bounds: Bounds) -> str:
    text = f"after {entry.ended_s - entry.sent_s:.2f} s"
    for stop in bounds.stops:
        if entry.router == stop.router and 0 < entry.ended_s - stop.signalled_s < stop.grace_s + 1:
            sent_s, ended_s = entry.sent_s - stop.signalled_s, entry.ended_s - stop.signalled_s
            text += f", sent {sent_s:.2f} s and ended {ended_s:.2f} s after the signal"
    return text


__all__ = ["Bounds", "Stop", "silence_findings", "silence_summary"]
