"""Reports of a router for operators: its status, one request, one team, and burn rates."""

from __future__ import annotations

import time
from itertools import islice
from typing import TYPE_CHECKING, Any, TypedDict

from camphorvalve.reports.traces import open_request_body
from camphorvalve.sharing.ledger import TeamKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.router.demand import DemandController
    from camphorvalve.controllers.router.following import ConfigurationFollower
    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.controllers.runtime import Runtime
    from camphorvalve.filters.observe import ObserveFilter
    from camphorvalve.model.requests import Exchange
    from camphorvalve.reports.burn import BurnTracker
    from camphorvalve.reports.outcomes import Finished
    from camphorvalve.reports.traces import TraceStore
    from camphorvalve.sharing.scheduler import Scheduler

OLDEST_OPEN_COUNT = 8
"""Number of requests that a team's report lists, oldest first, of those that have not ended. Their
ids can be used to look up the requests themselves."""


class PoolShare(TypedDict):
    """Service that one team gets in one pool, as known to this router."""

    pool: str
    waiting_here_count: int
    oldest_wait_s: float
    served_here_units: float
    """Units served by upstreams while this router scheduled them."""
    served_fleet_units: float
    virtual_service: float
    """Service divided by the team's share; this router ranks teams by it."""
    schedulers_count: int
    waits_at_scheduler: bool
    """Whether the team waits for an upstream that this router schedules."""
    least_virtual: float | None
    """Least value among the teams that wait for an upstream that this router schedules."""
    greatest_virtual: float | None
    """Greatest value among the same teams."""
    pool_rate: float
    """Units per second of the whole pool, as estimated here; zero before anything has run."""
    debt_s: float | None
    """Service by which the team lags behind the one with the greatest virtual service, in seconds
    of the pool's rate."""


class RouterReport:
    """Backend of a router's operator port."""

    def __init__(
        self,
        host_id: str,
        membership: MembershipController,
        following: ConfigurationFollower,
        demand: DemandController,
        scheduler: Scheduler,
        runtime: Runtime,
        burn: BurnTracker,
        traces: TraceStore,
        observe: ObserveFilter,
    ) -> None:
        """
        Create the report.

        :param host_id: id of this router
        :param membership: view of the deployment's members
        :param following: source of the configuration in force
        :param demand: waiting and running requests
        :param scheduler: scheduler of this router's upstreams
        :param runtime: source of the message counts
        :param burn: burn rates
        :param traces: traces of requests
        :param observe: filter that tracks the requests that have not ended
        """
        self._host_id = host_id
        self._membership = membership
        self._following = following
        self._demand = demand
        self._scheduler = scheduler
        self._runtime = runtime
        self._burn = burn
        self._traces = traces
        self._observe = observe

    def status(self) -> dict[str, Any]:
        """:return: configuration revision, load, peers and traffic of this router"""
        now_s = time.monotonic()
        configuration_ages_s = {
            controller_id: round(now_s - heard_s, 1)
            for controller_id, heard_s in self._following.heard_s.items()
        }
        return {
            "host_id": self._host_id,
            "role": "router",
            "revision": self._following.configuration.revision,
            "leaving": self._membership.leaving,
            "waiting_count": self._demand.backlog.total.count,
            "running_count": self._demand.running_count(),
            "granted_count": self._scheduler.running_count(),
            "schedules": self._scheduler.upstream_ids(),
            "live_routers": [host.host_id for host in self._membership.live_routers()],
            "configuration_heard_s": configuration_ages_s,
            "traffic": self._runtime.link.traffic()._asdict(),
            "processor_s": round(time.process_time(), 3),
        }

    def explain_request(self, request_id: str) -> Any | None:
        """
        Look up the trace of a request, finished or not.

        :param request_id: id of the request
        :return: its state or outcome, with decisions and attempts; ``None`` if it is not known
        """
        exchange = self._observe.find(request_id)
        if exchange is None:
            return self._traces.find_trace(request_id)
        return open_request_body(exchange, self._ahead_count(exchange), time.monotonic())

    def explain_team(self, name: str) -> Any | None:
        """
        Report the service that a team gets, and what determines it.

        :param name: name of the team
        :return: share, service by pool, oldest requests and limits hit; ``None`` if it is not known
        """
        parameters = self._following.configuration.parameters(name)
        if parameters is None:
            return None
        pools = sorted({kind.pool for kind in parameters.kinds.values()})
        return {
            "team": name,
            "router": self._host_id,
            "share": parameters.share,
            "pools": [self._pool_share(TeamKey(pool, name)) for pool in pools],
            "oldest_open": [
                {"request_id": exchange.request.request_id, "state": exchange.stage.value}
                for exchange in islice(self._observe.of_team(name), OLDEST_OPEN_COUNT)
            ],
            **self._traces.team_outcomes(name),
        }

    def burn(self) -> Any:
        """:return: burn rates by team and kind"""
        return self._burn.report(time.monotonic())

    def recorders(self) -> list[Callable[[Finished], None]]:
        """:return: functions to call with each finished request"""
        return [self._traces.record, self._burn.record]

    def _ahead_count(self, exchange: Exchange) -> int:
        if exchange.team is None or exchange.parameters is None:
            return 0
        key = TeamKey(exchange.parameters.pool, exchange.team.name)
        urgency = exchange.parameters.urgency
        return sum(
            (waiting.urgency, -waiting.arrived_s) > (urgency, -exchange.received_s)
            for waiting in self._demand.backlog.waiting(key)
        )

    def _pool_share(self, key: TeamKey) -> PoolShare:
        waiting = self._demand.backlog.waiting(key)
        ledger = self._scheduler.ledger
        account = ledger.account(key)
        return {
            "pool": key.pool,
            "waiting_here_count": len(waiting),
            "oldest_wait_s": round(time.monotonic() - waiting[0].arrived_s, 3) if waiting else 0.0,
            "served_here_units": round(account.own_units, 1),
            "served_fleet_units": round(max(account.total_units, account.own_units), 1),
            "virtual_service": round(ledger.virtual(key), 1),
            "schedulers_count": account.schedulers_count,
            "waits_at_scheduler": account.waiting,
            **self._pool_comparison(key),
        }

    def _pool_comparison(self, key: TeamKey) -> dict[str, float | None]:
        ledger = self._scheduler.ledger
        waiting_virtual = [ledger.virtual(other) for other in ledger.waiting(key.pool)]
        rate = self._scheduler.pool_rate(key.pool)
        debt_s = None
        if waiting_virtual and rate > 0:
            virtual_lag = max(0.0, max(waiting_virtual) - ledger.virtual(key))
            debt_s = round(virtual_lag * ledger.account(key).share / rate, 3)
        return {
            "least_virtual": round(min(waiting_virtual), 1) if waiting_virtual else None,
            "greatest_virtual": round(max(waiting_virtual), 1) if waiting_virtual else None,
            "pool_rate": round(rate, 1),
            "debt_s": debt_s,
        }


__all__ = ["PoolShare", "RouterReport"]
