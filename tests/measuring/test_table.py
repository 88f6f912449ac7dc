"""Checks that figures that miss their target or were not measured are never reported as met."""

from __future__ import annotations

import unittest

from tools.measuring.plans import WORKLOADS
from tools.measuring.table import merge, rows

GOOD = {
    "fairness_gap_s": 1.0,
    "fairness_gap_services_s": 1.0,
    "utilisation_models": 0.98,
    "utilisation_services": 0.99,
    "flood_kept_least_urgent": 1.0,
    "flood_kept_most_urgent": 0.96,
    "control_bytes_per_s": 9000,
    "control_cpu_fraction": 0.01,
    "rss_mb": 50.0,
    "config_in_force_s": 1.0,
}
WORKLOAD = WORKLOADS["perth"]


class TableTest(unittest.TestCase):
    def test_missed_and_missing_figures_are_named(self) -> None:
        cases = {
            "all met": ({}, []),
            "gap too large": ({"fairness_gap_s": 2.6}, ["fairness_gap_s"]),
            "one pool partly idle": ({"utilisation_services": 0.9}, ["utilisation"]),
            "not measured": ({"rss_mb": None}, ["rss_mb"]),
        }
        for name, (changed, expected) in cases.items():
            with self.subTest(name):
                merged = merge(WORKLOAD, {"fleet_fair": {**GOOD, **changed}, "first_come": GOOD})
                self.assertEqual(merged["targets_missed"], expected)
        failed = merge(WORKLOAD, {"fleet_fair": {}, "first_come": GOOD})
        targets = [row.name for row in rows(WORKLOAD) if row.target is not None]
        self.assertEqual(failed["targets_missed"], targets)

    def test_unit_stays_the_last_part_of_a_baseline_name(self) -> None:
        merged = merge(WORKLOAD, {"fleet_fair": GOOD, "local_fair": GOOD, "first_come": GOOD})
        expected = {"fairness_gap_local_s", "utilisation_fifo", "flood_kept_least_urgent_local"}
        self.assertLessEqual(expected, merged.keys())
        self.assertNotIn("control_cpu_fraction_local", merged)
