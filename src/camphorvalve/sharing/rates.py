"""Measures the rate at which waiting requests are granted slots, to predict waits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.sharing.ledger import TeamKey

HALF_LIFE_S = 5.0
"""Age at which an observation counts half, short so that a recovered pool soon appears fast
again."""
MIN_GRANTS_COUNT = 5.0
"""With fewer grants, no wait is predicted."""


@dataclass(slots=True)
class _Observations:
    observed_s: float
    waits: bool = False
    granted_count: float = 0.0
    waiting_s: float = 0.0


class GrantRates:
    """
    Rate of grants while requests wait, by pool and team.

    Time without waiting requests does not count: few grants at low demand do not show how fast the
    pool could serve.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._rates: dict[TeamKey, _Observations] = {}

    def observe(self, key: TeamKey, now_s: float, *, waits: bool, granted_count: int = 0) -> None:
        """
        Record grants and whether requests wait from now on.

        :param key: pool and team
        :param now_s: current time
        :param waits: whether requests wait
        :param granted_count: grants used just now
        """
        observations = self._rates.setdefault(key, _Observations(now_s))
        elapsed_s = now_s - observations.observed_s
        if observations.waits:
            observations.waiting_s += elapsed_s
        keep_ratio = 0.5 ** (elapsed_s / HALF_LIFE_S)
        observations.granted_count = observations.granted_count * keep_ratio + granted_count
        observations.waiting_s *= keep_ratio
        observations.observed_s = now_s
        observations.waits = waits

    def waiting_keys(self) -> Iterator[TeamKey]:
        """:return: pools and teams with waiting requests at the last observation"""
        return (key for key, observations in self._rates.items() if observations.waits)

    def predicted_wait_s(self, key: TeamKey, ahead_count: int, now_s: float) -> float | None:
        """
        Predict the wait of a new request.

        :param key: pool and team
        :param ahead_count: requests that are granted before it
        :param now_s: current time
        :return: seconds, or ``None`` with too few grants to predict it
        """
        if key not in self._rates:
            return None
        observations = self._rates[key]
        self.observe(key, now_s, waits=observations.waits)
        if observations.granted_count < MIN_GRANTS_COUNT:
            return None
        return ahead_count * observations.waiting_s / observations.granted_count


__all__ = ["GrantRates"]
