"""Checks that the figures do not hide a fairness gap, an idle slot or a team that did not wait."""

from __future__ import annotations

import unittest

from tools.measuring.fairness import Run, Window, backlogged_ratio, utilisation, worst_gap

WINDOW = Window(100.0, 110.0)


class FairnessFigureTest(unittest.TestCase):
    def test_gap_counts_service_per_share_over_the_worst_interval(self) -> None:
        steady = Run("u", "a", 100.0, 110.0, 100.0)
        cases = {
            # (runs of the other team, its share, expected gap at 20 units per second)
            "equal service": ([Run("u", "b", 100.0, 110.0, 100.0)], 1.0, 0.0),
            "twice the service for twice the share": (
                [Run("u", "b", 100.0, 110.0, 200.0)],
                2.0,
                0.0,
            ),
            "starts late, then catches up": ([Run("u", "b", 105.0, 110.0, 100.0)], 1.0, 2.5),
            "no service": ([], 1.0, 5.0),
        }
        for name, (runs, share, expected_s) in cases.items():
            with self.subTest(name):
                gap = worst_gap([steady, *runs], {"a": 1.0, "b": share}, WINDOW, 20.0, 1.0)
                self.assertAlmostEqual(gap.gap_s, expected_s, places=1)

    def test_utilisation_counts_no_more_than_the_slots(self) -> None:
        runs = [Run("u", "a", 95.0, 105.0, 1.0)] * 3 + [Run("v", "a", 100.0, 120.0, 1.0)]
        self.assertAlmostEqual(utilisation(runs, {"u": 2, "v": 1}, WINDOW), 20 / 30)

    def test_pauses_between_waits_are_not_backlogged(self) -> None:
        waits = [(90.0, 102.0), (101.0, 104.0), (109.0, 111.0)]
        self.assertAlmostEqual(backlogged_ratio(waits, WINDOW), 0.5)
