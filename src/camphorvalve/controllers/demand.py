"""The entry side of sharing: waiting requests, their announcement, and the grants they get."""

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

    from camphorvalve.controllers.following import ConfigurationFollower
    from camphorvalve.controllers.membership import MembershipController
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.model.policies import Policy

ANNOUNCE_EVERY_S = 2.0
CHANGED_RATIO = 0.25
"""A queue is announced again when this part of it has come or gone."""
CHANGED_AFTER_S = 0.5
"""A smaller change is announced after this time."""
PROGRESS_EVERY_S = 1.0
FREE_LIFETIME_S = 1.5
"""How long a ``FreeSlots`` message makes a scheduler one more receiver of demand."""


@dataclass(slots=True)
class Running:
    """A granted request that has started."""

    grant: Grant
    kind: str
    units: float = 0.0


class DemandController:
    """Owns the requests that wait at this router and the grants that they use."""

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
        Start with nothing waiting.

        :param policy: decides where demand is announced
        :param membership: this router's view of the deployment
        :param following: the configuration in force
        """
        self._policy = policy
        self._membership = membership
        self._following = following
        self._announced: dict[TeamKey, tuple[str, ...]] = {}
        self._announced_s: dict[TeamKey, float] = {}
        self._changes: dict[TeamKey, int] = {}
        """Arrivals and departures since the last announcement."""
        self._announced_counts: dict[TeamKey, int] = {}
        self._free_until_s: dict[tuple[str, str], float] = {}
        self._running: dict[int, Running] = {}
        self._progress_due_s = 0.0
        self._chosen: dict[TeamKey, tuple[tuple[int, float], tuple[str, ...]]] = {}
        self._seen_version = -1
        self._rates = GrantRates()
        self.backlog = Backlog()
        self.estimates = CostEstimates()

    def enqueue(self, waiter: Waiter, now_s: float) -> Iterator[Outgoing]:
        """
        Add a request; announce it at once when it is the first, the first urgent or one of few.

        :param waiter: the request
        :param now_s: current time
        :return: announcements
        """
        waiting = self.backlog.waiting(waiter.key)
        first = not waiting or (
            waiter.urgency is Urgency.URGENT
            and all(one.urgency is not Urgency.URGENT for one in waiting)
        )
        self.backlog.add(waiter)
        self._rates.observe(waiter.key, now_s, waits=True)
        self._note_change(waiter.key)
        if first or self._changed_much(waiter.key):
            yield from self._announce(waiter.key, now_s)

    def withdraw(self, waiter: Waiter) -> None:
        """
        Remove a request whose caller has left.

        :param waiter: the request
        """
        self.backlog.remove(waiter)
        self._note_change(waiter.key)

    def shed(self, team: str, kind: str, retry_after_s: float) -> bool:
        """
        Refuse the newest waiting request of a kind.

        :param team: name of the team
        :param kind: kind of work
        :param retry_after_s: told to the caller
        :return: whether there was one
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
        Note that a granted request starts.

        :param waiter: the request, with its grant
        :return: where its service is counted
        """
        assert waiter.grant is not None
        running = Running(waiter.grant, waiter.kind)
        self._running[waiter.grant.grant_id] = running
        return running

    def finished(self, running: Running) -> Iterator[Outgoing]:
        """
        Free the slot of a request that has ended.

        :param running: the request, its units final
        :return: the last progress message
        """
        grant = running.grant
        self._running.pop(grant.grant_id, None)
        self.estimates.learn(grant.pool, grant.team, running.kind, running.units)
        scheduler_id = self._membership.scheduler_of(grant.upstream_id)
        if scheduler_id is not None:
            yield Outgoing(scheduler_id, Progress((_progress(running, done=True),)))

    def returned(self, grant: Grant, scheduler_id: str, connect_failed: bool) -> Iterator[Outgoing]:
        """
        Give a grant back unused.

        :param grant: the grant
        :param scheduler_id: who gave it
        :param connect_failed: whether the upstream could not be reached
        :return: the message
        """
        self._running.pop(grant.grant_id, None)
        message = GrantReturn(
            grant.grant_id, grant.pool, grant.upstream_id, grant.team, connect_failed
        )
        yield Outgoing(scheduler_id, message)

    def predicted_wait_s(self, key: TeamKey, urgency: Urgency, now_s: float) -> float | None:
        """
        Predict the wait of a new request from the rate of grants while something waited.

        :param key: pool and team
        :param urgency: only work that is as urgent or more goes before it
        :param now_s: current time
        :return: seconds, or ``None`` without enough grants to tell
        """
        ahead_count = sum(one.urgency >= urgency for one in self.backlog.waiting(key))
        return self._rates.predicted_wait_s(key, ahead_count, now_s)

    def has_upstreams(self, pool: str) -> bool:
        """
        Tell whether anything could serve a pool.

        :param pool: name of the pool
        :return: whether a live upstream is known
        """
        return bool(self._membership.upstreams(pool))

    def running_count(self) -> int:
        """:return: requests that run"""
        return len(self._running)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Use or return a grant, or note where slots are free.

        :param sender: the scheduler
        :param message: ``Grant`` or ``FreeSlots``
        :param now_s: current time
        :return: messages to schedulers
        """
        match message:
            case Grant():
                yield from self._use(sender, message, now_s)
            case FreeSlots(pool, _):
                yield from self._offer(sender.host_id, pool, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Announce what has changed or is due, and report progress.

        :param now_s: current time
        :return: messages to schedulers
        """
        # Upstreams may have moved to another scheduler, which knows nothing of the demand.
        moved = self._seen_version != self._membership.version
        self._seen_version = self._membership.version
        due = {
            key
            for key in self.backlog.keys_waiting()
            if moved or now_s - self._announced_s.get(key, 0.0) > ANNOUNCE_EVERY_S
        }
        for key in due | set(self._changed_enough(now_s)):
            yield from self._announce(key, now_s)
        self._expire(now_s)
        for key in [key for key in self._rates.waiting_keys() if not self.backlog.waiting(key)]:
            self._rates.observe(key, now_s, waits=False)
        if now_s >= self._progress_due_s:
            self._progress_due_s = now_s + PROGRESS_EVERY_S
            yield from self._report_progress()

    def _note_change(self, key: TeamKey) -> None:
        self._changes[key] = self._changes.get(key, 0) + 1

    def _changed_enough(self, now_s: float) -> Iterator[TeamKey]:
        """
        Find what has to be announced anew.

        Schedulers count down what they grant. Announcing each change of a long queue took most of
        the messages of a loaded router and told them nothing that changes a decision.
        """
        for key in self._changes:
            if (
                not self.backlog.waiting(key)
                or self._changed_much(key)
                or now_s - self._announced_s.get(key, 0.0) >= CHANGED_AFTER_S
            ):
                yield key

    def _changed_much(self, key: TeamKey) -> bool:
        known_count = self._announced_counts.get(key, 0)
        return self._changes.get(key, 0) >= CHANGED_RATIO * known_count

    def _expire(self, now_s: float) -> None:
        for waiter in [one for one in self.backlog.all() if one.deadline_s <= now_s]:
            self.withdraw(waiter)
            waiter.error = RequestError(
                "wait_too_long",
                f"no slot was free within {now_s - waiter.arrived_s:.0f} s",
                retry_after_s=10.0,
            )
            waiter.wake()

    def _use(self, sender: Sender, grant: Grant, now_s: float) -> Iterator[Outgoing]:
        key = TeamKey(grant.pool, grant.team)
        live = frozenset(one.upstream_id for one in self._membership.upstreams(grant.pool))
        waiter = self.backlog.pick(key, grant.upstream_id, live)
        if waiter is None:
            yield from self.returned(grant, sender.host_id, False)
            self._note_change(key)
            return
        waiter.grant = grant
        waiter.scheduler_id = sender.host_id
        waiter.wake()
        self._note_change(key)
        self._rates.observe(key, now_s, waits=bool(self.backlog.waiting(key)), granted_count=1)

    def _offer(self, scheduler_id: str, pool: str, now_s: float) -> Iterator[Outgoing]:
        self._free_until_s[(pool, scheduler_id)] = now_s + FREE_LIFETIME_S
        for key in [key for key in self.backlog.keys_waiting() if key.pool == pool]:
            if scheduler_id not in self._announced.get(key, ()):
                yield from self._announce(key, now_s)

    def _announce(self, key: TeamKey, now_s: float) -> Iterator[Outgoing]:
        self._changes.pop(key, None)
        self._announced_s[key] = now_s
        demand = self._demand(key, now_s)
        self._announced_counts[key] = demand.waiting_count
        targets = self._targets(key, now_s) if demand.waiting_count else ()
        before = self._announced.get(key, ())
        for scheduler_id in targets:
            yield Outgoing(scheduler_id, demand)
        withdrawn = demand._replace(waiting_count=0, urgent_count=0)
        for scheduler_id in before:
            if scheduler_id not in targets:
                yield Outgoing(scheduler_id, withdrawn)
        if targets:
            self._announced[key] = targets
        else:
            self._announced.pop(key, None)
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
            urgent_count=sum(one.urgency is Urgency.URGENT for one in waiting),
            oldest_age_s=round(now_s - waiting[0].arrived_s, 3) if waiting else 0.0,
            estimate_units=(
                round(sum(one.estimate_units for one in waiting) / count, 1) if count else 0.0
            ),
        )

    def _targets(self, key: TeamKey, now_s: float) -> tuple[str, ...]:
        slots = self._membership.scheduler_slots(key.pool)
        match self._policy:
            case FirstCome():
                chosen = tuple(slots)
            case _:
                chosen = self._spread(key, slots)
        free = tuple(
            scheduler_id
            for (pool, scheduler_id), until_s in self._free_until_s.items()
            if pool == key.pool and until_s > now_s and scheduler_id in slots
        )
        return tuple(dict.fromkeys(chosen + free))

    def _spread(self, key: TeamKey, slots: dict[str, int]) -> tuple[str, ...]:
        """Choose schedulers anew only after a change of the deployment or of the share."""
        ratio = self._following.share_ratio(key.pool, key.team)
        basis = (self._membership.version, ratio)
        before = self._chosen.get(key)
        if before is not None and before[0] == basis:
            return before[1]
        chosen = placement.spread(key.pool, key.team, ratio, slots)
        self._chosen[key] = (basis, chosen)
        return chosen

    def _report_progress(self) -> Iterator[Outgoing]:
        by_scheduler: dict[str, list[GrantProgress]] = {}
        for running in self._running.values():
            scheduler_id = self._membership.scheduler_of(running.grant.upstream_id)
            if scheduler_id is not None:
                by_scheduler.setdefault(scheduler_id, []).append(_progress(running, done=False))
        for scheduler_id, grants in by_scheduler.items():
            yield Outgoing(scheduler_id, Progress(tuple(grants)))


def _progress(running: Running, *, done: bool) -> GrantProgress:
    grant = running.grant
    return GrantProgress(
        grant.grant_id, grant.upstream_id, grant.pool, grant.team, round(running.units, 1), done
    )


__all__ = ["DemandController", "Running"]
