"""Which of several sums of the fleet's demand a router believes."""

from __future__ import annotations

SILENCE_S = 1.2
"""Two reports and their delivery without an answer; then the sums of another controller count."""
HELD_S = 10.0
"""How long sums count that nothing has replaced. Shares and the routers at which teams ask change
more slowly than controllers come back; without sums, a router knows no other one's demand."""
COVERED_RATIO = 0.5
"""Part of the known routers that new sums have to cover: a controller that has just started, or is
cut off with a few routers, has heard of little."""


class TotalsSource:
    """The controller whose sums are in force, how old they are and how many routers they cover."""

    def __init__(self) -> None:
        """Start without sums."""
        self._controller_id: str | None = None
        self._heard_s = float("-inf")
        self.reports_count = 0
        """Routers whose demand is in the sums."""

    def accepts(
        self, controller_id: str, reports_count: int, routers_count: int, now_s: float
    ) -> bool:
        """
        Decide about the sums of a controller.

        :param controller_id: the controller
        :param reports_count: routers whose demand is in its sums
        :param routers_count: routers that are known
        :param now_s: monotonic time
        :return: whether they replace those in force
        """
        covers_less = reports_count < self.reports_count
        is_partial = reports_count < COVERED_RATIO * routers_count
        if covers_less and is_partial and self.is_held(now_s):
            return False
        is_other = controller_id != self._controller_id
        covers_more = reports_count > self.reports_count
        if is_other and not covers_more and self.age_s(now_s) <= SILENCE_S:
            return False
        self._controller_id, self._heard_s = controller_id, now_s
        self.reports_count = reports_count
        return True

    def age_s(self, now_s: float) -> float:
        """
        Tell how old the sums are.

        :param now_s: monotonic time
        :return: time since they were heard, infinite before the first time
        """
        return now_s - self._heard_s

    def is_held(self, now_s: float) -> bool:
        """
        Tell whether the sums still count.

        :param now_s: monotonic time
        :return: whether they do
        """
        return self.age_s(now_s) <= HELD_S


__all__ = ["COVERED_RATIO", "HELD_S", "SILENCE_S", "TotalsSource"]
