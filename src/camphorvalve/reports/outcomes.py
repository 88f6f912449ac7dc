"""How a request ended; what every report is made from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from camphorvalve.model.errors import Run
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


__all__ = ["Answered", "CallerLeft", "Failed", "Finished", "Outcome", "outcome_name"]
