"""Finds responses of sound upstreams that did not reach their callers whole."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from tools.standins.stutter import Silent

from tests.processes.keptcallers import TIMED_OUT
from tests.processes.responsechecks import describe, findings

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tools.standins.stutter import WorkerRecord

    from tests.manifestterms import Terms
    from tests.processes.keptcallers import Received

TIMER_MARGIN_S = 0.05
"""Time by which a router may count a deadline from an earlier moment than its caller."""
HELD_S = 1.0
"""Only a request that crosses the close of an idle connection may get no answer, and at once."""
STOP_INTAKE_S = 3.0
LAST_PART_OF_GRACE = 5 / 6
PROMISED_NOT_RUN = (429, 503)
DENIALS = (401, 403, 404, 413)
CONFIG_APPLY_S = 2.0
"""Time after its acknowledgement by which a manifest is in force on all routers."""


class Stop(NamedTuple):
    """Graceful stop of a router."""

    router: str
    signalled_s: float
    """Monotonic time."""
    grace_s: float


class SentTerms(NamedTuple):
    """A manifest that was sent to a controller."""

    terms: Terms
    sent_s: float
    """Monotonic time."""
    acknowledged_s: float
    """Infinite if the manifest was not acknowledged."""


class Bounds(NamedTuple):
    """What requests may take, and what explains that a response is not whole."""

    timeout_s: float
    """Time that the route allows."""
    attempts_count: int
    stops: tuple[Stop, ...] = ()
    manifests: tuple[SentTerms, ...] = ()
    """Manifests in order of version, if they change what ``timeout_s`` and routes allow."""

    def possible_terms(self, entry: Received) -> list[Terms]:
        """:return: terms of the manifests that may have been in force during a request"""
        possible = []
        replaced_s = float("inf")
        for manifest in reversed(self.manifests):
            if manifest.sent_s <= entry.ended_s and entry.sent_s <= replaced_s + CONFIG_APPLY_S:
                possible.append(manifest.terms)
            replaced_s = min(replaced_s, manifest.acknowledged_s)
        return possible

    def shortest_timeout_s(self, entry: Received) -> float:
        """:return: shortest time that a manifest allows the request"""
        timeouts_s = [terms.timeout_s for terms in self.possible_terms(entry)]
        return min(timeouts_s, default=self.timeout_s)


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
    if entry.is_whole and entry.status in DENIALS and "server-stamp" not in entry.headers:
        if runs:
            yield f"LOST: status {entry.status} for a request that ran"
        if bounds.manifests and _is_allowed(entry, bounds):
            yield f"DENIED: status {entry.status}, though each manifest allows the request"
        return
    if entry.is_whole and entry.status < 500 and entry.status != 429:
        return
    if bounds.manifests and entry.error == TIMED_OUT:
        yield "CONFIG: no whole response long after the deadline"
        return
    if entry.is_whole and "server-stamp" in entry.headers:
        yield f"LOST: status {entry.status} of a sound upstream"
        return
    if entry.is_whole and _is_refusal(entry):
        if runs:
            yield f"REFUSED: status {entry.status} says that the request has not run"
        return
    took_s = entry.ended_s - entry.sent_s
    shortest_s = min(entry.call.deadline_ms / 1000, bounds.shortest_timeout_s(entry))
    if took_s >= shortest_s - TIMER_MARGIN_S:
        return
    if replies and any(_is_unfinished(entry, stop) for stop in bounds.stops):
        return
    if entry.is_whole:
        yield f"LOST: status {entry.status} before the deadline"
    elif entry.status:
        yield "LOST: broken off"
    elif replies or _held_s(entry) > HELD_S:
        yield "LOST: closed without an answer"


def _is_allowed(entry: Received, bounds: Bounds) -> bool:
    call = entry.call
    return all(terms.allows(call.kind, len(call.body)) for terms in bounds.possible_terms(entry))


def _held_s(entry: Received) -> float:
    """Return the time between the last byte of a request and the end of its connection."""
    return 0.0 if entry.last_byte_s is None else entry.ended_s - entry.last_byte_s


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


__all__ = ["Bounds", "SentTerms", "Stop", "silence_findings", "silence_summary"]
