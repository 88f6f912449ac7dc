"""Guards against a stopping router that takes requests which it cannot finish."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.departure import WINDOW_S, LongestTimes
from tests.routebuilders import a_departure

FAR_S = 1e6
"""A deadline that is later than the end of any stop."""


class DepartureTest(unittest.TestCase):
    def takes(self, now_s: float, deadline_s: float, *durations_s: float) -> bool:
        """Decide on a request at a time after the signal, after responses with these durations."""
        departure = a_departure(intake_s=2.5, duration_s=7.0)
        for duration_s in durations_s:
            departure.record_response("drafts", duration_s, 99.0)
        departure.record_response("other", 60.0, 99.0)
        departure.begin(100.0)
        return departure.takes("drafts", 100.0 + deadline_s, 100.0 + now_s)

    def test_time_left_against_time_needed(self) -> None:
        """Guards against a response that is cut off because it needs more time than is left, or a
        little more than the longest one before it."""
        rows = [
            # Time after the signal, deadline after it, earlier responses, whether it is taken.
            (0.0, FAR_S, (1.0, 3.0, 2.0), True),
            (2.4, FAR_S, (1.0, 3.0, 2.0), True),
            (2.4, FAR_S, (4.7,), False),
            (2.2, FAR_S, (4.7,), False),
            (1.0, FAR_S, (4.7,), True),
            (2.2, 6.9, (4.7,), True),
            (0.0, FAR_S, (8.0,), False),
            (0.0, 6.9, (8.0,), True),
            (0.0, 6.9, (), True),
            (0.0, 7.1, (), False),
        ]
        for now_s, deadline_s, durations_s, expected in rows:
            with self.subTest(now_s=now_s, deadline_s=deadline_s, durations_s=durations_s):
                self.assertEqual(self.takes(now_s, deadline_s, *durations_s), expected)

    def test_late_requests_are_refused(self) -> None:
        """Guards against a request that is taken late because responses are quick, and is cut off
        when this one is slow."""
        for now_s, expected in ((2.4, True), (2.5, False), (3.4, False), (7.9, False)):
            with self.subTest(now_s=now_s):
                self.assertEqual(self.takes(now_s, FAR_S, 0.01), expected)

    def test_unknown_duration(self) -> None:
        """Guards against a router that refuses every call after the signal because callers give no
        deadline and no response has been seen."""
        departure = a_departure()
        departure.begin(100.0)
        self.assertTrue(departure.takes("drafts", None, 100.0))
        departure.record_response("drafts", 60.0, 100.0)
        self.assertFalse(departure.takes("drafts", None, 100.0))

    def test_every_request_is_taken_before_the_signal(self) -> None:
        """Guards against refusals by a router that isn't stopping."""
        departure = a_departure()
        departure.record_response("drafts", 60.0, 99.0)
        self.assertTrue(departure.takes("drafts", FAR_S, 100.0))
        self.assertEqual(departure.ends_s, float("inf"))


class LongestTimesTest(unittest.TestCase):
    def test_window(self) -> None:
        """Guards against one slow response that makes a kind be refused for ever, and against
        forgetting it at once."""
        times = LongestTimes()
        times.record("drafts", 5.0, 100.0)
        rows = [(100.0, 5.0), (100.0 + WINDOW_S, 5.0), (100.0 + 2 * WINDOW_S, 1.0)]
        for now_s, expected_s in rows:
            with self.subTest(now_s=now_s):
                times.record("drafts", 1.0, now_s)
                self.assertEqual(times.longest_s("drafts", now_s), expected_s)
        self.assertIsNone(times.longest_s("drafts", 100.0 + 10 * WINDOW_S))
        self.assertIsNone(times.longest_s("other", 100.0))


if __name__ == "__main__":
    unittest.main()
