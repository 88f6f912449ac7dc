"""Adapts how full engines get to how soon their answers begin."""

from __future__ import annotations

from dataclasses import dataclass

LATE_RATIO = 0.8
"""Part of the objective above which the start of an answer lowers the limit."""
EARLY_RATIO = 0.5
"""Part of the objective below which the start of an answer raises the limit."""
DECREASE_RATIO = 0.9
INCREASE_RATIO = 0.01
"""A late answer lowers a limit of 0.6 by as much as six early ones raise it."""
COOLDOWN_S = 0.25
"""Answers that were late together lower the limit once; they waited for the same prompts."""


@dataclass(slots=True)
class _Limit:
    value: float
    lowered_s: float = float("-inf")


class AdaptiveLimits:
    """One limit for each upstream, between a least and a most value (additive increase)."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[str, _Limit] = {}

    def get(self, upstream_id: str, least: float, most: float, start: float) -> float:
        """
        Look a limit up.

        :param upstream_id: the upstream
        :param least: lowest value
        :param most: highest value
        :param start: value of an upstream that is not known yet
        :return: part of the upstream's slots that may be filled
        """
        limit = self._limits.get(upstream_id)
        if limit is None:
            limit = self._limits[upstream_id] = _Limit(start)
        limit.value = min(most, max(least, limit.value))
        return limit.value

    def began(self, upstream_id: str, wait_s: float, objective_s: float, now_s: float) -> None:
        """
        Learn from the start of an answer.

        :param upstream_id: the upstream
        :param wait_s: time from sending the request
        :param objective_s: time that counts as on time
        :param now_s: monotonic time
        """
        limit = self._limits.get(upstream_id)
        if limit is None:
            return
        if wait_s > LATE_RATIO * objective_s:
            if now_s - limit.lowered_s >= COOLDOWN_S:
                limit.lowered_s = now_s
                limit.value *= DECREASE_RATIO
        elif wait_s < EARLY_RATIO * objective_s:
            limit.value += INCREASE_RATIO

    def keep_only(self, upstream_ids: set[str]) -> None:
        """
        Forget upstreams that are gone.

        :param upstream_ids: those that still exist
        """
        for gone in self._limits.keys() - upstream_ids:
            del self._limits[gone]


__all__ = ["AdaptiveLimits"]
