"""Guards against engines that are filled until their answers begin too late, or left idle."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.limits import DECREASE_RATIO, AdaptiveLimits


class AdaptiveLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limits = AdaptiveLimits()
        self.get()

    def get(self) -> float:
        return self.limits.get("a", 0.25, 1.0, 0.6)

    def test_late_answers(self) -> None:
        """Guards against a limit that stays although answers begin late, or falls to nothing."""
        for number in range(100):
            self.limits.began("a", 0.39, 0.4, float(number))
        self.assertEqual(self.get(), 0.25)

    def test_early_answers(self) -> None:
        """Guards against a limit that keeps work from an engine with room."""
        for number in range(100):
            self.limits.began("a", 0.05, 0.4, float(number))
        self.assertEqual(self.get(), 1.0)

    def test_late_together(self) -> None:
        """Guards against answers that waited for one long prompt and count one by one."""
        for _ in range(20):
            self.limits.began("a", 0.39, 0.4, 1.0)
        self.assertAlmostEqual(self.get(), 0.6 * DECREASE_RATIO)


if __name__ == "__main__":
    unittest.main()
