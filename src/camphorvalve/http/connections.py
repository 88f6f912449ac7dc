"""Estimates the number of connections that callers keep open, from the requests on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

PRUNE_INTERVAL_S = 1.0
"""Interval at which idle connections are removed from the count while it exceeds the limit."""


class ConnectionTracker:
    """Tracks the connections of callers by remote address, with the time of the last request."""

    def __init__(self, limit_count: int, idle_s: Callable[[], float]) -> None:
        """
        Create a tracker without connections.

        :param limit_count: number of connections above which refused callers are told to close
            their connection
        :param idle_s: returns the time after which an idle connection is closed
        """
        self._limit_count = limit_count
        self._idle_s = idle_s
        self._last_request_s: dict[tuple[str, int], float] = {}
        self._last_prune_s = 0.0
        self.opened_count = 0
        """Number of connections since the start that carried at least one request."""

    def record_request(self, client: tuple[str, int], now_s: float) -> bool:
        """
        Record that a request arrived on a connection.

        :param client: the caller's IP address and port
        :param now_s: monotonic time
        :return: whether the connection has carried others
        """
        has_carried = client in self._last_request_s
        self.opened_count += not has_carried
        self._last_request_s[client] = now_s
        return has_carried

    def exceeds_limit(self, now_s: float) -> bool:
        """
        Tell whether the number of open connections exceeds the limit.

        :param now_s: monotonic time
        :return: whether a refused caller should close its connection
        """
        if len(self._last_request_s) <= self._limit_count:
            return False
        if now_s - self._last_prune_s >= PRUNE_INTERVAL_S:
            self._last_prune_s = now_s
            since_s = now_s - self._idle_s()
            self._last_request_s = {
                address: at_s for address, at_s in self._last_request_s.items() if at_s >= since_s
            }
        return len(self._last_request_s) > self._limit_count


__all__ = ["ConnectionTracker"]
