"""How fast waiting requests get slots, for the predicted wait."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.sharing.ledger import TeamKey

HALF_LIFE_S = 5.0
"""Age at which an observation counts half, so that a pool that recovers is not held slow."""
MIN_COUNT = 5.0
"""Fewer grants tell nothing."""


@dataclass(slots=True)
class _Rate:
    seen_s: float
    waits: bool = False
    granted_count: float = 0.0
    waiting_s: float = 0.0


class GrantRates:
    """
    Grants per second during which something waited, by pool and team.

    Time without waiting requests does not count: few grants for little demand say nothing about
    how fast the pool could serve.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._rates: dict[TeamKey, _Rate] = {}

    def observe(self, key: TeamKey, now_s: float, *, waits: bool, granted_count: int = 0) -> None:
        """
        Note whether something waits from now on.

        :param key: pool and team
        :param now_s: current time
        :param waits: whether a request waits
        :param granted_count: grants used just now
        """
        rate = self._rates.setdefault(key, _Rate(now_s))
        elapsed_s = now_s - rate.seen_s
        if rate.waits:
            rate.waiting_s += elapsed_s
        keep_ratio = 0.5 ** (elapsed_s / HALF_LIFE_S)
        rate.granted_count = rate.granted_count * keep_ratio + granted_count
        rate.waiting_s *= keep_ratio
        rate.seen_s = now_s
        rate.waits = waits

    def waiting_keys(self) -> Iterator[TeamKey]:
        """:return: keys for which something waited at the last observation"""
        return (key for key, rate in self._rates.items() if rate.waits)

    def predicted_wait_s(self, key: TeamKey, ahead_count: int, now_s: float) -> float | None:
        """
        Predict the wait of a new request.

        :param key: pool and team
        :param ahead_count: requests that go before it
        :param now_s: current time
        :return: seconds, or ``None`` without enough grants to tell
        """
        if key not in self._rates:
            return None
        rate = self._rates[key]
        self.observe(key, now_s, waits=rate.waits)
        if rate.granted_count < MIN_COUNT:
            return None
        return ahead_count * rate.waiting_s / rate.granted_count


__all__ = ["GrantRates"]
