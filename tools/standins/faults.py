"""Faults that tests inject into the simulated engines, services and platform."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

FaultT = TypeVar("FaultT")


@dataclass(slots=True)
class BreakAfter:
    """Close the connection after ``count`` events, or ``count`` bytes of a plain response."""

    count: int
    times: int = 1
    """Number of requests that are affected; -1 for all."""


@dataclass(slots=True)
class Refuse:
    """Respond with an error status and do not run the request."""

    status: int = 503
    times: int = 1


@dataclass(slots=True)
class SlowDown:
    """Multiply the processing time of requests."""

    factor: float
    times: int = -1


@dataclass(slots=True)
class Hang:
    """Process the request and never respond."""

    times: int = 1


@dataclass(slots=True)
class WrongRequestId:
    """Respond with the id of another request."""

    times: int = 1


Fault = BreakAfter | Refuse | SlowDown | Hang | WrongRequestId
_FAULT_TYPES: dict[str, type] = {
    "break_after": BreakAfter,
    "refuse": Refuse,
    "slow_down": SlowDown,
    "hang": Hang,
    "garble": WrongRequestId,
}


class Faults:
    """Faults that are currently injected."""

    def __init__(self) -> None:
        """Create an empty set of faults."""
        self._faults: list[Fault] = []

    def replace(self, faults: Iterable[Fault]) -> None:
        """
        Replace all faults.

        :param faults: the new faults
        """
        self._faults = list(faults)

    def replace_from_json(self, body: dict[str, Any]) -> None:
        """
        Replace all faults by those in the body of ``POST /v1/faults``.

        :param body: ``{"faults": [{"type": "break_after", "count": 3, "times": 1}, ...]}``
        :raises KeyError: the type of a fault is unknown
        :raises msgspec.ValidationError: a field has a wrong type or is missing
        """
        self.replace(_parse_fault(dict(fields)) for fields in body["faults"])

    def take(self, fault_type: type[FaultT]) -> FaultT | None:
        """
        Return a fault that affects the current request, and count that request.

        :param fault_type: class of the fault
        :return: the fault, or ``None`` if no fault of this class remains
        """
        for fault in self._faults:
            if isinstance(fault, fault_type) and fault.times != 0:
                fault.times -= 1 if fault.times > 0 else 0
                return fault
        return None


def _parse_fault(fields: dict[str, Any]) -> Fault:
    fault_type = _FAULT_TYPES[fields.pop("type")]
    return msgspec.convert(fields, fault_type)


__all__ = ["BreakAfter", "Fault", "Faults", "Hang", "Refuse", "SlowDown", "WrongRequestId"]
