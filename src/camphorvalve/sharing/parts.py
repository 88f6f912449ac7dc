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
"""Maximum part of the engines that one router may use, as a multiple of an even split. Without this
limit, one router ran out of processor time under light load, and the value of the served requests
was 0.57 instead of 0.81."""


def limit_engine_part(demand_part: float, routers_count: int, age_s: float) -> float:
    """
    Limit the part of each engine that a router uses.

    :param demand_part: part of the fleet's demand that arrives at this router, 0 to 1
    :param routers_count: number of known routers, including this one
    :param age_s: time since this router started
    :return: part of each engine, 0 to 1
    """
    min_count = MIN_ROUTERS_COUNT if age_s < STARTUP_S else 1
    return min(demand_part, MAX_PART_FACTOR / max(min_count, routers_count), 1.0)


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
    "STARTUP_S",
    "limit_engine_part",
    "retry_floor_count",
]
