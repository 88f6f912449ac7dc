"""Bounds the requests of this router to upstreams that are cold."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import structlog

from camphorvalve.sharing.coldstarts import (
    ColdBound,
    ColdUpstreams,
    RecentRouters,
    own_seats_count,
    seats_count,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Iterator, Mapping, Sequence

    from camphorvalve.controllers.router.roster import KnownControllers
    from camphorvalve.controllers.runtime import Outgoing, Sender
    from camphorvalve.model.routes import ColdStart
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.wire.messages import RosterRouter

IN_TOUCH_S = 2.5
"""Age of the newest roster above which this router is out of touch: controllers list a silent
router no longer."""
COLD_TICK_S = 0.1
"""Interval at which requests that wait learn of free seats."""
IDLE_TICK_S = 0.5
ROSTER_INTERVAL_S = 0.45
"""Interval at which the roster is read: merging nine of 63 routers takes 0.4 ms."""

_log = structlog.get_logger(__name__)


class RosterView(Protocol):
    """What this router knows of the fleet."""

    def routers(self) -> Sequence[RosterRouter]:
        """:return: routers that accept callers"""

    def controllers(self) -> KnownControllers:
        """:return: the controllers, by what is known of them"""

    def age_s(self, now_s: float) -> float:
        """
        Return the age of the roster heard last.

        :param now_s: monotonic time
        :return: the age
        """


class _Seats(NamedTuple):
    """Seats of an upstream that this router holds."""

    routers: frozenset[str]
    """Routers among which they were divided."""
    count: int
    own_count: int


class ColdStartsController:
    """Owns which upstreams are cold and which of their seats this router holds."""

    name = "coldstarts"
    accepts = ()

    def __init__(
        self,
        router_id: str,
        roster: RosterView,
        cold_start: Callable[[str], ColdStart | None],
        bound: ColdBound,
        on_free: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """
        Start without cold upstreams.

        :param router_id: id of this router
        :param roster: what it knows of the fleet
        :param cold_start: returns how the upstreams of a pool start, ``None`` if never cold
        :param bound: how far the rate of cold upstreams may be exceeded
        :param on_free: called when requests that wait may find a free seat
        :param clock: monotonic time
        """
        self._router_id = router_id
        self._roster = roster
        self._cold_start = cold_start
        self._bound = bound
        self._on_free = on_free
        self._clock = clock
        self._recent = RecentRouters()
        self._observed_s = float("-inf")
        self._cold = ColdUpstreams(cold_start)
        self._pools: dict[str, str] = {}
        """Pool of each upstream that is listed."""
        self._seats: dict[str, _Seats] = {}
        self.requests_count = 0
        """Requests that this router has sent to cold upstreams."""

    @property
    def tick_s(self) -> float:
        """:return: time until requests that wait are told of free seats"""
        return COLD_TICK_S if self._cold.states() else IDLE_TICK_S

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Do nothing, as no messages are accepted.

        :param sender: the sending process
        :param message: the message
        :param now_s: monotonic time
        :return: no messages
        """
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Follow the roster, and end the time of upstreams that are no longer cold.

        :param now_s: monotonic time
        :return: no messages
        """
        if now_s - self._observed_s >= ROSTER_INTERVAL_S:
            self._observed_s = now_s
            router_ids = [router.router_id for router in self._roster.routers()]
            self._recent.observe(router_ids, now_s, in_touch=self._is_in_touch(now_s))
        before = set(self._cold.states())
        ended = self._cold.expire(now_s)
        self._log_ended(before)
        if ended or self._open_ids(self._cold.states(), now_s):
            self._on_free()
        yield from ()

    def apply(
        self, previous: Mapping[str, Upstream], current: Mapping[str, Upstream], read_s: float
    ) -> None:
        """
        Apply a list of upstreams.

        :param previous: the list used before, by id
        :param current: the new list, by id
        :param read_s: when it was read, in monotonic time
        """
        now_s = self._clock()
        self._pools = {upstream_id: upstream.pool for upstream_id, upstream in current.items()}
        before = set(self._cold.states())
        new_ids = list(self._cold.apply_list(previous, current, read_s, now_s))
        self._log_new(new_ids, "listed", read_s, now_s)
        self._log_ended(before)

    def confirm(self, read_s: float) -> bool:
        """
        Record that the list was read again without changes.

        :param read_s: when it was read, in monotonic time
        :return: whether an upstream no longer counts as cold by it
        """
        before = set(self._cold.states())
        confirmed = self._cold.confirm(read_s)
        self._log_ended(before)
        return bool(confirmed)

    def suspect(self, upstreams: Iterable[Upstream], cause: str) -> None:
        """
        Count upstreams as cold until the list shows whether they are.

        :param upstreams: upstreams that may have become cold just before
        :param cause: why, for the log
        """
        now_s = self._clock()
        self._log_new(list(self._cold.suspect(upstreams, now_s)), cause, None, now_s)

    def usable(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """
        Leave out the cold upstreams that may get nothing from this router now.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: the others
        """
        if not self._cold.states():
            return upstream_ids
        cold_ids = self.cold_ids(upstream_ids, now_s)
        closed_ids = set(cold_ids).difference(self._open_ids(cold_ids, now_s))
        return [upstream_id for upstream_id in upstream_ids if upstream_id not in closed_ids]

    def cold_ids(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """
        Return which upstreams are cold or may be.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: these upstreams
        """
        if not self._cold.states():
            return ()
        return [key for key in upstream_ids if self._cold.is_cold(key, now_s)]

    def record_request(self, upstream_id: str, now_s: float) -> None:
        """
        Record that this router sends a request to an upstream.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        """
        if self._cold.is_cold(upstream_id, now_s):
            self._cold.take(upstream_id, now_s)
            self.requests_count += 1

    def cold_count(self) -> int:
        """:return: number of upstreams that are cold or may be"""
        return len(self._cold.states())

    def _open_ids(self, cold_ids: Collection[str], now_s: float) -> list[str]:
        """Return the cold upstreams at which a seat of this router is free."""
        if not cold_ids or not self._recent.is_settled(now_s) or not self._is_in_touch(now_s):
            return []
        return [
            upstream_id
            for upstream_id in cold_ids
            if self._cold.opens_in_s(upstream_id, self._seats_of(upstream_id).own_count, now_s) <= 0
        ]

    def _is_in_touch(self, now_s: float) -> bool:
        """
        Tell whether more than half of the controllers have answered lately.

        Any two routers of which this holds share a controller, so that the lower-ranked one knows
        the other.
        """
        controllers = self._roster.controllers()
        members = set(controllers.member_ids)
        heard_count = len(members.intersection(controllers.live_ids))
        return 2 * heard_count > len(members) and self._roster.age_s(now_s) <= IN_TOUCH_S

    def _seats_of(self, upstream_id: str) -> _Seats:
        routers = self._recent.ids
        known = self._seats.get(upstream_id)
        if known is not None and known.routers is routers:
            return known
        cold_start = self._cold_start(self._pools.get(upstream_id, ""))
        count = 0 if cold_start is None else seats_count(cold_start, self._bound)
        own_count = own_seats_count(upstream_id, self._router_id, routers, count)
        seats = self._seats[upstream_id] = _Seats(routers, count, own_count)
        return seats

    def _log_new(
        self, upstream_ids: Sequence[str], cause: str, read_s: float | None, now_s: float
    ) -> None:
        for upstream_id in upstream_ids:
            seats = self._seats_of(upstream_id)
            _log.info(
                "upstream cold",
                upstream_id=upstream_id,
                cause=cause,
                left_s=round(self._cold.states()[upstream_id].end_s - now_s, 3),
                list_age_s=None if read_s is None else round(now_s - read_s, 3),
                seats_count=seats.count,
                own_seats_count=seats.own_count,
                routers_count=len(seats.routers),
                is_settled=self._recent.is_settled(now_s),
            )

    def _log_ended(self, before: set[str]) -> None:
        ended = sorted(before - self._cold.states().keys())
        for upstream_id in ended:
            self._seats.pop(upstream_id, None)
        if ended:
            _log.info("upstreams no longer cold", upstream_ids=ended)


__all__ = ["ColdStartsController"]
