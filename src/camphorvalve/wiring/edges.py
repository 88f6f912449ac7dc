"""What a platform's adapter gives to the processes of a joined fleet, and what it may ask them."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable, Mapping, Sequence

    import httpx

    from camphorvalve.controllers.manifests import ManifestStore
    from camphorvalve.http.asgi import App
    from camphorvalve.http.routed import DecodeRequest
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.routed import HeaderNames
    from camphorvalve.wire.link import Link

    FollowUpstreams = Callable[
        [httpx.AsyncClient, Callable[[], bool]], AsyncIterator[tuple[Upstream, ...]]
    ]
    """Reads the list of upstreams while it is wanted, and yields the whole list each time."""

    WatchSeeds = Callable[[], AsyncIterator[tuple[str, ...]]]
    """Yields the seeds when the settings have changed."""

KEEP_PEERS_S = 5.0
"""Time between two looks for connections to processes that are gone."""

_log = structlog.get_logger(__name__)


class Port(NamedTuple):
    """An application and where it listens."""

    app: App
    bind: str


class RouterView(NamedTuple):
    """What front ends may ask a router."""

    caller_addresses: Callable[[], list[str]]
    """Addresses of the routers that accept callers, as IP number and port."""
    is_ready: Callable[[], bool]
    metrics: App


class RouterEdge(NamedTuple):
    """The platform's side of a router."""

    names: HeaderNames
    key_name: str
    """Header, in lower case, that carries the key of a caller's team."""
    cost_tokens: Callable[[Mapping[str, str]], float]
    """Estimates what a request costs an engine, from its headers by lower-case name."""
    decode: DecodeRequest
    follow_upstreams: FollowUpstreams
    watch_seeds: WatchSeeds
    ports: Callable[[RouterView], Sequence[Port]]


class ControllerEdge(NamedTuple):
    """The platform's side of a controller."""

    watch_seeds: WatchSeeds
    follow_upstreams: FollowUpstreams
    ports: Callable[[ManifestStore, App], Sequence[Port]]
    """Takes the store of manifests and the application that shows the metrics."""


async def follow_seeds(watch: WatchSeeds, set_seeds: Callable[[tuple[str, ...]], None]) -> None:
    """
    Hand changed seeds on until cancelled.

    :param watch: yields them
    :param set_seeds: takes them
    """
    async for seeds in watch():
        _log.info("seeds changed", seeds=list(seeds))
        set_seeds(seeds)


async def keep_peers(link: Link, peer_ids: Callable[[], Iterable[str]]) -> None:
    """
    Close connections to processes that are gone until cancelled.

    :param link: the process's link
    :param peer_ids: processes that messages may go to
    """
    while True:
        await anyio.sleep(KEEP_PEERS_S)
        link.keep_only(peer_ids())


__all__ = [
    "ControllerEdge",
    "Port",
    "RouterEdge",
    "RouterView",
    "WatchSeeds",
    "follow_seeds",
    "keep_peers",
]
