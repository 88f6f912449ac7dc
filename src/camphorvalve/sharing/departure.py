"""Decides which requests a stopping router still takes."""

from __future__ import annotations

WINDOW_S = 10.0
"""Response times are kept for one to two windows."""
MARGIN_RATIO = 1.25
"""Multiple of the longest recent response time that a request may need."""


class LongestTimes:
    """The longest recent response time of each kind of request."""

    def __init__(self) -> None:
        """Start without response times."""
        self._current_s: dict[str, float] = {}
        self._previous_s: dict[str, float] = {}
        self._window_ends_s = 0.0

    def record(self, kind: str, duration_s: float, now_s: float) -> None:
        """
        Record a complete response.

        :param kind: kind of the request
        :param duration_s: time from the request to the end of the response
        :param now_s: monotonic time
        """
        self._advance(now_s)
        self._current_s[kind] = max(duration_s, self._current_s.get(kind, 0.0))

    def longest_s(self, kind: str, now_s: float) -> float | None:
        """
        Return the longest recent response time of a kind.

        :param kind: kind of the request
        :param now_s: monotonic time
        :return: the time, ``None`` without a recent response
        """
        self._advance(now_s)
        recent_s = [times[kind] for times in (self._current_s, self._previous_s) if kind in times]
        return max(recent_s, default=None)

    def _advance(self, now_s: float) -> None:
        if now_s < self._window_ends_s:
            return
        is_next = now_s < self._window_ends_s + WINDOW_S
        self._previous_s = self._current_s if is_next else {}
        self._current_s = {}
        self._window_ends_s = now_s + WINDOW_S


class Departure:
    """
    The graceful stop of a router, as far as it concerns requests.

    A request is refused when its response may not be complete before the process ends: its caller
    can send it to another router, but nobody can complete a response that was cut off.
    """

    def __init__(self, intake_s: float, duration_s: float) -> None:
        """
        Prepare for a stop that has not begun.

        :param intake_s: time after the signal in which requests are taken
        :param duration_s: time after the signal by which all responses have to end
        """
        self._intake_s = intake_s
        self._duration_s = duration_s
        self._longest_times = LongestTimes()
        self._refuses_from_s = float("inf")
        self.ends_s = float("inf")
        """Monotonic time by which all responses have to end; infinite before the stop."""

    def begin(self, now_s: float) -> None:
        """
        Start the stop.

        :param now_s: monotonic time of the signal
        """
        self._refuses_from_s = now_s + self._intake_s
        self.ends_s = now_s + self._duration_s

    def takes(self, kind: str, deadline_s: float | None, now_s: float) -> bool:
        """
        Decide whether a request is taken.

        :param kind: kind of the request
        :param deadline_s: monotonic time by which its caller wants the complete response, ``None``
            without a deadline
        :param now_s: monotonic time
        :return: whether its response is expected to be complete before the router ends, or nothing
            is known of its duration
        """
        if now_s >= self._refuses_from_s:
            return False
        longest_s = self._longest_times.longest_s(kind, now_s)
        bounds_s = [] if deadline_s is None else [deadline_s]
        if longest_s is not None:
            bounds_s.append(now_s + MARGIN_RATIO * longest_s)
        return min(bounds_s, default=now_s) <= self.ends_s

    def record_response(self, kind: str, duration_s: float, now_s: float) -> None:
        """
        Record a complete response, by which later requests of its kind are judged.

        :param kind: kind of the request
        :param duration_s: time from the request to the end of the response
        :param now_s: monotonic time
        """
        self._longest_times.record(kind, duration_s, now_s)


__all__ = ["Departure", "LongestTimes"]
