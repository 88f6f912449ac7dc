"""Token buckets that decide which requests of each team at one router are within its share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from camphorvalve.sharing.shares import max_min_level, max_min_shares, new_team_share

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator, Mapping

BURST_S = 1.0
"""Burst size of a team, as a time at its rate: two reports of the demand, after which the rate of
the team at this router has adapted."""
BURST_COUNT = 2
"""Minimum burst size of a team within its share, in requests of the largest size seen: with 67
routers, the rate at one of them is about one request a second, and requests arrive unevenly."""
OVER_SHARE_BURST_COUNT = 1
"""The same for a team over its share, for which larger bursts at many routers would exceed the
share for long, as the rates at single routers are small."""
RESERVED_RATIO = 0.5
"""Part of the burst size that is reserved for first attempts."""
MAX_DEBT_RATIO = 2.0
"""Part of the burst size that returns for which room was kept may take in advance: half of the time
over which the platform measures shares."""
MAX_CORRECTION = 1.4
"""Maximum factor by which the share of a team is corrected, up or down. Two teams with equal demand
then differ by less than the factor of 2 at which the platform's fairness rule is broken, even if
the measured service is wrong."""
CORRECTION_EXPONENT = 0.1
"""Part of a difference in service, as a logarithm, that is corrected at each report. Service is
counted over four reports, so that faster corrections overshoot."""
MAX_LEAD_RATIO = 1.5
"""Maximum share of a team, as a multiple of the service of the least served other team over its
share; the platform's fairness rule is broken at 2."""
MIN_BOUND_RATIO = 0.25
"""Lower limit of that share, as a part of the usual max-min level: a team without any service, as
after the failure of a router, must not stop the others."""
MIN_SERVED_RATIO = 0.01
"""Minimum service of a team in the calculation of its correction, as a part of all service, so that
the correction is finite."""


@dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one team; ``tokens`` is negative after a request of more than was left."""

    tokens: float
    rate_per_s: float
    refilled_s: float
    largest_request_tokens: float
    burst_count: int

    def burst_tokens(self) -> float:
        return max(BURST_S * self.rate_per_s, self.burst_count * self.largest_request_tokens)

    def refill(self, now_s: float) -> None:
        grown = self.tokens + self.rate_per_s * (now_s - self.refilled_s)
        self.tokens, self.refilled_s = min(self.burst_tokens(), grown), now_s


class Allowances:
    """
    Rate limits of all teams at this router; requests that exceed them are over the team's share.

    A team's share is divided among the routers in proportion to its demand there. The rate does not
    depend on the current demand, so that it stays the same if demand changes between two reports.
    """

    def __init__(self, window_s: float, rng: random.Random) -> None:
        """
        Start without shares; until they are known, every request is within them.

        :param window_s: length of the window in which demand and service are counted
        :param rng: source of random choices
        """
        self._window_s = window_s
        self._rng = rng
        self._buckets: dict[str, _TokenBucket] = {}
        self._rates: dict[str, float] = {}
        self._new_team_per_s: float | None = None
        self._shares: dict[str, float] = {}
        self._corrections: dict[str, float] = {}

    def set_shares(
        self,
        demands: Mapping[str, float],
        own_demands: Mapping[str, float],
        capacity: float,
        served: Mapping[str, float],
        now_s: float,
        *,
        usual_capacity: float | None = None,
    ) -> None:
        """
        Calculate the rate of each team.

        All teams over their share are to get the same service. A team that gets less than the
        others, because its callers connect to a busy router or its prompts go to busy engines, has
        its rate raised; the others are limited to ``MAX_LEAD_RATIO`` times the least service.

        :param demands: tokens by team in the window, at all routers
        :param own_demands: the part of these tokens at this router
        :param capacity: tokens in the window to divide
        :param served: tokens by team in the window that were served, at all routers
        :param now_s: monotonic time
        :param usual_capacity: the usual capacity, ``capacity`` by default
        """
        fair_shares = max_min_shares(demands, capacity)
        over = _teams_over(demands, fair_shares)
        bounds = _service_bounds(
            demands, over, served, max_min_level(demands, usual_capacity or capacity)
        )
        self._correct(over | _teams_over(demands, bounds), served)
        self._shares = {
            team: min(bounds[team], tokens * self._corrections.get(team, 1.0))
            for team, tokens in fair_shares.items()
        }
        self._new_team_per_s = new_team_share(demands, capacity) / self._window_s
        self._set_rates(
            {
                team: self._shares[team] * own_demands.get(team, 0.0) / demand / self._window_s
                for team, demand in demands.items()
                if demand > 0
            },
            now_s,
        )

    def raise_to_even_rates(self, routers_count: int, now_s: float) -> None:
        """
        Raise the rates of teams within their shares to an even part, while it is unknown where
        teams ask.

        Those of teams over their shares stay as they are: together they would exceed the shares.

        :param routers_count: number of routers
        :param now_s: monotonic time
        """
        even_rates = {
            team: share / self._window_s / max(1, routers_count)
            for team, share in self._shares.items()
            if not self.is_over_share(team)
        }
        raised = {team: max(self._rates.get(team, 0.0), rate) for team, rate in even_rates.items()}
        self._set_rates({**self._rates, **raised}, now_s)

    def _set_rates(self, rates: dict[str, float], now_s: float) -> None:
        self._rates = rates
        self._buckets = {team: bucket for team, bucket in self._buckets.items() if team in rates}
        for team, bucket in self._buckets.items():
            bucket.refill(now_s)
            bucket.rate_per_s = rates[team]
            burst_count = self._burst_count(team)
            if burst_count < bucket.burst_count:
                bucket.tokens = min(bucket.tokens, self._initial_tokens(team, bucket))
            bucket.burst_count = burst_count

    def _correct(self, over: set[str], served: Mapping[str, float]) -> None:
        total = sum(served.get(team, 0.0) for team in over)
        corrections = {team: self._corrections.get(team, 1.0) for team in over}
        for team in over if total > 0 else ():
            scaled_served = max(served.get(team, 0.0), MIN_SERVED_RATIO * total) * len(over)
            correction = corrections[team] * (total / scaled_served) ** CORRECTION_EXPONENT
            corrections[team] = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, correction))
        self._corrections = corrections

    def allows(self, team: str, tokens: float, now_s: float, *, is_retry: bool = False) -> bool:
        """
        Decide whether a request is within its team's share, and if so deduct its cost.

        :param team: name of the team
        :param tokens: cost of the request
        :param now_s: monotonic time
        :param is_retry: whether its caller retries after a refusal
        :return: whether the request is within the share
        """
        if self._new_team_per_s is None:
            return True
        bucket = self._buckets.get(team) or self._new_bucket(team, tokens, now_s)
        bucket.largest_request_tokens = max(bucket.largest_request_tokens, tokens)
        bucket.refill(now_s)
        # A first attempt needs half of its cost: what passes then differs from the rate by at most
        # half a request, regardless of its size.
        required_tokens = (
            max(tokens, RESERVED_RATIO * bucket.burst_tokens()) if is_retry else tokens / 2
        )
        if bucket.tokens < required_tokens:
            return False
        bucket.tokens -= tokens
        return True

    def admit_kept(self, team: str, tokens: float, now_s: float) -> bool:
        """
        Decide whether a request for which room was kept is within its team's share.

        It may be paid by what first attempts get later, so that they don't take its room.

        :param team: name of the team
        :param tokens: cost of the request
        :param now_s: monotonic time
        :return: whether it is; if so its cost is deducted
        """
        if self._new_team_per_s is None:
            return True
        bucket = self._buckets.get(team) or self._new_bucket(team, tokens, now_s)
        bucket.largest_request_tokens = max(bucket.largest_request_tokens, tokens)
        bucket.refill(now_s)
        if bucket.tokens - tokens < -MAX_DEBT_RATIO * bucket.burst_tokens():
            return False
        bucket.tokens -= tokens
        return True

    def _new_bucket(self, team: str, tokens: float, now_s: float) -> _TokenBucket:
        # A team that is not in the totals yet may have all its callers at this router.
        rate_per_s = self._rates.get(team, self._new_team_per_s)
        bucket = _TokenBucket(0.0, rate_per_s, now_s, tokens, self._burst_count(team))
        bucket.tokens = self._initial_tokens(team, bucket)
        self._buckets[team] = bucket
        return bucket

    def _initial_tokens(self, team: str, bucket: _TokenBucket) -> float:
        if not self.is_over_share(team):
            return bucket.burst_tokens()
        # If the buckets were full at many routers, all of these would let the team's next request
        # pass, which together exceeds its share for several seconds.
        return self._rng.random() * OVER_SHARE_BURST_COUNT * bucket.largest_request_tokens

    def _burst_count(self, team: str) -> int:
        return OVER_SHARE_BURST_COUNT if self.is_over_share(team) else BURST_COUNT

    def demand_part(
        self, own_demands: Mapping[str, float], demands: Mapping[str, float]
    ) -> float | None:
        """
        Calculate the part of the fleet's demand within shares that arrives at one router.

        :param own_demands: tokens by team at the router
        :param demands: tokens by team at all routers
        :return: 0 to 1, ``None`` without demand
        """
        within = {
            team: min(1.0, self._shares.get(team, demand) / demand)
            for team, demand in demands.items()
            if demand > 0
        }
        total = sum(part * demands[team] for team, part in within.items())
        here_total = sum(part * own_demands.get(team, 0.0) for team, part in within.items())
        return min(1.0, here_total / total) if total > 0 else None

    def over_share(self) -> Iterator[tuple[str, float, float]]:
        """:return: teams over their share, with their share and their rate here in tokens/s"""
        for team in self._corrections:
            yield team, self._shares[team] / self._window_s, self._rates.get(team, 0.0)

    def is_over_share(self, team: str) -> bool:
        """
        Tell whether a team's demand exceeds its share.

        :param team: name of the team
        :return: whether it does by the latest totals of all routers
        """
        return team in self._corrections


def _teams_over(demands: Mapping[str, float], limits: Mapping[str, float]) -> set[str]:
    return {team for team, demand in demands.items() if demand > limits[team]}


def _service_bounds(
    teams: Iterable[str], over: set[str], served: Mapping[str, float], usual_level: float
) -> dict[str, float]:
    """Limit the service of each team by that of the least served team over its share."""
    if not any(served.get(team, 0.0) for team in over):
        return dict.fromkeys(teams, float("inf"))
    least_team = min(over, key=lambda team: served.get(team, 0.0))
    maximum = max(MIN_BOUND_RATIO * usual_level, MAX_LEAD_RATIO * served.get(least_team, 0.0))
    return {**dict.fromkeys(teams, maximum), least_team: float("inf")}


__all__ = [
    "BURST_COUNT",
    "BURST_S",
    "MAX_CORRECTION",
    "MAX_DEBT_RATIO",
    "MAX_LEAD_RATIO",
    "RESERVED_RATIO",
    "Allowances",
]
