"""
Decides how long the events of a stream are collected before they are passed on together.

Answers the load of a router that is short of processor time while it passes on many streams: an
event costs the same whatever its size, so that several at once cost little more than one.
"""

from __future__ import annotations

from camphorvalve.sharing.parts import SPARE_LAG_S
from camphorvalve.sharing.relief import MIN_ROUTERS_COUNT

MAX_PAUSE_RATIO = 1 / 4
"""Part of the longest pause of a stream that may go into collecting its events; the rest is for the
upstream, the network and the lag of the event loop."""
MAX_COLLECTING_S = 0.1
"""Longest time of collecting, whatever the pause: the end of an answer may wait as long."""
MIN_COLLECTING_S = 0.01
"""Shortest time that is worth a timer; events of one stream are seldom closer together."""


def collecting_s(longest_pause_s: float, lag_s: float, routers_count: int = 1) -> float:
    """
    Decide how long to collect events of a stream whose first event has been passed on.

    The time grows with the lag of the event loop, as the lag falls with the time. In a large fleet
    of small routers it is the longest: single events are more than half of their work.

    :param longest_pause_s: longest pause between two events that callers take for on time
    :param lag_s: mean lag of the event loop
    :param routers_count: number of routers
    :return: time until the next event is read, 0 to pass each on as it comes
    """
    is_large = routers_count >= MIN_ROUTERS_COUNT
    shortage_ratio = 1.0 if is_large else min(1.0, lag_s / SPARE_LAG_S)
    longest_s = min(MAX_COLLECTING_S, MAX_PAUSE_RATIO * longest_pause_s)
    wanted_s = longest_s * shortage_ratio
    return wanted_s if wanted_s >= MIN_COLLECTING_S else 0.0


__all__ = ["MAX_PAUSE_RATIO", "collecting_s"]
