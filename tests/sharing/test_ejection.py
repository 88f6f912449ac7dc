"""Guards against upstreams that keep failing requests, and against pools that are emptied."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.ejection import EJECT_MAX_S, EJECT_S, Ejections

UPSTREAMS = ["a", "b", "c", "d"]


class EjectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ejections = Ejections()

    def test_isolated_failure(self) -> None:
        """Guards against an upstream that is left out for a single failure."""
        self.ejections.fail("a", 0.0, unreachable=False)
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.0), UPSTREAMS)

    def test_unreachable_at_once(self) -> None:
        """Guards against requests that try a dead upstream again and again."""
        self.assertTrue(self.ejections.fail("a", 0.0, unreachable=True))
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.1), ["b", "c", "d"])
        self.assertEqual(self.ejections.usable(UPSTREAMS, EJECT_S), UPSTREAMS)

    def test_partial_failures(self) -> None:
        """Guards against a grey upstream that fails every second request unnoticed."""
        for _ in range(5):
            self.ejections.succeed("a")
            self.ejections.fail("a", 0.0, unreachable=False)
        self.assertNotIn("a", self.ejections.usable(UPSTREAMS, 0.0))

    def test_never_empty(self) -> None:
        """Guards against a fault of all upstreams that leaves no upstream."""
        for number, upstream_id in enumerate(UPSTREAMS):
            self.ejections.fail(upstream_id, float(number) / 10, unreachable=True)
        self.assertEqual(self.ejections.usable(UPSTREAMS, 0.5), ["a", "b"])

    def test_longer_each_time(self) -> None:
        """Guards against an upstream that is down for long and costs a try every second."""
        now_s = 0.0
        for _ in range(6):
            self.ejections.fail("a", now_s, unreachable=True)
            now_s += EJECT_MAX_S
        self.ejections.fail("a", now_s, unreachable=True)
        self.assertNotIn("a", self.ejections.usable(UPSTREAMS, now_s + EJECT_MAX_S - 0.1))


if __name__ == "__main__":
    unittest.main()
