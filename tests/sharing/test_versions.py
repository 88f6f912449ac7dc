"""Guards against a version that is taken for the only one although another has served lately."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.versions import (
    FORGET_AFTER_S,
    MAX_GAP_S,
    MAX_GONE_COUNT,
    VersionHistory,
)
from tests.routebuilders import some_versions

SPAN_S = 15.0


class VersionHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = VersionHistory()
        self.now_s = 100.0

    def follow(self, *software: str | None, for_s: float = 0.0) -> None:
        """Read the list once a second for some time."""
        for _ in range(int(for_s) + 1):
            self.history.apply(some_versions(*software), self.now_s)
            self.now_s += 1.0

    def is_alone(self) -> bool:
        return self.history.is_alone("engines", SPAN_S, self.now_s)

    def test_started_process(self) -> None:
        """Guards against a process that has just started and knows nothing of what left before."""
        self.follow("v1")
        self.assertFalse(self.is_alone())
        self.follow("v1", for_s=SPAN_S)
        self.assertTrue(self.is_alone())

    def test_two_versions(self) -> None:
        """Guards against a choice among two listed versions."""
        self.follow("v1", "v1", for_s=SPAN_S)
        self.follow("v1", "v2", for_s=2 * SPAN_S)
        self.assertFalse(self.is_alone())

    def test_version_left(self) -> None:
        """Guards against streams of a version that left shortly before."""
        self.follow("v1", for_s=SPAN_S)
        self.follow("v1", "v2", for_s=3)
        self.follow("v2", for_s=SPAN_S - 3)
        self.assertFalse(self.is_alone())
        self.follow("v2", for_s=3)
        self.assertTrue(self.is_alone())

    def test_other_pools(self) -> None:
        """Guards against a pool in doubt because of the versions of another one."""
        self.history.apply([*some_versions("v1"), *some_versions("v7", pool="desk")], 0.0)
        self.history.apply([*some_versions("v1"), *some_versions("v8", pool="desk")], 1.0)
        for second in range(2, 20):
            self.history.confirm(float(second))
        self.assertTrue(self.history.is_alone("engines", SPAN_S, 19.0))
        self.assertFalse(self.history.is_alone("desk", 20.0, 19.0))

    def test_gap(self) -> None:
        """Guards against a version that comes and goes while the list is not read."""
        self.follow("v1", for_s=SPAN_S)
        self.now_s += MAX_GAP_S + 1.0
        self.assertFalse(self.is_alone())
        self.follow("v1", for_s=SPAN_S - 2)
        self.assertFalse(self.is_alone())

    def test_version_left_between_two_reads(self) -> None:
        """Guards against streams of a version that served until shortly before the list without it
        was read."""
        self.follow("v1", for_s=SPAN_S)
        self.now_s += MAX_GAP_S - 1.0
        read_s = self.now_s
        self.follow("v2", for_s=SPAN_S + MAX_GAP_S)
        self.assertFalse(self.history.is_alone("engines", SPAN_S, read_s + SPAN_S - 0.5))
        self.assertTrue(self.history.is_alone("engines", SPAN_S, read_s + SPAN_S))

    def test_long_streams(self) -> None:
        """Guards against streams that last longer than a version is remembered after it left."""
        self.follow("v1")
        self.follow("v2", for_s=FORGET_AFTER_S + 10.0)
        since_start_s = self.now_s - 100.0
        self.assertFalse(self.history.is_alone("engines", since_start_s, self.now_s))
        self.assertTrue(self.history.is_alone("engines", FORGET_AFTER_S - 1.0, self.now_s))

    def test_report_to_a_started_process(self) -> None:
        """Guards against doubt, or a false conclusion, after all routers have restarted."""
        self.follow("v1", for_s=SPAN_S)
        started = VersionHistory()
        started.apply(some_versions("v1"), self.now_s)
        started.merge(self.history.report(self.now_s), self.now_s)
        self.assertTrue(started.is_alone("engines", SPAN_S, self.now_s))
        self.follow("v2")
        started = VersionHistory()
        started.apply(some_versions("v2"), self.now_s)
        started.merge(self.history.report(self.now_s), self.now_s)
        self.assertFalse(started.is_alone("engines", SPAN_S, self.now_s))
        self.assertFalse(started.is_alone("engines", 3.0, self.now_s))

    def test_reports_to_and_fro(self) -> None:
        """Guards against a version that never counts as gone because its age grows smaller with
        each report."""
        self.follow("v1", for_s=SPAN_S)
        self.follow("v2")
        other = VersionHistory()
        other.apply(some_versions("v2"), self.now_s)
        for _ in range(2 * int(SPAN_S)):
            other.merge(self.history.report(self.now_s), self.now_s + 0.4)
            self.now_s += 0.5
            for history in (self.history, other):
                history.confirm(self.now_s)
            self.history.merge(other.report(self.now_s), self.now_s + 0.4)
            self.now_s += 0.5
        self.assertTrue(self.is_alone())
        self.assertTrue(other.is_alone("engines", SPAN_S, self.now_s))

    def test_many_versions(self) -> None:
        """Guards against a history that grows without a bound, and against conclusions from what
        was forgotten."""
        self.follow("v0", for_s=SPAN_S)
        for number in range(3 * MAX_GONE_COUNT):
            self.history.apply(some_versions(f"v{number}"), self.now_s)
        self.assertEqual(len(self.history.report(self.now_s).gone), MAX_GONE_COUNT)
        self.assertEqual(self.history.observed_age_s(self.now_s), 0.0)


if __name__ == "__main__":
    unittest.main()
