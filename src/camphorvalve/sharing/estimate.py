"""Estimates the cost of a request, which is known only when the request finishes."""

from __future__ import annotations

SMOOTHING_RATIO = 0.1
"""Weight of the newest cost in the exponential moving average."""
DEFAULT_UNITS = 100.0
"""Estimate for a pool in which no request has finished yet."""
MAX_HINT_FACTOR = 4.0
"""Maximum factor by which a caller's hint changes the estimate, as hints are imprecise."""


class CostEstimates:
    """Moving averages of the cost by pool, team and kind."""

    def __init__(self) -> None:
        """Start without any costs."""
        self._means_units: dict[tuple[str, str, str], float] = {}

    def record(self, pool: str, team: str, kind: str, units: float) -> None:
        """
        Add the cost of a finished request.

        :param pool: name of the pool
        :param team: name of the team
        :param kind: kind of work
        :param units: cost
        """
        for key in ((pool, team, kind), (pool, "", "")):
            mean_units = self._means_units.get(key, units)
            self._means_units[key] = mean_units + SMOOTHING_RATIO * (units - mean_units)

    def estimate_units(
        self, pool: str, team: str, kind: str, hint_units: float | None = None
    ) -> float:
        """
        Estimate the cost of a request.

        :param pool: name of the pool
        :param team: name of the team
        :param kind: kind of work
        :param hint_units: the caller's hint
        :return: average of the team and kind, otherwise of the pool, or the hint within
            ``MAX_HINT_FACTOR`` of that
        """
        pool_mean_units = self._means_units.get((pool, "", ""), DEFAULT_UNITS)
        mean_units = self._means_units.get((pool, team, kind), pool_mean_units)
        if hint_units is None:
            return mean_units
        return min(max(hint_units, mean_units / MAX_HINT_FACTOR), mean_units * MAX_HINT_FACTOR)


__all__ = ["CostEstimates"]
