"""The controllers and routers that a router knows of, starting from seeds alone."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

from camphorvalve.wire.messages import Roster, RosterUnchanged

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.controllers.runtime import Outgoing, Sender
    from camphorvalve.wire.messages import RosterRouter

VIEW_LIFETIME_S = 3.0
"""Three polls without an answer; a view that is older counts only if there is no newer one."""

_log = structlog.get_logger(__name__)


class _View(NamedTuple):
    roster: Roster
    heard_s: float


class RosterController:
    """Owns this router's list of processes, merged from the rosters of all controllers."""

    name = "roster"
    tick_s = 1.0
    accepts = (Roster, RosterUnchanged)

    def __init__(self, seeds: Iterable[str]) -> None:
        """
        Start with the seeds.

        :param seeds: ids of some controllers
        """
        self._seeds = tuple(seeds)
        self._views: dict[str, _View] = {}

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """
        Replace the seeds, as the settings have changed.

        :param seeds: ids of some controllers
        """
        self._seeds = tuple(seeds)

    def controller_ids(self) -> Iterable[str]:
        """:return: ids of all controllers that are known, the seeds included"""
        known = dict.fromkeys(self._seeds)
        for view in self._views.values():
            known.update(dict.fromkeys(view.roster.controllers))
        return known

    def live_controller_ids(self) -> Iterable[str]:
        """:return: ids of the controllers that answered lately, of all known ones if none did"""
        return self._views.keys() or self.controller_ids()

    def roster_version(self, controller_id: str) -> int:
        """
        Tell which roster of a controller is held.

        :param controller_id: the controller
        :return: its version, 0 without one
        """
        view = self._views.get(controller_id)
        return 0 if view is None else view.roster.version

    def routers(self) -> list[RosterRouter]:
        """:return: routers that any controller has heard and none has heard leave"""
        found: dict[str, RosterRouter] = {}
        for view in self._views.values():
            for router in view.roster.routers:
                known = found.get(router.router_id)
                if known is None or router.leaving:
                    found[router.router_id] = router
        return [router for router in found.values() if not router.leaving]

    def routers_count(self) -> int:
        """:return: routers that accept callers"""
        return len(self.routers())

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Take a roster, or note that the held one is still valid.

        :param sender: the controller
        :param message: ``Roster`` or ``RosterUnchanged``
        :param now_s: monotonic time
        :return: nothing
        """
        known = self._views.get(sender.host_id)
        match message:
            case Roster():
                self._views[sender.host_id] = _View(message, now_s)
                _log.info(
                    "roster received",
                    controller_id=sender.host_id,
                    version=message.version,
                    controllers=list(message.controllers),
                    routers_count=len(message.routers),
                )
            case RosterUnchanged(version) if known and known.roster.version == version:
                self._views[sender.host_id] = known._replace(heard_s=now_s)
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget controllers that fell silent while others answer.

        :param now_s: monotonic time
        :return: nothing
        """
        fresh = {
            controller_id: view
            for controller_id, view in self._views.items()
            if now_s - view.heard_s <= VIEW_LIFETIME_S
        }
        if fresh:
            self._views = fresh
        yield from ()


__all__ = ["RosterController"]
