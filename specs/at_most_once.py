"""
The record of a request that runs at most once, with two requests under one key.

Both requests come to routers of their own; the second may be a retry of the caller. Commands may be
lost, late or repeated, also after the router has given up; routers crash at any time. The
deliberate defect sends the request first and records the start afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUESTS = (0, 1)


class Request(NamedTuple):
    """One request at its router."""

    phase: str = "idle"
    """``idle``, ``waiting``, ``allowed``, ``sent``, ``ended`` or ``crashed``."""
    sent: bool = False
    said: str | None = None
    """What the caller was told about the run: ``no``, ``yes`` or ``unknown``."""
    start_submitted: bool = False
    abort_submitted: bool = False
    finish_submitted: bool = False


class State(NamedTuple):
    """The whole system."""

    first: Request
    second: Request
    started: int | None
    """Request whose start is recorded."""
    aborted: frozenset[int]
    outcome: str | None
    """``answer`` or ``lost``."""


Step = tuple[str, State]


def _request(state: State, number: int) -> Request:
    return state.second if number else state.first


def _put(state: State, number: int, **fields: object) -> State:
    changed = _request(state, number)._replace(**fields)
    return state._replace(second=changed) if number else state._replace(first=changed)


def _router(state: State, number: int, defect: bool) -> Iterator[Step]:
    request = _request(state, number)
    match request.phase:
        case "idle" if defect:
            sent = _put(state, number, phase="sent", sent=True, start_submitted=True)
            yield f"send {number} before its record", sent
        case "idle":
            waiting = _put(state, number, phase="waiting", start_submitted=True)
            yield f"submit start {number}", waiting
        case "waiting":
            gone = _put(state, number, phase="ended", said="no", abort_submitted=True)
            yield f"give up {number}", gone
        case "allowed":
            yield f"send {number}", _put(state, number, phase="sent", sent=True)
            refused = _put(state, number, phase="ended", said="no", abort_submitted=True)
            yield f"connection refused {number}", refused
        case "sent":
            answered = _put(state, number, phase="ended", said="yes", finish_submitted=True)
            yield f"answer {number}", answered
            yield f"connection broken {number}", _put(state, number, phase="ended", said="unknown")
    if request.phase in ("waiting", "allowed", "sent"):
        yield f"crash {number}", _put(state, number, phase="crashed")


def _log(state: State, number: int) -> Iterator[Step]:
    """Commit a submitted command, any number of times."""
    request = _request(state, number)
    if request.start_submitted:
        yield f"commit start {number}", _commit_start(state, number)
    if request.abort_submitted and state.outcome is None:
        started = None if state.started == number else state.started
        if state.started in (None, number):
            aborted = state._replace(started=started, aborted=state.aborted | {number})
            yield f"commit abort {number}", aborted
    if request.finish_submitted and state.started == number and state.outcome is None:
        yield f"commit answer {number}", state._replace(outcome="answer")
    # A router that is only cut off or frozen may count as lost, too, and go on later.
    if state.started == number and state.outcome is None:
        yield f"commit loss {number}", state._replace(outcome="lost")


def _commit_start(state: State, number: int) -> State:
    waiting = _request(state, number).phase == "waiting"
    if state.outcome is not None or state.started not in (None, number):
        return _put(state, number, phase="ended", said="unknown") if waiting else state
    if number in state.aborted:
        return state
    recorded = state._replace(started=number)
    return _put(recorded, number, phase="allowed") if waiting else recorded


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether the record is written after the request was sent
    :return: the specification
    """

    def transitions(state: State) -> list[Step]:
        return [
            step
            for number in REQUESTS
            for step in (*_router(state, number, defect), *_log(state, number))
        ]

    return Protocol(
        name="at most once",
        candidate=False,
        fields=State._fields,
        initial=State(Request(), Request(), None, frozenset(), None),
        transitions=transitions,
        invariants={
            "at most one run": lambda state: not (state["first"].sent and state["second"].sent),
            "not run means not run": lambda state: (
                not any(one.sent and one.said == "no" for one in (state["first"], state["second"]))
            ),
        },
    )


__all__ = ["protocol"]
