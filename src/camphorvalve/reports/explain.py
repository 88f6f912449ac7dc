"""What a router tells operators: its status, one request, one team, the burn report."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, TypedDict

from camphorvalve.sharing.ledger import TeamKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.demand import DemandController
    from camphorvalve.controllers.following import ConfigurationFollower
    from camphorvalve.controllers.membership import MembershipController
    from camphorvalve.controllers.runtime import Runtime
    from camphorvalve.reports.burn import Burn
    from camphorvalve.reports.decisions import Decisions
    from camphorvalve.reports.outcomes import Finished
    from camphorvalve.sharing.scheduler import Scheduler


class PoolShare(TypedDict):
    """What one team gets in one pool, as this router knows it."""

    pool: str
    waiting_here_count: int
    oldest_wait_s: float
    served_here_units: float
    served_fleet_units: float
    virtual_service: float
    schedulers_count: int


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
        """
        self._host_id = host_id
        self._membership = membership
        self._following = following
        self._demand = demand
        self._scheduler = scheduler
        self._runtime = runtime
        self._burn = burn
        self._decisions = decisions

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
        return self._decisions.explain(request_id)

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
            **self._decisions.explain_team(name),
        }

    def burn(self) -> Any:
        """:return: service-level burn by team and kind"""
        return self._burn.report(time.monotonic())

    def recorders(self) -> list[Callable[[Finished], None]]:
        """:return: what takes each finished request"""
        return [self._decisions.record, self._burn.record]

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
        }


__all__ = ["PoolShare", "RouterReport"]
