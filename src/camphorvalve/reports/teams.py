"""Merges the routers' reports on one team."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from collections.abc import Sequence


class PoolReport(TypedDict):
    """Service that the team gets in one pool, over all routers that answered."""

    pool: str
    waiting_count: int
    oldest_wait_s: float
    served_units: dict[str, float]
    """Units served since the router started, by the router that scheduled them."""
    served_fleet_units: float
    schedulers: list[SchedulerReport]
    debt_s: float | None
    """Greatest debt at any scheduler, in seconds of the pool's rate."""


class SchedulerReport(TypedDict):
    """Virtual service at one scheduler: that of the team, and the range over all waiting teams."""

    router: str
    virtual_service: float
    least_virtual: float | None
    greatest_virtual: float | None
    debt_s: float | None


class OpenRequest(TypedDict):
    """A request that has not ended, one of the team's oldest at a router."""

    router: str
    request_id: str
    state: str


class TeamReport(TypedDict):
    """Merged report on a team."""

    team: str
    share: float
    routers: list[str]
    pools: list[PoolReport]
    oldest_open: list[OpenRequest]
    outcomes: dict[str, int]
    limits_hit: dict[str, int]


def merge_teams(bodies: Sequence[dict[str, Any]]) -> TeamReport:
    """
    Merge the reports of several routers on one team.

    :param bodies: answers to ``GET /v1/teams/<team>``, at least one
    :return: the merged report, with the share that the first router reports
    """
    pools: dict[str, list[tuple[str, dict[str, Any]]]] = {}
    for body in bodies:
        for pool in body["pools"]:
            pools.setdefault(pool["pool"], []).append((body["router"], pool))
    return {
        "team": bodies[0]["team"],
        "share": bodies[0]["share"],
        "routers": [body["router"] for body in bodies],
        "pools": [
            _merge_pool(name, router_reports) for name, router_reports in sorted(pools.items())
        ],
        "oldest_open": [
            {"router": body["router"], **request}
            for body in bodies
            for request in body["oldest_open"]
        ],
        "outcomes": _sum_counters([body["outcomes"] for body in bodies]),
        "limits_hit": _sum_counters([body["limits_hit"] for body in bodies]),
    }


def _merge_pool(name: str, router_reports: Sequence[tuple[str, dict[str, Any]]]) -> PoolReport:
    schedulers = [
        _scheduler_report(router, pool)
        for router, pool in router_reports
        if pool["waits_at_scheduler"]
    ]
    served_units = {router: pool["served_here_units"] for router, pool in router_reports}
    debts_s = [report["debt_s"] for report in schedulers if report["debt_s"] is not None]
    return {
        "pool": name,
        "waiting_count": sum(pool["waiting_here_count"] for _, pool in router_reports),
        "oldest_wait_s": max(pool["oldest_wait_s"] for _, pool in router_reports),
        "served_units": {router: units for router, units in served_units.items() if units > 0},
        # The fleet's total may be older than the schedulers' own counts.
        "served_fleet_units": max(
            sum(served_units.values()), *(pool["served_fleet_units"] for _, pool in router_reports)
        ),
        "schedulers": schedulers,
        "debt_s": max(debts_s, default=None),
    }


def _scheduler_report(router: str, pool: dict[str, Any]) -> SchedulerReport:
    return {
        "router": router,
        "virtual_service": pool["virtual_service"],
        "least_virtual": pool["least_virtual"],
        "greatest_virtual": pool["greatest_virtual"],
        "debt_s": pool["debt_s"],
    }


def _sum_counters(counters: Sequence[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for counter in counters:
        total.update(counter)
    return dict(total)


__all__ = ["OpenRequest", "PoolReport", "SchedulerReport", "TeamReport", "merge_teams"]
