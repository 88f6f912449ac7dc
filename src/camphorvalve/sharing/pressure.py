"""Decides whether callers should be sent to other routers."""

from __future__ import annotations

PRESSED_S = 3.0
"""How long a router stays pressed after its last overload, so that callers are not sent to and fro:
longer than they keep the answer of a look-up."""
MIN_OVERLOADED_COUNT = 4
"""Measurements in a row, 0.2 s, that show an overload before a router counts as pressed."""


class Pressure:
    """Tracks whether this router has too much to do to take more callers."""

    def __init__(self) -> None:
        """Start without pressure."""
        self._overloaded_count = 0
        self._pressed_until_s = float("-inf")

    def measure(self, now_s: float, *, is_overloaded: bool) -> None:
        """
        Record a measurement.

        :param now_s: monotonic time
        :param is_overloaded: whether processor time or the link of this router is short
        """
        self._overloaded_count = self._overloaded_count + 1 if is_overloaded else 0
        if self._overloaded_count >= MIN_OVERLOADED_COUNT:
            self._pressed_until_s = now_s + PRESSED_S

    def is_pressed(self, now_s: float) -> bool:
        """
        Tell whether callers should be sent to other routers.

        :param now_s: monotonic time
        :return: whether an overload lasted recently
        """
        return now_s < self._pressed_until_s


__all__ = ["MIN_OVERLOADED_COUNT", "PRESSED_S", "Pressure"]
