"""Estimates how many connections callers hold open, from the requests that come on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

PRUNE_S = 1.0
"""Time between two looks for connections that have ended, while there are many."""


class Connections:
    """Callers' ends of connections, with the time of their newest request."""

    def __init__(self, limit_count: int, idle_s: Callable[[], float]) -> None:
        """
        Start without connections.

        :param limit_count: connections above which refused callers are asked to close theirs
        :param idle_s: time after which an idle connection is closed
        """
        self._limit_count = limit_count
        self._idle_s = idle_s
        self._seen_s: dict[tuple[str, int], float] = {}
        self._pruned_s = 0.0
        self.opened_count = 0
        """Connections since the start on which a request has come."""

    def note(self, client: tuple[str, int], now_s: float) -> None:
        """
        Note a request.

        :param client: the caller's IP number and port
        :param now_s: monotonic time
        """
        if client not in self._seen_s:
            self.opened_count += 1
        self._seen_s[client] = now_s

    def crowded(self, now_s: float) -> bool:
        """
        Tell whether there are too many.

        :param now_s: monotonic time
        :return: whether connections should be closed after a refusal
        """
        if len(self._seen_s) <= self._limit_count:
            return False
        if now_s - self._pruned_s >= PRUNE_S:
            self._pruned_s = now_s
            since_s = now_s - self._idle_s()
            self._seen_s = {one: at_s for one, at_s in self._seen_s.items() if at_s >= since_s}
        return len(self._seen_s) > self._limit_count


__all__ = ["Connections"]
