"""Guards against a graceful stop that cuts requests off without a trace in the log."""

from __future__ import annotations

import time
import unittest

from structlog.testing import capture_logs

from camphorvalve.controllers.stopping import MAX_LOGGED_COUNT, GracefulStop
from tests.routebuilders import a_routed_exchange


class GracefulStopTest(unittest.TestCase):
    def logged(self, count: int, *, signalled: bool = True) -> list[dict[str, object]]:
        """Log unfinished requests that arrived half a second after the signal."""
        stop = GracefulStop(lambda: None, 2.0)
        now_s = time.monotonic()
        if signalled:
            stop.signalled_s = now_s - 3.0
        exchanges = [a_routed_exchange(request_id=f"id-{number}") for number in range(count)]
        for exchange in exchanges:
            exchange.received_s = now_s - 2.5
        with capture_logs() as lines:
            stop.log_unfinished(exchanges)
        return lines

    def test_cut_requests_are_logged_with_their_arrival(self) -> None:
        """Guards against a log that can't tell requests taken late from those that last long."""
        total, single = self.logged(1)
        self.assertEqual((total["unfinished_count"], total["stopping_s"]), (1, 3.0))
        self.assertEqual(single["request_id"], "id-0")
        self.assertEqual((single["arrived_after_signal_s"], single["age_s"]), (0.5, 2.5))

    def test_log_is_bounded(self) -> None:
        """Guards against a stop that spends its last moments on log lines."""
        lines = self.logged(3 * MAX_LOGGED_COUNT)
        self.assertEqual(len(lines), 1 + MAX_LOGGED_COUNT)

    def test_nothing_is_logged_without_cut_requests(self) -> None:
        """Guards against a warning after a clean stop."""
        self.assertEqual(self.logged(0), [])
        self.assertEqual(self.logged(1, signalled=False), [])


if __name__ == "__main__":
    unittest.main()
