"""Guards against descriptors that are used up by connections of refused callers."""

from __future__ import annotations

import unittest

from camphorvalve.http.connections import Connections


class ConnectionsTest(unittest.TestCase):
    def test_crowded(self) -> None:
        """Guards against connections that are never closed, or closed while there is room."""
        connections = Connections(10, lambda: 15.0)
        for port in range(10):
            connections.note(("127.0.0.1", port), 100.0)
            connections.note(("127.0.0.1", port), 101.0)
        self.assertFalse(connections.crowded(101.0))
        connections.note(("127.0.0.1", 10), 110.0)
        self.assertTrue(connections.crowded(110.0))
        self.assertFalse(connections.crowded(117.0))


if __name__ == "__main__":
    unittest.main()
