"""Answers callers that look up routers, from what this router knows of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import structlog

from camphorvalve.controllers.router.shares import MAX_LOGGED_AGE_S
from camphorvalve.sharing.directory import NamedRouter, choose_routers

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.router.roster import RosterController
    from camphorvalve.controllers.router.shares import SharesController
    from camphorvalve.sharing.directory import CallerPlace

_log = structlog.get_logger(__name__)


class OwnPlace(NamedTuple):
    """Where this router is."""

    host_id: str
    data_centre: str
    caller_address: str
    """IP address and port that listen for callers."""
    cores: float = 0.0
    """Ordinary cores that it may use; 0 if unknown."""


class Directory:
    """Names routers to callers, from the roster and the sums of the fleet's reports."""

    def __init__(
        self,
        own: OwnPlace,
        roster: RosterController,
        shares: SharesController,
        is_ready: Callable[[], bool],
        is_pressed: Callable[[float], bool],
    ) -> None:
        """
        Create the directory.

        :param own: where this router is
        :param roster: lists the routers
        :param shares: knows which of them are pressed or have stopped reporting
        :param is_ready: tells whether this router serves callers
        :param is_pressed: tells whether this router has too much to do, by monotonic time
        """
        self._own = own
        self._roster = roster
        self._shares = shares
        self._is_ready = is_ready
        self._is_pressed = is_pressed

    def addresses(self, place: CallerPlace, max_count: int, now_s: float) -> list[str]:
        """
        Name routers to a caller.

        :param place: the caller
        :param max_count: greatest number of routers to name
        :param now_s: monotonic time
        :return: their addresses
        """
        silent_ids = self._shares.silent_ids(now_s)
        routers = self._routers(silent_ids, now_s) or self._routers(frozenset(), now_s)
        addresses = choose_routers(routers, place, max_count)
        _log.info(
            "routers named to a caller",
            caller=place.caller_id,
            near=[sorted(data_centres) for data_centres in place.near],
            named_count=len(addresses),
            routers_count=len(routers),
            pressed_count=sum(router.is_pressed for router in routers),
            silent_count=len(silent_ids),
            roster_age_s=round(self._roster.age_s(now_s), 3),
            totals_age_s=round(min(MAX_LOGGED_AGE_S, self._shares.totals_age_s(now_s)), 3),
        )
        return addresses

    def _routers(self, silent_ids: frozenset[str], now_s: float) -> list[NamedRouter]:
        own, pressed_ids = self._own, self._shares.pressed_ids(now_s)
        routers = [
            NamedRouter(
                router.caller_address,
                router.data_centre,
                router.router_id in pressed_ids,
                router.cores,
            )
            for router in self._roster.routers()
            if router.router_id not in silent_ids and router.router_id != own.host_id
        ]
        if self._is_ready():
            is_pressed = self._is_pressed(now_s)
            routers.append(NamedRouter(own.caller_address, own.data_centre, is_pressed, own.cores))
        return routers


__all__ = ["Directory", "OwnPlace"]
