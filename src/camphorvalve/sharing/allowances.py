"""What of each team's requests at one router lies within its share: a rate with some depth."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from camphorvalve.sharing.shares import level, newcomer_share, shares

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator, Mapping

DEPTH_S = 1.0
"""Time of the rate that a team may use at once; two reports of the demand, after which its part at
this router has followed."""
DEPTH_COUNT = 2
"""Largest requests that a team within its share may begin at once at least: with 67 routers, the
rate at one of them is about one request a second, and requests come unevenly."""
OVER_DEPTH_COUNT = 1
"""The same for a team over its share. Small rates at many routers take long to make up for more."""
RETURNED_RATIO = 0.5
"""Part of the depth that is kept for callers who ask for the first time."""
MOST_CORRECTION = 1.4
"""Two teams that ask for the same then differ by less than the factor of 2 that breaks the
platform's rule, whatever was measured."""
CORRECTION_EXPONENT = 0.1
"""Part of a difference, in its logarithm, that one report corrects: what was served is counted over
four reports, and faster corrections overshoot."""
LEAD_RATIO = 1.5
"""Service of the least served other team over its share, times which a team may get at most; the
platform's rule is broken at 2."""
LEAST_SERVED_RATIO = 0.01
"""Part of all service that a team counts as getting at least, so that its correction is finite."""


@dataclass(slots=True)
class _Balance:
    """Tokens that a team may still use; negative after a request that was larger."""

    tokens: float
    rate_per_s: float
    filled_s: float
    largest_tokens: float
    depth_count: int

    def most(self) -> float:
        return max(DEPTH_S * self.rate_per_s, self.depth_count * self.largest_tokens)

    def fill(self, now_s: float) -> None:
        grown = self.tokens + self.rate_per_s * (now_s - self.filled_s)
        self.tokens, self.filled_s = min(self.most(), grown), now_s


class Allowances:
    """
    Tokens of each team that this router lets pass as within the team's share.

    A team's share is divided among the routers by where it asks. The rate does not depend on how
    much is asked, so that a demand which rises or falls between two reports gets the same.
    """

    def __init__(self, window_s: float, rng: random.Random) -> None:
        """
        Start without shares; everything is within them until they are known.

        :param window_s: span over which demand and service are counted
        :param rng: source of random choices
        """
        self._window_s = window_s
        self._rng = rng
        self._balances: dict[str, _Balance] = {}
        self._rates: dict[str, float] = {}
        self._newcomer_per_s: float | None = None
        self._shares: dict[str, float] = {}
        self._corrections: dict[str, float] = {}

    def set_shares(
        self,
        demands: Mapping[str, float],
        own: Mapping[str, float],
        capacity: float,
        served: Mapping[str, float],
        now_s: float,
        *,
        usual_capacity: float | None = None,
    ) -> None:
        """
        Set the rate of each team.

        Teams over their share are owed the same. One that gets less than the others, because its
        callers come to a busy router or its prompts to busy engines, has its rate raised, and the
        others are held back until they get little more.

        :param demands: tokens by team in the window, at all routers
        :param own: the part of these at this router
        :param capacity: tokens of the window to divide
        :param served: tokens by team in the window that were served, at all routers
        :param now_s: monotonic time
        :param usual_capacity: what there is to divide as a rule, ``capacity`` by default
        """
        found = shares(demands, capacity)
        waiting = _over(demands, found)
        bounds = _bounds(demands, waiting, served, level(demands, usual_capacity or capacity))
        self._correct(waiting | _over(demands, bounds), served)
        self._shares = {
            team: min(bounds[team], tokens * self._corrections.get(team, 1.0))
            for team, tokens in found.items()
        }
        self._newcomer_per_s = newcomer_share(demands, capacity) / self._window_s
        self._set_rates(
            {
                team: self._shares[team] * own.get(team, 0.0) / demand / self._window_s
                for team, demand in demands.items()
                if demand > 0
            },
            now_s,
        )

    def _set_rates(self, rates: dict[str, float], now_s: float) -> None:
        self._rates = rates
        self._balances = {team: one for team, one in self._balances.items() if team in rates}
        for team, balance in self._balances.items():
            balance.fill(now_s)
            balance.rate_per_s = rates[team]
            depth_count = self._depth_count(team)
            if depth_count < balance.depth_count:
                balance.tokens = min(balance.tokens, self._start_tokens(team, balance))
            balance.depth_count = depth_count

    def _correct(self, over: set[str], served: Mapping[str, float]) -> None:
        total = sum(served.get(team, 0.0) for team in over)
        corrections = {team: self._corrections.get(team, 1.0) for team in over}
        for team in over if total > 0 else ():
            got = max(served.get(team, 0.0), LEAST_SERVED_RATIO * total) * len(over)
            wanted = corrections[team] * (total / got) ** CORRECTION_EXPONENT
            corrections[team] = min(MOST_CORRECTION, max(1 / MOST_CORRECTION, wanted))
        self._corrections = corrections

    def takes(self, team: str, tokens: float, now_s: float, *, came_back: bool = False) -> bool:
        """
        Decide whether a request is within its team's share; call it once for each request.

        :param team: name of the team
        :param tokens: cost of the request
        :param now_s: monotonic time
        :param came_back: whether its caller came back after a refusal
        :return: whether it is
        """
        if self._newcomer_per_s is None:
            return True
        balance = self._balances.get(team) or self._new_balance(team, tokens, now_s)
        balance.largest_tokens = max(balance.largest_tokens, tokens)
        balance.fill(now_s)
        # Half of a request more or less than the rate, whatever its size.
        least = max(tokens, RETURNED_RATIO * balance.most()) if came_back else tokens / 2
        if balance.tokens < least:
            return False
        balance.tokens -= tokens
        return True

    def _new_balance(self, team: str, tokens: float, now_s: float) -> _Balance:
        # A team that the totals do not hold yet may have all its callers here.
        rate_per_s = self._rates.get(team, self._newcomer_per_s)
        balance = _Balance(0.0, rate_per_s, now_s, tokens, self._depth_count(team))
        balance.tokens = self._start_tokens(team, balance)
        self._balances[team] = balance
        return balance

    def _start_tokens(self, team: str, balance: _Balance) -> float:
        if not self.is_over_share(team):
            return balance.most()
        # Many routers with a full balance each would all let the team's next request pass, which
        # is the share of several seconds.
        return self._rng.random() * OVER_DEPTH_COUNT * balance.largest_tokens

    def _depth_count(self, team: str) -> int:
        return OVER_DEPTH_COUNT if self.is_over_share(team) else DEPTH_COUNT

    def weight(self, own: Mapping[str, float], demands: Mapping[str, float]) -> float | None:
        """
        Tell which part of all demand within shares comes in at one router.

        :param own: tokens by team at the router
        :param demands: tokens by team at all routers
        :return: 0 to 1, ``None`` without demand
        """
        within = {
            team: min(1.0, self._shares.get(team, demand) / demand)
            for team, demand in demands.items()
            if demand > 0
        }
        total = sum(part * demands[team] for team, part in within.items())
        here = sum(part * own.get(team, 0.0) for team, part in within.items())
        return min(1.0, here / total) if total > 0 else None

    def over_share(self) -> Iterator[tuple[str, float, float]]:
        """:return: teams over their share, the share, and the rate of it here, in tokens/s"""
        for team in self._corrections:
            yield team, self._shares[team] / self._window_s, self._rates.get(team, 0.0)

    def is_over_share(self, team: str) -> bool:
        """
        Tell whether a team asks for more than its share.

        :param team: name of the team
        :return: whether it does, by the last demand of all routers
        """
        return team in self._corrections


def _over(demands: Mapping[str, float], limits: Mapping[str, float]) -> set[str]:
    return {team for team, demand in demands.items() if demand > limits[team]}


def _bounds(
    teams: Iterable[str], waiting: set[str], served: Mapping[str, float], usual: float
) -> dict[str, float]:
    """Bound what each team may get by the least that another one gets which waits."""
    if not any(served.get(team, 0.0) for team in waiting):
        return dict.fromkeys(teams, float("inf"))
    least_team = min(waiting, key=lambda team: served.get(team, 0.0))
    # Service that is cut off altogether, as by a failed router, does not hold the others back.
    most = max(usual / MOST_CORRECTION, LEAD_RATIO * served.get(least_team, 0.0))
    return {**dict.fromkeys(teams, most), least_team: float("inf")}


__all__ = [
    "DEPTH_COUNT",
    "DEPTH_S",
    "LEAD_RATIO",
    "MOST_CORRECTION",
    "RETURNED_RATIO",
    "Allowances",
]
