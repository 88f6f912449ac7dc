"""Limits retries to a ratio of the first attempts, so that failures do not multiply the load."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BUCKET_S = 1.0


class RetryBudget:
    """
    Counts first attempts and retries by pool over a sliding window.

    For each pool, there is one bucket per second of the window.
    """

    def __init__(
        self,
        *,
        ratio: float = 0.1,
        floor_count: Callable[[], int] = lambda: 3,
        window_s: float = 10.0,
    ) -> None:
        """
        Create the budget.

        :param ratio: retries per first attempt
        :param floor_count: retries per window that are always allowed
        :param window_s: length of the window
        """
        self._ratio = ratio
        self._floor_count = floor_count
        self._window_s = window_s
        self._pools: dict[str, deque[list[int]]] = {}

    def record_first_attempt(self, pool: str, now_s: float) -> None:
        """
        Count a first attempt.

        :param pool: name of the pool
        :param now_s: monotonic time
        """
        self._bucket(pool, now_s)[1] += 1

    def allow(self, pool: str, now_s: float) -> bool:
        """
        Use one retry of the budget, if there is one left.

        :param pool: name of the pool
        :param now_s: monotonic time
        :return: whether the retry may be sent
        """
        bucket = self._bucket(pool, now_s)
        first_count = sum(counts[1] for counts in self._pools[pool])
        retry_count = sum(counts[2] for counts in self._pools[pool])
        if retry_count >= max(self._floor_count(), int(self._ratio * first_count)):
            return False
        bucket[2] += 1
        return True

    def _bucket(self, pool: str, now_s: float) -> list[int]:
        """Return the current bucket: its number, first attempts, retries."""
        buckets = self._pools.setdefault(pool, deque())
        number = int(now_s // BUCKET_S)
        oldest = number - int(self._window_s // BUCKET_S)
        while buckets and buckets[0][0] <= oldest:
            buckets.popleft()
        if not buckets or buckets[-1][0] != number:
            buckets.append([number, 0, 0])
        return buckets[-1]


__all__ = ["RetryBudget"]
