"""Estimates what the engines work off, from what teams within their share are refused."""

from __future__ import annotations

STARVED_RATIO = 0.06
"""Part of the demand of teams within their share whose refusal shows that shares are too large. All
that such teams ask for is owed to them."""
EASY_RATIO = 0.03
"""Part below which shares may grow. Single homes of prompts are full now and then."""
DECREASE_RATIO = 0.95
INCREASE_RATIO = 1.03
"""For each report, two a second; service is counted over four of them, larger steps overshoot."""
MOST_RATIO = 1.5
"""Bounds the estimate with the least one: the usual capacity is wrong by less than that."""
USED_RATIO = 0.7
"""Part of what is divided that has to be served for the estimate to grow beyond the usual capacity;
otherwise something else than the shares bounds the service."""
SERVED_RATIO = 0.9
"""Part of the measured service below which the estimate is not lowered: with less, engines would
idle for refusals that have other reasons."""
LEAST_RATIO = 0.3


class CapacityEstimate:
    """Part of the usual capacity that is divided among teams."""

    def __init__(self) -> None:
        """Start at the usual capacity."""
        self.ratio = 1.0
        self.is_exceeded = False
        """Whether teams within their share are refused more than now and then."""

    def learn(
        self,
        asked_tokens: float,
        starved_tokens: float,
        served_ratio: float,
        *,
        is_wanted: bool = True,
    ) -> None:
        """
        Take one report.

        :param asked_tokens: demand of the teams that ask for no more than their share
        :param starved_tokens: the part of it that was refused as the engines were full
        :param served_ratio: what all teams were served, as a part of the usual capacity
        :param is_wanted: whether some team asks for more than its share; otherwise nothing shows
            that there is more than usual
        """
        self.is_exceeded = starved_tokens > EASY_RATIO * asked_tokens
        if starved_tokens > STARVED_RATIO * asked_tokens:
            least = max(LEAST_RATIO, SERVED_RATIO * served_ratio)
            self.ratio = min(self.ratio, max(least, DECREASE_RATIO * self.ratio))
        elif not self.is_exceeded:
            is_used = is_wanted and served_ratio > USED_RATIO * self.ratio
            most = MOST_RATIO if is_used else max(1.0, self.ratio / INCREASE_RATIO)
            self.ratio = min(most, INCREASE_RATIO * self.ratio)


__all__ = [
    "DECREASE_RATIO",
    "EASY_RATIO",
    "INCREASE_RATIO",
    "LEAST_RATIO",
    "MOST_RATIO",
    "SERVED_RATIO",
    "STARVED_RATIO",
    "CapacityEstimate",
]
