"""What a router tells operators: its status, one request, one team, the burn report."""

from __future__ import annotations

import time
from itertools import islice
from typing import TYPE_CHECKING, Any, TypedDict

from camphorvalve.reports.decisions import open_body
from camphorvalve.sharing.ledger import TeamKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.demand import DemandController
    from camphorvalve.controllers.following import ConfigurationFollower
    from camphorvalve.controllers.membership import MembershipController
    from camphorvalve.controllers.runtime import Runtime
    from camphorvalve.filters.observe import ObserveFilter
    from camphorvalve.model.requests import Exchange
    from camphorvalve.reports.burn import Burn
    from camphorvalve.reports.decisions import Decisions
    from camphorvalve.reports.outcomes import Finished
    from camphorvalve.sharing.scheduler import Scheduler

OLDEST_COUNT = 8
"""Open requests that the answer on a team names, for a look at one of them."""


class PoolShare(TypedDict):
    """What one team gets in one pool, as this router knows it."""

    pool: str
    waiting_here_count: int
    oldest_wait_s: float
    served_here_units: float
    """Service that this router has given as a scheduler."""
    served_fleet_units: float
    virtual_service: float
    """Service per share, by which this router ranks the team."""
    schedulers_count: int
    waits_at_scheduler: bool
    """Whether the team waits for an upstream that this router schedules."""
    least_virtual: float | None
    """Of the teams that wait for an upstream that this router schedules."""
    greatest_virtual: float | None
    pool_rate: float
    """Units per second of the whole pool, estimated here; zero before anything has run."""
    debt_s: float | None
    """What the team lags behind the furthest one, in seconds of the pool's rate."""


class RouterReport:
    """Backend of the operator port of a router."""

    def __init__(
        self,
        host_id: str,
        membership: MembershipController,
        following: ConfigurationFollower,
        demand: DemandController,
        scheduler: Scheduler,
        runtime: Runtime,
        burn: Burn,
        decisions: Decisions,
        observe: ObserveFilter,
    ) -> None:
        """
        Prepare the report.

        :param host_id: this router
        :param membership: its view of the deployment
        :param following: the configuration in force
        :param demand: waiting requests
        :param scheduler: the upstreams that it schedules
        :param runtime: messages carried
        :param burn: service-level burn
        :param decisions: traces of requests
        :param observe: requests that have not ended
        """
        self._host_id = host_id
        self._membership = membership
        self._following = following
        self._demand = demand
        self._scheduler = scheduler
        self._runtime = runtime
        self._burn = burn
        self._decisions = decisions
        self._observe = observe

    def status(self) -> dict[str, Any]:
        """:return: revision, load, peers and traffic of this router"""
        now_s = time.monotonic()
        heard = {
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
            "configuration_heard_s": heard,
            "traffic": self._runtime.link.traffic()._asdict(),
            "processor_s": round(time.process_time(), 3),
        }

    def explain_request(self, request_id: str) -> Any | None:
        """
        Look up the trace of a request.

        :param request_id: id of the request
        :return: where it waited, for what, which decisions and attempts
        """
        exchange = self._observe.find(request_id)
        if exchange is None:
            return self._decisions.explain(request_id)
        return open_body(exchange, self._ahead_count(exchange), time.monotonic())

    def explain_team(self, name: str) -> Any | None:
        """
        Explain what a team gets and why.

        :param name: name of the team
        :return: parameters, service, waits and limits hit
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
                {"request_id": one.request.request_id, "state": one.stage.value}
                for one in islice(self._observe.of_team(name), OLDEST_COUNT)
            ],
            **self._decisions.explain_team(name),
        }

    def burn(self) -> Any:
        """:return: service-level burn by team and kind"""
        return self._burn.report(time.monotonic())

    def recorders(self) -> list[Callable[[Finished], None]]:
        """:return: what takes each finished request"""
        return [self._decisions.record, self._burn.record]

    def _ahead_count(self, exchange: Exchange) -> int:
        if exchange.team is None or exchange.parameters is None:
            return 0
        key = TeamKey(exchange.parameters.pool, exchange.team.name)
        urgency = exchange.parameters.urgency
        return sum(
            (one.urgency, -one.arrived_s) > (urgency, -exchange.received_s)
            for one in self._demand.backlog.waiting(key)
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
            **self._compared(key),
        }

    def _compared(self, key: TeamKey) -> dict[str, float | None]:
        ledger = self._scheduler.ledger
        others = [ledger.virtual(other) for other in ledger.waiting(key.pool)]
        rate = self._scheduler.pool_rate(key.pool)
        debt_s = None
        if others and rate > 0:
            lag_virtual = max(0.0, max(others) - ledger.virtual(key))
            debt_s = round(lag_virtual * ledger.account(key).share / rate, 3)
        return {
            "least_virtual": round(min(others), 1) if others else None,
            "greatest_virtual": round(max(others), 1) if others else None,
            "pool_rate": round(rate, 1),
            "debt_s": debt_s,
        }


__all__ = ["PoolShare", "RouterReport"]
