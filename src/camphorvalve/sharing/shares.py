"""Max-min shares of teams in the tokens that a pool can work off, over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

LEAST_COVERED_S = 0.5
"""Time that a demand which has just begun is taken to have lasted at least."""
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
        self._window_s = window_s
        self._bucket_s = window_s / BUCKETS_COUNT
        self._began_s = 0.0
        """First request after a whole window without any."""
        self._buckets: deque[tuple[int, dict[str, float]]] = deque()

    def add(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count a request.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        number = int(now_s // self._bucket_s)
        self._expire(number)
        if not self._buckets:
            self._began_s = now_s
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
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

    def estimate(self, now_s: float) -> dict[str, float]:
        """
        Estimate what the window would hold had the demand gone on for all of it.

        :param now_s: monotonic time
        :return: tokens by team; those of the window, or more if demand began later than that
        """
        covered_s = max(LEAST_COVERED_S, now_s - self._began_s)
        factor = max(1.0, self._window_s / covered_s)
        return {team: factor * tokens for team, tokens in self.totals(now_s).items()}

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


def shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """
    Find what each team may get at the current demand of the others.

    :param demands: tokens by team
    :param capacity: tokens to divide
    :return: tokens by team: the level where some team asks for more; otherwise the demand and what
        nobody asks for, or what one more team without bound would get if that is more
    """
    found = level(demands, capacity)
    if found != float("inf"):
        return dict.fromkeys(demands, found)
    free = capacity - sum(demands.values())
    least = newcomer_share(demands, capacity)
    return {team: max(least, demand + free) for team, demand in demands.items()}


def newcomer_share(demands: Mapping[str, float], capacity: float) -> float:
    """
    Find what a team gets that starts to ask without bound.

    :param demands: tokens by team, of the others
    :param capacity: tokens to divide
    :return: tokens
    """
    return level({**demands, "": float("inf")}, capacity)


__all__ = ["ANSWER_WEIGHT", "Demand", "level", "newcomer_share", "shares"]
