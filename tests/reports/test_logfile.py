"""Guards against a failed request whose cause cannot be found in the logs."""

from __future__ import annotations

import unittest

from camphorvalve.reports.logfile import select_lines

LINES = [
    '1.0 r-1 {"event": "manifest in force", "host_id": "r-1", "version": 1}',
    '1.5 r-2 {"event": "manifest in force", "host_id": "r-2", "version": 2}',
    '2.0 r-1 {"event": "manifest in force", "host_id": "r-1", "version": 3}',
    "2.1 r-1 no structured line",
    '2.2 r-1 {"event": "cut off',
    '3.0 r-1 {"event": "request placed", "host_id": "r-1", "request_id": "a"}',
    '3.1 r-1 {"event": "request placed", "host_id": "r-1", "request_id": "b"}',
    '3.2 r-1 {"event": "attempt failed", "host_id": "r-1", "request_id": "a"}',
    '3.3 r-1 {"event": "manifest in force", "host_id": "r-1", "version": 4}',
    '3.4 r-1 {"event": "request finished", "host_id": "r-1", "request_id": "a"}',
]


class SelectLinesTest(unittest.TestCase):
    def test_lines_of_a_request_and_state_events_before_it(self) -> None:
        """Guards against missing decisions, and against state events of another process or time."""
        selected = [(line["event"], line.get("version")) for line in select_lines(LINES, "a")]
        self.assertEqual(
            selected,
            [
                ("manifest in force", 3),
                ("request placed", None),
                ("attempt failed", None),
                ("request finished", None),
            ],
        )
        self.assertEqual(list(select_lines(LINES, "c")), [])

    def test_a_line_that_lists_several_requests(self) -> None:
        line = '4.0 r-1 {"event": "requests refused", "host_id": "r-1", "request_ids": ["d", "e"]}'
        selected = [entry["event"] for entry in select_lines([*LINES, line], "e")]
        self.assertEqual(selected, ["manifest in force", "requests refused"])


if __name__ == "__main__":
    unittest.main()
