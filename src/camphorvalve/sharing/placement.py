"""Rendezvous hashing: assigns upstreams to schedulers, and teams to aggregators and schedulers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

from camphorvalve.model.hosts import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from camphorvalve.model.hosts import Host
    from camphorvalve.model.upstreams import Upstream

SPREAD_FACTOR = 3.0
"""Slots of the schedulers of a team as a multiple of its share. With only as many slots as the
share needs, the team could not reach it."""
SPREAD_MIN_COUNT = 2


def _score(key: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """
    Order members for a key; the order is the same in all processes with the same members.

    :param key: what is assigned
    :param members: ids of the candidates
    :return: the ids, best first
    """
    return sorted(members, key=lambda member: _score(key, member), reverse=True)


def owner(key: str, members: Iterable[str]) -> str | None:
    """
    Return the first of ``ranked`` without sorting.

    :param key: what is assigned
    :param members: ids of the candidates
    :return: the id, or ``None`` without candidates
    """
    return max(members, key=lambda member: _score(key, member), default=None)


def scheduler_of(upstream: Upstream, routers: Iterable[Host]) -> str | None:
    """
    Choose the router that schedules an upstream, preferably in the same data centre.

    :param upstream: the upstream
    :param routers: the live routers
    :return: id of the router, or ``None`` without live routers
    """
    live = [host for host in routers if host.state is HostState.LIVE]
    local_ids = [host.host_id for host in live if host.data_centre == upstream.data_centre]
    return owner(upstream.upstream_id, local_ids or [host.host_id for host in live])


def spread(pool: str, team: str, share_ratio: float, slots: Mapping[str, int]) -> tuple[str, ...]:
    """
    Choose the schedulers to which a team's demand is announced.

    :param pool: name of the pool
    :param team: name of the team
    :param share_ratio: the team's part of the pool, 0 to 1
    :param slots: slots of the pool by scheduler
    :return: ids of schedulers with ``SPREAD_FACTOR`` times the slots of the share, at least two
    """
    missing_slots = math.ceil(SPREAD_FACTOR * share_ratio * sum(slots.values()))
    chosen: list[str] = []
    for scheduler_id in ranked(f"{pool}/{team}", slots):
        if missing_slots <= 0 and len(chosen) >= SPREAD_MIN_COUNT:
            break
        chosen.append(scheduler_id)
        missing_slots -= slots[scheduler_id]
    return tuple(chosen)


__all__ = ["SPREAD_FACTOR", "SPREAD_MIN_COUNT", "owner", "ranked", "scheduler_of", "spread"]
