"""
How many requests an upstream that has just started gets from the whole fleet.

A cold upstream has a fixed number of seats. A seat admits one request in ``SEAT_INTERVAL_S``, and
rendezvous hashing gives each seat to one router, so that no message is needed for a request.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.sharing.notices import has_restarted
from camphorvalve.sharing.placement import ranked

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from camphorvalve.model.routes import ColdStart
    from camphorvalve.model.upstreams import Upstream

WINDOW_S = 1.0
"""Time in which the requests to a cold upstream are counted."""
ARRIVAL_SPREAD_S = 0.15
"""Longest difference between the times that two requests are on their way, for which the bound
holds even while two views of the roster are in use."""
SEAT_INTERVAL_S = WINDOW_S + ARRIVAL_SPREAD_S
VIEWS_COUNT = 2
"""Views of the roster that may be in use at once, each with seats of its own."""
TAKEOVER_S = 2.0
"""Time for which a router that has left the roster keeps its place, and after which a router that
is in touch may use its seats. A router out of touch stops earlier: controllers list it for 2.5 s
after its last poll, others poll the roster every second."""
LIST_LAG_S = 1.0
"""Time by which the list of upstreams lags when it is read, with some to spare."""


class ColdBound(NamedTuple):
    """How far the requests to a cold upstream may exceed its rate, in one second."""

    overage_ratio: float = 1.0
    slack_count: float = 0.0


@dataclass(frozen=True, slots=True)
class Cold:
    """The list says how long the upstream stays cold."""

    opens_s: float
    """When its seats may be used."""
    end_s: float


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The upstream may be cold without the list showing it yet."""

    opens_s: float
    confirmed_by_s: float
    """A list that was read then or later shows whether it is cold."""
    end_s: float
    """Longest time for which it can be cold, in case the list can't be read."""


ColdState = Cold | Unconfirmed


def seats_count(cold: ColdStart, bound: ColdBound) -> int:
    """
    Return how many seats a cold upstream has.

    :param cold: rate that the upstream bears
    :param bound: how far it may be exceeded
    :return: seats that stay within the rate, and within the bound in ``VIEWS_COUNT`` views at once;
        0 if the bound is too low for one in each
    """
    allowed_count = math.floor(cold.rate_per_s * bound.overage_ratio + bound.slack_count)
    within_rate = max(1, math.floor(cold.rate_per_s * SEAT_INTERVAL_S))
    return min(within_rate, allowed_count // VIEWS_COUNT)


def own_seats_count(upstream_id: str, router_id: str, routers: Iterable[str], count: int) -> int:
    """
    Return how many seats of an upstream a router holds.

    :param upstream_id: the upstream
    :param router_id: the router
    :param routers: routers among which the seats are divided
    :param count: seats of the upstream
    :return: the seats, at most one unless there are more seats than routers
    """
    in_order = ranked(upstream_id, routers)
    if router_id not in in_order:
        return 0
    rounds, left_count = divmod(count, len(in_order))
    return rounds + (in_order.index(router_id) < left_count)


class RecentRouters:
    """The routers that were in the roster lately, and since when this router has been in touch."""

    def __init__(self) -> None:
        """Start without a roster."""
        self._seen_s: dict[str, float] = {}
        self.ids: frozenset[str] = frozenset()
        """The routers among which seats are divided; the same object while they stay the same."""
        self._in_touch_since_s: float | None = None

    def observe(self, router_ids: Iterable[str], now_s: float, *, in_touch: bool) -> None:
        """
        Record the roster of now.

        :param router_ids: routers in it
        :param now_s: monotonic time
        :param in_touch: whether more than half of the controllers have answered lately
        """
        self._seen_s.update(dict.fromkeys(router_ids, now_s))
        self._seen_s = {
            router_id: seen_s
            for router_id, seen_s in self._seen_s.items()
            if now_s - seen_s <= TAKEOVER_S
        }
        if self._seen_s.keys() != self.ids:
            self.ids = frozenset(self._seen_s)
        if not in_touch:
            self._in_touch_since_s = None
        elif self._in_touch_since_s is None:
            self._in_touch_since_s = now_s

    def is_settled(self, now_s: float) -> bool:
        """
        Tell whether this router may use its seats.

        :param now_s: monotonic time
        :return: whether it has been in touch long enough for the others to know it
        """
        since_s = self._in_touch_since_s
        return since_s is not None and now_s - since_s >= TAKEOVER_S


class ColdUpstreams:
    """The upstreams that are cold or may be, and the requests that this router sent to each."""

    def __init__(self, cold_start: Callable[[str], ColdStart | None]) -> None:
        """
        Start without cold upstreams.

        :param cold_start: returns how the upstreams of a pool start, ``None`` if never cold
        """
        self._cold_start = cold_start
        self._states: dict[str, ColdState] = {}
        self._taken_s: dict[str, deque[float]] = {}

    def apply_list(
        self,
        previous: Mapping[str, Upstream],
        current: Mapping[str, Upstream],
        read_s: float,
        now_s: float,
    ) -> Iterator[str]:
        """
        Apply a list.

        :param previous: the list used before, by id; empty before the first list
        :param current: the new list, by id
        :param read_s: when it was read, in monotonic time
        :param now_s: monotonic time
        :return: upstreams that have become cold or may be
        """
        for removed_id in self._states.keys() - current.keys():
            self._drop(removed_id)
        for upstream_id, upstream in current.items():
            cold_start = self._cold_start(upstream.pool)
            if cold_start is None:
                self._drop(upstream_id)
                continue
            state = self._states.get(upstream_id)
            is_new = upstream_id not in previous
            if upstream.cold_left_s > 0:
                end_s = read_s + upstream.cold_left_s
                match state:
                    case Cold():
                        self._states[upstream_id] = replace(state, end_s=end_s)
                    case Unconfirmed(opens_s):
                        self._states[upstream_id] = Cold(opens_s, end_s)
                    case None if end_s > now_s:
                        # One in use has got requests of this second already.
                        opens_s = now_s if is_new else now_s + SEAT_INTERVAL_S
                        self._states[upstream_id] = Cold(opens_s, end_s)
                        yield upstream_id
            elif isinstance(state, Cold):
                self._drop(upstream_id)
            elif previous and (is_new or has_restarted(upstream_id, previous, current)):
                yield from self.suspect([upstream], now_s)
        self.confirm(read_s)

    def suspect(self, upstreams: Iterable[Upstream], now_s: float) -> Iterator[str]:
        """
        Count upstreams as cold until the list shows whether they are.

        :param upstreams: upstreams that may have become cold just before
        :param now_s: monotonic time
        :return: those that did not count as cold
        """
        for upstream in upstreams:
            cold_start = self._cold_start(upstream.pool)
            state = self._states.get(upstream.upstream_id)
            if cold_start is None or isinstance(state, Cold):
                continue
            end_s = now_s + max(cold_start.duration_s, upstream.cold_left_s)
            self._states[upstream.upstream_id] = Unconfirmed(now_s, now_s + LIST_LAG_S, end_s)
            if state is None:
                yield upstream.upstream_id

    def confirm(self, read_s: float) -> list[str]:
        """
        Record that the list has been read again without changes.

        :param read_s: when it was read, in monotonic time
        :return: upstreams that it shows not to be cold
        """
        confirmed = []
        for upstream_id, state in list(self._states.items()):
            match state:
                case Unconfirmed(_, confirmed_by_s) if confirmed_by_s <= read_s:
                    self._drop(upstream_id)
                    confirmed.append(upstream_id)
        return confirmed

    def expire(self, now_s: float) -> list[str]:
        """
        Count upstreams as normal ones whose time has ended.

        :param now_s: monotonic time
        :return: those upstreams
        """
        ended = [upstream_id for upstream_id, state in self._states.items() if state.end_s <= now_s]
        for upstream_id in ended:
            self._drop(upstream_id)
        return ended

    def states(self) -> Mapping[str, ColdState]:
        """:return: state of each upstream that is cold or may be"""
        return self._states

    def is_cold(self, upstream_id: str, now_s: float) -> bool:
        """
        Tell whether an upstream is cold or may be.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :return: whether its requests are bounded
        """
        state = self._states.get(upstream_id)
        return state is not None and now_s < state.end_s

    def opens_in_s(self, upstream_id: str, seats_count: int, now_s: float) -> float:
        """
        Return when a cold upstream may get the next request from this router.

        :param upstream_id: the upstream
        :param seats_count: seats of it that this router holds
        :param now_s: monotonic time
        :return: time left, infinite without a seat
        """
        if seats_count == 0:
            return math.inf
        taken_s = self._taken_s.get(upstream_id, ())
        wait_s = max(0.0, self._states[upstream_id].opens_s - now_s)
        if len(taken_s) < seats_count:
            return wait_s
        return max(wait_s, taken_s[-seats_count] + SEAT_INTERVAL_S - now_s)

    def take(self, upstream_id: str, now_s: float) -> None:
        """
        Record that this router sends a request to a cold upstream.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        """
        taken_s = self._taken_s.setdefault(upstream_id, deque())
        taken_s.append(now_s)
        while taken_s[0] <= now_s - SEAT_INTERVAL_S:
            taken_s.popleft()

    def _drop(self, upstream_id: str) -> None:
        self._states.pop(upstream_id, None)
        self._taken_s.pop(upstream_id, None)


__all__ = [
    "LIST_LAG_S",
    "SEAT_INTERVAL_S",
    "TAKEOVER_S",
    "VIEWS_COUNT",
    "Cold",
    "ColdBound",
    "ColdState",
    "ColdUpstreams",
    "RecentRouters",
    "Unconfirmed",
    "own_seats_count",
    "seats_count",
]
