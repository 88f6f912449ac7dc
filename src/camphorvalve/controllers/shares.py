"""Each team's share of what the engines can work off, from the demand at all routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.sharing.allowances import Allowances
from camphorvalve.sharing.capacity import CapacityEstimate
from camphorvalve.sharing.patience import Patience
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.shares import Demand
from camphorvalve.sharing.sources import TotalsSource
from camphorvalve.wire.messages import Asked, AskedTotals, TeamTokens

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from camphorvalve.controllers.runtime import Sender

WINDOW_S = 2.0
"""Span over which demand and service are counted: half of the platform's ``quotaWindowS``. With
4 s, shares followed a changed demand too late."""
TICK_S = 0.5
"""A quarter of the window, so that totals lag by little of it."""
AGGREGATORS_COUNT = 2
"""Controllers that sum the demand, so that the loss of one leaves no router without sums."""
CAPACITY_RATIO = 1.6
"""What the engines work off, by the cost that is estimated here, in terms of what the manifest
states: prompts whose beginning they hold cost less, and answers end before their longest length.
They began 1.5 M tokens/s where the manifest states 0.85 M (scale-1)."""
LEAST_PART = 0.5
"""Part of an even share that a router may use however little came in there lately."""
STARVED_WINDOW_S = 1.0
"""Two reports, so that refusals of one moment are seen once or twice."""
STARVED_RATIO = 0.01
"""Part of the engines' tokens whose refusal counts as congestion, of teams within their share; a
single prompt does not."""
CONGESTED_S = 1.0
"""How long requests beyond shares stand back; renewed while others are refused."""
AGGREGATOR_KEY = "demand"
LONGEST_AGE_S = 1e6
"""Age in log lines of totals that were never heard; JSON has no infinity."""

_log = structlog.get_logger(__name__)


class SharesController:
    """Owns the demand at this router and the allowances that follow from the fleet's."""

    name = "shares"
    tick_s = TICK_S
    accepts = (AskedTotals,)

    def __init__(
        self,
        controller_ids: Callable[[], Iterable[str]],
        routers_count: Callable[[], int],
        tokens_per_s: Callable[[], float | None],
        rng: random.Random,
    ) -> None:
        """
        Start without demand.

        :param controller_ids: controllers, some of which sum the demand
        :param routers_count: live routers, of which the sums have to cover a good part
        :param tokens_per_s: what all engines together work off, ``None`` if not known
        :param rng: source of random choices
        """
        self._controller_ids = controller_ids
        self._routers_count = routers_count
        self._tokens_per_s = tokens_per_s
        self._demand = Demand(WINDOW_S)
        self._turned_away = Demand(WINDOW_S)
        self._served = Demand(WINDOW_S)
        self._starved = Demand(STARVED_WINDOW_S)
        self._patience = Patience()
        self._reported: dict[str, float] = {}
        """Demand at this router that the totals hold."""
        self._source = TotalsSource()
        self._capacity = CapacityEstimate()
        self._allowances = Allowances(WINDOW_S, rng)
        self._weight = 1.0
        self._congested_until_s = float("-inf")
        self._over_share: set[str] = set()

    def came_back(self, kind: str, patience_s: float | None, now_s: float) -> bool:
        """
        Note a caller, and tell whether it was refused before.

        :param kind: kind of the request
        :param patience_s: how long the caller still waits, ``None`` if it did not say
        :param now_s: monotonic time
        :return: whether it came back
        """
        return self._patience.came_back(kind, patience_s, now_s)

    def within_share(
        self, team: str, tokens: float, now_s: float, *, came_back: bool = False
    ) -> bool:
        """
        Count a request and decide whether it is within its team's share.

        :param team: name of the team
        :param tokens: cost of the request
        :param now_s: monotonic time
        :param came_back: whether its caller was refused before
        :return: whether it is
        """
        self._demand.add(team, tokens, now_s)
        return self._allowances.takes(team, tokens, now_s, came_back=came_back)

    def turn_away(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count the demand of a request that was refused before its share was asked for.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        self._demand.add(team, tokens, now_s)
        self._turned_away.add(team, tokens, now_s)

    def serve(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count a request whose answer has begun.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        self._served.add(team, tokens, now_s)

    def starve(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count a request that was refused although it was within its team's share.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        self._starved.add(team, tokens, now_s)

    def stands_back(self, team: str, now_s: float) -> bool:
        """
        Tell whether a team's requests beyond its share have to stand back.

        :param team: name of the team
        :param now_s: monotonic time
        :return: whether the team asks for more than its share, or teams that do not are refused
            anywhere in the fleet
        """
        return now_s < self._congested_until_s or self._allowances.is_over_share(team)

    def totals_age_s(self, now_s: float) -> float:
        """
        Tell how old the fleet's demand is.

        :param now_s: monotonic time
        :return: time since it was heard, infinite before the first time
        """
        return self._source.age_s(now_s)

    def reports_count(self) -> int:
        """:return: routers whose demand is in the totals that were heard last"""
        return self._source.reports_count

    def weight(self) -> float:
        """
        Tell which part of each engine this router may use.

        A team's callers may all come to one router, so that an even part would starve them.

        :return: above 0, at most 1; even parts while nothing is asked for
        """
        return self._weight

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Take the fleet's demand, unless better sums are in force.

        :param sender: a controller that sums it
        :param message: ``AskedTotals``
        :param now_s: monotonic time
        :return: nothing
        """
        reports_count, routers_count = message.reports_count, self._routers_count()
        if not self._source.accepts(sender.host_id, reports_count, routers_count, now_s):
            return
        demands = {entry.team: entry.tokens for entry in message.entries}
        served = {entry.team: entry.served_tokens for entry in message.entries}
        starved = {entry.team: entry.starved_tokens for entry in message.entries}
        self._learn_capacity(demands, served, starved, now_s)
        self._set_allowances(demands, self._reported, served, now_s)
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Report the demand at this router.

        :param now_s: monotonic time
        :return: the report
        """
        own = self._reported = self._demand.estimate(now_s)
        served = self._served.totals(now_s)
        starved = self._starved.totals(now_s)
        if not self._source.is_held(now_s):
            # The demand of other routers is not known, and must not be guessed from the own one:
            # all callers of a team may come to this router.
            self._learn_capacity(own, served, starved, now_s)
            self._set_allowances(own, own, served, now_s)
        entries = tuple(
            TeamTokens(team, tokens, served.get(team, 0.0), starved.get(team, 0.0))
            for team, tokens in own.items()
        )
        for aggregator in ranked(AGGREGATOR_KEY, self._controller_ids())[:AGGREGATORS_COUNT]:
            yield Outgoing(aggregator, Asked(entries))

    def _learn_capacity(
        self,
        demands: dict[str, float],
        served: dict[str, float],
        starved: dict[str, float],
        now_s: float,
    ) -> None:
        tokens_per_s = self._tokens_per_s()
        if tokens_per_s is None:
            return
        within = demands.keys() - {team for team, _, _ in self._allowances.over_share()}
        starved_per_s = sum(starved.get(team, 0.0) for team in within) / STARVED_WINDOW_S
        served_per_s = sum(served.values()) / WINDOW_S
        self._capacity.learn(
            sum(demands[team] for team in within) / WINDOW_S,
            starved_per_s,
            served_per_s / (CAPACITY_RATIO * tokens_per_s),
            is_wanted=len(within) < len(demands),
        )
        if not self._capacity.is_exceeded or starved_per_s <= STARVED_RATIO * tokens_per_s:
            return
        if now_s >= self._congested_until_s:
            _log.info("shares are enforced strictly", starved_per_s=round(starved_per_s))
        self._congested_until_s = now_s + CONGESTED_S

    def _set_allowances(
        self,
        demands: dict[str, float],
        own: dict[str, float],
        served: dict[str, float],
        now_s: float,
    ) -> None:
        tokens_per_s = self._tokens_per_s()
        if tokens_per_s is None:
            return
        usual = CAPACITY_RATIO * tokens_per_s * WINDOW_S
        capacity = self._capacity.ratio * usual
        self._allowances.set_shares(demands, own, capacity, served, now_s, usual_capacity=usual)
        least = LEAST_PART / max(1, self._routers_count())
        self._weight = max(least, self._allowances.weight(own, demands) or 2 * least)
        self._log_over_share(demands, own, served, now_s)

    def _log_over_share(
        self,
        demands: dict[str, float],
        own: dict[str, float],
        served: dict[str, float],
        now_s: float,
    ) -> None:
        over_share = list(self._allowances.over_share())
        turned_away = self._turned_away.totals(now_s)
        if not over_share and not self._over_share and not turned_away:
            return
        self._over_share = {team for team, _, _ in over_share}
        _log.info(
            "teams over their share",
            asked_per_s=round(sum(demands.values()) / WINDOW_S),
            capacity_ratio=round(self._capacity.ratio, 3),
            engine_part=round(self._weight, 3),
            totals_age_s=round(min(LONGEST_AGE_S, self.totals_age_s(now_s)), 3),
            reports_count=self._source.reports_count,
            turned_away_per_s={
                team: round(tokens / WINDOW_S) for team, tokens in sorted(turned_away.items())
            },
            teams={
                team: {
                    "asked_per_s": round(demands[team] / WINDOW_S),
                    "asked_here_per_s": round(own.get(team, 0.0) / WINDOW_S),
                    "served_per_s": round(served.get(team, 0.0) / WINDOW_S),
                    "share_per_s": round(share_per_s),
                    "allowed_here_per_s": round(here_per_s),
                }
                for team, share_per_s, here_per_s in sorted(over_share)
            },
        )


__all__ = ["WINDOW_S", "SharesController"]
