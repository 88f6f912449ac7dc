"""Tracks which routers are alive from the messages a controller receives; not replicated."""

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
"""Silence after which a router is no longer listed for callers: two missed polls of 1 s and the
time that a poll takes."""
LOWER_INCARNATION_AFTER_S = 1.5
"""Silence after which a lower incarnation is taken to be the process that runs now: a delayed
message of an ended process arrives sooner, and a running process polls every second."""
FORGET_AFTER_S = 3600.0
"""Silence after which a router is no longer reported; its host has been replaced by then."""


@dataclass(slots=True)
class Router:
    """Newest known incarnation of a router and its newest poll."""

    router_id: str
    incarnation: int
    heard_s: float
    poll: ConfigPoll | None = None


@dataclass(slots=True)
class Presence:
    """All routers that this controller has received messages from."""

    lost_s: float
    """Silence after which a router counts as lost."""
    started_s: float
    """Start of this controller or of its newest leadership; silence is measured from then at the
earliest."""
    routers: dict[str, Router] = field(default_factory=dict)
    version: int = 0
    """Increases when a router is new or its entry in the roster changes."""

    def record_message(self, sender: Sender, poll: ConfigPoll | None, now_s: float) -> None:
        """
        Record that a message arrived; one of a lower incarnation is ignored while messages of the
        higher one still arrive.

        Incarnations come from the wall clock, which may be set back between two starts.

        :param sender: the router
        :param poll: the message if it is a poll, else ``None``
        :param now_s: monotonic time
        """
        known = self.routers.get(sender.host_id)
        newer = known is None or sender.incarnation > known.incarnation
        if newer or (
            sender.incarnation < known.incarnation
            and now_s - known.heard_s > LOWER_INCARNATION_AFTER_S
        ):
            known = Router(sender.host_id, sender.incarnation, now_s)
            self.routers[sender.host_id] = known
            self.version += 1
        if sender.incarnation == known.incarnation:
            known.heard_s = now_s
            if poll is not None:
                self.version += _listed_fields(poll) != _listed_fields(known.poll)
                known.poll = poll

    def roster(self, controllers: Iterable[str], now_s: float) -> Roster:
        """
        List the controllers, and the routers that accept callers.

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
                router.poll.cores,
            )
            for router in sorted(self.routers.values(), key=lambda router: router.router_id)
            if router.poll is not None and now_s - router.heard_s <= ROSTER_SILENCE_S
        )
        content = (tuple(sorted(controllers)), routers)
        return Roster(xxhash.xxh32_intdigest(msgspec.msgpack.encode(content)), *content)

    def is_lost(self, router_id: str, incarnation: int, now_s: float) -> bool:
        """
        Check whether an incarnation of a router was replaced by a newer one or is silent too long.

        :param router_id: id of the router
        :param incarnation: its incarnation
        :param now_s: monotonic time
        :return: whether its work may be reassigned
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
        Find the routers that may be assigned work.

        :param now_s: monotonic time
        :return: routers that sent a message recently, have polled and are not leaving
        """
        for router in self.routers.values():
            accepts_work = router.poll is not None and not router.poll.leaving
            if accepts_work and now_s - router.heard_s <= self.lost_s:
                yield router

    def forget(self, now_s: float) -> None:
        """
        Drop routers that have been silent for longer than ``FORGET_AFTER_S``.

        :param now_s: monotonic time
        """
        for router_id in list(self.routers):
            if now_s - self.routers[router_id].heard_s > FORGET_AFTER_S:
                del self.routers[router_id]


def _listed_fields(poll: ConfigPoll | None) -> tuple[str, str, bool] | None:
    return None if poll is None else (poll.data_centre, poll.caller_address, poll.leaving)


__all__ = ["Presence", "Router"]
