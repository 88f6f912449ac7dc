"""Merges what the routers say about one team."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, TypedDict

if TYPE_CHECKING:
    from collections.abc import Sequence


class PoolReport(TypedDict):
    """What the team gets in one pool, over all routers that answered."""

    pool: str
    waiting_count: int
    oldest_wait_s: float
    served_units: dict[str, float]
    """Service by the router that gave it as a scheduler, since its start."""
    served_fleet_units: float
    schedulers: list[PlaceReport]
    debt_s: float | None
    """Greatest lag at any scheduler, in seconds of the pool's rate."""


class PlaceReport(TypedDict):
    """How one scheduler ranks the team, where it waits."""

    router: str
    virtual_service: float
    least_virtual: float | None
    greatest_virtual: float | None
    debt_s: float | None


class OpenRequest(TypedDict):
    """One of the oldest requests of the team at a router that have not ended."""

    router: str
    request_id: str
    state: str


class TeamReport(TypedDict):
    """One answer on a team."""

    team: str
    share: float
    routers: list[str]
    pools: list[PoolReport]
    oldest_open: list[OpenRequest]
    outcomes: dict[str, int]
    limits_hit: dict[str, int]


def merge_teams(bodies: Sequence[dict[str, Any]]) -> TeamReport:
    """
    Merge the answers of several routers.

    :param bodies: answers to ``GET /v1/teams/<team>``, at least one
    :return: the merged answer; the share is that of the first router
    """
    pools: dict[str, list[tuple[str, dict[str, Any]]]] = {}
    for body in bodies:
        for pool in body["pools"]:
            pools.setdefault(pool["pool"], []).append((body["router"], pool))
    return {
        "team": bodies[0]["team"],
        "share": bodies[0]["share"],
        "routers": [body["router"] for body in bodies],
        "pools": [_pool(name, parts) for name, parts in sorted(pools.items())],
        "oldest_open": [
            {"router": body["router"], **one} for body in bodies for one in body["oldest_open"]
        ],
        "outcomes": _sum([body["outcomes"] for body in bodies]),
        "limits_hit": _sum([body["limits_hit"] for body in bodies]),
    }


def _pool(name: str, parts: Sequence[tuple[str, dict[str, Any]]]) -> PoolReport:
    places = [_place(router, one) for router, one in parts if one["waits_at_scheduler"]]
    own = {router: one["served_here_units"] for router, one in parts}
    debts = [one["debt_s"] for one in places if one["debt_s"] is not None]
    return {
        "pool": name,
        "waiting_count": sum(one["waiting_here_count"] for _, one in parts),
        "oldest_wait_s": max(one["oldest_wait_s"] for _, one in parts),
        "served_units": {router: units for router, units in own.items() if units > 0},
        # A total may be older than what the schedulers have counted since.
        "served_fleet_units": max(
            sum(own.values()), *(one["served_fleet_units"] for _, one in parts)
        ),
        "schedulers": places,
        "debt_s": max(debts, default=None),
    }


def _place(router: str, pool: dict[str, Any]) -> PlaceReport:
    return {
        "router": router,
        "virtual_service": pool["virtual_service"],
        "least_virtual": pool["least_virtual"],
        "greatest_virtual": pool["greatest_virtual"],
        "debt_s": pool["debt_s"],
    }


def _sum(counts: Sequence[dict[str, int]]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for one in counts:
        total.update(one)
    return dict(total)


__all__ = ["OpenRequest", "PlaceReport", "PoolReport", "TeamReport", "merge_teams"]
