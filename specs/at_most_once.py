"""
At-most-once execution of two requests that share an idempotency key.

Each request arrives at its own router; the second may be a retry by the caller. Commands may be
lost, delayed or duplicated, even after the router has given up, and routers may crash at any time.
The deliberate defect sends the request before its start is recorded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUESTS = (0, 1)


class Request(NamedTuple):
    """State of one request at its router."""

    phase: str = "idle"
    """``idle``, ``waiting``, ``allowed``, ``sent``, ``ended`` or ``crashed``."""
    sent: bool = False
    reported: str | None = None
    """Execution status reported to the caller: ``no``, ``yes`` or ``unknown``."""
    start_submitted: bool = False
    abort_submitted: bool = False
    finish_submitted: bool = False


class State(NamedTuple):
    """Global state of the system."""

    first: Request
    second: Request
    started: int | None
    """Number of the request whose start is recorded."""
    aborted: frozenset[int]
    outcome: str | None
    """Recorded outcome: ``answer`` or ``lost``."""


Transition = tuple[str, State]


def _request(state: State, number: int) -> Request:
    return state.second if number else state.first


def _update_request(state: State, number: int, **fields: object) -> State:
    changed = _request(state, number)._replace(**fields)
    return state._replace(second=changed) if number else state._replace(first=changed)


def _router_steps(state: State, number: int, defect: bool) -> Iterator[Transition]:
    request = _request(state, number)
    match request.phase:
        case "idle" if defect:
            sent = _update_request(state, number, phase="sent", sent=True, start_submitted=True)
            yield f"send {number} before its record", sent
        case "idle":
            waiting = _update_request(state, number, phase="waiting", start_submitted=True)
            yield f"submit start {number}", waiting
        case "waiting":
            given_up = _update_request(
                state, number, phase="ended", reported="no", abort_submitted=True
            )
            yield f"give up {number}", given_up
        case "allowed":
            yield f"send {number}", _update_request(state, number, phase="sent", sent=True)
            refused = _update_request(
                state, number, phase="ended", reported="no", abort_submitted=True
            )
            yield f"connection refused {number}", refused
        case "sent":
            answered = _update_request(
                state, number, phase="ended", reported="yes", finish_submitted=True
            )
            yield f"answer {number}", answered
            yield (
                f"connection broken {number}",
                _update_request(state, number, phase="ended", reported="unknown"),
            )
    if request.phase in ("waiting", "allowed", "sent"):
        yield f"crash {number}", _update_request(state, number, phase="crashed")


def _log_steps(state: State, number: int) -> Iterator[Transition]:
    """Commit submitted commands, each any number of times."""
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
    # A router that is only unreachable or paused may also be declared lost, and resume later.
    if state.started == number and state.outcome is None:
        yield f"commit loss {number}", state._replace(outcome="lost")


def _commit_start(state: State, number: int) -> State:
    waiting = _request(state, number).phase == "waiting"
    if state.outcome is not None or state.started not in (None, number):
        return (
            _update_request(state, number, phase="ended", reported="unknown") if waiting else state
        )
    if number in state.aborted:
        return state
    recorded = state._replace(started=number)
    return _update_request(recorded, number, phase="allowed") if waiting else recorded


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether a request is sent before its start is recorded
    :return: the specification
    """

    def transitions(state: State) -> list[Transition]:
        return [
            step
            for number in REQUESTS
            for step in (*_router_steps(state, number, defect), *_log_steps(state, number))
        ]

    return Protocol(
        name="at most once",
        candidate=False,
        fields=State._fields,
        initial=State(Request(), Request(), None, frozenset(), None),
        transitions=transitions,
        invariants={
            "at most one run": lambda state: not (state["first"].sent and state["second"].sent),
            "a request reported as not run was not sent": lambda state: (
                not any(
                    request.sent and request.reported == "no"
                    for request in (state["first"], state["second"])
                )
            ),
        },
    )


__all__ = ["protocol"]
