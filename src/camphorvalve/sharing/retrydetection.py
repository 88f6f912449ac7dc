"""Distinguishes retries from first attempts by how long their callers are still willing to wait."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_ATTEMPT_RATIO = 0.85
"""Part of the longest caller timeout for a kind of requests that each first attempt has at least:
callers on the deployments of docs/platform.md vary theirs by 15%."""
WINDOW_S = 10.0
"""Length of the windows over which the longest timeout is taken."""


@dataclass(slots=True)
class _LongestTimeout:
    window_start_s: float
    current_s: float = 0.0
    previous_s: float = 0.0


class RetryDetector:
    """Tracks the longest timeout that callers recently set, by kind of requests."""

    def __init__(self) -> None:
        """Start without any callers."""
        self._longest: dict[str, _LongestTimeout] = {}

    def longest_s(self, kind: str) -> float | None:
        """
        Return the longest timeout that callers recently set.

        :param kind: kind of the requests
        :return: the timeout, ``None`` if none was set
        """
        longest = self._longest.get(kind)
        return None if longest is None else max(longest.current_s, longest.previous_s)

    def detect_retry(self, kind: str, caller_timeout_s: float | None, now_s: float) -> bool:
        """
        Record a caller's timeout and tell whether its request is a retry.

        :param kind: kind of the request
        :param caller_timeout_s: time that the caller still waits, ``None`` if not stated
        :param now_s: monotonic time
        :return: whether the timeout is too short for a first attempt
        """
        if caller_timeout_s is None:
            return False
        longest = self._longest.get(kind)
        if longest is None:
            longest = self._longest[kind] = _LongestTimeout(now_s)
        if now_s - longest.window_start_s > WINDOW_S:
            longest.window_start_s = now_s
            longest.previous_s, longest.current_s = longest.current_s, 0.0
        longest.current_s = max(longest.current_s, caller_timeout_s)
        return caller_timeout_s < FIRST_ATTEMPT_RATIO * max(longest.current_s, longest.previous_s)


__all__ = ["RetryDetector"]
