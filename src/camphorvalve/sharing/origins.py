"""Where streams began: the pool and the software version at which each may go on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.model.requests import Exchange, StreamOrigin
    from camphorvalve.sharing.routing import RouteTable

MAX_STREAMS_COUNT = 100_000
"""Most streams that are kept; the oldest yield."""
RESUMPTION_S = 5.0
"""Time after the deadline of a stream for which it may be resumed."""
MAX_KEPT_S = 300.0
"""Longest time for which a stream is kept: callers choose their deadlines."""
LIST_DELAY_S = 3.0
"""Longest time by which the list of upstreams lags, with the time until it is read again."""


class KeptOrigin(NamedTuple):
    """Where a stream began, while it may be resumed."""

    origin: StreamOrigin | None
    """``None`` if it is not known, or two streams with different origins have the same key."""
    until_s: float


class OriginRecord:
    """The newest streams by their keys."""

    def __init__(self) -> None:
        """Start without streams."""
        self._kept: dict[int, KeptOrigin] = {}
        """In the order in which they were added last."""

    def __len__(self) -> int:
        """:return: number of streams"""
        return len(self._kept)

    def add(self, key: int, origin: StreamOrigin | None, until_s: float, now_s: float) -> None:
        """
        Add a stream, or extend the time of one.

        :param key: from ``stream_key``
        :param origin: where it began
        :param until_s: monotonic time until which it may be resumed
        :param now_s: monotonic time
        """
        until_s = min(until_s, now_s + MAX_KEPT_S)
        known = self._kept.pop(key, None)
        if known is not None and known.until_s > now_s:
            until_s = max(until_s, known.until_s)
            if known.origin != origin:
                origin = None
        self._kept[key] = KeptOrigin(origin, until_s)
        self._forget_oldest(now_s)

    def find(self, key: int, now_s: float) -> KeptOrigin | None:
        """
        Look a stream up.

        :param key: from ``stream_key``
        :param now_s: monotonic time
        :return: where it began, ``None`` if that is not known
        """
        kept = self._kept.get(key)
        return kept if kept is not None and kept.until_s > now_s else None

    def all(self, now_s: float) -> Iterator[tuple[int, KeptOrigin]]:
        """
        List the streams that may still be resumed.

        :param now_s: monotonic time
        :return: the key and the origin of each
        """
        return ((key, kept) for key, kept in self._kept.items() if kept.until_s > now_s)

    def expire(self, now_s: float) -> None:
        """
        Forget streams that can't be resumed any more.

        :param now_s: monotonic time
        """
        self._kept = dict(self.all(now_s))

    def _forget_oldest(self, now_s: float) -> None:
        # Looks at two for each one that is added, so that ended ones go without a pause.
        for _ in range(2):
            oldest_key = next(iter(self._kept), None)
            if oldest_key is None:
                return
            is_over = len(self._kept) > MAX_STREAMS_COUNT
            if not is_over and self._kept[oldest_key].until_s > now_s:
                return
            del self._kept[oldest_key]


def longest_doubt_s(table: RouteTable, pool: str) -> float:
    """
    Return how long ago a stream may have begun that a caller resumes now.

    :param table: the current routes
    :param pool: the pool at which it began
    :return: the time in seconds, and the time by which the list lags
    """
    return table.longest_stream_s(pool) + RESUMPTION_S + LIST_DELAY_S


def stream_key(exchange: Exchange, request_id: str) -> int:
    """
    Identify a stream by the request that brought its first event.

    :param exchange: a request for the stream, with its route and team
    :param request_id: id of the request that brought the first event
    :return: 64 bits, the same for all requests of the team on the route
    """
    route, team = exchange.route, exchange.team
    place = ("", "") if route is None else (route.host, route.path_prefix)
    caller = "" if team is None else team.name
    return xxhash.xxh3_64_intdigest("\n".join((caller, *place, request_id)).encode())


__all__ = [
    "MAX_KEPT_S",
    "RESUMPTION_S",
    "KeptOrigin",
    "OriginRecord",
    "longest_doubt_s",
    "stream_key",
]
