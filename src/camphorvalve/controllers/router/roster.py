"""Discovers controllers and routers, starting from configured seed controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

from camphorvalve.wire.messages import Roster, RosterChange, RosterUnchanged

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.controllers.runtime import Outgoing, Sender
    from camphorvalve.wire.messages import RosterRouter

ROSTER_LIFETIME_S = 3.0
"""Three polls without an answer; an older roster is used only if there is no newer one."""

_log = structlog.get_logger(__name__)


class _ReceivedRoster(NamedTuple):
    roster: Roster
    heard_s: float


class KnownControllers(NamedTuple):
    """Ids of controllers, by what a router knows of them."""

    known_ids: tuple[str, ...]
    """All, the seeds included."""
    live_ids: tuple[str, ...]
    """Those that answered recently, or all known ones if none did."""
    member_ids: tuple[str, ...]
    """Members of the group, none before the first roster."""


class RosterController:
    """Owns this router's list of controllers and routers, merged from the rosters it received."""

    name = "roster"
    tick_s = 1.0
    accepts = (Roster, RosterChange, RosterUnchanged)

    def __init__(self, seeds: Iterable[str]) -> None:
        """
        Start with the seeds.

        :param seeds: ids of some controllers
        """
        self._seeds = tuple(seeds)
        self._rosters: dict[str, _ReceivedRoster] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """
        Replace the seeds after a change of the settings.

        :param seeds: ids of some controllers
        """
        self._seeds = tuple(seeds)

    def controller_ids(self) -> Iterable[str]:
        """:return: ids of all known controllers, including the seeds"""
        known = dict.fromkeys(self._seeds)
        for received in self._rosters.values():
            known.update(dict.fromkeys(received.roster.controllers))
        return known

    def controllers(self) -> KnownControllers:
        """:return: the controllers, by what is known of them"""
        members = dict.fromkeys(
            controller_id
            for received in self._rosters.values()
            for controller_id in received.roster.controllers
        )
        return KnownControllers(
            tuple(self.controller_ids()), tuple(self.live_controller_ids()), tuple(members)
        )

    def live_controller_ids(self) -> Iterable[str]:
        """:return: ids of controllers that answered recently, or of all known ones if none did"""
        return self._rosters.keys() or self.controller_ids()

    def roster_version(self, controller_id: str) -> int:
        """
        Return the version of the roster last received from a controller.

        :param controller_id: id of the controller
        :return: the version, 0 without a roster
        """
        received = self._rosters.get(controller_id)
        return 0 if received is None else received.roster.version

    def routers(self) -> list[RosterRouter]:
        """:return: routers that any controller lists and none lists as leaving"""
        by_id: dict[str, RosterRouter] = {}
        for received in self._rosters.values():
            for router in received.roster.routers:
                known = by_id.get(router.router_id)
                if known is None or router.leaving:
                    by_id[router.router_id] = router
        return [router for router in by_id.values() if not router.leaving]

    def age_s(self, now_s: float) -> float:
        """
        Return the age of the roster heard last.

        :param now_s: monotonic time
        :return: time since any controller confirmed its roster, 0 without a roster
        """
        heard_s = (received.heard_s for received in self._rosters.values())
        return now_s - max(heard_s, default=now_s)

    def routers_count(self) -> int:
        """:return: number of routers that accept callers"""
        return len(self.routers())

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Store or change a roster, or record that the stored one is still valid.

        :param sender: the controller
        :param message: ``Roster``, ``RosterChange`` or ``RosterUnchanged``
        :param now_s: monotonic time
        :return: no messages
        """
        known = self._rosters.get(sender.host_id)
        match message:
            case Roster():
                self._store(sender.host_id, message, now_s)
            case RosterChange(from_version) if known and known.roster.version == from_version:
                self._store(sender.host_id, _apply(known.roster, message), now_s)
            case RosterUnchanged(version) if known and known.roster.version == version:
                self._rosters[sender.host_id] = known._replace(heard_s=now_s)
        yield from ()

    def _store(self, controller_id: str, roster: Roster, now_s: float) -> None:
        self._rosters[controller_id] = _ReceivedRoster(roster, now_s)
        _log.info(
            "roster received",
            controller_id=controller_id,
            version=roster.version,
            controllers=list(roster.controllers),
            routers_count=len(roster.routers),
        )

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Drop the rosters of silent controllers, unless all controllers are silent.

        :param now_s: monotonic time
        :return: no messages
        """
        fresh = {
            controller_id: received
            for controller_id, received in self._rosters.items()
            if now_s - received.heard_s <= ROSTER_LIFETIME_S
        }
        if fresh:
            self._rosters = fresh
        yield from ()


def _apply(roster: Roster, change: RosterChange) -> Roster:
    routers = {router.router_id: router for router in roster.routers}
    for removed_id in change.removed_ids:
        routers.pop(removed_id, None)
    routers.update((router.router_id, router) for router in change.changed)
    return Roster(change.version, change.controllers, tuple(routers.values()))


__all__ = ["KnownControllers", "RosterController"]
