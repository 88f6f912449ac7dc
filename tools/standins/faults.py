"""Faults that tests set in a stand-in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

F = TypeVar("F")


@dataclass(slots=True)
class BreakAfter:
    """Close the connection after some events, or after some bytes of a plain response."""

    count: int
    times: int = 1
    """How many requests are affected; -1 for all."""


@dataclass(slots=True)
class Refuse:
    """Respond with an error status without running the request."""

    status: int = 503
    times: int = 1


@dataclass(slots=True)
class SlowDown:
    """Multiply the time that work takes."""

    factor: float
    times: int = -1


@dataclass(slots=True)
class Hang:
    """Take the request, run it, never respond."""

    times: int = 1


@dataclass(slots=True)
class Garble:
    """Respond under the id of another request."""

    times: int = 1


Fault = BreakAfter | Refuse | SlowDown | Hang | Garble
_KINDS: dict[str, type] = {
    "break_after": BreakAfter,
    "refuse": Refuse,
    "slow_down": SlowDown,
    "hang": Hang,
    "garble": Garble,
}


class Faults:
    """The faults in force."""

    def __init__(self) -> None:
        """Start without faults."""
        self._faults: list[Fault] = []

    def replace(self, faults: Iterable[Fault]) -> None:
        """
        Set the faults in force.

        :param faults: all faults from now on
        """
        self._faults = list(faults)

    def replace_from_json(self, body: dict[str, Any]) -> None:
        """
        Set the faults from the body of ``POST /v1/faults``.

        :param body: ``{"faults": [{"type": "break_after", "count": 3, "times": 1}, ...]}``
        :raises KeyError: unknown type
        :raises msgspec.ValidationError: wrong field
        """
        self.replace(_parse(dict(one)) for one in body["faults"])

    def take(self, kind: type[F]) -> F | None:
        """
        Use up one occurrence of a fault.

        :param kind: class of the fault
        :return: the fault, or ``None`` when there is none left
        """
        for fault in self._faults:
            if isinstance(fault, kind) and fault.times != 0:
                fault.times -= 1 if fault.times > 0 else 0
                return fault
        return None


def _parse(fields: dict[str, Any]) -> Fault:
    kind = _KINDS[fields.pop("type")]
    return msgspec.convert(fields, kind)


__all__ = ["BreakAfter", "Fault", "Faults", "Garble", "Hang", "Refuse", "SlowDown"]
