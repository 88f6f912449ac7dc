"""Guards against retries that multiply the load of a failing pool, and against too few of them."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.budget import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = RetryBudget(ratio=0.1, floor_count=lambda: 3, window_s=10.0)

    def _allowed(self, pool: str, now_s: float) -> int:
        return sum(self.budget.allow(pool, now_s) for _ in range(1000))

    def test_share_floor_and_window(self) -> None:
        self.assertEqual(self._allowed("idle", 0.0), 3, "the floor")
        self.assertEqual(self._allowed("idle", 9.0), 0, "the floor is used up")
        self.assertEqual(self._allowed("idle", 10.0), 3, "the floor counts per window")
        for number in range(200):
            self.budget.record_first_attempt("busy", number / 50)
        self.assertEqual(self._allowed("busy", 4.0), 20, "a tenth of the first attempts")
        self.assertEqual(self._allowed("other", 4.0), 3, "each pool has its own budget")
        self.budget.record_first_attempt("busy", 500.0)
        self.assertEqual(self._allowed("busy", 500.0), 3, "old first attempts no longer count")

    def test_load_of_a_failing_pool_stays_bounded(self) -> None:
        retries_count = 0
        for number in range(1000):
            now_s = number / 10
            self.budget.record_first_attempt("p", now_s)
            retries_count += sum(self.budget.allow("p", now_s) for _ in range(3))
        self.assertLessEqual(retries_count, 110)
        self.assertGreaterEqual(retries_count, 90)
