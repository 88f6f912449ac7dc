"""Estimates of a request's cost, which is known only when it finishes."""

from __future__ import annotations

ALPHA_RATIO = 0.1
"""Weight of the newest cost in the running mean."""
FIRST_UNITS = 100.0
"""Estimate for a pool in which nothing has finished yet."""
HINT_RATIO = 4.0
"""A caller's hint may move the estimate by this factor at most, since hints are rough."""


class CostEstimates:
    """Running means of the cost by pool, team and kind."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self._means_units: dict[tuple[str, str, str], float] = {}

    def learn(self, pool: str, team: str, kind: str, units: float) -> None:
        """
        Take in the cost of a finished request.

        :param pool: name of the pool
        :param team: name of the team
        :param kind: kind of work
        :param units: cost
        """
        for key in ((pool, team, kind), (pool, "", "")):
            mean = self._means_units.get(key, units)
            self._means_units[key] = mean + ALPHA_RATIO * (units - mean)

    def estimate_units(
        self, pool: str, team: str, kind: str, hint_units: float | None = None
    ) -> float:
        """
        Estimate the cost of a request.

        :param pool: name of the pool
        :param team: name of the team
        :param kind: kind of work
        :param hint_units: the caller's hint
        :return: mean of the team and kind, else of the pool, moved towards the hint
        """
        pool_mean = self._means_units.get((pool, "", ""), FIRST_UNITS)
        mean = self._means_units.get((pool, team, kind), pool_mean)
        if hint_units is None:
            return mean
        return min(max(hint_units, mean / HINT_RATIO), mean * HINT_RATIO)


__all__ = ["CostEstimates"]
