"""Guards against refused requests that leave no trace, and against a log line for each of them."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from camphorvalve.reports.refusals import LINE_COUNT, LINE_S, RefusalLog


class RefusalLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 10.0
        self.log = RefusalLog(lambda: {"lag_ms": 70.0}, lambda: self.now_s)

    def test_a_full_line_is_written_at_once(self) -> None:
        with capture_logs() as lines:
            for number in range(LINE_COUNT + 1):
                self.log.note(f"id-{number}")
        self.assertEqual(len(lines), 1)
        self.assertEqual(lines[0]["request_ids"], [f"id-{number}" for number in range(LINE_COUNT)])
        self.assertEqual(lines[0]["lag_ms"], 70.0)

    def test_the_last_requests_do_not_wait_for_others(self) -> None:
        with capture_logs() as lines:
            self.log.note("id-1")
            self.log.flush_due()
            self.assertEqual(lines, [])
            self.now_s += LINE_S
            self.log.flush_due()
            self.log.flush_due()
        self.assertEqual([line["request_ids"] for line in lines], [["id-1"]])


if __name__ == "__main__":
    unittest.main()
