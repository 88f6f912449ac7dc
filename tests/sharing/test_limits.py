"""Guards against engines that get too many requests to answer in time, or too few."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.limits import DECREASE_FACTOR, AdaptiveLimits


class AdaptiveLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = AdaptiveLimits()
        self.get()

    def get(self) -> float:
        return self.limits.get("a", 0.25, 1.0, 0.6)

    def test_late_answers(self) -> None:
        """Guards against a limit that stays high although answers begin late, or falls below its
        minimum."""
        for number in range(100):
            self.limits.record_answer_start("a", 0.39, 0.4, float(number))
        self.assertEqual(self.get(), 0.25)

    def test_early_answers(self) -> None:
        """Guards against a limit that stays low although the engine has spare capacity."""
        for number in range(100):
            self.limits.record_answer_start("a", 0.05, 0.4, float(number))
        self.assertEqual(self.get(), 1.0)

    def test_late_together(self) -> None:
        """Guards against answers that are late because of one long prompt, each of which lowers the
        limit."""
        for _ in range(20):
            self.limits.record_answer_start("a", 0.39, 0.4, 1.0)
        self.assertAlmostEqual(self.get(), 0.6 * DECREASE_FACTOR)


if __name__ == "__main__":
    unittest.main()
