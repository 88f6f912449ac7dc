"""Builds and runs a router that discovers its fleet from seeds and serves routed calls."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.controllers.inforce import ManifestInForce
from camphorvalve.controllers.listing import ListFollower
from camphorvalve.controllers.origins import OriginsFollower, SoleOrigins
from camphorvalve.controllers.router.bounds import EvenParts
from camphorvalve.controllers.router.coldstarts import ColdStartsController
from camphorvalve.controllers.router.directory import Directory, OwnPlace
from camphorvalve.controllers.router.following import ConfigurationFollower, Contact, Load
from camphorvalve.controllers.router.pools import Pools
from camphorvalve.controllers.router.returns import Returns
from camphorvalve.controllers.router.rooms import RoomsController
from camphorvalve.controllers.router.roster import RosterController
from camphorvalve.controllers.router.shares import SharesController
from camphorvalve.controllers.router.starts import UpstreamStarts
from camphorvalve.controllers.runtime import Runtime
from camphorvalve.controllers.stopping import GracefulStop
from camphorvalve.controllers.suspects import SuspectsFollower
from camphorvalve.filters.account import account
from camphorvalve.filters.chain import compose
from camphorvalve.filters.deadline import DeadlineFilter
from camphorvalve.filters.forward import forward
from camphorvalve.filters.observe import ObserveFilter
from camphorvalve.filters.origin import OriginFilter
from camphorvalve.filters.place import PlaceFilter
from camphorvalve.filters.quarantine import QuarantineFilter
from camphorvalve.filters.restarts import RestartFilter
from camphorvalve.filters.resume import ResumeFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.filters.route import assign_pool, route
from camphorvalve.filters.share import share
from camphorvalve.filters.startup import StartupFilter
from camphorvalve.http.connections import ConnectionTracker
from camphorvalve.http.routed import RoutedApp
from camphorvalve.http.server import DRAIN_S, serve
from camphorvalve.reports.exposition import Exposition
from camphorvalve.reports.levels import LevelReporter
from camphorvalve.reports.outcomes import OutcomeCounts
from camphorvalve.sharing.batching import collecting_s
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.coldstarts import ColdBound
from camphorvalve.sharing.departure import Departure
from camphorvalve.sharing.memory import MemoryAccount
from camphorvalve.sharing.parts import limit_engine_part, retry_floor_count
from camphorvalve.sharing.startup import StartupReturns
from camphorvalve.sharing.versions import VersionHistory
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.routed import RoutedAttempts
from camphorvalve.wiring.common import (
    add_memory_gauges,
    create_joined_link,
    new_incarnation,
    tune_garbage_collector,
)
from camphorvalve.wiring.platforms import RouterView, close_stale_connections, follow_seeds
from camphorvalve.wiring.routerintake import RouterIntake
from camphorvalve.wiring.routerlevels import (
    MeasuredParts,
    register_levels,
    register_metrics,
    register_returns,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from camphorvalve.controllers.router.bounds import Rooms
    from camphorvalve.controllers.runtime import Outgoing
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.settings.schema import JoinedRouterSettings
    from camphorvalve.sharing.directory import CallerPlace
    from camphorvalve.sharing.notices import Notice
    from camphorvalve.wiring.platforms import RouterPlatform

FINAL_ANSWER_S = 0.1
"""Time before the server cuts running requests off in which those without a response get one."""

_log = structlog.get_logger(__name__)


class JoinedRouter:
    """A router that discovers its fleet from seeds: its filter chain, controllers and tasks."""

    def __init__(self, settings: JoinedRouterSettings, platform: RouterPlatform) -> None:
        """
        Create the parts of the router and connect them.

        :param settings: validated settings, with seeds
        :param platform: provided by the platform's adapter
        """
        self.incarnation = new_incarnation()
        self._rng = random.Random(self.incarnation)
        self._settings = settings
        self._platform = platform
        self._leaving = anyio.Event()
        self._started_s = time.monotonic()
        self._observe_filter = ObserveFilter()
        self._departure = Departure(settings.stop_intake_s, _stop_duration_s(settings))
        self._deadline_filter = DeadlineFilter(self._departure)
        versions = VersionHistory()
        self._manifest = ManifestInForce(versions)
        self._roster = RosterController(settings.seeds)
        contact = Contact("", settings.data_centre, settings.caller_bind, settings.cores)
        self._config_follower = ConfigurationFollower(self._roster, contact, self._current_load)
        self._config_follower.subscribe(self._manifest.apply)
        self._returns = (
            Returns(self._rng, lambda kind: self._shares.longest_timeout_s(kind))
            if settings.keeps_returns
            else None
        )
        self._shares = SharesController(
            self._roster.live_controller_ids,
            self._roster.routers_count,
            lambda: self._manifest.bounds().tokens_per_s,
            self._rng,
            lambda: self._intake.is_pressed(time.monotonic()),
            self._returns.set_totals if self._returns is not None else None,
        )
        self._cold_starts = ColdStartsController(
            settings.host_id,
            self._roster,
            self._manifest.cold_start,
            ColdBound(settings.cold_overage_ratio, settings.cold_slack_count),
            lambda: self._pools.notify_waiters(),
            time.monotonic,
        )
        rooms = self._create_rooms() if settings.shares_engine_loads else None
        self._rooms: Rooms = rooms or EvenParts()
        self._pools = Pools(
            self._manifest.table,
            self._engine_part,
            settings.data_centre,
            self._rng,
            cold=self._cold_starts,
            rooms=self._rooms,
        )
        self._starts = UpstreamStarts(
            self._pools, lambda upstream: platform.read_start(self._client, upstream)
        )
        self._config_follower.subscribe(
            lambda _: self._pools.set_engine_pools(self._manifest.engine_pools())
        )
        self._config_follower.subscribe(
            lambda configuration: self._pools.evacuate(configuration.evacuated(), time.monotonic())
        )
        self._list_follower = ListFollower(
            self._roster.live_controller_ids,
            self._apply_list,
            self._pools.confirm,
            self._rng,
            self._started_s,
            self._pools.noticed_leaving_ids,
            versions,
        )
        self._startup_filter = StartupFilter(
            StartupReturns(settings.cores, self._started_s),
            lambda: self._manifest.table() is not None,
            lambda: self._list_follower.has_list,
        )
        self._config_follower.subscribe(lambda _: self._startup_filter.update())
        link = create_joined_link(settings, self.incarnation)
        self._suspects = SuspectsFollower(self._roster.live_controller_ids)
        sole_origins = SoleOrigins(self._manifest, versions)
        self._origins = OriginsFollower(
            settings.host_id,
            self._roster.controllers,
            lambda pool, now_s: sole_origins.find(pool, now_s) is None,
            self._rng,
        )
        self._resume_filter = ResumeFilter(
            self._origins,
            self._pools,
            sole_origins.find,
            self._list_follower.wait_for_read,
            self._send,
            self._assign_pool,
            self._starts.settle,
        )
        controllers = (
            self._roster,
            self._config_follower,
            self._shares,
            self._list_follower,
            self._suspects,
            self._origins,
            self._cold_starts,
            *(() if rooms is None else (rooms,)),
        )
        self._runtime = Runtime(link, controllers)
        self._client = create_client(
            keepalive_s=settings.upstream_idle_s,
            on_idle_end=lambda url: self._pools.record_idle_end(url, time.monotonic()),
        )
        self._connections = ConnectionTracker(
            settings.caller_connections_count, self._idle_timeout_s
        )
        self._exposition = Exposition()
        self._outcomes = OutcomeCounts()
        self._intake = RouterIntake(self._manifest, self._shares, self._outcomes)
        self._directory = Directory(
            OwnPlace(settings.host_id, settings.data_centre, settings.caller_bind, settings.cores),
            self._roster,
            self._shares,
            self._is_ready,
            self._intake.is_pressed,
        )
        self._bodies = MemoryAccount(settings.bodies_bytes)
        self._level_reporter = LevelReporter(on_lag=self._intake.measure)
        measured = MeasuredParts(
            observe_filter=self._observe_filter,
            resume_filter=self._resume_filter,
            manifest=self._manifest,
            roster=self._roster,
            shares=self._shares,
            suspects=self._suspects,
            origins=self._origins,
            cold_starts=self._cold_starts,
            rooms=self._rooms,
            connections=self._connections,
            intake=self._intake,
            outcomes=self._outcomes,
            engine_part=self._engine_part,
        )
        register_metrics(self._exposition, measured, self._level_reporter)
        add_memory_gauges(self._exposition, self._bodies)
        register_levels(self._level_reporter, measured)
        if self._returns is not None:
            register_returns(self._returns.counts, self._exposition, self._level_reporter)

    async def run(self) -> None:
        """Run until the router has stopped gracefully."""
        settings, platform, link = self._settings, self._platform, self._runtime.link
        graceful_stop = GracefulStop(
            self._start_leaving, settings.address_lifetime_s, settings.stop_open_s
        )
        request_id_header = platform.header_names.request_id
        caller_app = RoutedApp(
            self._filter_chain(),
            platform.decode,
            request_id_header=request_id_header,
            connections=self._connections,
            is_overloaded=self._intake.is_overloaded,
            on_refused=self._intake.on_request_refused,
            check_load=self._intake.check_load,
            account=self._bodies,
        )
        link.open()
        async with self._client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._runtime.run)
            tasks.start_soon(graceful_stop.run)
            tasks.start_soon(self._level_reporter.run)
            tasks.start_soon(self._follow_upstreams)
            tasks.start_soon(follow_seeds, platform.watch_seeds, self._roster.set_seeds)
            tasks.start_soon(close_stale_connections, link, self._roster.controller_ids)
            view = RouterView(self._caller_addresses, self._is_ready, self._exposition.app())
            for port in platform.ports(view):
                serve_port = partial(serve, connections_count=port.connections_count)
                tasks.start_soon(serve_port, port.app, port.bind, anyio.Event())
            _log.info(
                "router started", caller_bind=settings.caller_bind, incarnation=self.incarnation
            )
            await serve(
                caller_app,
                settings.caller_bind,
                graceful_stop.shutdown,
                graceful_timeout_s=settings.stop_timeout_s,
                leaving=self._leaving.is_set,
                keep_alive_s=self._idle_timeout_s,
                connections_count=settings.open_connections_count,
                guard=self._intake.guard(platform),
                on_timeout=lambda: graceful_stop.log_unfinished(
                    self._observe_filter.open_exchanges()
                ),
            )
            tasks.cancel_scope.cancel()
        link.close()
        _log.info("router stopped")

    def _filter_chain(self) -> Handler:
        retry_filter = RetryFilter(
            RetryBudget(ratio=self._settings.retry_ratio, floor_count=self._retry_floor_count),
            lambda exchange: self._pools.has_alternative(exchange, time.monotonic()),
            lambda exchange: self._pools.record_silence(exchange, time.monotonic()),
        )
        return compose(
            (
                account([self._exposition.record, self._outcomes.record]),
                self._observe_filter,
                self._startup_filter,
                route(self._manifest.table, self._rng, self._platform.regions),
                self._deadline_filter,
                self._resume_filter,
                share(self._shares, self._returns),
                retry_filter,
                QuarantineFilter(self._suspects, self._pools.upstream, self._runtime.send),
                OriginFilter(self._pools, self._starts),
                PlaceFilter(self._pools, self._intake.is_overloaded, self._returns),
                RestartFilter(self._pools, self._starts),
            ),
            forward(
                self._pools,
                RoutedAttempts(
                    self._client,
                    self._platform.header_names,
                    self._on_notice,
                    lambda: self._level_reporter.lag_s,
                    self._collecting_s,
                ),
            ),
        )

    def _create_rooms(self) -> RoomsController:
        return RoomsController(
            self._settings.host_id,
            self._roster.live_controller_ids,
            self._roster.routers_count,
            self._manifest.table,
            time.monotonic,
            lambda: self._pools.notify_waiters(),
        )

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        self._runtime.send(outgoing)

    def _assign_pool(self, exchange: Exchange, pool: str) -> None:
        table = self._manifest.table()
        if table is not None:
            assign_pool(exchange, table, pool)

    def _apply_list(self, upstreams: Iterable[Upstream], read_s: float) -> None:
        listed = tuple(upstreams)
        self._rooms.apply(listed)
        self._pools.apply(listed, read_s)
        self._startup_filter.update()

    def _on_notice(self, upstream_id: str, notice: Notice) -> None:
        self._pools.record_notice(upstream_id, notice, time.monotonic())

    def _retry_floor_count(self) -> int:
        return retry_floor_count(self._settings.retry_fleet_count, self._roster.routers_count())

    def _collecting_s(self, longest_pause_s: float) -> float:
        if not self._settings.collects_events:
            return 0.0
        lag_s, routers_count = self._level_reporter.mean_lag_s, self._roster.routers_count()
        return collecting_s(longest_pause_s, lag_s, routers_count)

    def _engine_part(self) -> float:
        age_s = time.monotonic() - self._started_s
        return limit_engine_part(
            self._shares.engine_part(),
            self._roster.routers_count(),
            age_s,
            self._level_reporter.mean_lag_s,
        )

    def _idle_timeout_s(self) -> float:
        return self._manifest.bounds().idle_timeout_s

    def _current_load(self) -> Load:
        return Load(self._leaving.is_set(), 0, self._observe_filter.open_count())

    def _is_ready(self) -> bool:
        can_route = self._manifest.table() is not None and self._list_follower.has_list
        return can_route and not self._leaving.is_set()

    def _caller_addresses(self, place: CallerPlace, max_count: int) -> list[str]:
        return self._directory.addresses(place, max_count, time.monotonic())

    def _start_leaving(self) -> None:
        self._leaving.set()
        self._departure.begin(time.monotonic())
        self._deadline_filter.begin_departure()
        self._runtime.send(self._config_follower.poll())

    async def _follow_upstreams(self) -> None:
        def is_needed() -> bool:
            return self._list_follower.must_read(time.monotonic())

        async for upstream_list in self._platform.follow_upstreams(self._client, is_needed):
            self._list_follower.accept_list(upstream_list, time.monotonic())


def _stop_duration_s(settings: JoinedRouterSettings) -> float:
    return settings.stop_open_s + DRAIN_S + settings.stop_timeout_s - FINAL_ANSWER_S


async def run_joined_router(settings: JoinedRouterSettings, platform: RouterPlatform) -> None:
    """
    Run a router until it has stopped gracefully.

    :param settings: validated settings, with seeds
    :param platform: provided by the platform's adapter
    """
    router = JoinedRouter(settings, platform)
    tune_garbage_collector()
    await router.run()


__all__ = ["JoinedRouter", "run_joined_router"]
