"""Guards against metrics that omit requests or are not valid in the text format."""

from __future__ import annotations

import unittest

from camphorvalve.reports.exposition import Exposition
from camphorvalve.reports.outcomes import Answered, CallerLeft, Finished
from tests.routebuilders import a_routed_exchange


class ExpositionTest(unittest.TestCase):
    def test_text(self) -> None:
        """Guards against outcomes with the same label, and against gauges read only once."""
        exposition = Exposition()
        running_count = [3.0]
        exposition.add_gauge("running_count", "requests at an upstream", lambda: running_count[0])
        exchange = a_routed_exchange()
        exchange.kind = "drafts"
        exposition.record(Finished(exchange, Answered(200), 1.0, 0.15, 0.3))
        exposition.record(Finished(exchange, CallerLeft(), 1.0, None, 0.3))
        running_count[0] = 4.0
        text = exposition.text().decode()
        self.assertIn('requests_total{kind="drafts",outcome="answered"} 1.0', text)
        self.assertIn('requests_total{kind="drafts",outcome="caller_left"} 1.0', text)
        self.assertIn('first_byte_seconds_bucket{kind="drafts",le="0.2"} 1.0', text)
        self.assertIn('total_seconds_count{kind="drafts"} 2.0', text)
        self.assertIn("running_count 4.0", text)


if __name__ == "__main__":
    unittest.main()
