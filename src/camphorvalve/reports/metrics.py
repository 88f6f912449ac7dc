"""Metrics, sent as statsd datagrams; ``docs/metrics.md`` lists them."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import anyio
from statsd import StatsClient

from camphorvalve.reports.outcomes import outcome_name

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.reports.outcomes import Finished
    from camphorvalve.settings import schema


GAUGE_INTERVAL_S = 10.0
"""Interval at which gauges are sent; equals the default flush interval of a statsd server."""


@dataclass(frozen=True, slots=True)
class Statsd:
    """Address of the statsd server that receives the metrics, and the prefix of their names."""

    host: str
    """An IP address, since resolving a host name would block the event loop."""
    port: int
    prefix: str


@dataclass(frozen=True, slots=True)
class Disabled:
    """Metrics are not sent."""


Destination = Statsd | Disabled


class Metric(NamedTuple):
    """Description of a metric, as it is documented."""

    name: str
    type: str
    unit: str
    meaning: str


REQUESTS = Metric("requests.<team>.<kind>.<outcome>", "counter", "requests", "finished requests")
FIRST_BYTE = Metric(
    "first_byte.<team>.<kind>", "timer", "ms", "arrival to the first byte of the answer's body"
)
TOTAL = Metric("total.<team>.<kind>", "timer", "ms", "arrival to the end of the answer")
UNITS = Metric("units.<team>.<kind>", "counter", "units", "service that finished requests received")
WAITING_COUNT = Metric("waiting_count", "gauge", "requests", "requests that wait at this router")
WAITING_BYTES = Metric("waiting_bytes", "gauge", "bytes", "bodies of the waiting requests")
RUNNING_COUNT = Metric("running_count", "gauge", "requests", "requests at an upstream")
REVISION = Metric("configuration_revision", "gauge", "revision", "configuration in force")

TERM = Metric("term", "gauge", "term", "term of the replicated log")
LEADS = Metric("leads", "gauge", "0 or 1", "whether this controller leads")
COMMIT_INDEX = Metric("commit_index", "gauge", "entries", "last committed entry of the log")
UNSETTLED_COUNT = Metric(
    "unsettled_count", "gauge", "records", "accepted work and started runs without an outcome"
)
STORED_BYTES = Metric("stored_bytes", "gauge", "bytes", "answers that the records keep")
LOG_BYTES = Metric("log_bytes", "gauge", "bytes", "commands applied since the newest snapshot")
SYNCS_COUNT = Metric("syncs_count", "gauge", "syncs", "syncs of the log in the last 10 s")
SYNC_LONGEST = Metric("sync_longest_ms", "gauge", "ms", "longest of these syncs")

ROUTER_METRICS = (
    REQUESTS,
    FIRST_BYTE,
    TOTAL,
    UNITS,
    WAITING_COUNT,
    WAITING_BYTES,
    RUNNING_COUNT,
    REVISION,
)
CONTROLLER_METRICS = (
    REVISION,
    TERM,
    LEADS,
    COMMIT_INDEX,
    UNSETTLED_COUNT,
    STORED_BYTES,
    LOG_BYTES,
    SYNCS_COUNT,
    SYNC_LONGEST,
)


class RouterGauges(NamedTuple):
    """Values of a router's gauges."""

    waiting_count: int
    waiting_bytes: int
    running_count: int
    configuration_revision: int


class ControllerGauges(NamedTuple):
    """Values of a controller's gauges."""

    configuration_revision: int
    term: int
    leads: int
    commit_index: int
    unsettled_count: int
    stored_bytes: int
    log_bytes: int
    syncs_count: int
    sync_longest_ms: float


class _NonBlockingClient(StatsClient):
    """A statsd client that drops datagrams instead of blocking when its socket buffer is full."""

    def __init__(self, destination: Statsd) -> None:
        super().__init__(
            destination.host,
            destination.port,
            prefix=destination.prefix,
            ipv6=":" in destination.host,
        )
        self._sock.setblocking(False)


class Metrics:
    """Sends metrics; keeps no state apart from its socket."""

    def __init__(self, destination: Destination) -> None:
        """
        Open the socket, if there is a destination.

        :param destination: where to send datagrams
        """
        match destination:
            case Statsd():
                self._client = _NonBlockingClient(destination)
            case Disabled():
                self._client = None

    def record(self, finished: Finished) -> None:
        """
        Send the metrics of one request.

        :param finished: the request; one without a team is counted under the team ``none``
        """
        if self._client is None:
            return
        exchange = finished.exchange
        team = _name_segment(exchange.team.name if exchange.team is not None else "none")
        kind = _name_segment(exchange.kind or "none")
        with self._client.pipeline() as batch:
            batch.incr(f"requests.{team}.{kind}.{outcome_name(finished.outcome)}")
            batch.timing(f"total.{team}.{kind}", finished.total_s * 1000)
            if finished.first_byte_s is not None:
                batch.timing(f"first_byte.{team}.{kind}", finished.first_byte_s * 1000)
            if exchange.served_units:
                batch.incr(f"units.{team}.{kind}", round(exchange.served_units))

    def send_gauges(self, gauges: RouterGauges | ControllerGauges) -> None:
        """
        Send the values of the gauges.

        :param gauges: their values
        """
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for name, value in zip(gauges._fields, gauges, strict=True):
                batch.gauge(name, value)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


async def send_gauges_periodically(
    metrics: Metrics, read: Callable[[], RouterGauges | ControllerGauges]
) -> None:
    """
    Send the gauges at a fixed interval until cancelled.

    :param metrics: sends them
    :param read: returns their current values
    """
    while True:
        metrics.send_gauges(read())
        await anyio.sleep(GAUGE_INTERVAL_S)


def destination_from_settings(settings: schema.Metrics | None) -> Destination:
    """
    Return the destination that the settings configure.

    :param settings: settings of metrics, ``None`` to send none
    :return: the destination
    """
    if settings is None:
        return Disabled()
    return Statsd(settings.host, settings.port, settings.prefix)


def _name_segment(name: str) -> str:
    """Replace characters that are special in statsd names."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", name)


__all__ = [
    "CONTROLLER_METRICS",
    "SYNCS_COUNT",
    "SYNC_LONGEST",
    "ROUTER_METRICS",
    "ControllerGauges",
    "Destination",
    "Disabled",
    "Metric",
    "Metrics",
    "RouterGauges",
    "Statsd",
    "destination_from_settings",
    "send_gauges_periodically",
]
