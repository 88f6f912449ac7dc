"""Guards against refused requests that are not logged, and against one log line per request."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from camphorvalve.reports.refusals import BATCH_COUNT, BATCH_DELAY_S, RefusalLog


class RefusalLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 10.0
        self.log = RefusalLog(lambda: {"lag_ms": 70.0}, lambda: self.now_s)

    def test_a_full_batch_is_logged_at_once(self) -> None:
        with capture_logs() as lines:
            for number in range(BATCH_COUNT + 1):
                self.log.add(f"id-{number}")
        self.assertEqual(len(lines), 1)
        self.assertEqual(lines[0]["request_ids"], [f"id-{number}" for number in range(BATCH_COUNT)])
        self.assertEqual(lines[0]["lag_ms"], 70.0)

    def test_an_incomplete_batch_is_logged_after_the_delay(self) -> None:
        with capture_logs() as lines:
            self.log.add("id-1")
            self.log.flush_due()
            self.assertEqual(lines, [])
            self.now_s += BATCH_DELAY_S
            self.log.flush_due()
            self.log.flush_due()
        self.assertEqual([line["request_ids"] for line in lines], [["id-1"]])


if __name__ == "__main__":
    unittest.main()
