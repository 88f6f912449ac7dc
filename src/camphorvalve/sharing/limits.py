"""Limits the filled part of each engine's slots according to how soon its answers begin."""

from __future__ import annotations

from dataclasses import dataclass

LATE_RATIO = 0.8
"""Time to the start of an answer, as a part of the objective, above which the limit is lowered."""
EARLY_RATIO = 0.5
"""Time to the start of an answer, as a part of the objective, below which the limit is raised."""
DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.01
"""A late answer lowers a limit of 0.6 by as much as six early ones raise it."""
COOLDOWN_S = 0.25
"""Minimum time between two decreases: answers that are late at the same time waited for the same
prompts and lower the limit only once."""


@dataclass(slots=True)
class _Limit:
    value: float
    lowered_s: float = float("-inf")


class AdaptiveLimits:
    """One limit for each upstream: additive increase, multiplicative decrease (AIMD)."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _Limit] = {}

    def get(self, upstream_id: str, minimum: float, maximum: float, initial: float) -> float:
        """
        Return the limit of an upstream.

        :param upstream_id: the upstream
        :param minimum: lowest value
        :param maximum: highest value
        :param initial: value for an upstream that is not known yet
        :return: part of the upstream's slots that may be filled
        """
        limit = self._limits.get(upstream_id)
        if limit is None:
            limit = self._limits[upstream_id] = _Limit(initial)
        limit.value = min(maximum, max(minimum, limit.value))
        return limit.value

    def record_answer_start(
        self, upstream_id: str, wait_s: float, objective_s: float, now_s: float
    ) -> None:
        """
        Update the limit when an answer begins.

        :param upstream_id: the upstream
        :param wait_s: time since the request was sent
        :param objective_s: objective for that time
        :param now_s: monotonic time
        """
        limit = self._limits.get(upstream_id)
        if limit is None:
            return
        if wait_s > LATE_RATIO * objective_s:
            if now_s - limit.lowered_s >= COOLDOWN_S:
                limit.lowered_s = now_s
                limit.value *= DECREASE_FACTOR
        elif wait_s < EARLY_RATIO * objective_s:
            limit.value += INCREASE_STEP

    def keep_only(self, upstream_ids: set[str]) -> None:
        """
        Forget upstreams that no longer exist.

        :param upstream_ids: those that still exist
        """
        for removed_id in self._limits.keys() - upstream_ids:
            del self._limits[removed_id]


__all__ = ["AdaptiveLimits"]
