"""A manifest: the routes, pools and teams that operators put in force as a whole."""

from __future__ import annotations

from typing import NamedTuple

from camphorvalve.model.teams import KindParameters, Urgency

URGENT_PRIORITY = 0
"""Routes and teams of this priority carry urgent work; the next one is normal."""


class Destination(NamedTuple):
    """A pool that gets a part of a route's requests."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Requests of one host and path prefix, and how they are served."""

    name: str
    host: str
    path_prefix: str
    """Begins and ends with a slash; the longest one that begins a path counts."""
    destinations: tuple[Destination, ...]
    timeout_s: float
    """Longest time from the request to the end of its answer."""
    objective_s: float
    """Time to the answer, or to the first event of a stream, that counts as on time."""
    priority: int
    """0 is the most urgent."""
    attempts_count: int
    """Upstreams that one request may be sent to, at most."""
    idempotent: bool
    """Whether a request may run more than once."""
    streamed: bool
    resumable: bool
    """Whether another upstream may continue a stream after its last event."""
    public: bool
    """Whether requests carry no key."""

    @property
    def repeatable(self) -> bool:
        """:return: whether a request may be sent again though it may have run"""
        return self.resumable if self.streamed else self.idempotent

    def parameters(self, pool: str) -> KindParameters:
        """
        Describe the route's requests as a kind of work.

        :param pool: pool chosen for a request
        :return: the parameters
        """
        urgency = max(Urgency.DEFERRABLE, Urgency.URGENT - max(URGENT_PRIORITY, self.priority))
        return KindParameters(pool, Urgency(urgency), self.repeatable, self.objective_s)


class Engine(NamedTuple):
    """Capacity of each model engine of a pool."""

    slots_count: int


class Pool(NamedTuple):
    """Upstreams of one kind."""

    name: str
    engine: Engine | None
    """``None`` for a pool of plain services."""


class Tenant(NamedTuple):
    """A team of a manifest and the keys that its callers send."""

    name: str
    keys: tuple[str, ...]
    priority: int
    """Goes before the priority of the route."""


class CallerBounds(NamedTuple):
    """What callers may send, and how long connections may idle."""

    body_bytes: int = 4 << 20
    idle_timeout_s: float = 15.0
    tokens_per_s: float | None = None
    """Tokens that all engines together work off; ``None`` if unknown."""


class Manifest(NamedTuple):
    """Everything that operators configure at once; a higher version replaces a lower one."""

    version: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    tenants: tuple[Tenant, ...]
    bounds: CallerBounds
    source: bytes
    """The document as the operator sent it, to be read back."""


__all__ = [
    "URGENT_PRIORITY",
    "CallerBounds",
    "Destination",
    "Engine",
    "Manifest",
    "Pool",
    "Route",
    "Tenant",
]
