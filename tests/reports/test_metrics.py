"""Guards against undocumented metrics, and against sending that blocks or fails a request."""

from __future__ import annotations

import re
import socket
import unittest
from pathlib import Path

from camphorvalve.model.errors import Run
from camphorvalve.reports.metrics import (
    CONTROLLER_METRICS,
    ROUTER_METRICS,
    ControllerGauges,
    Disabled,
    Metrics,
    RouterGauges,
    Statsd,
    destination_from_settings,
)
from camphorvalve.reports.outcomes import Failed
from camphorvalve.settings import schema
from tests.builders import a_finished, an_exchange, team_parameters

DOCUMENT = Path(__file__).resolve().parents[2] / "docs" / "metrics.md"


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.server.close)
        self.server.bind(("127.0.0.1", 0))
        self.server.settimeout(5)
        self.port = self.server.getsockname()[1]

    def _metrics(self) -> Metrics:
        settings = schema.Metrics("127.0.0.1", self.port, "cv")
        metrics = Metrics(destination_from_settings(settings))
        self.addCleanup(metrics.close)
        return metrics

    def test_sent_metrics_are_documented(self) -> None:
        metrics = self._metrics()
        finished = a_finished(team_parameters("a.b:c"), "chat", first_byte_s=0.5, total_s=1.0)
        finished.exchange.served_units = 12.4
        metrics.record(finished)
        metrics.send_gauges(RouterGauges(1, 2, 3, 4))
        lines = [line for _ in range(2) for line in self.server.recv(4096).decode().split("\n")]
        self.assertEqual(
            lines,
            [
                "cv.requests.a_b_c.chat.answered:1|c",
                "cv.total.a_b_c.chat:1000.000000|ms",
                "cv.first_byte.a_b_c.chat:500.000000|ms",
                "cv.units.a_b_c.chat:12|c",
                "cv.waiting_count:1|g",
                "cv.waiting_bytes:2|g",
                "cv.running_count:3|g",
                "cv.configuration_revision:4|g",
            ],
        )
        sent = {line.split(":")[0].split(".")[1] for line in lines}
        self.assertEqual(sent, {metric.name.split(".")[0] for metric in ROUTER_METRICS})

    def test_the_document_lists_exactly_the_metrics(self) -> None:
        rows = re.findall(r"^\| `(.+?)` \| (.+?) \| (.+?) \| (.+?) \|$", DOCUMENT.read_text(), re.M)
        documented = [*ROUTER_METRICS, *CONTROLLER_METRICS]
        self.assertEqual(rows, [tuple(metric) for metric in documented])

    def test_gauges_of_a_controller_are_documented(self) -> None:
        gauges = ControllerGauges(1, 2, 1, 4, 5, 6, 7, 8, 9.5)
        self._metrics().send_gauges(gauges)
        lines = self.server.recv(4096).decode().split("\n")
        values = [f"{value}|g" for value in gauges]
        expected = [f"cv.{metric.name}" for metric in CONTROLLER_METRICS]
        self.assertEqual([line.split(":")[0] for line in lines], expected)
        self.assertEqual([line.split(":")[1] for line in lines], values)

    def test_refused_requests_are_counted_without_the_claimed_team(self) -> None:
        refused = a_finished(outcome=Failed("unauthorised", Run.NO))
        self._metrics().record(refused._replace(exchange=an_exchange(team="a")))
        self.assertIn(b"cv.requests.none.none.unauthorised:1|c", self.server.recv(4096))

    def test_sending_without_a_server_does_not_fail(self) -> None:
        unreachable = Statsd("127.0.0.1", 1, "cv")
        for destination in (Disabled(), destination_from_settings(None), unreachable):
            metrics = Metrics(destination)
            for _ in range(3):
                metrics.record(a_finished())
                metrics.send_gauges(RouterGauges(0, 0, 0, 0))
            metrics.close()
            metrics.record(a_finished())
