"""What one router may use of what all routers share, from their number."""

from __future__ import annotations

LEAST_ROUTERS_COUNT = 8
"""Routers among which the fixed part of the retry budget is divided at least: a router that has
just started does not know the others yet."""
STARTING_S = 2.5
"""Time after the start in which engines are divided among that many as well: two polls of 1 s pass
until the controllers have heard all routers of a fleet that starts together."""
MOST_PART = 1.25
"""Even parts of the engines that a router may use at most, whatever comes in there: with more, one
ran out of processor time on a calm day (ktc-capsule quiet-1, worth 0.57 against 0.81)."""


def engine_part(weight: float, routers_count: int, age_s: float) -> float:
    """
    Bound the part of each engine that a router uses.

    :param weight: part of the fleet's demand that comes in at the router, 0 to 1
    :param routers_count: routers that it knows, itself included
    :param age_s: time since its start
    :return: the part, 0 to 1
    """
    least_count = LEAST_ROUTERS_COUNT if age_s < STARTING_S else 1
    return min(weight, MOST_PART / max(least_count, routers_count), 1.0)


def retry_floor_count(fleet_count: int, routers_count: int) -> int:
    """
    Divide the retries that are allowed however few first tries there are.

    :param fleet_count: retries of all routers together
    :param routers_count: routers that this one knows, itself included
    :return: retries of one router
    """
    return fleet_count // max(LEAST_ROUTERS_COUNT, routers_count)


__all__ = ["LEAST_ROUTERS_COUNT", "MOST_PART", "STARTING_S", "engine_part", "retry_floor_count"]
