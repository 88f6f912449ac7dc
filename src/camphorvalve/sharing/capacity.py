"""Estimates the capacity of the engines from the refused requests of teams within their share."""

from __future__ import annotations

DECREASE_ABOVE_RATIO = 0.06
"""Refused part of the demand of teams within their share above which the estimate is lowered: such
teams are entitled to all they request, so their refusals show that the shares are too large."""
INCREASE_BELOW_RATIO = 0.03
"""Refused part below which the estimate may grow. It is above 0 because the home of a prompt prefix
is occasionally full although the other engines are not."""
DECREASE_FACTOR = 0.95
INCREASE_FACTOR = 1.03
"""Both factors apply at each report, of which there are two a second. Service is counted over four
reports, so that larger steps overshoot."""
MAX_RATIO = 1.5
"""Upper bound of the estimate; the error of the usual capacity is smaller than that."""
MIN_USED_RATIO = 0.7
"""Part of the divided capacity that must be served before the estimate exceeds the usual capacity;
below it, something other than the shares limits the service."""
MIN_SERVED_RATIO = 0.9
"""Part of the measured service below which the estimate is not lowered: a lower estimate would
leave engines idle because of refusals that have other causes."""
MIN_RATIO = 0.3


class CapacityEstimate:
    """
    Estimates the ratio of the capacity to divide among teams to the usual capacity.

    The usual capacity follows from the throughput of the engines that the manifest states.
    """

    def __init__(self) -> None:
        """Start at the usual capacity."""
        self.ratio = 1.0
        self.is_overloaded = False
        """Whether teams within their share are refused more than occasionally."""

    def update(
        self,
        asked_tokens: float,
        starved_tokens: float,
        served_ratio: float,
        *,
        has_excess_demand: bool = True,
    ) -> None:
        """
        Update the estimate from one report.

        :param asked_tokens: demand of the teams that request no more than their share
        :param starved_tokens: part of this demand that was refused because the engines were full
        :param served_ratio: service of all teams as a part of the usual capacity
        :param has_excess_demand: whether some team requests more than its share; otherwise the
            estimate does not exceed the usual capacity, as nothing shows that there is more
        """
        self.is_overloaded = starved_tokens > INCREASE_BELOW_RATIO * asked_tokens
        if starved_tokens > DECREASE_ABOVE_RATIO * asked_tokens:
            min_ratio = max(MIN_RATIO, MIN_SERVED_RATIO * served_ratio)
            self.ratio = min(self.ratio, max(min_ratio, DECREASE_FACTOR * self.ratio))
        elif not self.is_overloaded:
            is_limiting = has_excess_demand and served_ratio > MIN_USED_RATIO * self.ratio
            max_ratio = MAX_RATIO if is_limiting else max(1.0, self.ratio / INCREASE_FACTOR)
            self.ratio = min(max_ratio, INCREASE_FACTOR * self.ratio)


__all__ = [
    "DECREASE_ABOVE_RATIO",
    "DECREASE_FACTOR",
    "INCREASE_BELOW_RATIO",
    "INCREASE_FACTOR",
    "MAX_RATIO",
    "MIN_RATIO",
    "MIN_SERVED_RATIO",
    "CapacityEstimate",
]
