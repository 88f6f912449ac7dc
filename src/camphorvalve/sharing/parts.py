"""Divides engines and the retry budget among the routers of a fleet."""

from __future__ import annotations

MIN_ROUTERS_COUNT = 8
"""Minimum number of routers among which the fixed part of the retry budget is divided: a router
that has just started does not know the others yet."""
STARTUP_S = 2.5
"""Time after the start during which engines are divided among at least ``MIN_ROUTERS_COUNT``
routers too. When a whole fleet starts at once, two polls of 1 s pass until the controllers know all
routers."""
MAX_PART_FACTOR = 1.25
"""Maximum part of the engines that a router without spare processor time may use, as a multiple of
an even split. Without this limit, one router ran out of processor time under light load, and the
value of the served requests was 0.57 instead of 0.81."""
SPARE_PART_FACTOR = 3.0
"""The same for a router whose event loop is never late: callers use the routers of their data
centre, which may get several times an even part of the demand."""
SPARE_LAG_S = 0.02
"""Mean lag of the event loop at which a router has no spare processor time: half of the lag at
which it sheds load."""


def limit_engine_part(demand_part: float, routers_count: int, age_s: float, lag_s: float) -> float:
    """
    Limit the part of each engine that a router uses.

    :param demand_part: part of the fleet's demand that arrives at this router, 0 to 1
    :param routers_count: number of known routers, including this one
    :param age_s: time since this router started
    :param lag_s: mean lag of its event loop
    :return: part of each engine, 0 to 1
    """
    if age_s < STARTUP_S:
        return min(demand_part, MAX_PART_FACTOR / max(MIN_ROUTERS_COUNT, routers_count))
    spare_ratio = max(0.0, 1.0 - lag_s / SPARE_LAG_S)
    factor = MAX_PART_FACTOR + (SPARE_PART_FACTOR - MAX_PART_FACTOR) * spare_ratio
    return min(demand_part, factor / max(1, routers_count), 1.0)


def retry_floor_count(fleet_count: float, routers_count: int) -> int:
    """
    Divide the retries that are allowed regardless of the number of first attempts.

    :param fleet_count: retries of all routers together
    :param routers_count: number of known routers, including this one
    :return: retries of this router
    """
    return int(fleet_count // max(MIN_ROUTERS_COUNT, routers_count))


__all__ = [
    "MAX_PART_FACTOR",
    "MIN_ROUTERS_COUNT",
    "SPARE_LAG_S",
    "SPARE_PART_FACTOR",
    "STARTUP_S",
    "limit_engine_part",
    "retry_floor_count",
]
