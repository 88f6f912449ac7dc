"""Guards against requests to upstreams that said that they leave or want no more for a time."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.notices import (
    FORGET_AFTER_S,
    MAX_HOLD_OFF_S,
    HoldOff,
    Leaving,
    Notices,
    parse_hold_off,
)
from tests.routebuilders import a_listed_upstream

UPSTREAM = a_listed_upstream("up-1", started_ms=1)
LISTED = {"up-1": UPSTREAM}


class HoldOffHeaderTest(unittest.TestCase):
    def test_values(self) -> None:
        """Guards against a time that is misread, or that takes an upstream out of use for good."""
        rows = [
            (["2"], 2.0),
            (["0.25"], 0.25),
            (["1", "3", "2"], 3.0),
            (["1, 3"], 3.0),
            (["soon", "2"], 2.0),
            (["1e9"], MAX_HOLD_OFF_S),
            (["inf"], MAX_HOLD_OFF_S),
            (["nan"], None),
            (["-5"], None),
            (["0"], None),
            (["Wed, 21 Oct 2026 07:28:00 GMT"], None),
            ([""], None),
            ([], None),
        ]
        for values, expected_s in rows:
            with self.subTest(values):
                expected = None if expected_s is None else HoldOff(expected_s)
                self.assertEqual(parse_hold_off(values), expected)


class NoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.notices = Notices()

    def usable(self, now_s: float) -> list[str]:
        return list(self.notices.usable(["up-1", "up-2"], now_s))

    def test_hold_off(self) -> None:
        """Guards against a request before the time is over, and against waiting longer."""
        self.assertTrue(self.notices.record(UPSTREAM, HoldOff(2.5), 1.0))
        self.assertEqual(self.usable(3.4), ["up-2"])
        self.assertAlmostEqual(self.notices.hold_off_left_s(["up-1", "up-2"], 3.0), 0.5)
        self.assertEqual(self.usable(3.5), ["up-1", "up-2"])
        self.assertIsNone(self.notices.hold_off_left_s(["up-1", "up-2"], 3.5))

    def test_repeated_hold_off(self) -> None:
        """Guards against a short time that ends a longer one."""
        self.notices.record(UPSTREAM, HoldOff(5.0), 0.0)
        self.assertFalse(self.notices.record(UPSTREAM, HoldOff(0.1), 1.0))
        self.assertEqual(self.usable(4.9), ["up-2"])
        self.notices.record(UPSTREAM, HoldOff(5.0), 4.0)
        self.assertEqual(self.usable(8.9), ["up-2"])

    def test_leaving(self) -> None:
        """Guards against a leaving upstream that is used again after a reload of the list, or
        after a list without it."""
        self.notices.record(UPSTREAM, Leaving(), 0.0)
        self.notices.apply_list(LISTED, LISTED, 60.0)
        self.notices.apply_list(LISTED, {}, 65.0)
        self.notices.apply_list({}, LISTED, 66.0)
        self.assertEqual(self.usable(66.0), ["up-2"])

    def test_restart(self) -> None:
        """Guards against a notice that outlives the process that gave it."""
        restarted = {"up-1": UPSTREAM._replace(started_ms=2)}
        for notice in (Leaving(), HoldOff(100.0)):
            with self.subTest(notice):
                self.notices.record(UPSTREAM, notice, 0.0)
                self.notices.apply_list(LISTED, restarted, 1.0)
                self.assertEqual(self.usable(1.0), ["up-1", "up-2"])

    def test_gone(self) -> None:
        """Guards against a mark that is kept for every upstream that ever left."""
        self.notices.record(UPSTREAM, Leaving(), 0.0)
        self.notices.apply_list(LISTED, {}, FORGET_AFTER_S + 0.1)
        self.assertFalse(self.notices.is_leaving("up-1"))


if __name__ == "__main__":
    unittest.main()
