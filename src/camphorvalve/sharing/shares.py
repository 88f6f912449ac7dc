"""Max-min shares of teams in the tokens that a pool can work off, over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

BUCKETS_COUNT = 8
"""Buckets of the window; a finer window would only cost time."""
MOST_STEP = 1.08
"""Largest change of a team's part with one report, every half second; what was served is counted
over four of them, and larger steps overshoot: with 1.15, a team of karri-auditions scale-1 swung
between 0.11 and 0.78 M tokens/s."""
MOST_CORRECTION = 1.4
"""Two teams that ask for the same then differ by less than the factor of 2 that breaks the
platform's rule, whatever was measured."""
LEAST_SERVED_RATIO = 0.01
AHEAD_RATIO = 1.25
"""Service above that of the least served team over its share from which a team gets nothing beyond
its own share; the platform's rule is broken at 2."""
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

    def total(self, team: str, now_s: float) -> float:
        """
        Sum the window for one team.

        :param team: name of the team
        :param now_s: monotonic time
        :return: tokens
        """
        self._expire(int(now_s // self._bucket_s))
        return sum(bucket.get(team, 0.0) for _, bucket in self._buckets)

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


class Ratios(NamedTuple):
    """Parts of a team's requests that lie within its share."""

    first: float
    """Of requests whose callers ask for the first time; they go first."""
    returned: float
    """Of requests whose callers came back after a refusal: those answers are late anyway."""


class _Standing(NamedTuple):
    """A team's demand in the fleet compared with its share."""

    headroom: float
    """Share over demand; below 1 for a team over its share."""
    returned_part: float
    """Part of the demand whose callers came back."""

    def ratios(self, growth: float) -> Ratios:
        """Give the share to first requests, and what they leave to those that came back."""
        share = min(1.0, self.headroom / growth)
        first_part = 1.0 - self.returned_part
        first = min(1.0, share / first_part) if first_part > 0 else 1.0
        left = share - first * first_part
        if self.returned_part <= 0:
            return Ratios(first, first)
        return Ratios(first, min(1.0, max(0.0, left / self.returned_part)))


class Quotas:
    """Picks the part of each team's requests that lies within its share, evenly over time."""

    def __init__(self) -> None:
        """Start without teams."""
        self._standings: dict[str, _Standing] = {}
        self._saved: dict[tuple[str, bool], float] = {}
        self._corrections: dict[str, float] = {}
        self._ahead: set[str] = set()

    def set_shares(
        self,
        demands: Mapping[str, float],
        capacity: float,
        served: Mapping[str, float] | None = None,
        returned: Mapping[str, float] | None = None,
    ) -> None:
        """
        Set the part of each team's demand that is within its share.

        Teams over their share are owed the same. One that gets less than the others, because its
        callers come to a busy router or its prompts to busy engines, has its part raised.

        :param demands: tokens by team, of the whole fleet
        :param capacity: tokens to divide
        :param served: tokens by team that were served in the same window
        :param returned: tokens by team, of the demands, whose callers came back
        """
        found = level(demands, capacity)
        over = {team for team, demand in demands.items() if demand > found}
        self._correct(over, served or {})
        self._standings = {}
        if over:
            self._standings = {
                team: _Standing(
                    found * self._corrections.get(team, 1.0) / demand,
                    (returned or {}).get(team, 0.0) / demand,
                )
                for team, demand in demands.items()
                if demand > 0
            }
        self._ahead = _ahead(over, served or {})
        self._saved = {key: saved for key, saved in self._saved.items() if key[0] in over}

    def _correct(self, over: set[str], served: Mapping[str, float]) -> None:
        self._corrections = {team: self._corrections.get(team, 1.0) for team in over}
        total = sum(served.get(team, 0.0) for team in over)
        if total <= 0:
            return
        for team in over:
            got = max(served.get(team, 0.0), LEAST_SERVED_RATIO * total) * len(over)
            step = min(MOST_STEP, max(1 / MOST_STEP, (total / got) ** 0.5))
            raised = self._corrections[team] * step
            self._corrections[team] = min(MOST_CORRECTION, max(1 / MOST_CORRECTION, raised))

    def weight(self, own: Mapping[str, float], demands: Mapping[str, float]) -> float | None:
        """
        Tell which part of all demand within shares comes in at one router.

        :param own: tokens by team at the router
        :param demands: tokens by team at all routers
        :return: 0 to 1, ``None`` without demand
        """
        total = self._within(demands)
        return min(1.0, self._within(own) / total) if total > 0 else None

    def _within(self, demands: Mapping[str, float]) -> float:
        standings = self._standings
        return sum(
            tokens * (min(1.0, standings[team].headroom) if team in standings else 1.0)
            for team, tokens in demands.items()
        )

    def over_share(self) -> Iterator[tuple[str, Ratios]]:
        """:return: teams that ask for more than their share, and the parts within it"""
        for team in self._corrections:
            yield team, self._standings[team].ratios(1.0)

    def is_ahead(self, team: str) -> bool:
        """
        Tell whether a team gets more than another one that waits as well.

        :param team: name of the team
        :return: whether requests beyond its share have to stand back
        """
        return team in self._ahead

    def takes(
        self, team: str, tokens: float, *, growth: float = 1.0, came_back: bool = False
    ) -> bool:
        """
        Decide whether a request is within its team's share; call it once for each request.

        :param team: name of the team
        :param tokens: cost of the request
        :param growth: how much the team's demand has grown since the shares were set
        :param came_back: whether its caller came back after a refusal
        :return: whether it is
        """
        standing = self._standings.get(team)
        if standing is None or standing.headroom >= growth:
            return True
        ratios = standing.ratios(growth)
        ratio = ratios.returned if came_back else ratios.first
        key = (team, came_back)
        # Error diffusion: what a refused request leaves unused counts for the next one, whatever
        # their sizes, so that large requests get their part as well. What is saved stays within
        # half of the largest request.
        saved = self._saved.get(key, 0.0) + ratio * tokens
        taken = ratio > 0 and saved >= tokens / 2
        self._saved[key] = saved - tokens if taken else saved
        return taken


def _ahead(over: set[str], served: Mapping[str, float]) -> set[str]:
    least = min((served.get(team, 0.0) for team in over), default=0.0)
    return {team for team in over if served.get(team, 0.0) > AHEAD_RATIO * least}


__all__ = ["ANSWER_WEIGHT", "Demand", "Quotas", "Ratios", "level"]
