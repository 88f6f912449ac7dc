"""
Rates at which the slots of one scheduler serve, by pool.

The other slots of the pool are assumed to have the same rates.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

DECAY_S = 10.0
"""Time constant of the decay of older service."""


@dataclass(slots=True)
class _Served:
    units: float = 0.0
    slot_s: float = 0.0
    counted_s: float = 0.0


class PoolRates:
    """Service with decay, and the slot time that it took."""

    def __init__(self) -> None:
        """Start without service."""
        self._served: dict[str, _Served] = {}

    def serve(self, pool: str, units: float) -> None:
        """
        Count service.

        :param pool: name of the pool
        :param units: service given
        """
        self._served.setdefault(pool, _Served()).units += units

    def advance(self, busy_counts: Mapping[str, int], now_s: float) -> None:
        """
        Count the slot time since the last call, and decay older service.

        :param busy_counts: busy slots by pool
        :param now_s: current time
        """
        for pool in busy_counts.keys() | self._served.keys():
            served = self._served.setdefault(pool, _Served(counted_s=now_s))
            elapsed_s = max(0.0, now_s - served.counted_s) if served.counted_s else 0.0
            keep_ratio = max(0.0, 1.0 - elapsed_s / DECAY_S)
            served.units *= keep_ratio
            served.slot_s = served.slot_s * keep_ratio + busy_counts.get(pool, 0) * elapsed_s
            served.counted_s = now_s

    def rate(self, pool: str, slots_count: int) -> float:
        """
        Estimate the rate of busy slots.

        :param pool: name of the pool
        :param slots_count: number of busy slots
        :return: units per second, zero before anything has run
        """
        served = self._served.get(pool)
        if served is None or served.slot_s <= 0:
            return 0.0
        return served.units / served.slot_s * slots_count


__all__ = ["PoolRates"]
