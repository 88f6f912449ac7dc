"""Distinguishes retries from first attempts by how long their callers are still willing to wait."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_ATTEMPT_RATIO = 0.85
"""Part of the longest patience for a kind of requests that each first attempt has at least: callers
on the deployments of docs/platform.md vary theirs by 15%."""
WINDOW_S = 10.0
"""Length of the windows over which the longest patience is taken."""


@dataclass(slots=True)
class _LongestPatience:
    window_start_s: float
    current_s: float = 0.0
    previous_s: float = 0.0


class Patience:
    """Longest time that callers were recently willing to wait, by kind of requests."""

    def __init__(self) -> None:
        """Start without any callers."""
        self._longest: dict[str, _LongestPatience] = {}

    def detect_retry(self, kind: str, patience_s: float | None, now_s: float) -> bool:
        """
        Record a caller's patience and tell whether its request is a retry.

        :param kind: kind of the request
        :param patience_s: time that the caller still waits, ``None`` if not stated
        :param now_s: monotonic time
        :return: whether the patience is too short for a first attempt
        """
        if patience_s is None:
            return False
        longest = self._longest.get(kind)
        if longest is None:
            longest = self._longest[kind] = _LongestPatience(now_s)
        if now_s - longest.window_start_s > WINDOW_S:
            longest.window_start_s = now_s
            longest.previous_s, longest.current_s = longest.current_s, 0.0
        longest.current_s = max(longest.current_s, patience_s)
        return patience_s < FIRST_ATTEMPT_RATIO * max(longest.current_s, longest.previous_s)


__all__ = ["Patience"]
