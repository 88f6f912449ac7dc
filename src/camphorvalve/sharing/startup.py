"""Decides what becomes of requests that reach a router before it can route them."""

from __future__ import annotations

from dataclasses import dataclass

START_S = 1.0
"""Time after the start in which requests are held. A router hears its first configuration and the
roster 0.4 s after it has started, and the list of upstreams 0.1 s later; one that has not heard
them by then is cut off, and others serve its callers."""
REQUEST_CORE_S = 0.0064
"""Processor time of one core that a request takes, without the events of its stream."""
HELD_LEFT_RATIO = 1 / 3
"""Part of its remaining time that a request is held: callers wait as long before they come back."""
MAX_RETURN_S = 30.0
"""Latest return of a caller that has set no deadline."""
RETRY_S = 0.5
"""Earliest return to a router that is cut off: half of its poll interval."""


@dataclass(frozen=True, slots=True)
class Hold:
    """The request waits here until the router can route it."""

    until_s: float
    """Monotonic time at which its caller is told to come back instead."""


@dataclass(frozen=True, slots=True)
class SendBack:
    """The caller is told to come back."""

    after_s: float


Decision = Hold | SendBack


class StartupReturns:
    """
    Decides for each request that comes before the first configuration, as after a loss of power.

    All callers return at once then, and each may try only once more: a refusal that brings all of
    them back in the same moment loses most. As many are held as the router can take up in
    ``START_S``; each of the others gets a moment of its own to come back.
    """

    def __init__(self, cores: float, started_s: float) -> None:
        """
        Start without requests.

        :param cores: cores that this router may use
        :param started_s: monotonic time of its start
        """
        self._interval_s = REQUEST_CORE_S / cores
        self._hold_until_s = started_s + START_S
        self._max_held_count = int(START_S / self._interval_s)
        self._held_count = 0
        self._next_return_s = self._hold_until_s

    def decide(self, now_s: float, left_s: float | None) -> Decision:
        """
        Hold a request, or send its caller back.

        :param now_s: monotonic time
        :param left_s: time until the caller's deadline, ``None`` if it set none
        :return: the decision; a request that is held has to be ended with ``release``
        """
        longest_s = MAX_RETURN_S if left_s is None else HELD_LEFT_RATIO * left_s
        if now_s < self._hold_until_s and self._held_count < self._max_held_count:
            self._held_count += 1
            return Hold(min(self._hold_until_s, now_s + longest_s))
        return self.send_back(now_s, left_s)

    def release(self) -> None:
        """Count a held request as ended."""
        self._held_count -= 1

    def send_back(self, now_s: float, left_s: float | None) -> SendBack:
        """
        Choose when a caller is to come back: each at another time, at the pace that is served.

        :param now_s: monotonic time
        :param left_s: time until the caller's deadline, ``None`` if it set none
        :return: the time, at most the part of the time left that callers wait
        """
        earliest_s = now_s + RETRY_S if now_s >= self._hold_until_s else self._hold_until_s
        self._next_return_s = max(self._next_return_s + self._interval_s, earliest_s)
        longest_s = float("inf") if left_s is None else HELD_LEFT_RATIO * left_s
        return SendBack(min(self._next_return_s - now_s, longest_s))


__all__ = ["REQUEST_CORE_S", "START_S", "Decision", "Hold", "StartupReturns", "SendBack"]
