"""Metrics in the Prometheus text format, served at the metrics address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from camphorvalve.reports.outcomes import outcome_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.http.asgi import App, Receive, Scope, Send
    from camphorvalve.reports.outcomes import Finished

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0)
"""Cover the objectives of the deployments, 0.1 to 1 s, and reach up to their longest timeout."""
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Exposition:
    """Metrics of one process; the number of series is bounded by routes, pools and outcomes."""

    def __init__(self) -> None:
        """Register the metrics of requests."""
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "camphorvalve_requests",
            "Finished requests",
            ("kind", "outcome"),
            **self._registry_option(),
        )
        self._attempts = Counter(
            "camphorvalve_attempts", "Attempts at upstreams", ("pool",), **self._registry_option()
        )
        self._first_byte = Histogram(
            "camphorvalve_first_byte_seconds",
            "Arrival to the first byte of the answer's body",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            **self._registry_option(),
        )
        self._total = Histogram(
            "camphorvalve_total_seconds",
            "Arrival to the end of the answer",
            ("kind",),
            buckets=LATENCY_BUCKETS_S,
            **self._registry_option(),
        )

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """
        Register a gauge.

        :param name: name of the gauge without prefix
        :param description: help text, with the unit
        :param read: returns the value, called each time the metrics are collected
        """
        Gauge(f"camphorvalve_{name}", description, **self._registry_option()).set_function(read)

    def record(self, finished: Finished) -> None:
        """
        Count a finished request.

        :param finished: the request
        """
        exchange = finished.exchange
        kind = exchange.kind or "none"
        self._requests.labels(kind, outcome_name(finished.outcome)).inc()
        self._total.labels(kind).observe(finished.total_s)
        if finished.first_byte_s is not None:
            self._first_byte.labels(kind).observe(finished.first_byte_s)
        if exchange.attempt and exchange.parameters is not None:
            self._attempts.labels(exchange.parameters.pool).inc(exchange.attempt)

    def text(self) -> bytes:
        """:return: all metrics in the Prometheus text format"""
        return generate_latest(self._registry)

    def app(self) -> App:
        """:return: an ASGI application that answers every request with the metrics"""

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            headers = [(b"content-type", CONTENT_TYPE)]
            await send({"type": "http.response.start", "status": 200, "headers": headers})
            await send({"type": "http.response.body", "body": self.text()})

        return app

    def _registry_option(self) -> dict[str, CollectorRegistry]:
        return {"registry": self._registry}


__all__ = ["Exposition"]
