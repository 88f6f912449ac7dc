"""Guards against running out of file descriptors through connections of refused callers."""

from __future__ import annotations

import unittest

from camphorvalve.http.connections import ConnectionTracker


class ConnectionTrackerTest(unittest.TestCase):
    def test_limit(self) -> None:
        """Guards against connections that stay open above the limit, or are closed below it."""
        connections = ConnectionTracker(10, lambda: 15.0)
        for port in range(10):
            connections.record_request(("127.0.0.1", port), 100.0)
            connections.record_request(("127.0.0.1", port), 101.0)
        self.assertFalse(connections.exceeds_limit(101.0))
        connections.record_request(("127.0.0.1", 10), 110.0)
        self.assertTrue(connections.exceeds_limit(110.0))
        self.assertFalse(connections.exceeds_limit(117.0))


if __name__ == "__main__":
    unittest.main()
