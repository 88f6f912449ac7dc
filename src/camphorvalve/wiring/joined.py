"""Builds and runs the processes of a fleet that finds itself from seeds."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from camphorvalve.consensus.storage import Syncs, bootstrap, open_storage
from camphorvalve.controllers.following import ConfigurationFollower, Contact, Load
from camphorvalve.controllers.manifests import ManifestStore
from camphorvalve.controllers.pools import Pools
from camphorvalve.controllers.replication import ReplicationController
from camphorvalve.controllers.roster import RosterController
from camphorvalve.controllers.runtime import Runtime
from camphorvalve.controllers.shares import SharesController
from camphorvalve.controllers.stopping import Stopping, wait_for_signal
from camphorvalve.controllers.totals import TotalsController
from camphorvalve.filters.account import account
from camphorvalve.filters.chain import compose
from camphorvalve.filters.deadline import deadline
from camphorvalve.filters.forward import forward
from camphorvalve.filters.observe import ObserveFilter
from camphorvalve.filters.place import PlaceFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.filters.route import route
from camphorvalve.filters.share import share
from camphorvalve.http.routed import RoutedApp
from camphorvalve.http.server import serve
from camphorvalve.model.routes import CallerBounds
from camphorvalve.reports.decisions import Decisions
from camphorvalve.reports.exposition import Exposition
from camphorvalve.reports.metrics import CONTROLLER_METRICS, SYNC_LONGEST, SYNCS_COUNT
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.routing import RouteTable
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.routed import RoutedAttempts
from camphorvalve.wiring.common import new_incarnation, open_link

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    import httpx

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import App
    from camphorvalve.http.routed import DecodeRequest
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.registry.configuration import Configuration
    from camphorvalve.settings.schema import ControllerSettings, RouterSettings
    from camphorvalve.upstreams.routed import HeaderNames
    from camphorvalve.wire.link import Link

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
    decode: DecodeRequest
    follow_upstreams: Callable[[httpx.AsyncClient], AsyncIterator[tuple[Upstream, ...]]]
    """Yields the whole list whenever it was read."""
    watch_seeds: Callable[[], AsyncIterator[tuple[str, ...]]]
    """Yields the seeds when the settings have changed."""
    ports: Callable[[RouterView], Sequence[Port]]


class ControllerEdge(NamedTuple):
    """The platform's side of a controller."""

    watch_seeds: Callable[[], AsyncIterator[tuple[str, ...]]]
    """Yields the seeds when the settings have changed."""
    ports: Callable[[ManifestStore, App], Sequence[Port]]
    """Takes the store of manifests and the application that shows the metrics."""


class _Manifests:
    """The route table of the manifest in force."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None

    def version(self) -> int:
        return 0 if self.table is None else self.table.manifest.version

    def tokens_per_s(self) -> float | None:
        return self.bounds().tokens_per_s

    def idle_timeout_s(self) -> float:
        return self.bounds().idle_timeout_s

    def bounds(self) -> CallerBounds:
        return CallerBounds() if self.table is None else self.table.manifest.bounds

    def apply(self, configuration: Configuration) -> None:
        manifest = configuration.manifest
        if manifest is None or (self.table and self.table.manifest.version == manifest.version):
            return
        self.table = RouteTable(manifest)
        _log.info(
            "manifest in force",
            version=manifest.version,
            routes_count=len(manifest.routes),
            tokens_per_s=manifest.bounds.tokens_per_s,
        )


async def run_joined_router(settings: RouterSettings, edge: RouterEdge) -> None:
    """
    Run a router that learns its fleet from seeds, until it has stopped gracefully.

    :param settings: checked settings, with seeds
    :param edge: the platform's side
    """
    incarnation = new_incarnation()
    rng = random.Random(incarnation)
    manifests = _Manifests()
    roster = RosterController(settings.seeds)
    observe = ObserveFilter()
    left = anyio.Event()

    def load() -> Load:
        return Load(left.is_set(), 0, observe.open_count())

    contact = Contact("", settings.data_centre, settings.caller_bind)
    following = ConfigurationFollower(roster, contact, load)
    following.subscribe(manifests.apply)
    link = open_link(settings, incarnation)
    shares = SharesController(roster.controller_ids, roster.routers_count, manifests.tokens_per_s)
    runtime = Runtime(link, (roster, following, shares))
    client = create_client(keepalive_s=settings.upstream_idle_s)
    exposition = Exposition()
    pools = Pools(lambda: manifests.table, shares.weight, settings.data_centre, rng)
    handler = _chain(settings, edge, manifests, pools, observe, client, rng, exposition, shares)
    exposition.observe("running_count", "requests that have not ended", observe.open_count)
    exposition.observe("manifest_version", "version in force", manifests.version)
    exposition.observe("routers_count", "routers that accept callers", roster.routers_count)

    def caller_addresses() -> list[str]:
        found = {one.caller_address for one in roster.routers()}
        own = {settings.caller_bind} if is_ready() else set()
        return sorted((found - {settings.caller_bind}) | own)

    def is_ready() -> bool:
        return manifests.table is not None and not left.is_set()

    def leave() -> None:
        left.set()
        runtime.send(following.poll())

    stopping = Stopping(leave, settings.address_lifetime_s)
    callers = RoutedApp(handler, edge.decode, request_id_name=edge.names.request_id)
    link.open()
    async with client, anyio.create_task_group() as tasks:
        tasks.start_soon(runtime.run)
        tasks.start_soon(stopping.run)
        tasks.start_soon(_follow_upstreams, edge, client, pools)
        tasks.start_soon(_watch_seeds, edge.watch_seeds, roster.set_seeds)
        tasks.start_soon(_keep_peers, link, roster.controller_ids)
        view = RouterView(caller_addresses, is_ready, exposition.app())
        for port in edge.ports(view):
            tasks.start_soon(serve, port.app, port.bind, anyio.Event())
        _log.info("router started", caller_bind=settings.caller_bind, incarnation=incarnation)
        await serve(
            callers,
            settings.caller_bind,
            stopping.shutdown,
            graceful_timeout_s=settings.stop_timeout_s,
            leaving=left.is_set,
            keep_alive_s=manifests.idle_timeout_s,
        )
        tasks.cancel_scope.cancel()
    link.close()
    _log.info("router stopped")


def _chain(
    settings: RouterSettings,
    edge: RouterEdge,
    manifests: _Manifests,
    pools: Pools,
    observe: ObserveFilter,
    client: httpx.AsyncClient,
    rng: random.Random,
    exposition: Exposition,
    shares: SharesController,
) -> Handler:
    budget = RetryBudget(ratio=settings.retry_ratio, floor_count=settings.retry_floor_count)
    return compose(
        (
            account([Decisions().record, exposition.record]),
            observe,
            route(lambda: manifests.table, rng),
            deadline,
            share(shares),
            RetryFilter(budget),
            PlaceFilter(pools),
        ),
        forward(pools, RoutedAttempts(client, edge.names)),
    )


async def run_joined_controller(settings: ControllerSettings, edge: ControllerEdge) -> None:
    """
    Run a controller that joins its group through seeds, until it is told to stop.

    :param settings: checked settings, with seeds
    :param edge: the platform's side
    """
    incarnation = new_incarnation()
    _form_group(settings)
    storage = open_storage(settings.data_folder, settings.host_id)
    replication = ReplicationController(settings, storage, random.Random(incarnation))
    link = open_link(settings, incarnation)
    runtime = Runtime(link, (replication, TotalsController()))
    link.open()
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runtime.run)
        tasks.start_soon(replication.run, runtime.send)
        tasks.start_soon(_watch_seeds, edge.watch_seeds, replication.set_seeds)
        tasks.start_soon(_keep_peers, link, replication.peer_ids)
        _log.info("controller started", identity=replication.status()["identity"])
        async with anyio.create_task_group() as servers:
            metrics = _controller_metrics(replication)
            for port in edge.ports(ManifestStore(replication), metrics.app()):
                stop = partial(serve, graceful_timeout_s=settings.stop_timeout_s)
                servers.start_soon(stop, port.app, port.bind, shutdown)
            await wait_for_signal(shutdown)
        tasks.cancel_scope.cancel()
    storage.close()
    link.close()
    _log.info("controller stopped")


def _controller_metrics(replication: ReplicationController) -> Exposition:
    exposition = Exposition()
    for metric in CONTROLLER_METRICS:
        if metric not in (SYNCS_COUNT, SYNC_LONGEST):
            read = partial(_level, replication, metric.name)
            exposition.observe(metric.name, f"{metric.meaning} ({metric.unit})", read)
    return exposition


def _level(replication: ReplicationController, name: str) -> float:
    return getattr(replication.levels(Syncs()), name)


def _form_group(settings: ControllerSettings) -> None:
    """Create the data folder of a seed when the whole fleet starts for the first time."""
    if not settings.bootstrap or settings.host_id not in settings.seeds:
        return
    # The seeds are the same on all first members, and no later fleet starts on these disks.
    seed = "first group of " + ",".join(sorted(settings.seeds))
    try:
        identity = bootstrap(settings.data_folder, settings.host_id, settings.seeds, seed)
    except FileExistsError:
        _log.info("data folder holds a replica already", folder=settings.data_folder)
        return
    _log.info("data folder created", identity=identity, members=list(settings.seeds))


async def _follow_upstreams(edge: RouterEdge, client: httpx.AsyncClient, pools: Pools) -> None:
    async for upstreams in edge.follow_upstreams(client):
        pools.apply(upstreams, time.monotonic())


async def _watch_seeds(
    watch: Callable[[], AsyncIterator[tuple[str, ...]]],
    set_seeds: Callable[[tuple[str, ...]], None],
) -> None:
    async for seeds in watch():
        _log.info("seeds changed", seeds=list(seeds))
        set_seeds(seeds)


async def _keep_peers(link: Link, peer_ids: Callable[[], Sequence[str]]) -> None:
    while True:
        await anyio.sleep(KEEP_PEERS_S)
        link.keep_only(peer_ids())


__all__ = [
    "ControllerEdge",
    "Port",
    "RouterEdge",
    "RouterView",
    "run_joined_controller",
    "run_joined_router",
]
