"""The entry router's side of scheduling: queued requests, demand announcements, received grants."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.errors import RequestError
from camphorvalve.model.policies import FirstCome
from camphorvalve.model.teams import Urgency
from camphorvalve.sharing import placement
from camphorvalve.sharing.backlog import Backlog, Waiter
from camphorvalve.sharing.estimate import CostEstimates
from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.sharing.rates import GrantRates
from camphorvalve.wire.messages import (
    Demand,
    FreeSlots,
    Grant,
    GrantProgress,
    GrantReturn,
    Progress,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.router.following import ConfigurationFollower
    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.model.policies import Policy

ANNOUNCE_INTERVAL_S = 2.0
"""Interval after which the demand of a queue is announced again although nothing changed."""
REANNOUNCE_RATIO = 0.25
"""A queue is announced again when this part of it has been added or removed."""
REANNOUNCE_AFTER_S = 0.5
"""Delay after which a smaller change is announced."""
PROGRESS_INTERVAL_S = 1.0
"""Interval of the progress reports on running requests."""
FREE_SLOTS_LIFETIME_S = 1.5
"""How long a scheduler that sent ``FreeSlots`` receives demand in addition to the chosen ones."""


@dataclass(slots=True)
class Running:
    """A granted request that has started."""

    grant: Grant
    kind: str
    units: float = 0.0


class DemandController:
    """Owns the requests that are queued at this router and the grants that they use."""

    name = "demand"
    tick_s = 0.25
    accepts = (Grant, FreeSlots)

    def __init__(
        self,
        policy: Policy,
        membership: MembershipController,
        following: ConfigurationFollower,
    ) -> None:
        """
        Start with empty queues.

        :param policy: decides which schedulers demand is announced to
        :param membership: this router's view of the deployment
        :param following: the configuration in force
        """
        self._policy = policy
        self._membership = membership
        self._following = following
        self._announced_to: dict[TeamKey, tuple[str, ...]] = {}
        self._announced_s: dict[TeamKey, float] = {}
        self._changes: dict[TeamKey, int] = {}
        """Requests added and removed since the last announcement."""
        self._announced_counts: dict[TeamKey, int] = {}
        self._free_slots_until_s: dict[tuple[str, str], float] = {}
        self._running: dict[int, Running] = {}
        self._progress_due_s = 0.0
        self._spread_cache: dict[TeamKey, tuple[tuple[int, float], tuple[str, ...]]] = {}
        self._seen_membership_version = -1
        self._rates = GrantRates()
        self.backlog = Backlog()
        self.estimates = CostEstimates()

    def enqueue(self, waiter: Waiter, now_s: float) -> Iterator[Outgoing]:
        """
        Add a request to its queue.

        The demand is announced at once if the request is the first or the first urgent one in the
        queue, or if the queue has changed by a large part since the last announcement.

        :param waiter: the request
        :param now_s: current time
        :return: announcements
        """
        waiting = self.backlog.waiting(waiter.key)
        is_first = not waiting or (
            waiter.urgency is Urgency.URGENT
            and all(queued.urgency is not Urgency.URGENT for queued in waiting)
        )
        self.backlog.add(waiter)
        self._rates.observe(waiter.key, now_s, waits=True)
        self._record_change(waiter.key)
        if is_first or self._exceeds_change_ratio(waiter.key):
            yield from self._announce(waiter.key, now_s)

    def withdraw(self, waiter: Waiter) -> None:
        """
        Remove a request from its queue, for example when its caller has disconnected.

        :param waiter: the request
        """
        self.backlog.remove(waiter)
        self._record_change(waiter.key)

    def shed(self, team: str, kind: str, retry_after_s: float) -> bool:
        """
        Refuse the newest queued request of a kind.

        :param team: name of the team
        :param kind: kind of the request
        :param retry_after_s: delay that the caller is told to wait before it retries
        :return: whether such a request was queued
        """
        waiter = self.backlog.newest(team, kind)
        if waiter is None:
            return False
        self.withdraw(waiter)
        waiter.error = RequestError(
            "queue_full",
            f"the queue is full; work of kind {kind!r} of team {team!r} was refused first",
            retry_after_s=retry_after_s,
        )
        waiter.wake()
        return True

    def started(self, waiter: Waiter) -> Running:
        """
        Record that a granted request starts.

        :param waiter: the request, with its grant
        :return: record whose ``units`` the caller keeps up to date
        """
        assert waiter.grant is not None
        running = Running(waiter.grant, waiter.kind)
        self._running[waiter.grant.grant_id] = running
        return running

    def finished(self, running: Running) -> Iterator[Outgoing]:
        """
        Free the slot of a request that has ended.

        :param running: the request with its final number of units
        :return: the last progress message
        """
        grant = running.grant
        self._running.pop(grant.grant_id, None)
        self.estimates.record(grant.pool, grant.team, running.kind, running.units)
        scheduler_id = self._membership.scheduler_of(grant.upstream_id)
        if scheduler_id is not None:
            yield Outgoing(scheduler_id, Progress((_grant_progress(running, done=True),)))

    def returned(self, grant: Grant, scheduler_id: str, connect_failed: bool) -> Iterator[Outgoing]:
        """
        Return an unused grant to its scheduler.

        :param grant: the grant
        :param scheduler_id: the scheduler that issued it
        :param connect_failed: whether the upstream could not be reached
        :return: the message to the scheduler
        """
        self._running.pop(grant.grant_id, None)
        message = GrantReturn(
            grant.grant_id, grant.pool, grant.upstream_id, grant.team, connect_failed
        )
        yield Outgoing(scheduler_id, message)

    def predicted_wait_s(self, key: TeamKey, urgency: Urgency, now_s: float) -> float | None:
        """
        Predict the wait of a new request from the rate of grants while the queue was not empty.

        :param key: pool and team
        :param urgency: urgency of the request; only equal or higher urgency is served before it
        :param now_s: current time
        :return: seconds, or ``None`` if there were too few grants for a prediction
        """
        ahead_count = sum(queued.urgency >= urgency for queued in self.backlog.waiting(key))
        return self._rates.predicted_wait_s(key, ahead_count, now_s)

    def has_upstreams(self, pool: str) -> bool:
        """
        Check whether any upstream can serve a pool.

        :param pool: name of the pool
        :return: whether a live upstream is known
        """
        return bool(self._membership.upstreams(pool))

    def running_count(self) -> int:
        """:return: number of running requests"""
        return len(self._running)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Assign or return a grant, or announce demand to a scheduler with free slots.

        :param sender: the scheduler
        :param message: ``Grant`` or ``FreeSlots``
        :param now_s: current time
        :return: messages to schedulers
        """
        match message:
            case Grant():
                yield from self._assign(sender, message, now_s)
            case FreeSlots(pool, _):
                yield from self._announce_to(sender.host_id, pool, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Announce changed or overdue demand, refuse expired requests and report progress.

        :param now_s: current time
        :return: messages to schedulers
        """
        # Upstreams may have been reassigned to schedulers that have not received the demand.
        membership_changed = self._seen_membership_version != self._membership.version
        self._seen_membership_version = self._membership.version
        due = {
            key
            for key in self.backlog.waiting_keys()
            if membership_changed or now_s - self._announced_s.get(key, 0.0) > ANNOUNCE_INTERVAL_S
        }
        for key in due | set(self._keys_to_announce(now_s)):
            yield from self._announce(key, now_s)
        self._expire(now_s)
        for key in [key for key in self._rates.waiting_keys() if not self.backlog.waiting(key)]:
            self._rates.observe(key, now_s, waits=False)
        if now_s >= self._progress_due_s:
            self._progress_due_s = now_s + PROGRESS_INTERVAL_S
            yield from self._report_progress()

    def _record_change(self, key: TeamKey) -> None:
        self._changes[key] = self._changes.get(key, 0) + 1

    def _keys_to_announce(self, now_s: float) -> Iterator[TeamKey]:
        """
        Find the queues whose changes have to be announced.

        Schedulers subtract the grants that they issue from the announced demand. Announcing each
        change of a long queue accounted for most messages of a loaded router and did not affect any
        scheduling decision.
        """
        for key in self._changes:
            if (
                not self.backlog.waiting(key)
                or self._exceeds_change_ratio(key)
                or now_s - self._announced_s.get(key, 0.0) >= REANNOUNCE_AFTER_S
            ):
                yield key

    def _exceeds_change_ratio(self, key: TeamKey) -> bool:
        announced_count = self._announced_counts.get(key, 0)
        return self._changes.get(key, 0) >= REANNOUNCE_RATIO * announced_count

    def _expire(self, now_s: float) -> None:
        for waiter in [queued for queued in self.backlog.all() if queued.deadline_s <= now_s]:
            self.withdraw(waiter)
            waiter.error = RequestError(
                "wait_too_long",
                f"no slot was free within {now_s - waiter.arrived_s:.0f} s",
                retry_after_s=10.0,
            )
            waiter.wake()

    def _assign(self, sender: Sender, grant: Grant, now_s: float) -> Iterator[Outgoing]:
        key = TeamKey(grant.pool, grant.team)
        live_upstream_ids = frozenset(
            upstream.upstream_id for upstream in self._membership.upstreams(grant.pool)
        )
        waiter = self.backlog.pick(key, grant.upstream_id, live_upstream_ids)
        if waiter is None:
            yield from self.returned(grant, sender.host_id, False)
            self._record_change(key)
            return
        waiter.grant = grant
        waiter.scheduler_id = sender.host_id
        waiter.wake()
        self._record_change(key)
        self._rates.observe(key, now_s, waits=bool(self.backlog.waiting(key)), granted_count=1)

    def _announce_to(self, scheduler_id: str, pool: str, now_s: float) -> Iterator[Outgoing]:
        self._free_slots_until_s[(pool, scheduler_id)] = now_s + FREE_SLOTS_LIFETIME_S
        for key in [key for key in self.backlog.waiting_keys() if key.pool == pool]:
            if scheduler_id not in self._announced_to.get(key, ()):
                yield from self._announce(key, now_s)

    def _announce(self, key: TeamKey, now_s: float) -> Iterator[Outgoing]:
        self._changes.pop(key, None)
        self._announced_s[key] = now_s
        demand = self._demand(key, now_s)
        self._announced_counts[key] = demand.waiting_count
        targets = self._targets(key, now_s) if demand.waiting_count else ()
        previous = self._announced_to.get(key, ())
        for scheduler_id in targets:
            yield Outgoing(scheduler_id, demand)
        empty_demand = demand._replace(waiting_count=0, urgent_count=0)
        for scheduler_id in previous:
            if scheduler_id not in targets:
                yield Outgoing(scheduler_id, empty_demand)
        if targets:
            self._announced_to[key] = targets
        else:
            self._announced_to.pop(key, None)
            self._announced_s.pop(key, None)
            self._announced_counts.pop(key, None)

    def _demand(self, key: TeamKey, now_s: float) -> Demand:
        waiting = self.backlog.waiting(key)
        count = len(waiting)
        return Demand(
            pool=key.pool,
            team=key.team,
            share=self._following.share(key.team),
            waiting_count=count,
            urgent_count=sum(waiter.urgency is Urgency.URGENT for waiter in waiting),
            oldest_age_s=round(now_s - waiting[0].arrived_s, 3) if waiting else 0.0,
            estimate_units=(
                round(sum(waiter.estimate_units for waiter in waiting) / count, 1) if count else 0.0
            ),
        )

    def _targets(self, key: TeamKey, now_s: float) -> tuple[str, ...]:
        slots = self._membership.scheduler_slots(key.pool)
        match self._policy:
            case FirstCome():
                chosen = tuple(slots)
            case _:
                chosen = self._spread_schedulers(key, slots)
        free = tuple(
            scheduler_id
            for (pool, scheduler_id), until_s in self._free_slots_until_s.items()
            if pool == key.pool and until_s > now_s and scheduler_id in slots
        )
        return tuple(dict.fromkeys(chosen + free))

    def _spread_schedulers(self, key: TeamKey, slots: dict[str, int]) -> tuple[str, ...]:
        """Select schedulers; cached until the deployment or the team's share changes."""
        ratio = self._following.share_ratio(key.pool, key.team)
        inputs = (self._membership.version, ratio)
        previous = self._spread_cache.get(key)
        if previous is not None and previous[0] == inputs:
            return previous[1]
        chosen = placement.spread(key.pool, key.team, ratio, slots)
        self._spread_cache[key] = (inputs, chosen)
        return chosen

    def _report_progress(self) -> Iterator[Outgoing]:
        by_scheduler: dict[str, list[GrantProgress]] = {}
        for running in self._running.values():
            scheduler_id = self._membership.scheduler_of(running.grant.upstream_id)
            if scheduler_id is not None:
                by_scheduler.setdefault(scheduler_id, []).append(
                    _grant_progress(running, done=False)
                )
        for scheduler_id, grants in by_scheduler.items():
            yield Outgoing(scheduler_id, Progress(tuple(grants)))


def _grant_progress(running: Running, *, done: bool) -> GrantProgress:
    grant = running.grant
    return GrantProgress(
        grant.grant_id, grant.upstream_id, grant.pool, grant.team, round(running.units, 1), done
    )


__all__ = ["DemandController", "Running"]
