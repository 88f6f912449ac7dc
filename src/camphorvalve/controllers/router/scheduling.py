"""The scheduler's side of scheduling: receives demand from entry routers and issues grants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.wire.messages import Demand, FreeSlots, GrantReturn, Progress

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.sharing.scheduler import Scheduler

FREE_SLOTS_INTERVAL_S = 1.0
"""Interval of ``FreeSlots`` messages. At 0.5 s, they were half of all messages of an idle fleet of
8 routers."""
FREE_SLOTS_PEERS_COUNT = 8
"""Receivers of each ``FreeSlots`` message; fixed, so that traffic does not grow with the fleet."""


class SchedulingController:
    """Owns the slots of the upstreams that this router schedules."""

    name = "scheduling"
    tick_s = 0.25
    accepts = (Demand, Progress, GrantReturn)

    def __init__(
        self, scheduler: Scheduler, membership: MembershipController, rng: random.Random
    ) -> None:
        """
        Start without upstreams.

        :param scheduler: makes the scheduling decisions
        :param membership: this router's view of the deployment
        :param rng: selects the receivers of ``FreeSlots``
        """
        self._scheduler = scheduler
        self._membership = membership
        self._rng = rng
        self._seen_membership_version = -1
        self._free_slots_due_s = 0.0

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Process demand, progress or a returned grant, and issue grants for free slots.

        :param sender: the entry router
        :param message: ``Demand``, ``Progress`` or ``GrantReturn``
        :param now_s: current time
        :return: grants
        """
        self._refresh_upstreams()
        match message:
            case Demand():
                self._scheduler.announce(sender.host_id, message, now_s)
            case Progress(grants):
                for report in grants:
                    self._scheduler.progress(sender.host_id, report, now_s)
            case GrantReturn(grant_id=grant_id, connect_failed=connect_failed):
                self._scheduler.return_grant(sender.host_id, grant_id, connect_failed, now_s)
        yield from self._grant(now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Expire old state, issue grants for free slots, and announce slots that remain free.

        :param now_s: current time
        :return: grants and announcements of free slots
        """
        self._refresh_upstreams()
        for host_id in self._membership.take_restarted_routers():
            self._scheduler.forget_entry(host_id, now_s)
        self._scheduler.expire(now_s)
        yield from self._grant(now_s)
        if now_s >= self._free_slots_due_s:
            self._free_slots_due_s = now_s + FREE_SLOTS_INTERVAL_S
            yield from self._announce_free_slots()

    def _refresh_upstreams(self) -> None:
        if self._seen_membership_version == self._membership.version:
            return
        self._seen_membership_version = self._membership.version
        view = self._membership.view()
        pool_slots = {
            pool: sum(upstream.slots_count for upstream in upstreams)
            for pool, upstreams in view.by_pool.items()
        }
        self._scheduler.set_upstreams(view.scheduled_by(self._membership.self_id), pool_slots)

    def _grant(self, now_s: float) -> Iterator[Outgoing]:
        for entry_id, grant in self._scheduler.choose(now_s):
            yield Outgoing(entry_id, grant)

    def _announce_free_slots(self) -> Iterator[Outgoing]:
        peers = [router.host_id for router in self._membership.live_routers()]
        for pool, slots_count in self._scheduler.free_slots().items():
            for peer_id in self._rng.sample(peers, min(FREE_SLOTS_PEERS_COUNT, len(peers))):
                yield Outgoing(peer_id, FreeSlots(pool, slots_count))


__all__ = ["SchedulingController"]
