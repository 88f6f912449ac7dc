"""Builds and runs a controller that joins its group through seeds."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.consensus.storage import SyncStats, bootstrap, open_storage
from camphorvalve.controllers.inforce import ManifestInForce
from camphorvalve.controllers.listing import ListPublisher
from camphorvalve.controllers.origins import OriginsKeeper
from camphorvalve.controllers.quorum.backend import ControllerBackend
from camphorvalve.controllers.quorum.evacuations import EvacuationStore
from camphorvalve.controllers.quorum.loadwatch import VIEW_S, LoadWatcher
from camphorvalve.controllers.quorum.manifests import ManifestStore
from camphorvalve.controllers.quorum.replication import ReplicationController
from camphorvalve.controllers.quorum.totals import TotalsController
from camphorvalve.controllers.runtime import Runtime
from camphorvalve.controllers.stopping import wait_for_signal
from camphorvalve.controllers.suspects import SuspectsPublisher
from camphorvalve.http.operators import rooms_app
from camphorvalve.http.server import serve
from camphorvalve.persistence.streamfiles import OriginsFile, VersionsFile
from camphorvalve.reports.exposition import Exposition
from camphorvalve.reports.levels import LevelReporter
from camphorvalve.reports.metrics import CONTROLLER_METRICS, SYNC_LONGEST, SYNCS_COUNT
from camphorvalve.sharing.memory import MemoryAccount
from camphorvalve.wiring.common import (
    add_memory_gauges,
    create_joined_link,
    new_incarnation,
    start_garbage_collector,
)
from camphorvalve.wiring.platforms import ControllerView, close_stale_connections, follow_seeds

if TYPE_CHECKING:
    from camphorvalve.registry.configuration import Configuration
    from camphorvalve.settings.schema import ControllerSettings
    from camphorvalve.sharing.versions import VersionHistory
    from camphorvalve.wire.link import Link
    from camphorvalve.wire.messages import WatchedEngine
    from camphorvalve.wiring.platforms import ControllerPlatform

_log = structlog.get_logger(__name__)


async def run_joined_controller(settings: ControllerSettings, platform: ControllerPlatform) -> None:
    """
    Run a controller that joins its group through seeds, until it receives a signal to stop.

    :param settings: validated settings, with seeds
    :param platform: provided by the platform's adapter
    """
    start_garbage_collector()
    incarnation = new_incarnation()
    _bootstrap_first_group(settings)
    storage = open_storage(settings.data_folder, settings.host_id)
    replication = ReplicationController(settings, storage, random.Random(incarnation))
    link = create_joined_link(settings, incarnation)
    listing, suspects, origins = ListPublisher(), SuspectsPublisher(), OriginsKeeper()
    watcher = LoadWatcher(lambda: replication.state.configuration.room_bounds)
    controllers = (replication, TotalsController(), listing, suspects, origins, watcher)
    runtime = Runtime(link, controllers, durable=(replication,))
    origins_file = OriginsFile(settings.data_folder, origins)
    origins_file.restore(time.monotonic())
    versions_file = VersionsFile(settings.data_folder, listing)
    versions_file.restore(time.monotonic())
    link.open()
    shutdown = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runtime.run)
        tasks.start_soon(replication.run, runtime.send)
        tasks.start_soon(follow_seeds, platform.watch_seeds, replication.set_seeds)
        tasks.start_soon(close_stale_connections, link, replication.peer_ids)
        tasks.start_soon(_follow_upstreams, platform, listing, replication, versions_file, runtime)
        tasks.start_soon(origins_file.run)
        tasks.start_soon(_read_loads, platform, watcher)
        tasks.start_soon(_create_level_reporter(link).run)
        tasks.start_soon(wait_for_signal, shutdown)
        _log.info("controller started", identity=replication.status()["identity"])
        async with anyio.create_task_group() as servers:
            metrics = _create_exposition(replication)
            metrics.add_gauge(
                "skipped_entries_count",
                "entries of the list of upstreams that could not be used",
                lambda: listing.skipped_count,
            )
            metrics.add_gauge(
                "condemned_parts_count",
                "parts of prompts that routers refuse because they crash upstreams",
                suspects.condemned_count,
            )
            metrics.add_gauge(
                "stream_origins_count",
                "streams of routers whose software version is known here",
                origins.streams_count,
            )
            metrics.add_gauge(
                "watched_engines_count",
                "engines whose load is read here",
                watcher.engines_count,
            )
            metrics.add_gauge(
                "engine_room_count",
                "requests that these engines take well, all together",
                watcher.found_count,
            )
            bodies = MemoryAccount(settings.bodies_bytes)
            add_memory_gauges(metrics, bodies)
            view = ControllerView(
                ManifestStore(replication, frozenset(platform.regions.values())),
                EvacuationStore(replication),
                metrics.app(),
                bodies,
                rooms_app(
                    ControllerBackend(settings, replication, link.traffic),
                    lambda: watcher.rooms(time.monotonic()),
                    settings.operator_token,
                ),
            )
            for port in platform.ports(view):
                serve_port = partial(
                    serve,
                    graceful_timeout_s=settings.stop_timeout_s,
                    connections_count=port.connections_count,
                )
                servers.start_soon(serve_port, port.app, port.bind, shutdown)
        tasks.cancel_scope.cancel()
    storage.close()
    link.close()
    _log.info("controller stopped")


async def _follow_upstreams(
    platform: ControllerPlatform,
    listing: ListPublisher,
    replication: ReplicationController,
    versions_file: VersionsFile,
    runtime: Runtime,
) -> None:
    # Imported here, so that loading the HTTP client does not delay the start of the controller.
    from camphorvalve.upstreams.client import create_client

    async with create_client() as client:
        upstream_lists = platform.follow_upstreams(
            client, lambda: listing.is_needed(time.monotonic())
        )
        manifest = ManifestInForce(listing.versions)
        async for upstream_list in upstream_lists:
            _follow_manifest(manifest, replication.state.configuration, listing.versions)
            now_s = time.monotonic()
            outgoing = list(listing.accept_list(upstream_list, now_s))
            # Saved before a router can use an upstream of a new version.
            versions_file.save(now_s)
            runtime.send(outgoing)


def _follow_manifest(
    manifest: ManifestInForce, configuration: Configuration, versions: VersionHistory
) -> None:
    """Apply a manifest, unless the log is replayed and the history has a newer one already."""
    current = configuration.manifest
    if current is not None and current.version >= versions.manifest_version:
        manifest.apply(configuration)


async def _read_loads(platform: ControllerPlatform, watcher: LoadWatcher) -> None:
    """Read the load of each watched engine once in each interval, until cancelled."""
    # Imported here for the same reason as above.
    from camphorvalve.upstreams.client import create_client

    async with create_client() as client:

        async def read(engine: WatchedEngine) -> None:
            try:
                report = await platform.read_load(client, engine.url)
            except Exception:
                # The URL comes from a router, and an odd one must not end the controller.
                _log.exception("load not read", url=engine.url)
                return
            if report is not None:
                watcher.accept_report(engine, report, time.monotonic())

        while True:
            # A read that waits for its engine holds up those of others only until its timeout.
            async with anyio.create_task_group() as reads:
                for engine in watcher.engines():
                    reads.start_soon(read, engine)
                reads.start_soon(anyio.sleep, VIEW_S)


def _create_exposition(replication: ReplicationController) -> Exposition:
    exposition = Exposition()
    for metric in CONTROLLER_METRICS:
        if metric not in (SYNCS_COUNT, SYNC_LONGEST):
            read = partial(_gauge_value, replication, metric.name)
            exposition.add_gauge(metric.name, f"{metric.meaning} ({metric.unit})", read)
    return exposition


def _create_level_reporter(link: Link) -> LevelReporter:
    levels = LevelReporter()
    levels.add_counter("received_count", lambda: link.traffic().received_count)
    levels.add_counter("sent_count", lambda: link.traffic().sent_count)
    levels.add_counter("not_sent_count", lambda: link.traffic().dropped_count)
    return levels


def _gauge_value(replication: ReplicationController, name: str) -> float:
    return getattr(replication.gauges(SyncStats()), name)


def _bootstrap_first_group(settings: ControllerSettings) -> None:
    """Create the data folder of a seed when the fleet starts for the first time."""
    if not settings.bootstrap or settings.host_id not in settings.seeds:
        return
    # The text has to be the same on all first members and must not be reused for a later fleet: all
    # members have the same seeds, and no later fleet is bootstrapped on these disks.
    fleet_seed = "first group of " + ",".join(sorted(settings.seeds))
    try:
        identity = bootstrap(settings.data_folder, settings.host_id, settings.seeds, fleet_seed)
    except FileExistsError:
        _log.info("data folder already holds a replica", folder=settings.data_folder)
        return
    _log.info("data folder created", identity=identity, members=list(settings.seeds))


__all__ = ["run_joined_controller"]
