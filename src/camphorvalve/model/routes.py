"""Manifests: routes, pools and teams that operators replace as one document."""

from __future__ import annotations

from typing import NamedTuple

from camphorvalve.model.teams import KindParameters, Urgency

URGENT_PRIORITY = 0
"""Priority of routes and teams with urgent work; the next higher number is normal."""


class Destination(NamedTuple):
    """A pool that receives a weighted part of a route's requests."""

    pool: str
    weight: float


class Route(NamedTuple):
    """How requests for one host and path prefix are served."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash; the longest matching prefix wins."""
    destinations: tuple[Destination, ...]
    timeout_s: float
    """Maximum time from the request to the end of its response."""
    objective_s: float
    """Latency objective: time to the response, or to the first event of a stream."""
    priority: int
    """0 is the most urgent."""
    attempts_count: int
    """Maximum number of upstreams that one request may be sent to."""
    idempotent: bool
    """Whether a request may run more than once."""
    streamed: bool
    resumable: bool
    """Whether another upstream may continue a stream after its last event."""
    public: bool
    """Whether requests need no API key."""
    longest_pause_s: float | None = None
    """Longest pause between two events of a stream that is on time, ``None`` if unknown."""
    regions: tuple[str, ...] = ()
    """Regions whose data centres may run its requests; empty for all."""

    @property
    def repeatable(self) -> bool:
        """:return: whether a request may be sent again even if it may have run"""
        return self.resumable if self.streamed else self.idempotent

    def parameters(self, pool: str) -> KindParameters:
        """
        Derive the parameters of the route's requests as one kind of work.

        :param pool: pool chosen for a request
        :return: the parameters
        """
        urgency = max(Urgency.DEFERRABLE, Urgency.URGENT - max(URGENT_PRIORITY, self.priority))
        return KindParameters(pool, Urgency(urgency), self.repeatable, self.objective_s)


class Engine(NamedTuple):
    """Capacity of each model engine of a pool."""

    slots_count: int
    memory_tokens_count: int | None = None
    """Tokens that its memory holds, ``None`` if unknown."""


class ColdStart(NamedTuple):
    """How the upstreams of a pool behave after they have started during traffic."""

    duration_s: float
    """Time for which an upstream is cold after its start."""
    rate_per_s: float
    """Requests that a cold upstream bears in a second, from all routers together."""


class Pool(NamedTuple):
    """A named group of interchangeable upstreams."""

    name: str
    engine: Engine | None
    """``None`` for a pool of plain services."""
    cold: ColdStart | None = None
    """``None`` for a pool whose upstreams bear their full load at once."""


class Tenant(NamedTuple):
    """A team of a manifest and the API keys of its callers."""

    name: str
    keys: tuple[str, ...]
    priority: int
    """Compared before the priority of the route."""
    regions: tuple[str, ...] = ()
    """Regions whose data centres may run its requests, among those of the route; empty for all."""


class CallerBounds(NamedTuple):
    """Limits for callers: body size, idle time of connections, and token rate."""

    body_bytes: int = 4 << 20
    idle_timeout_s: float = 15.0
    tokens_per_s: float | None = None
    """Combined token throughput of all engines; ``None`` if unknown."""


class Manifest(NamedTuple):
    """The document that operators configure as a whole; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    tenants: tuple[Tenant, ...]
    bounds: CallerBounds
    source: bytes
    """The document as the operator sent it, returned when it is read back."""
    lists_tenants: bool = False
    """Whether the document has a list of tenants, which may be empty; false in stored manifests
    that are older than this field."""


__all__ = [
    "URGENT_PRIORITY",
    "CallerBounds",
    "ColdStart",
    "Destination",
    "Engine",
    "Manifest",
    "Pool",
    "Route",
    "Tenant",
]
