"""Decides whether a router turns away work that the rest of the fleet would serve."""

from __future__ import annotations

from typing import NamedTuple

MIN_ROUTERS_COUNT = 32
"""Fleet size from which callers are sent away from such a router. An even part of the engines is
then less than the demand of one team, whose callers may all come to one router; in a smaller fleet
the part follows the demand."""
MIN_STARVED_RATIO = 0.1
"""Part of the demand at a router that it must turn away within shares to count as short."""
MIN_LEAD_RATIO = 3.0
"""Multiple of the same part of all other routers: if they are nearly as short, they would turn
away the callers that are sent to them."""


class Tokens(NamedTuple):
    """Cost of requests, each in tokens a second."""

    asked_per_s: float
    starved_per_s: float
    """Refused for want of room or time although they were within their team's share."""

    @property
    def starved_ratio(self) -> float:
        """:return: part that was refused, 0 to 1"""
        return min(1.0, self.starved_per_s / self.asked_per_s) if self.asked_per_s > 0 else 0.0


def needs_relief(here: Tokens, fleet: Tokens, routers_count: int) -> bool:
    """
    Decide whether callers should be sent from this router to others.

    :param here: requests at this router
    :param fleet: requests at all routers, including this one
    :param routers_count: number of routers
    :return: whether this router turns away work within shares, and the others have room for it
    """
    if routers_count < MIN_ROUTERS_COUNT:
        return False
    others = Tokens(
        max(0.0, fleet.asked_per_s - here.asked_per_s),
        max(0.0, fleet.starved_per_s - here.starved_per_s),
    )
    least_ratio = max(MIN_STARVED_RATIO, MIN_LEAD_RATIO * others.starved_ratio)
    return here.starved_ratio >= least_ratio


__all__ = ["MIN_LEAD_RATIO", "MIN_ROUTERS_COUNT", "MIN_STARVED_RATIO", "Tokens", "needs_relief"]
