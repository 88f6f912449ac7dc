"""Max-min fair shares of teams in the tokens that a pool can serve, over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_COVERED_S = 0.5
"""Minimum duration over which new demand is extrapolated to the window."""
BUCKETS_COUNT = 8
"""Buckets of the window; more of them would only cost processor time."""
OUTPUT_TOKEN_WEIGHT = 2.0
"""Cost of an output token in input tokens."""


class DemandWindow:
    """Sliding window of the tokens that each team requested."""

    def __init__(self, window_s: float) -> None:
        """
        Start empty.

        :param window_s: length of the window
        """
        self._window_s = window_s
        self._bucket_s = window_s / BUCKETS_COUNT
        self._started_s = 0.0
        """Time of the first request after a window without requests."""
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
            self._started_s = now_s
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, {}))
        bucket = self._buckets[-1][1]
        bucket[team] = bucket.get(team, 0.0) + tokens

    def totals(self, now_s: float) -> dict[str, float]:
        """
        Sum the tokens in the window.

        :param now_s: monotonic time
        :return: tokens by team
        """
        self._expire(int(now_s // self._bucket_s))
        totals: dict[str, float] = {}
        for _, bucket in self._buckets:
            for team, tokens in bucket.items():
                totals[team] = totals.get(team, 0.0) + tokens
        return totals

    def estimate(self, now_s: float) -> dict[str, float]:
        """
        Extrapolate demand that began within the window to the whole window.

        :param now_s: monotonic time
        :return: tokens by team, at least those in the window
        """
        covered_s = max(MIN_COVERED_S, now_s - self._started_s)
        factor = max(1.0, self._window_s / covered_s)
        return {team: factor * tokens for team, tokens in self.totals(now_s).items()}

    def _expire(self, number: int) -> None:
        while self._buckets and self._buckets[0][0] <= number - BUCKETS_COUNT:
            self._buckets.popleft()


def max_min_level(demands: Mapping[str, float], capacity: float) -> float:
    """
    Calculate the max-min level: each team gets its demand, but at most the level.

    :param demands: tokens by team
    :param capacity: tokens to divide
    :return: the level; infinite if the capacity covers all demands
    """
    remaining = capacity
    ordered = sorted(demands.values())
    for position, demand in enumerate(ordered):
        even_share = remaining / (len(ordered) - position)
        if demand > even_share:
            return even_share
        remaining -= demand
    return float("inf")


def max_min_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """
    Calculate how much each team may use at the current demand of the others.

    :param demands: tokens by team
    :param capacity: tokens to divide
    :return: tokens by team: the max-min level if the capacity does not cover all demands; otherwise
        the team's demand plus the spare capacity, but at least the share of a new team
    """
    level = max_min_level(demands, capacity)
    if level != float("inf"):
        return dict.fromkeys(demands, level)
    spare = capacity - sum(demands.values())
    minimum = new_team_share(demands, capacity)
    return {team: max(minimum, demand + spare) for team, demand in demands.items()}


def new_team_share(demands: Mapping[str, float], capacity: float) -> float:
    """
    Calculate the share of an additional team with unlimited demand.

    :param demands: tokens by team, without that team
    :param capacity: tokens to divide
    :return: tokens
    """
    return max_min_level({**demands, "": float("inf")}, capacity)


__all__ = [
    "OUTPUT_TOKEN_WEIGHT",
    "DemandWindow",
    "max_min_level",
    "max_min_shares",
    "new_team_share",
]
