"""Outcomes of requests, from which all reports are made."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.errors import Run

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange


@dataclass(frozen=True, slots=True)
class Answered:
    """The complete answer was passed on for sending."""

    status: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The router answered with an error, or an answer that had started ended with an error."""

    code: str
    run: Run


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed the connection before the answer was complete."""


Outcome = Answered | Failed | CallerLeft


class Finished(NamedTuple):
    """A request that has ended, with its outcome and latencies."""

    exchange: Exchange
    outcome: Outcome
    ended_s: float
    first_byte_s: float | None
    """From the request's arrival to the first byte of the answer's body, or to its end if empty."""
    total_s: float


def outcome_name(outcome: Outcome) -> str:
    """
    Return the name of an outcome for reports.

    :param outcome: the outcome
    :return: ``answered``, ``caller_left`` or the code of the error
    """
    match outcome:
        case Answered():
            return "answered"
        case Failed(code, _):
            return code
        case CallerLeft():
            return "caller_left"


class OutcomeCounts:
    """Counts finished requests by outcome since the process started."""

    def __init__(self) -> None:
        """Set all counters to zero."""
        self.answered_count = 0
        self.refused_count = 0
        """Refused before anything was sent to an upstream."""
        self.failed_count = 0
        """Failed after they ran, or when it is unknown whether they ran."""
        self.callers_left_count = 0

    def record(self, finished: Finished) -> None:
        """
        Count a finished request.

        :param finished: the request
        """
        match finished.outcome:
            case Answered():
                self.answered_count += 1
            case Failed(_, Run.NO):
                self.refused_count += 1
            case Failed():
                self.failed_count += 1
            case CallerLeft():
                self.callers_left_count += 1


__all__ = [
    "Answered",
    "CallerLeft",
    "Failed",
    "Finished",
    "Outcome",
    "OutcomeCounts",
    "outcome_name",
]
