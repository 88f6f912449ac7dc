"""Metrics as statsd datagrams; ``docs/metrics.md`` lists the names."""

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


OBSERVE_S = 10.0
"""Time between two values of a gauge; the flush interval of a statsd server by default."""


@dataclass(frozen=True, slots=True)
class Statsd:
    """Datagrams go to a statsd server."""

    host: str
    """An IP number: a name would be resolved on the event loop."""
    port: int
    prefix: str


@dataclass(frozen=True, slots=True)
class Disabled:
    """No metrics."""


Destination = Statsd | Disabled


class Metric(NamedTuple):
    """A documented metric."""

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


class Levels(NamedTuple):
    """What the gauges of a router show."""

    waiting_count: int
    waiting_bytes: int
    running_count: int
    configuration_revision: int


class ControllerLevels(NamedTuple):
    """What the gauges of a controller show."""

    configuration_revision: int
    term: int
    leads: int
    commit_index: int
    unsettled_count: int
    stored_bytes: int
    log_bytes: int
    syncs_count: int
    sync_longest_ms: float


class _Client(StatsClient):
    """A client whose socket drops datagrams instead of waiting for room in its buffer."""

    def __init__(self, destination: Statsd) -> None:
        super().__init__(
            destination.host,
            destination.port,
            prefix=destination.prefix,
            ipv6=":" in destination.host,
        )
        self._sock.setblocking(False)


class Metrics:
    """Sends metrics; holds no state besides its socket."""

    def __init__(self, destination: Destination) -> None:
        """
        Open the socket, if there is a destination.

        :param destination: where datagrams go
        """
        match destination:
            case Statsd():
                self._client = _Client(destination)
            case Disabled():
                self._client = None

    def record(self, finished: Finished) -> None:
        """
        Send the metrics of one request.

        :param finished: the request; one without a team counts for the team ``none``
        """
        if self._client is None:
            return
        exchange = finished.exchange
        team = _part(exchange.team.name if exchange.team is not None else "none")
        kind = _part(exchange.kind or "none")
        with self._client.pipeline() as batch:
            batch.incr(f"requests.{team}.{kind}.{outcome_name(finished.outcome)}")
            batch.timing(f"total.{team}.{kind}", finished.total_s * 1000)
            if finished.first_byte_s is not None:
                batch.timing(f"first_byte.{team}.{kind}", finished.first_byte_s * 1000)
            if exchange.served_units:
                batch.incr(f"units.{team}.{kind}", round(exchange.served_units))

    def observe(self, levels: Levels | ControllerLevels) -> None:
        """
        Send the gauges.

        :param levels: their values
        """
        if self._client is None:
            return
        with self._client.pipeline() as batch:
            for name, value in zip(levels._fields, levels, strict=True):
                batch.gauge(name, value)

    def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None


async def observe_levels(metrics: Metrics, read: Callable[[], Levels | ControllerLevels]) -> None:
    """
    Send the gauges until cancelled.

    :param metrics: where to
    :param read: their values
    """
    while True:
        metrics.observe(read())
        await anyio.sleep(OBSERVE_S)


def destination_of(settings: schema.Metrics | None) -> Destination:
    """
    Choose the destination that the settings name.

    :param settings: settings, ``None`` for no metrics
    :return: the destination
    """
    if settings is None:
        return Disabled()
    return Statsd(settings.host, settings.port, settings.prefix)


def _part(name: str) -> str:
    """Replace what has a meaning in statsd names."""
    return re.sub(r"[^A-Za-z0-9_-]", "_", name)


__all__ = [
    "CONTROLLER_METRICS",
    "SYNCS_COUNT",
    "SYNC_LONGEST",
    "ROUTER_METRICS",
    "ControllerLevels",
    "Destination",
    "Disabled",
    "Levels",
    "Metric",
    "Metrics",
    "Statsd",
    "destination_of",
    "observe_levels",
]
