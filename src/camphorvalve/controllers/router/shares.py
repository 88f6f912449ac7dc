"""Computes each team's share of the engines' throughput from the demand at all routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.sharing.allowances import Allowances
from camphorvalve.sharing.capacity import CapacityEstimate
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.relief import Tokens, needs_relief
from camphorvalve.sharing.retrydetection import RetryDetector
from camphorvalve.sharing.shares import DemandWindow
from camphorvalve.sharing.silentrouters import SilentOpinions
from camphorvalve.sharing.sources import FAILOVER_S, TotalsSource
from camphorvalve.wire.messages import Asked, AskedTotals, whole_tokens

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from camphorvalve.controllers.runtime import Sender

WINDOW_S = 2.0
"""Sliding window over which demand and service are counted: half of the platform's
``quotaWindowS``. With 4 s, shares followed a change of demand too late."""
TICK_S = 0.5
"""Report interval: a quarter of the window, so that totals lag by only a small part of it."""
AGGREGATORS_COUNT = 2
"""Controllers that sum the demand; two, so that losing one leaves no router without totals."""
CAPACITY_RATIO = 1.6
"""Real throughput of the engines, in estimated tokens, divided by the throughput in the manifest.
It is above 1 because the estimate ignores that prompts with a cached prefix cost less and that
answers end before their maximum length. Engines started 1.5 M tokens/s where the manifest states
0.85 M."""
MIN_ENGINE_PART = 0.5
"""Minimum part of each engine for a router, relative to an even split, however low its demand."""
STARVED_WINDOW_S = 1.0
"""Two report intervals, so that a short spell of refusals is reported once or twice."""
STARVED_RATIO = 0.01
"""Congestion threshold: refused demand of teams within their share, relative to the engines'
throughput. High enough that a single refused prompt does not count as congestion."""
CONGESTED_S = 1.0
"""How long requests over their share are refused; extended while the congestion lasts."""
AGGREGATOR_KEY = "demand"
"""Key by which rendezvous hashing selects the controllers that sum the demand."""
PRESSED_LIFETIME_S = 2.0
"""How long routers count as pressed without a report: four report intervals."""
MAX_LOGGED_AGE_S = 1e6
"""Age that is logged when no totals have been received; JSON has no infinity."""

_log = structlog.get_logger(__name__)


class SharesController:
    """Owns the demand at this router and the allowances computed from the whole fleet's demand."""

    name = "shares"
    tick_s = TICK_S
    accepts = (AskedTotals,)

    def __init__(
        self,
        controller_ids: Callable[[], Iterable[str]],
        routers_count: Callable[[], int],
        tokens_per_s: Callable[[], float | None],
        rng: random.Random,
        is_pressed: Callable[[], bool] = lambda: False,
        on_totals: Callable[[Mapping[str, float], Mapping[str, float], float], None] | None = None,
    ) -> None:
        """
        Start without demand.

        :param controller_ids: ids of the controllers, some of which sum the demand
        :param routers_count: number of live routers; totals that cover too few of them are rejected
        :param tokens_per_s: stated throughput of all engines together, ``None`` if unknown
        :param rng: source of random choices
        :param is_pressed: tells whether this router has too much to do to take more callers
        :param on_totals: called with the demand and the service by team, and the time, when totals
            of the fleet are applied
        """
        self._is_pressed = is_pressed
        self._on_totals = on_totals
        self._pressed_ids: frozenset[str] = frozenset()
        self._controller_ids = controller_ids
        self._routers_count = routers_count
        self._tokens_per_s = tokens_per_s
        self._demand = DemandWindow(WINDOW_S)
        self._refused_at_intake = DemandWindow(WINDOW_S)
        self._served = DemandWindow(WINDOW_S)
        self._starved = DemandWindow(STARVED_WINDOW_S)
        self._retry_detector = RetryDetector()
        self._reported_demands: dict[str, float] = {}
        """Demand by team in this router's last report, which the totals include."""
        self._totals_source = TotalsSource()
        self._silent_opinions = SilentOpinions()
        self._needs_relief = False
        self._capacity = CapacityEstimate()
        self._allowances = Allowances(WINDOW_S, rng)
        self._engine_part = 1.0
        self._congested_until_s = float("-inf")
        self._teams_over_share: set[str] = set()

    def detect_retry(self, kind: str, caller_timeout_s: float | None, now_s: float) -> bool:
        """
        Record a request and decide whether its caller was refused before.

        :param kind: kind of the request
        :param caller_timeout_s: time left until the caller's deadline, ``None`` if it set none
        :param now_s: monotonic time
        :return: whether the request is a retry after a refusal
        """
        return self._retry_detector.detect_retry(kind, caller_timeout_s, now_s)

    def longest_timeout_s(self, kind: str) -> float | None:
        """
        Return the longest time that callers recently allowed for a kind of requests.

        :param kind: the kind
        :return: the time, ``None`` if none was set
        """
        return self._retry_detector.longest_s(kind)

    def admit_kept(self, team: str, tokens: float, now_s: float) -> bool:
        """
        Count a return for which room was kept, and decide whether it is within its team's share.

        :param team: name of the team
        :param tokens: cost of the request
        :param now_s: monotonic time
        :return: whether it is
        """
        self._demand.add(team, tokens, now_s)
        return self._allowances.admit_kept(team, tokens, now_s)

    def within_share(
        self, team: str, tokens: float, now_s: float, *, is_retry: bool = False
    ) -> bool:
        """
        Count a request and decide whether it is within its team's share.

        :param team: name of the team
        :param tokens: cost of the request
        :param now_s: monotonic time
        :param is_retry: whether its caller retries after a refusal
        :return: whether the request is within the share
        """
        self._demand.add(team, tokens, now_s)
        return self._allowances.allows(team, tokens, now_s, is_retry=is_retry)

    def record_refused_at_intake(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count the demand of a request that was refused before its share was checked.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        self._demand.add(team, tokens, now_s)
        self._refused_at_intake.add(team, tokens, now_s)

    def record_served(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count a request whose answer has started.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        self._served.add(team, tokens, now_s)

    def record_starved(self, team: str, tokens: float, now_s: float) -> None:
        """
        Count a request that was refused although it was within its team's share.

        :param team: name of the team
        :param tokens: its cost
        :param now_s: monotonic time
        """
        self._starved.add(team, tokens, now_s)

    def must_refuse_over_share(self, team: str, now_s: float) -> bool:
        """
        Decide whether a team's requests over its share have to be refused.

        :param team: name of the team
        :param now_s: monotonic time
        :return: whether the team as a whole is over its share, or teams within their share are
            being refused anywhere in the fleet
        """
        return now_s < self._congested_until_s or self._allowances.is_over_share(team)

    def totals_age_s(self, now_s: float) -> float:
        """
        Return the age of the fleet's demand totals.

        :param now_s: monotonic time
        :return: time since the last totals were received, infinite if there were none
        """
        return self._totals_source.age_s(now_s)

    def reports_count(self) -> int:
        """:return: number of routers whose demand is in the latest totals"""
        return self._totals_source.reports_count

    def pressed_ids(self, now_s: float) -> frozenset[str]:
        """
        Return the routers that have too much to do to take more callers.

        :param now_s: monotonic time
        :return: ids of routers, none once the totals are older than ``PRESSED_LIFETIME_S``
        """
        is_recent = self.totals_age_s(now_s) <= PRESSED_LIFETIME_S
        return self._pressed_ids if is_recent else frozenset()

    def needs_relief(self, now_s: float) -> bool:
        """
        Tell whether this router turns away work that the rest of the fleet would serve.

        :param now_s: monotonic time
        :return: whether it did by the latest totals; not without recent ones
        """
        return self._needs_relief and self.totals_age_s(now_s) <= FAILOVER_S

    def silent_ids(self, now_s: float) -> frozenset[str]:
        """
        Return the routers that have stopped reporting.

        :param now_s: monotonic time
        :return: ids of routers that callers must not be sent to
        """
        return self._silent_opinions.ids(now_s)

    def engine_part(self) -> float:
        """
        Return the part of each engine that this router may use.

        The part follows the demand, as all callers of a team may use the same router and an even
        split would starve them.

        :return: above 0, at most 1; an even split while there is no demand
        """
        return self._engine_part

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Apply totals of the fleet's demand, unless those of another controller are preferred.

        :param sender: the controller that summed the demand
        :param message: ``AskedTotals``
        :param now_s: monotonic time
        :return: nothing
        """
        self._silent_opinions.record(sender.host_id, message.silent_ids, now_s)
        reports_count, routers_count = message.reports_count, self._routers_count()
        if not self._totals_source.accepts(sender.host_id, reports_count, routers_count, now_s):
            return
        self._pressed_ids = frozenset(message.pressed_ids)
        demands = {entry.team: entry.tokens for entry in message.entries}
        served = {entry.team: entry.served_tokens for entry in message.entries}
        starved = {entry.team: entry.starved_tokens for entry in message.entries}
        self._update_capacity(demands, served, starved, now_s)
        self._set_allowances(demands, self._reported_demands, served, now_s)
        self._update_relief(demands, starved, now_s)
        if self._on_totals is not None:
            self._on_totals(demands, served, now_s)
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Report the demand at this router.

        :param now_s: monotonic time
        :return: the report to each controller that sums the demand
        """
        local_demands = self._reported_demands = self._demand.estimate(now_s)
        served = self._served.totals(now_s)
        starved = self._starved.totals(now_s)
        if not self._totals_source.is_current(now_s):
            # The demand at other routers is unknown and must not be extrapolated from the local
            # demand: all callers of a team may use this router.
            self._update_capacity(local_demands, served, starved, now_s)
            self._set_allowances(local_demands, local_demands, served, now_s)
            self._engine_part = 1.0 / max(1, self._routers_count())
        elif self.totals_age_s(now_s) > FAILOVER_S:
            self._allowances.raise_to_even_rates(self._routers_count(), now_s)
        entries = tuple(
            whole_tokens(team, tokens, served.get(team, 0.0), starved.get(team, 0.0))
            for team, tokens in local_demands.items()
        )
        for aggregator in ranked(AGGREGATOR_KEY, self._controller_ids())[:AGGREGATORS_COUNT]:
            yield Outgoing(aggregator, Asked(entries, self._is_pressed()))

    def _update_relief(
        self, demands: dict[str, float], starved: dict[str, float], now_s: float
    ) -> None:
        here = Tokens(
            sum(self._reported_demands.values()) / WINDOW_S,
            sum(self._starved.totals(now_s).values()) / STARVED_WINDOW_S,
        )
        fleet = Tokens(sum(demands.values()) / WINDOW_S, sum(starved.values()) / STARVED_WINDOW_S)
        before = self._needs_relief
        self._needs_relief = needs_relief(here, fleet, self._routers_count())
        if self._needs_relief and not before:
            _log.info(
                "callers are sent to other routers",
                starved_here_per_s=round(here.starved_per_s),
                asked_here_per_s=round(here.asked_per_s),
                starved_per_s=round(fleet.starved_per_s),
                asked_per_s=round(fleet.asked_per_s),
                reports_count=self._totals_source.reports_count,
            )

    def _update_capacity(
        self,
        demands: dict[str, float],
        served: dict[str, float],
        starved: dict[str, float],
        now_s: float,
    ) -> None:
        tokens_per_s = self._tokens_per_s()
        if tokens_per_s is None:
            return
        teams_within_share = demands.keys() - {team for team, _, _ in self._allowances.over_share()}
        starved_per_s = (
            sum(starved.get(team, 0.0) for team in teams_within_share) / STARVED_WINDOW_S
        )
        served_per_s = sum(served.values()) / WINDOW_S
        self._capacity.update(
            sum(demands[team] for team in teams_within_share) / WINDOW_S,
            starved_per_s,
            served_per_s / (CAPACITY_RATIO * tokens_per_s),
            has_excess_demand=len(teams_within_share) < len(demands),
        )
        if not self._capacity.is_overloaded or starved_per_s <= STARVED_RATIO * tokens_per_s:
            return
        if now_s >= self._congested_until_s:
            _log.info("shares are enforced strictly", starved_per_s=round(starved_per_s))
        self._congested_until_s = now_s + CONGESTED_S

    def _set_allowances(
        self,
        demands: dict[str, float],
        local_demands: dict[str, float],
        served: dict[str, float],
        now_s: float,
    ) -> None:
        tokens_per_s = self._tokens_per_s()
        if tokens_per_s is None:
            return
        nominal_tokens = CAPACITY_RATIO * tokens_per_s * WINDOW_S
        capacity = self._capacity.ratio * nominal_tokens
        self._allowances.set_shares(
            demands, local_demands, capacity, served, now_s, usual_capacity=nominal_tokens
        )
        min_part = MIN_ENGINE_PART / max(1, self._routers_count())
        self._engine_part = max(
            min_part, self._allowances.demand_part(local_demands, demands) or 2 * min_part
        )
        self._log_over_share(demands, local_demands, served, now_s)

    def _log_over_share(
        self,
        demands: dict[str, float],
        local_demands: dict[str, float],
        served: dict[str, float],
        now_s: float,
    ) -> None:
        over_share = list(self._allowances.over_share())
        refused_at_intake = self._refused_at_intake.totals(now_s)
        if not over_share and not self._teams_over_share and not refused_at_intake:
            return
        self._teams_over_share = {team for team, _, _ in over_share}
        _log.info(
            "teams over their share",
            asked_per_s=round(sum(demands.values()) / WINDOW_S),
            capacity_ratio=round(self._capacity.ratio, 3),
            engine_part=round(self._engine_part, 3),
            totals_age_s=round(min(MAX_LOGGED_AGE_S, self.totals_age_s(now_s)), 3),
            reports_count=self._totals_source.reports_count,
            turned_away_per_s={
                team: round(tokens / WINDOW_S) for team, tokens in sorted(refused_at_intake.items())
            },
            teams={
                team: {
                    "asked_per_s": round(demands[team] / WINDOW_S),
                    "asked_here_per_s": round(local_demands.get(team, 0.0) / WINDOW_S),
                    "served_per_s": round(served.get(team, 0.0) / WINDOW_S),
                    "share_per_s": round(share_per_s),
                    "allowed_here_per_s": round(here_per_s),
                }
                for team, share_per_s, here_per_s in sorted(over_share)
            },
        )


__all__ = ["MAX_LOGGED_AGE_S", "WINDOW_S", "SharesController"]
