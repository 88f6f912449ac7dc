"""Chooses the controller whose totals of the fleet's demand a router uses."""

from __future__ import annotations

FAILOVER_S = 1.2
"""Time without totals from the current controller after which those of another one are used: two
reports and their delivery."""
MAX_AGE_S = 120.0
"""Maximum age of totals, until which shares stay as they were. It is long because shares, and the
distribution of demand over routers, change more slowly than controllers recover, and without totals
a router knows only its own demand."""
MIN_COVERED_RATIO = 0.5
"""Part of the known routers that new totals must cover to replace ones that cover more: a
controller that has just started, or is partitioned off with a few routers, knows little of the
demand."""


class TotalsSource:
    """Tracks whose totals are in use, their age and the number of routers that they cover."""

    def __init__(self) -> None:
        """Start without totals."""
        self._controller_id: str | None = None
        self._received_s = float("-inf")
        self.reports_count = 0
        """Routers whose demand is in the totals."""

    def accepts(
        self, controller_id: str, reports_count: int, routers_count: int, now_s: float
    ) -> bool:
        """
        Decide whether to use the totals of a controller.

        :param controller_id: the controller
        :param reports_count: routers whose demand is in these totals
        :param routers_count: number of known routers
        :param now_s: monotonic time
        :return: whether they replace the totals in use
        """
        covers_less = reports_count < self.reports_count
        is_partial = reports_count < MIN_COVERED_RATIO * routers_count
        if covers_less and is_partial and self.is_current(now_s):
            return False
        is_other = controller_id != self._controller_id
        covers_more = reports_count > self.reports_count
        if is_other and not covers_more and self.age_s(now_s) <= FAILOVER_S:
            return False
        self._controller_id, self._received_s = controller_id, now_s
        self.reports_count = reports_count
        return True

    def age_s(self, now_s: float) -> float:
        """
        Return the age of the totals in use.

        :param now_s: monotonic time
        :return: time since they were received, infinite before the first ones
        """
        return now_s - self._received_s

    def is_current(self, now_s: float) -> bool:
        """
        Tell whether the totals are recent enough to be used.

        :param now_s: monotonic time
        :return: whether they are at most ``MAX_AGE_S`` old
        """
        return self.age_s(now_s) <= MAX_AGE_S


__all__ = ["FAILOVER_S", "MAX_AGE_S", "MIN_COVERED_RATIO", "TotalsSource"]
