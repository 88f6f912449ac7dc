"""Guards against shares that add up to more or less than the capacity of the engines."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.capacity import (
    DECREASE_ABOVE_RATIO,
    DECREASE_FACTOR,
    INCREASE_BELOW_RATIO,
    INCREASE_FACTOR,
    MAX_RATIO,
    MIN_RATIO,
    MIN_SERVED_RATIO,
    CapacityEstimate,
)

ASKED_TOKENS = 1000.0


class CapacityTest(unittest.TestCase):
    def estimated_ratio(
        self, *, starved_ratio: float, served_ratio: float, count: int = 1
    ) -> float:
        estimate = CapacityEstimate()
        for _ in range(count):
            estimate.update(ASKED_TOKENS, starved_ratio * ASKED_TOKENS, served_ratio)
        return estimate.ratio

    def test_ratio_after_reports(self) -> None:
        rows = [
            # Refused part of the demand within shares, service, reports; expected estimate.
            (0.0, 0.9, 1, INCREASE_FACTOR),
            (0.0, 1.6, 100, MAX_RATIO),
            (0.0, 0.5, 100, 1.0),
            (DECREASE_ABOVE_RATIO - 0.01, 0.5, 10, 1.0),
            (DECREASE_ABOVE_RATIO + 0.01, 0.5, 1, DECREASE_FACTOR),
            (0.5, 0.8, 100, MIN_SERVED_RATIO * 0.8),
            (0.5, 1.3, 1, 1.0),
            (0.5, 0.0, 100, MIN_RATIO),
        ]
        for starved_ratio, served_ratio, count, expected in rows:
            with self.subTest(starved_ratio=starved_ratio, served_ratio=served_ratio):
                ratio = self.estimated_ratio(
                    starved_ratio=starved_ratio, served_ratio=served_ratio, count=count
                )
                self.assertAlmostEqual(ratio, expected)

    def test_growth(self) -> None:
        """Guards against an estimate that stays low after engines were slow temporarily."""
        estimate = CapacityEstimate()
        estimate.update(ASKED_TOKENS, ASKED_TOKENS, 0.5)
        estimate.update(ASKED_TOKENS, (INCREASE_BELOW_RATIO + 0.01) * ASKED_TOKENS, 0.5)
        self.assertAlmostEqual(estimate.ratio, DECREASE_FACTOR)
        estimate.update(ASKED_TOKENS, 0.0, 0.5)
        self.assertAlmostEqual(estimate.ratio, DECREASE_FACTOR * INCREASE_FACTOR)
        for _ in range(10):
            estimate.update(ASKED_TOKENS, 0.0, 0.5, has_excess_demand=False)
        self.assertEqual(estimate.ratio, 1.0)

    def test_quiet_times(self) -> None:
        """Guards against an estimate that grows while demand is low and is too high for the next
        burst."""
        estimate = CapacityEstimate()
        for has_excess_demand in (True, False):
            for _ in range(100):
                estimate.update(ASKED_TOKENS, 0.0, 1.4, has_excess_demand=has_excess_demand)
        self.assertEqual(estimate.ratio, 1.0)

    def test_service_does_not_raise_it(self) -> None:
        """Guards against an estimate that grows while teams within their share are refused."""
        estimate = CapacityEstimate()
        for served_ratio in (0.5, 0.5, 0.5, 2.0):
            before = estimate.ratio
            estimate.update(ASKED_TOKENS, ASKED_TOKENS, served_ratio)
            self.assertLessEqual(estimate.ratio, before)


if __name__ == "__main__":
    unittest.main()
