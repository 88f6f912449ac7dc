"""Guards against burn rates that omit misses, count errors of callers, or do not add up."""

from __future__ import annotations

import random
import unittest
from typing import Any

import msgspec

from camphorvalve.model.errors import CODES
from camphorvalve.reports.burn import (
    WINDOWS,
    BurnReport,
    BurnTracker,
    ObjectiveResult,
    evaluate,
    merge_burn_reports,
)
from camphorvalve.reports.outcomes import Answered, CallerLeft, Failed
from camphorvalve.reports.sketches import RELATIVE_ACCURACY
from camphorvalve.reports.tables import burn_table
from tests.builders import a_finished, a_kind, an_exchange, team_parameters

TEAM = team_parameters("a", kinds={"chat": a_kind(objective_s=1.0, objective_ratio=0.9)})


def _finished(latency_s: float | None = 0.5, ended_s: float = 0.0, **fields: Any):
    return a_finished(TEAM, "chat", first_byte_s=latency_s, ended_s=ended_s, **fields)


def _windows(report: BurnReport, number: int = 0) -> dict[str, Any]:
    return {window["window"]: window for window in report["series"][number]["windows"]}


class BurnTest(unittest.TestCase):
    def test_results_of_requests(self) -> None:
        cases = [
            (Answered(200), 1.0, ObjectiveResult.GOOD),
            (Answered(200), 1.1, ObjectiveResult.BAD),
            (Answered(404), 0.1, ObjectiveResult.GOOD),
            (Answered(500), 0.1, ObjectiveResult.BAD),
            (CallerLeft(), 0.5, ObjectiveResult.GOOD),
            (CallerLeft(), None, ObjectiveResult.IGNORED),
        ]
        service_faults = set()
        for code, (_, run) in CODES.items():
            outcome = Failed(code, run)
            if evaluate(_finished(0.5, outcome=outcome)) is ObjectiveResult.BAD:
                service_faults.add(code)
        for outcome, latency_s, result in cases:
            with self.subTest(outcome=outcome, latency_s=latency_s):
                self.assertIs(evaluate(_finished(latency_s, outcome=outcome)), result)
        late_disconnect = _finished(None, outcome=CallerLeft(), total_s=1.1)
        self.assertIs(evaluate(late_disconnect), ObjectiveResult.BAD)
        unclassified = a_finished(outcome=Failed("bad_body", "no"))._replace(exchange=an_exchange())
        self.assertIs(evaluate(unclassified), ObjectiveResult.IGNORED)
        expected = {code for code, (status, _) in CODES.items() if status >= 429}
        self.assertEqual(service_faults, expected | {"outcome_unknown", "not_leader"})

    def test_burn_rates_by_window(self) -> None:
        burn = BurnTracker("router-1")
        for minute in range(180):
            missed = 60 <= minute < 66
            for number in range(10):
                latency_s = 2.0 if missed and number < 5 else 0.5
                burn.record(_finished(latency_s, ended_s=60.0 * minute))
            if minute in (65, 75, 130):
                windows = _windows(burn.report(60.0 * minute))
                with self.subTest(minute=minute):
                    expected = {
                        65: {"5m": (60, 30, 5.0), "1h": (660, 30, 0.4545), "6h": (660, 30, 0.4545)},
                        75: {"5m": (60, 0, 0.0), "1h": (660, 30, 0.4545), "6h": (760, 30, 0.3947)},
                        130: {"5m": (60, 0, 0.0), "1h": (610, 0, 0.0), "6h": (1310, 30, 0.229)},
                    }[minute]
                    counts_and_rates = {
                        name: (
                            window["good_count"] + window["bad_count"],
                            window["bad_count"],
                            window["burn_rate"],
                        )
                        for name, window in windows.items()
                    }
                    self.assertEqual(counts_and_rates, expected)
                    self.assertEqual(
                        windows["5m"]["budget_left_ratio"], 1 - windows["5m"]["burn_rate"]
                    )
        empty = _windows(burn.report(60.0 * 1000))["6h"]
        self.assertEqual((empty["good_count"], empty["bins"], empty["p99_s"]), (0, {}, None))

    def test_merged_reports_equal_the_report_of_a_single_router(self) -> None:
        seed = 7
        generator = random.Random(seed)
        whole, parts = (
            BurnTracker("whole"),
            [BurnTracker("router-1"), BurnTracker("router-2"), BurnTracker("idle")],
        )
        latencies_s = sorted(generator.lognormvariate(0, 1) for _ in range(2000))
        for latency_s in generator.sample(latencies_s, len(latencies_s)):
            finished = _finished(latency_s)
            whole.record(finished)
            generator.choice(parts[:2]).record(finished)
        encoded = [msgspec.json.encode(tracker.report(0.0)) for tracker in parts]
        merged = merge_burn_reports(
            msgspec.json.decode(report, type=BurnReport) for report in encoded
        )
        self.assertEqual(merged["routers"], ["router-1", "router-2", "idle"])
        self.assertEqual(merged["series"], whole.report(0.0)["series"], f"seed {seed}")
        for name, rank in (("p50_s", 999), ("p95_s", 1899), ("p99_s", 1979)):
            estimate_s = _windows(merged)["5m"][name]
            allowed_s = RELATIVE_ACCURACY * latencies_s[rank] * 1.01
            self.assertAlmostEqual(estimate_s, latencies_s[rank], delta=allowed_s, msg=f"{seed=}")

    def test_series_buckets_and_bins_are_bounded(self) -> None:
        burn = BurnTracker("router-1", limit_count=2)
        for name in ("a", "b", "a", "c"):
            burn.record(a_finished(team_parameters(name), "chat"))
        finished = a_finished(team_parameters("c"), "chat")
        for number in range(4000):
            burn.record(finished._replace(ended_s=25.0 * number))
            burn.record(finished._replace(ended_s=0.0, first_byte_s=1.1 ** (number % 400)))
        report = burn.report(100_000.0)
        self.assertEqual([series["team"] for series in report["series"]], ["a", "c"])
        self.assertEqual(report["dropped_count"], 1)
        for buckets in burn._series["c", "chat"]._buckets:
            self.assertLessEqual(len(buckets), 7)
            for bucket in buckets:
                self.assertLessEqual(len(bucket.latencies.bins()), 128)

    def test_table(self) -> None:
        burn = BurnTracker("router-1")
        burn.record(_finished(0.5))
        burn.record(_finished(2.0))
        lines = burn_table(burn.report(0.0)).splitlines()
        self.assertEqual(len(lines), 1 + len(WINDOWS))
        self.assertEqual(lines[1].split()[:6], ["a", "chat", "0.9", "in", "1s", "5m"])
        self.assertEqual(lines[1].split()[6:10], ["2", "1", "5.00", "-400%"])
        self.assertEqual(lines[0].index("window"), lines[1].index("5m"), "columns are aligned")
