"""Grants slots of upstreams to teams; pure, the time is an argument."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.upstreams import PlainService
from camphorvalve.sharing.announced import AnnouncedDemand
from camphorvalve.sharing.health import UpstreamHealth
from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.sharing.poolrates import PoolRates
from camphorvalve.sharing.ranking import Ranking
from camphorvalve.wire.messages import Grant

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator, Mapping

    from camphorvalve.model.policies import Policy
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.ledger import Ledger
    from camphorvalve.wire.messages import Demand, GrantProgress

GRANT_LIFETIME_S = 1.0
GRANT_SILENCE_S = 3.5
"""A grant that no progress message named for this long is free again."""
UNCONFIRMED_S = 2.0
"""The same for a grant that none has named yet; the first one is due within 1 s of its use."""
EXTRA_COUNT = 1
"""Calls that wait at a plain service itself, so that its slots do not idle while a grant travels.
Engines get none: the loss is small for runs of seconds, and one run more slows down all others."""
EXTRA_AFTER_S = 0.1
"""Only work that has waited this long may wait there; a free slot elsewhere is found sooner."""


class GrantTo(NamedTuple):
    """A grant and the entry router that gets it."""

    entry_id: str
    grant: Grant


@dataclass(slots=True)
class _Running:
    upstream_id: str
    key: TeamKey
    entry_id: str
    pending_units: float
    units: float
    heard_s: float
    confirmed: bool = False
    """Whether the entry router has named the grant in a progress message."""

    def is_silent(self, now_s: float) -> bool:
        limit_s = GRANT_SILENCE_S if self.confirmed else UNCONFIRMED_S
        return now_s - self.heard_s > limit_s


class Scheduler:
    """Demand, running grants and free slots of the upstreams that one router schedules."""

    def __init__(self, policy: Policy, ledger: Ledger, rng: random.Random) -> None:
        """
        Start without upstreams.

        :param policy: how teams are ranked
        :param ledger: the service counters
        :param rng: source of grant ids
        """
        self._rng = rng
        self._upstreams: dict[str, Upstream] = {}
        self._running: dict[int, _Running] = {}
        self._used: dict[str, int] = {}
        self._demand = AnnouncedDemand()
        self._rates = PoolRates()
        self._ranking = Ranking(policy, ledger, self._demand, self._rates)
        self.ledger = ledger
        self.health = UpstreamHealth()

    def set_upstreams(
        self, upstreams: Mapping[str, Upstream], pool_slots: Mapping[str, int]
    ) -> None:
        """
        Set what this router schedules.

        :param upstreams: upstreams that may get new work, by id
        :param pool_slots: slots of each pool in the whole deployment
        """
        self._upstreams = dict(upstreams)
        self._ranking.pool_slots = pool_slots
        own_slots: dict[str, int] = {}
        for upstream in upstreams.values():
            own_slots[upstream.pool] = own_slots.get(upstream.pool, 0) + upstream.slots_count
        self._ranking.own_slots = own_slots

    def announce(self, entry_id: str, demand: Demand, now_s: float) -> None:
        """
        Replace what an entry router has announced for one team.

        :param entry_id: the entry router
        :param demand: what waits there now
        :param now_s: current time
        """
        key = TeamKey(demand.pool, demand.team)
        self._demand.put(entry_id, demand, now_s)
        if demand.waiting_count > 0:
            self.ledger.set_waiting(key, demand.share, now_s)
        else:
            self._note_if_idle(key, now_s)

    def progress(self, entry_id: str, report: GrantProgress, now_s: float) -> None:
        """
        Count service of a granted request; an unknown grant of a known upstream is adopted.

        :param entry_id: the entry router
        :param report: service so far
        :param now_s: current time
        """
        running = self._running.get(report.grant_id)
        if running is None:
            if report.done:
                return
            key = TeamKey(report.pool, report.team)
            # Service from before the adoption is in the counters of the earlier scheduler.
            running = _Running(report.upstream_id, key, entry_id, 0.0, report.units, now_s)
            self._running[report.grant_id] = running
            self._count_used(report.upstream_id, 1)
        running.heard_s = now_s
        running.confirmed = True
        served_units = max(0.0, report.units - running.units)
        self._serve(running, served_units)
        if report.done:
            self._release(report.grant_id)

    def give_back(self, entry_id: str, grant_id: int, connect_failed: bool, now_s: float) -> None:
        """
        Take back a grant that was not used.

        :param entry_id: the entry router
        :param grant_id: id of the grant
        :param connect_failed: whether the upstream could not be reached
        :param now_s: current time
        """
        running = self._running.get(grant_id)
        if running is None:
            return
        if connect_failed:
            self.health.block(entry_id, running.upstream_id, now_s)
        self._release(grant_id)

    def forget_entry(self, entry_id: str, now_s: float) -> None:
        """
        Drop demand and grants of an entry router that is gone.

        :param entry_id: the entry router
        :param now_s: current time
        """
        for key in self._demand.teams_at_entry(entry_id):
            self._drop_demand(key, entry_id, now_s)
        for grant_id in [g for g, one in self._running.items() if one.entry_id == entry_id]:
            self._release(grant_id)

    def expire(self, now_s: float) -> None:
        """
        Drop demand and grants that nobody has spoken of for too long.

        :param now_s: current time
        """
        for key, entry_id in list(self._demand.expired(now_s)):
            self._drop_demand(key, entry_id, now_s)
        for grant_id in [g for g, one in self._running.items() if one.is_silent(now_s)]:
            self._drop_silent(grant_id, now_s)
        self.health.expire(now_s)
        busy_counts = Counter(running.key.pool for running in self._running.values())
        self._rates.advance(busy_counts, now_s)

    def choose(self, now_s: float) -> Iterator[GrantTo]:
        """
        Grant free slots to waiting teams until one of both runs out.

        :param now_s: current time
        :return: grants with their receivers
        """
        for pool in self._demand.pools():
            if not self._has_room(pool):
                continue
            self._ranking.cap_debt(pool)
            while (grant := self._choose_one(pool, now_s)) is not None:
                yield grant

    def free_slots(self) -> dict[str, int]:
        """
        Count free slots of pools for which nothing is announced here.

        :return: free slots by pool
        """
        waiting = self._demand.pools()
        free: dict[str, int] = {}
        for upstream in self._upstreams.values():
            slots_count = upstream.slots_count - self._used.get(upstream.upstream_id, 0)
            if upstream.pool not in waiting and slots_count > 0:
                free[upstream.pool] = free.get(upstream.pool, 0) + slots_count
        return free

    def upstreams(self) -> list[Upstream]:
        """:return: upstreams that this router schedules"""
        return list(self._upstreams.values())

    def upstream_ids(self) -> list[str]:
        """:return: upstreams that this router schedules"""
        return sorted(self._upstreams)

    def running_count(self) -> int:
        """:return: grants that are out"""
        return len(self._running)

    def pool_rate(self, pool: str) -> float:
        """
        Estimate the rate of the whole pool with every slot busy.

        :param pool: name of the pool
        :return: units per second, zero before anything has run
        """
        return self._ranking.pool_rate(pool)

    def _choose_one(self, pool: str, now_s: float) -> GrantTo | None:
        for key in self._ranking.order(pool, now_s):
            for entry_id in self._entries_by_urgency(key, now_s):
                upstream = self._freest_upstream(key, entry_id, now_s)
                if upstream is not None:
                    return self._grant(key, entry_id, upstream, now_s)
        return None

    def _entries_by_urgency(self, key: TeamKey, now_s: float) -> list[str]:
        entries = self._demand.entries(key)
        return sorted(
            entries,
            key=lambda one: (-min(entries[one].urgent_count, 1), -entries[one].age_s(now_s)),
        )

    def _has_room(self, pool: str) -> bool:
        return any(
            self._used.get(one.upstream_id, 0) < _places_count(one, waited=True)
            for one in self._upstreams.values()
            if one.pool == pool
        )

    def _freest_upstream(self, key: TeamKey, entry_id: str, now_s: float) -> Upstream | None:
        waiting = self._demand.get(key, entry_id)
        waited = waiting is not None and waiting.age_s(now_s) >= EXTRA_AFTER_S
        candidates = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.pool == key.pool
            and self._used.get(upstream.upstream_id, 0) < _places_count(upstream, waited=waited)
            and self.health.may_use(entry_id, upstream.upstream_id, now_s)
        ]
        return min(
            candidates,
            key=lambda one: (self._used.get(one.upstream_id, 0) / one.slots_count, one.upstream_id),
            default=None,
        )

    def _grant(self, key: TeamKey, entry_id: str, upstream: Upstream, now_s: float) -> GrantTo:
        pending_units = self._demand.take(key, entry_id).estimate_units
        grant_id = self._rng.getrandbits(53)
        self._running[grant_id] = _Running(
            upstream.upstream_id, key, entry_id, pending_units, 0.0, now_s
        )
        self._ranking.note_grant(key, now_s)
        self.ledger.account(key).pending_units += pending_units
        self._count_used(upstream.upstream_id, 1)
        self._note_if_idle(key, now_s)
        grant = Grant(grant_id, key.pool, upstream.upstream_id, key.team, GRANT_LIFETIME_S)
        return GrantTo(entry_id, grant)

    def _serve(self, running: _Running, served_units: float) -> None:
        settled_units = min(served_units, running.pending_units)
        running.pending_units -= settled_units
        self.ledger.account(running.key).pending_units -= settled_units
        running.units += served_units
        self.ledger.serve(running.key, served_units)
        self._rates.serve(running.key.pool, served_units)

    def _drop_silent(self, grant_id: int, now_s: float) -> None:
        """Free a grant, and forget the demand that would draw the next one to the same router."""
        key, entry_id = self._running[grant_id].key, self._running[grant_id].entry_id
        self._release(grant_id)
        waiting = self._demand.get(key, entry_id)
        if waiting is not None and now_s - waiting.heard_s > UNCONFIRMED_S:
            self._drop_demand(key, entry_id, now_s)

    def _release(self, grant_id: int) -> None:
        running = self._running.pop(grant_id)
        self.ledger.account(running.key).pending_units -= running.pending_units
        self._count_used(running.upstream_id, -1)

    def _count_used(self, upstream_id: str, change: int) -> None:
        self._used[upstream_id] = self._used.get(upstream_id, 0) + change

    def _drop_demand(self, key: TeamKey, entry_id: str, now_s: float) -> None:
        self._demand.drop(key, entry_id)
        self._note_if_idle(key, now_s)

    def _note_if_idle(self, key: TeamKey, now_s: float) -> None:
        if not self._demand.entries(key):
            self._ranking.forget(key)
            self.ledger.set_idle(key, now_s)


def _places_count(upstream: Upstream, *, waited: bool) -> int:
    match upstream.interface:
        case PlainService() if waited:
            return upstream.slots_count + EXTRA_COUNT
        case _:
            return upstream.slots_count


__all__ = ["GrantTo", "Scheduler"]
