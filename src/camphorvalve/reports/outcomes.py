"""How a request ended; what every report is made from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.errors import Run

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange


@dataclass(frozen=True, slots=True)
class Answered:
    """The whole answer was handed over for sending."""

    status: int


@dataclass(frozen=True, slots=True)
class Failed:
    """The router answered with an error, or ended the answer with one."""

    code: str
    run: Run


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed the connection before the answer was complete."""


Outcome = Answered | Failed | CallerLeft


class Finished(NamedTuple):
    """A request that ended."""

    exchange: Exchange
    outcome: Outcome
    ended_s: float
    first_byte_s: float | None
    """From the request's arrival to the first byte of the body, or to the end of an empty one."""
    total_s: float


def outcome_name(outcome: Outcome) -> str:
    """
    Name an outcome in reports.

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
    """Counts finished requests since the start by how they ended."""

    def __init__(self) -> None:
        """Start at zero."""
        self.answered = 0
        self.refused = 0
        """Refused before anything was sent to an upstream."""
        self.failed = 0
        """Failed while it is unknown or certain that they ran."""
        self.callers_left = 0

    def record(self, finished: Finished) -> None:
        """
        Count a finished request.

        :param finished: the request
        """
        match finished.outcome:
            case Answered():
                self.answered += 1
            case Failed(_, Run.NO):
                self.refused += 1
            case Failed():
                self.failed += 1
            case CallerLeft():
                self.callers_left += 1


__all__ = [
    "Answered",
    "CallerLeft",
    "Failed",
    "Finished",
    "Outcome",
    "OutcomeCounts",
    "outcome_name",
]
