"""Guards against requests to failing upstreams, and against ejecting a whole pool."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.ejection import INITIAL_EJECTION_S, MAX_EJECTION_S, Ejections

UPSTREAMS = ["a", "b", "c", "d"]


class EjectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ejections = Ejections()

    def test_isolated_failure(self) -> None:
        """Guards against ejecting an upstream after a single failure."""
        self.ejections.record_failure("a", 0.0, unreachable=False)
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.0), UPSTREAMS)

    def test_unreachable_at_once(self) -> None:
        """Guards against repeated requests to an upstream that cannot be reached."""
        self.assertTrue(self.ejections.record_failure("a", 0.0, unreachable=True))
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.1), ["b", "c", "d"])
        self.assertEqual(self.ejections.usable(UPSTREAMS, INITIAL_EJECTION_S), UPSTREAMS)

    def test_partial_failures(self) -> None:
        """Guards against an upstream that stays in use although every second request fails."""
        for _ in range(5):
            self.ejections.record_success("a")
            self.ejections.record_failure("a", 0.0, unreachable=False)
        self.assertNotIn("a", self.ejections.usable(UPSTREAMS, 0.0))

    def test_never_empty(self) -> None:
        """Guards against an empty pool when all upstreams fail."""
        for number, upstream_id in enumerate(UPSTREAMS):
            self.ejections.record_failure(upstream_id, float(number) / 10, unreachable=True)
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.5), ["a", "b"])

    def test_most_are_unreachable(self) -> None:
        """Guards against requests to upstreams that are down while another one can be reached."""
        for upstream_id in UPSTREAMS[:3]:
            self.ejections.record_failure(upstream_id, 0.0, unreachable=True)
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.5), ["d"])

    def test_late_failures_of_an_unreachable_upstream(self) -> None:
        """Guards against using an upstream that is down because a request that it still had failed
        later."""
        for upstream_id in UPSTREAMS[:3]:
            self.ejections.record_failure(upstream_id, 0.0, unreachable=True)
            self.ejections.record_failure(upstream_id, 0.4, unreachable=False)
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.5), ["d"])

    def test_most_are_failing(self) -> None:
        """Guards against sending the requests of a whole pool to a small part of it, when most of
        the upstreams that can be reached fail."""
        for upstream_id in UPSTREAMS[:3]:
            for _ in range(2):
                self.ejections.record_failure(upstream_id, 0.0, unreachable=False)
        self.assertEqual(len(self.ejections.usable(UPSTREAMS, 0.5)), 2)

    def test_longer_each_time(self) -> None:
        """Guards against one failed request every second while an upstream is down for long."""
        now_s = 0.0
        for _ in range(6):
            self.ejections.record_failure("a", now_s, unreachable=True)
            now_s += MAX_EJECTION_S
        self.ejections.record_failure("a", now_s, unreachable=True)
        self.assertNotIn("a", self.ejections.usable(UPSTREAMS, now_s + MAX_EJECTION_S - 0.1))


if __name__ == "__main__":
    unittest.main()
