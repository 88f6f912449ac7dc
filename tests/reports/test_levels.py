"""Guards against an overloaded router whose logs do not show the lag of its event loop."""

from __future__ import annotations

import unittest

from camphorvalve.reports.levels import LevelReporter


class LevelReporterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.accepted_count = 5
        self.lags_s: list[float] = []
        self.reporter = LevelReporter(lambda: self.now_s, self.lags_s.append)
        self.reporter.add_counter("connections_count", lambda: self.accepted_count)
        self.reporter.add_gauge("running_count", lambda: 12.0)

    def test_a_report_covers_the_time_since_the_previous_one(self) -> None:
        for lag_s in (0.01, 0.08, -0.001):
            self.reporter.measure(lag_s)
        self.now_s, self.accepted_count = 102.0, 25
        levels = self.reporter.report()
        self.assertEqual(levels.lag_ms, 80.0)
        self.assertEqual(levels.counts, {"connections_count": 20})
        self.assertEqual(levels.gauges, {"running_count": 12.0})
        self.now_s = 103.0
        levels = self.reporter.report()
        self.assertEqual(levels.lag_ms, 0.0)
        self.assertEqual(levels.counts, {"connections_count": 0})

    def test_an_early_wake_up_counts_as_no_lag(self) -> None:
        self.reporter.measure(-0.5)
        self.assertEqual((self.reporter.lag_s, self.lags_s), (0.0, [0.0]))


if __name__ == "__main__":
    unittest.main()
