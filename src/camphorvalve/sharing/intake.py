"""Decides which new connections a router takes while it has too little processor time."""

from __future__ import annotations

TARGET_LAG_S = 0.04
"""Lag of the loop above which fewer connections are taken: a fifth of the 200 ms in which an event
of a stream has to be passed on, as an event crosses the loop several times."""
EASY_LAG_S = 0.01
"""Lag below which there is time to spare."""
LEAST_DECREASE_RATIO = 0.5
"""Lowest factor of one measurement."""
REFUSED_RATIO = 0.3
"""Part of the taken requests that may be refused later, at ten times the cost, while there is no
time to spare; beyond it fewer are taken."""
REFUSED_DECREASE_RATIO = 0.9
INCREASE_RATIO = 1.05
EASY_INCREASE_RATIO = 1.1
"""Factor while there is time to spare."""
INCREASE_STEP_RATIO = 0.005
"""With the factor above, from the least part to all in 1.6 s, at 20 measurements a second."""
MOST_TAKEN_COUNT = 16
"""Connections that are taken between two measurements at most: served ones take up to 4 ms each at
half a core, and 512 that waited for a frozen router would keep the loop busy for seconds."""
LEAST_RATIO = 0.02
"""Part that is always taken, so that the intake shows when there is time again."""
RETRY_AFTER_S = 1.0
"""When a caller who was not taken may come back: the intake changes by half in that time."""


class Intake:
    """
    The part of new connections that are served; all others are refused without being parsed.

    The part falls in proportion to how late the loop is, and while what is taken is refused later
    on; it grows while the loop is on time.
    """

    def __init__(self) -> None:
        """Start by taking all."""
        self.ratio = 1.0
        self._last_lag_s = 0.0
        self._owed = 0.0
        self._taken_count = 0
        self._served_count = 0
        self._wasted_count = 0
        self.refused_count = 0
        """Connections since the start that were not taken."""

    def measure(self, lag_s: float, served_count: int = 0, wasted_count: int = 0) -> None:
        """
        Learn how late the loop is, and what became of requests that were taken.

        :param lag_s: time by which the loop was late at the last measurement
        :param served_count: requests since the start that were not refused
        :param wasted_count: requests since the start that were taken and refused later
        """
        served, wasted = served_count - self._served_count, wasted_count - self._wasted_count
        self._served_count, self._wasted_count = served_count, wasted_count
        self._taken_count = 0
        # One long turn says little about the next ones; a router that starts has some.
        steady_lag_s, self._last_lag_s = min(lag_s, self._last_lag_s), lag_s
        if steady_lag_s > TARGET_LAG_S:
            ratio = self.ratio * max(LEAST_DECREASE_RATIO, TARGET_LAG_S / steady_lag_s)
        elif lag_s < EASY_LAG_S:
            ratio = self.ratio * EASY_INCREASE_RATIO + INCREASE_STEP_RATIO
        elif wasted > REFUSED_RATIO * (served + wasted):
            ratio = self.ratio * REFUSED_DECREASE_RATIO
        else:
            ratio = self.ratio * INCREASE_RATIO + INCREASE_STEP_RATIO
        self.ratio = min(1.0, max(LEAST_RATIO, ratio))

    def takes(self) -> bool:
        """
        Decide about one connection; refused ones are spread evenly.

        :return: whether it is served
        """
        self._owed = min(2.0, self._owed + self.ratio)
        if self._owed >= 1.0 and self._taken_count < MOST_TAKEN_COUNT:
            self._owed -= 1.0
            self._taken_count += 1
            return True
        self.refused_count += 1
        return False

    def is_short(self) -> bool:
        """:return: whether connections are refused at present"""
        return self.ratio < 1.0


__all__ = [
    "EASY_LAG_S",
    "LEAST_RATIO",
    "MOST_TAKEN_COUNT",
    "RETRY_AFTER_S",
    "TARGET_LAG_S",
    "Intake",
]
