"""What a controller knows of the routers, from their messages; never replicated."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec
import xxhash

from camphorvalve.wire.messages import Roster, RosterRouter

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.wire.messages import ConfigPoll

ROSTER_SILENCE_S = 2.5
"""Two missed polls of 1 s and the time that a poll takes; callers are not sent there then."""
SUCCEEDED_S = 1.5
"""Silence after which a lower incarnation is the process that runs now: a late message of an older
process arrives sooner, and a running one polls every second."""
FORGET_S = 3600.0
"""Silence after which a router is no longer reported; its host was replaced by then."""


@dataclass(slots=True)
class Router:
    """One router and its newest poll."""

    router_id: str
    incarnation: int
    heard_s: float
    poll: ConfigPoll | None = None


@dataclass(slots=True)
class Presence:
    """All routers that this controller has heard."""

    lost_s: float
    """Silence after which a router counts as lost."""
    started_s: float
    """When this controller began to listen as leader; silence is counted from then at least."""
    routers: dict[str, Router] = field(default_factory=dict)

    def note(self, sender: Sender, poll: ConfigPoll | None, now_s: float) -> None:
        """
        Take a message; one of an older incarnation is dropped while the newer one is heard.

        Incarnations come from the time of day, which may jump back between two starts.

        :param sender: the router
        :param poll: its poll, or ``None`` for another message
        :param now_s: monotonic time
        """
        known = self.routers.get(sender.host_id)
        newer = known is None or sender.incarnation > known.incarnation
        if newer or (
            sender.incarnation < known.incarnation and now_s - known.heard_s > SUCCEEDED_S
        ):
            known = Router(sender.host_id, sender.incarnation, now_s)
            self.routers[sender.host_id] = known
        if sender.incarnation == known.incarnation:
            known.heard_s = now_s
            known.poll = poll or known.poll

    def roster(self, controllers: Iterable[str], now_s: float) -> Roster:
        """
        List the processes that other processes may turn to.

        :param controllers: ids of the controllers
        :param now_s: monotonic time
        :return: the roster
        """
        routers = tuple(
            RosterRouter(
                router.router_id,
                router.poll.data_centre,
                router.poll.caller_address,
                router.poll.leaving,
            )
            for router in sorted(self.routers.values(), key=lambda one: one.router_id)
            if router.poll is not None and now_s - router.heard_s <= ROSTER_SILENCE_S
        )
        content = (tuple(sorted(controllers)), routers)
        return Roster(xxhash.xxh32_intdigest(msgspec.msgpack.encode(content)), *content)

    def is_lost(self, router_id: str, incarnation: int, now_s: float) -> bool:
        """
        Tell whether an incarnation of a router is gone for good or silent for too long.

        :param router_id: id of the router
        :param incarnation: its incarnation
        :param now_s: monotonic time
        :return: whether its work may move
        """
        known = self.routers.get(router_id)
        if known is not None and known.incarnation > incarnation:
            return True
        heard_s = self.started_s
        if known is not None and known.incarnation == incarnation:
            heard_s = max(heard_s, known.heard_s)
        return now_s - heard_s > self.lost_s

    def live(self, now_s: float) -> Iterator[Router]:
        """
        Find the routers that may get work.

        :param now_s: monotonic time
        :return: routers that were heard recently and are not leaving
        """
        for router in self.routers.values():
            staying = router.poll is not None and not router.poll.leaving
            if staying and now_s - router.heard_s <= self.lost_s:
                yield router

    def forget(self, now_s: float) -> None:
        """
        Drop routers that have been silent for very long.

        :param now_s: monotonic time
        """
        for router_id in list(self.routers):
            if now_s - self.routers[router_id].heard_s > FORGET_S:
                del self.routers[router_id]


__all__ = ["Presence", "Router"]
