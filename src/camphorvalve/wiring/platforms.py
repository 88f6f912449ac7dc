"""Interfaces between a platform's adapter and processes that discover their fleet from seeds."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Mapping, Sequence

    import httpx

    from camphorvalve.controllers.quorum.evacuations import EvacuationStore
    from camphorvalve.controllers.quorum.loadwatch import LoadReport
    from camphorvalve.controllers.quorum.manifests import ManifestStore
    from camphorvalve.http.asgi import App
    from camphorvalve.http.routed import DecodeRequest
    from camphorvalve.model.upstreams import Upstream, UpstreamList
    from camphorvalve.sharing.directory import CallerPlace
    from camphorvalve.sharing.memory import MemoryAccount
    from camphorvalve.upstreams.routed import HeaderNames
    from camphorvalve.wire.link import Link

    FollowUpstreams = Callable[[httpx.AsyncClient, Callable[[], bool]], AsyncIterator[UpstreamList]]
    """Polls the upstreams while the callable returns true, and yields the whole list each time."""

    ReadStart = Callable[[httpx.AsyncClient, Upstream], Awaitable[int | None]]
    """Asks an upstream for the Unix time of its start in milliseconds; ``None`` if it can't be
    read."""

    ReadLoad = Callable[[httpx.AsyncClient, str], Awaitable[LoadReport | None]]
    """Asks the engine at a URL for its load; ``None`` if it can't be read."""

    WatchSeeds = Callable[[], AsyncIterator[tuple[str, ...]]]
    """Yields the seeds each time they have changed in the settings file."""

CLEANUP_INTERVAL_S = 5.0
"""Interval at which connections to processes that have left are closed."""

_log = structlog.get_logger(__name__)


class Port(NamedTuple):
    """An ASGI application and the address that it listens on."""

    app: App
    bind: str
    connections_count: int | None = None
    """Most connections that are open at the same time."""


class RouterView(NamedTuple):
    """State of a router that the platform's applications show."""

    caller_addresses: Callable[[CallerPlace, int], list[str]]
    """Addresses of the routers that a caller should use, as IP address and port, at most as many
    as given."""
    is_ready: Callable[[], bool]
    """Whether this router can route requests and is not stopping."""
    metrics: App
    """Application that serves the metrics."""


class RouterPlatform(NamedTuple):
    """Functions and names with which a platform's adapter provides a router."""

    header_names: HeaderNames
    """Names of the headers of requests to upstreams."""
    key_header: str
    """Name of the header, in lower case, that carries the key of a caller's team."""
    cost_tokens: Callable[[Mapping[str, str]], float]
    """Estimates the cost of a request to an engine from its headers, by lower-case name."""
    decode: DecodeRequest
    """Decodes the head of a caller's request."""
    follow_upstreams: FollowUpstreams
    read_start: ReadStart
    watch_seeds: WatchSeeds
    ports: Callable[[RouterView], Sequence[Port]]
    """Creates the platform's applications."""
    regions: Mapping[str, str] = {}
    """Region by data centre."""


class ControllerView(NamedTuple):
    """What the platform's applications of a controller use."""

    manifests: ManifestStore
    evacuations: EvacuationStore
    metrics: App
    """Application that serves the metrics."""
    bodies: MemoryAccount | None = None
    """Memory for the bodies of requests."""
    rooms: App | None = None
    """Application below ``/v1`` that serves the rooms of engines and accepts their bounds."""


class ControllerPlatform(NamedTuple):
    """Functions with which a platform's adapter provides a controller."""

    watch_seeds: WatchSeeds
    follow_upstreams: FollowUpstreams
    ports: Callable[[ControllerView], Sequence[Port]]
    """Creates the platform's applications."""
    read_load: ReadLoad
    regions: Mapping[str, str] = {}
    """Region by data centre."""


async def follow_seeds(watch: WatchSeeds, set_seeds: Callable[[tuple[str, ...]], None]) -> None:
    """
    Apply changed seeds until cancelled.

    :param watch: yields the changed seeds
    :param set_seeds: called with the changed seeds
    """
    async for seeds in watch():
        _log.info("seeds changed", seeds=list(seeds))
        set_seeds(seeds)


async def close_stale_connections(link: Link, peer_ids: Callable[[], Iterable[str]]) -> None:
    """
    Close connections to processes that have left the fleet, until cancelled.

    :param link: link of this process
    :param peer_ids: returns the ids of the peers whose connections are kept
    """
    while True:
        await anyio.sleep(CLEANUP_INTERVAL_S)
        link.disconnect_except(peer_ids())


__all__ = [
    "ControllerPlatform",
    "ControllerView",
    "Port",
    "RouterPlatform",
    "RouterView",
    "WatchSeeds",
    "follow_seeds",
    "close_stale_connections",
]
