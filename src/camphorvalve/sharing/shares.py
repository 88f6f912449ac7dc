"""Max-min shares of teams in the tokens that a pool can work off, over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

BUCKETS_COUNT = 8
"""Buckets of the window; a finer window would only cost time."""
ANSWER_WEIGHT = 2.0
"""A generated token takes as much of an engine as two that are read."""


class Demand:
    """Tokens that each team asked for in a sliding window."""

    def __init__(self, window_s: float) -> None:
        """
        Start empty.

        :param window_s: length of the window
        """
        self._bucket_s = window_s / BUCKETS_COUNT
        self._buckets: deque[tuple[int, dict[str, float]]] = deque()

    def add(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count a request.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        number = int(now_s // self._bucket_s)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
            self._expire(number)
        bucket = self._buckets[-1][1]
        bucket[team] = bucket.get(team, 0.0) + tokens

    def totals(self, now_s: float) -> dict[str, float]:
        """
        Sum the window.

        :param now_s: monotonic time
        :return: tokens by team
        """
        self._expire(int(now_s // self._bucket_s))
        found: dict[str, float] = {}
        for _, bucket in self._buckets:
            for team, tokens in bucket.items():
                found[team] = found.get(team, 0.0) + tokens
        return found

    def _expire(self, number: int) -> None:
        while self._buckets and self._buckets[0][0] <= number - BUCKETS_COUNT:
            self._buckets.popleft()


def level(demands: Mapping[str, float], capacity: float) -> float:
    """
    Find the max-min share: every team gets its demand, or the level if it asks for more.

    :param demands: tokens by team
    :param capacity: tokens to divide
    :return: the level; infinite when all demands fit
    """
    left = capacity
    ordered = sorted(demands.values())
    for position, demand in enumerate(ordered):
        even = left / (len(ordered) - position)
        if demand > even:
            return even
        left -= demand
    return float("inf")


class Quotas:
    """Picks the part of each team's requests that lies within its share, evenly over time."""

    def __init__(self) -> None:
        """Start without teams."""
        self._ratios: dict[str, float] = {}
        self._saved: dict[str, float] = {}

    def set_ratios(self, demands: Mapping[str, float], capacity: float) -> None:
        """
        Set the part of each team's demand that is within its share.

        :param demands: tokens by team, of the whole fleet
        :param capacity: tokens to divide
        """
        found = level(demands, capacity)
        self._ratios = {team: found / demand for team, demand in demands.items() if demand > found}
        self._saved = {team: self._saved.get(team, 0.0) for team in self._ratios}

    def weight(self, own: Mapping[str, float], demands: Mapping[str, float]) -> float | None:
        """
        Tell which part of all demand within shares comes in at one router.

        :param own: tokens by team at the router
        :param demands: tokens by team at all routers
        :return: 0 to 1, ``None`` without demand
        """
        total = sum(demand * self._ratios.get(team, 1.0) for team, demand in demands.items())
        if total <= 0:
            return None
        found = sum(tokens * self._ratios.get(team, 1.0) for team, tokens in own.items())
        return min(1.0, found / total)

    def over_share(self) -> Iterator[str]:
        """:return: teams that ask for more than their share"""
        yield from self._ratios

    def takes(self, team: str, tokens: float) -> bool:
        """
        Decide whether a request is within its team's share; call it once for each request.

        :param team: name of the team
        :param tokens: cost of the request
        :return: whether it is
        """
        ratio = self._ratios.get(team)
        if ratio is None:
            return True
        # Error diffusion: what a refused request leaves unused counts for the next one, whatever
        # their sizes, so that large requests get their part as well. What is saved stays within
        # half of the largest request.
        saved = self._saved[team] + ratio * tokens
        taken = saved >= tokens / 2
        self._saved[team] = saved - tokens if taken else saved
        return taken


__all__ = ["ANSWER_WEIGHT", "Demand", "Quotas", "level"]
