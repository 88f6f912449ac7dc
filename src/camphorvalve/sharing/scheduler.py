"""Grants slots of upstreams to teams; does no input or output and takes the time as an argument."""

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
"""A grant is released if no progress message has named it for this long."""
UNCONFIRMED_S = 2.0
"""The same for a grant that no progress message has named yet; the first message is due within 1 s
of the use of the grant."""
EXTRA_CALLS_COUNT = 1
"""Calls beyond the slots that may wait at a plain service itself, so that its slots are not idle
while a grant is delivered. Engines get none: the loss is small for runs of seconds, and each
further run slows down all others."""
EXTRA_MIN_WAIT_S = 0.1
"""Minimum wait of a call before it may wait at a service: until then, a slot may become free at
another one."""


class GrantTo(NamedTuple):
    """A grant and the entry router that receives it."""

    entry_id: str
    grant: Grant


@dataclass(slots=True)
class _RunningGrant:
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
        self._running: dict[int, _RunningGrant] = {}
        self._used_counts: dict[str, int] = {}
        self._demand = AnnouncedDemand()
        self._rates = PoolRates()
        self._ranking = Ranking(policy, ledger, self._demand, self._rates)
        self.ledger = ledger
        self.health = UpstreamHealth()

    def set_upstreams(
        self, upstreams: Mapping[str, Upstream], pool_slots: Mapping[str, int]
    ) -> None:
        """
        Set the upstreams that this router schedules.

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
        Replace the demand that an entry router has announced for one team.

        :param entry_id: the entry router
        :param demand: what waits there now; a count of 0 drops the demand
        :param now_s: current time
        """
        key = TeamKey(demand.pool, demand.team)
        self._demand.put(entry_id, demand, now_s)
        if demand.waiting_count > 0:
            self.ledger.set_waiting(key, demand.share, now_s)
        else:
            self._set_idle_if_empty(key, now_s)

    def progress(self, entry_id: str, report: GrantProgress, now_s: float) -> None:
        """
        Count service of a granted request; an unknown grant is added unless it is done.

        :param entry_id: the entry router
        :param report: service so far
        :param now_s: current time
        """
        running = self._running.get(report.grant_id)
        if running is None:
            if report.done:
                return
            key = TeamKey(report.pool, report.team)
            # Earlier service is in the counters of the scheduler that made the grant.
            running = _RunningGrant(report.upstream_id, key, entry_id, 0.0, report.units, now_s)
            self._running[report.grant_id] = running
            self._count_used(report.upstream_id, 1)
        running.heard_s = now_s
        running.confirmed = True
        served_units = max(0.0, report.units - running.units)
        self._serve(running, served_units)
        if report.done:
            self._release(report.grant_id)

    def return_grant(
        self, entry_id: str, grant_id: int, connect_failed: bool, now_s: float
    ) -> None:
        """
        Release a grant that was not used.

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
        Drop demand and grants of an entry router that is no longer live.

        :param entry_id: the entry router
        :param now_s: current time
        """
        for key in self._demand.teams_at_entry(entry_id):
            self._drop_demand(key, entry_id, now_s)
        for grant_id in [
            grant_id for grant_id, running in self._running.items() if running.entry_id == entry_id
        ]:
            self._release(grant_id)

    def expire(self, now_s: float) -> None:
        """
        Drop demand and grants that were not announced or reported for too long.

        :param now_s: current time
        """
        for key, entry_id in list(self._demand.expired(now_s)):
            self._drop_demand(key, entry_id, now_s)
        for grant_id in [
            grant_id for grant_id, running in self._running.items() if running.is_silent(now_s)
        ]:
            self._release_silent(grant_id, now_s)
        self.health.expire(now_s)
        busy_counts = Counter(running.key.pool for running in self._running.values())
        self._rates.advance(busy_counts, now_s)

    def choose(self, now_s: float) -> Iterator[GrantTo]:
        """
        Grant free slots to waiting teams until there are no more slots or no more demand.

        :param now_s: current time
        :return: grants with their receivers
        """
        for pool in self._demand.pools():
            if not self._has_capacity(pool):
                continue
            self._ranking.cap_debt(pool)
            while (grant := self._next_grant(pool, now_s)) is not None:
                yield grant

    def free_slots(self) -> dict[str, int]:
        """
        Count the free slots of pools without demand at this scheduler.

        :return: free slots by pool
        """
        waiting = self._demand.pools()
        free: dict[str, int] = {}
        for upstream in self._upstreams.values():
            slots_count = upstream.slots_count - self._used_counts.get(upstream.upstream_id, 0)
            if upstream.pool not in waiting and slots_count > 0:
                free[upstream.pool] = free.get(upstream.pool, 0) + slots_count
        return free

    def upstreams(self) -> list[Upstream]:
        """:return: upstreams that this router schedules"""
        return list(self._upstreams.values())

    def upstream_ids(self) -> list[str]:
        """:return: sorted ids of the upstreams that this router schedules"""
        return sorted(self._upstreams)

    def running_count(self) -> int:
        """:return: number of grants in use"""
        return len(self._running)

    def pool_rate(self, pool: str) -> float:
        """
        Estimate the rate of the whole pool with every slot busy.

        :param pool: name of the pool
        :return: units per second, zero before anything has run
        """
        return self._ranking.pool_rate(pool)

    def _next_grant(self, pool: str, now_s: float) -> GrantTo | None:
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
            key=lambda entry_id: (
                -min(entries[entry_id].urgent_count, 1),
                -entries[entry_id].age_s(now_s),
            ),
        )

    def _has_capacity(self, pool: str) -> bool:
        return any(
            self._used_counts.get(upstream.upstream_id, 0)
            < _capacity_count(upstream, may_exceed_slots=True)
            for upstream in self._upstreams.values()
            if upstream.pool == pool
        )

    def _freest_upstream(self, key: TeamKey, entry_id: str, now_s: float) -> Upstream | None:
        waiting = self._demand.get(key, entry_id)
        may_exceed_slots = waiting is not None and waiting.age_s(now_s) >= EXTRA_MIN_WAIT_S
        candidates = [
            upstream
            for upstream in self._upstreams.values()
            if upstream.pool == key.pool
            and self._used_counts.get(upstream.upstream_id, 0)
            < _capacity_count(upstream, may_exceed_slots=may_exceed_slots)
            and self.health.may_use(entry_id, upstream.upstream_id, now_s)
        ]
        return min(
            candidates,
            key=lambda upstream: (
                self._used_counts.get(upstream.upstream_id, 0) / upstream.slots_count,
                upstream.upstream_id,
            ),
            default=None,
        )

    def _grant(self, key: TeamKey, entry_id: str, upstream: Upstream, now_s: float) -> GrantTo:
        pending_units = self._demand.take(key, entry_id).estimate_units
        grant_id = self._rng.getrandbits(53)
        self._running[grant_id] = _RunningGrant(
            upstream.upstream_id, key, entry_id, pending_units, 0.0, now_s
        )
        self._ranking.note_grant(key, now_s)
        self.ledger.account(key).pending_units += pending_units
        self._count_used(upstream.upstream_id, 1)
        self._set_idle_if_empty(key, now_s)
        grant = Grant(grant_id, key.pool, upstream.upstream_id, key.team, GRANT_LIFETIME_S)
        return GrantTo(entry_id, grant)

    def _serve(self, running: _RunningGrant, served_units: float) -> None:
        settled_units = min(served_units, running.pending_units)
        running.pending_units -= settled_units
        self.ledger.account(running.key).pending_units -= settled_units
        running.units += served_units
        self.ledger.serve(running.key, served_units)
        self._rates.serve(running.key.pool, served_units)

    def _release_silent(self, grant_id: int, now_s: float) -> None:
        """Release a grant, and drop old demand that would give the next one to the same router."""
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
        self._used_counts[upstream_id] = self._used_counts.get(upstream_id, 0) + change

    def _drop_demand(self, key: TeamKey, entry_id: str, now_s: float) -> None:
        self._demand.drop(key, entry_id)
        self._set_idle_if_empty(key, now_s)

    def _set_idle_if_empty(self, key: TeamKey, now_s: float) -> None:
        if not self._demand.entries(key):
            self._ranking.forget(key)
            self.ledger.set_idle(key, now_s)


def _capacity_count(upstream: Upstream, *, may_exceed_slots: bool) -> int:
    match upstream.interface:
        case PlainService() if may_exceed_slots:
            return upstream.slots_count + EXTRA_CALLS_COUNT
        case _:
            return upstream.slots_count


__all__ = ["GrantTo", "Scheduler"]
