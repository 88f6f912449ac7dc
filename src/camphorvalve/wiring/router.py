"""Builds and runs a router that queues requests until the fleet's schedulers grant them a slot."""

from __future__ import annotations

import random
import time
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import anyio
import httpx
import structlog

from camphorvalve.controllers.feeds import follow_as_router
from camphorvalve.controllers.router.demand import DemandController
from camphorvalve.controllers.router.following import (
    ConfigurationFollower,
    Contact,
    FixedControllers,
    Load,
)
from camphorvalve.controllers.router.ledgers import LedgerController
from camphorvalve.controllers.router.loads import LoadReader
from camphorvalve.controllers.router.membership import MembershipController
from camphorvalve.controllers.router.queues import Queues
from camphorvalve.controllers.router.recordclient import RecordClient
from camphorvalve.controllers.router.scheduling import SchedulingController
from camphorvalve.controllers.router.submitting import SubmissionController
from camphorvalve.controllers.router.work import WorkController
from camphorvalve.controllers.runtime import Runtime
from camphorvalve.controllers.stopping import ANNOUNCEMENT_S, GracefulStop, wait_until
from camphorvalve.filters.account import account
from camphorvalve.filters.admission import AdmissionFilter
from camphorvalve.filters.chain import compose
from camphorvalve.filters.classify import classify
from camphorvalve.filters.deadline import DeadlineFilter
from camphorvalve.filters.deduplicate import DeduplicateFilter
from camphorvalve.filters.defer import DeferFilter
from camphorvalve.filters.dispatch import Dispatch
from camphorvalve.filters.identify import Tokens, identify
from camphorvalve.filters.limit import limit
from camphorvalve.filters.observe import ObserveFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.http.callers import CallerApp
from camphorvalve.http.lookups import RouterLookups
from camphorvalve.http.operators import CONNECTIONS_COUNT, router_app
from camphorvalve.http.server import serve
from camphorvalve.model.errors import RequestError
from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.reports.burn import BurnTracker
from camphorvalve.reports.explain import RouterReport
from camphorvalve.reports.metrics import (
    Metrics,
    RouterGauges,
    destination_from_settings,
    send_gauges_periodically,
)
from camphorvalve.reports.traces import TraceStore
from camphorvalve.sharing.aggregate import Aggregator
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.departure import Departure
from camphorvalve.sharing.ledger import Ledger
from camphorvalve.sharing.scheduler import Scheduler
from camphorvalve.upstreams.client import create_client
from camphorvalve.wiring.common import (
    create_link,
    new_incarnation,
    policy_by_name,
    warn_unauthenticated,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from camphorvalve.controllers.router.work import StoreError
    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import App
    from camphorvalve.model.teams import TeamParameters
    from camphorvalve.settings.schema import RouterSettings

WORK_STOP_TIMEOUT_S = 10.0
"""How long a stopping router waits for accepted work to finish; the leader assigns the rest to
other routers."""

_log = structlog.get_logger(__name__)


async def run_router(settings: RouterSettings) -> None:
    """
    Run a router until it has stopped gracefully.

    :param settings: validated settings
    """
    incarnation = new_incarnation()
    rng = random.Random(incarnation)
    router = build_router(settings, incarnation, rng)
    warn_unauthenticated(settings.keys, settings.operator_token)
    router.runtime.link.open()
    async with router.client, anyio.create_task_group() as tasks:
        router.work.connect(tasks, router.background, router.store_error)
        for task in router.tasks:
            tasks.start_soon(task)
        shutdown = router.graceful_stop.shutdown
        _log.info("router started", caller_bind=settings.caller_bind, incarnation=incarnation)
        async with anyio.create_task_group() as servers:
            operator_shutdown = anyio.Event()
            serve_operators = partial(serve, connections_count=CONNECTIONS_COUNT)
            servers.start_soon(
                serve_operators, router.operators, settings.operator_bind, operator_shutdown
            )
            await serve(
                router.callers,
                settings.caller_bind,
                shutdown,
                graceful_timeout_s=settings.stop_timeout_s,
                leaving=lambda: router.membership.leaving,
            )
            await wait_until(lambda: router.work.running_count() == 0, WORK_STOP_TIMEOUT_S)
            operator_shutdown.set()
        tasks.cancel_scope.cancel()
    router.runtime.link.close()
    _log.info("router stopped")


class Router(NamedTuple):
    """The parts of a router that are needed to run it."""

    runtime: Runtime
    membership: MembershipController
    work: WorkController
    background: Handler
    """Filter chain for accepted work, for which no caller waits."""
    store_error: StoreError
    """Stores an error as the result of accepted work."""
    callers: CallerApp
    """ASGI application of the caller port."""
    operators: App
    """ASGI application of the operator port."""
    graceful_stop: GracefulStop
    client: httpx.AsyncClient
    tasks: tuple[Callable[[], Awaitable[None]], ...]
    """Functions that run until the router stops."""


def build_router(settings: RouterSettings, incarnation: int, rng: random.Random) -> Router:
    """
    Create the parts of a router and connect them.

    :param settings: validated settings
    :param incarnation: number that identifies this start of the process
    :param rng: source of randomness
    :return: the parts
    """
    policy = policy_by_name(settings.policy)
    membership = MembershipController(_own_host(settings), rng)
    demand: DemandController | None = None

    def current_gauges() -> RouterGauges:
        assert demand is not None
        waiting = demand.backlog.total
        return RouterGauges(
            *waiting, demand.running_count(), config_follower.configuration.revision
        )

    def current_load() -> Load:
        assert demand is not None
        return Load(membership.leaving, demand.backlog.total.count, demand.running_count())

    controller_ids = [controller.host_id for controller in settings.controllers]
    config_follower = ConfigurationFollower(
        FixedControllers(tuple(controller_ids)),
        Contact(_operator_url(settings), settings.data_centre, settings.caller_bind),
        current_load,
    )
    config_follower.subscribe(lambda configuration: membership.set_draining(configuration.draining))
    config_follower.subscribe(
        lambda configuration: membership.set_evacuated(configuration.evacuated())
    )
    demand = DemandController(policy, membership, config_follower)
    ledger = Ledger(policy)
    scheduler = Scheduler(policy, ledger, rng)
    work = WorkController(config_follower)
    submissions = SubmissionController(controller_ids, rng, work.assigned)
    link = create_link(settings, incarnation)
    runtime = Runtime(
        link,
        (
            membership,
            config_follower,
            demand,
            SchedulingController(scheduler, membership, rng),
            LedgerController(ledger, Aggregator(), membership, policy),
            submissions,
        ),
    )
    records = RecordClient(submissions, runtime, settings.record_timeout_s)
    client = create_client()
    deduplicate = DeduplicateFilter(records, settings.host_id, incarnation)
    background = compose(
        (
            RetryFilter(RetryBudget()),
            AdmissionFilter(demand, runtime),
            deduplicate,
        ),
        Dispatch(client, membership),
    )
    observe = ObserveFilter()
    stop_duration_s = ANNOUNCEMENT_S + settings.address_lifetime_s + settings.stop_timeout_s
    departure = Departure(stop_duration_s, stop_duration_s)
    deadline_filter = DeadlineFilter(departure)

    def leave() -> None:
        membership.set_leaving()
        departure.begin(time.monotonic())
        deadline_filter.begin_departure()

    burn = BurnTracker(settings.host_id)
    traces = TraceStore()
    metrics = Metrics(destination_from_settings(settings.metrics))
    report = RouterReport(
        settings.host_id,
        membership,
        config_follower,
        demand,
        scheduler,
        runtime,
        burn,
        traces,
        observe,
    )
    parameters = partial(_team_parameters, config_follower)
    handler = compose(
        (
            account([*report.recorders(), metrics.record]),
            observe,
            identify(settings.callers, parameters),
            classify(membership.interface_of),
            deadline_filter,
            limit(
                Queues(demand, config_follower),
                settings.queue_total_count,
                settings.queue_total_bytes,
            ),
            DeferFilter(records, work, settings.host_id, incarnation),
        ),
        background,
    )
    lookups = RouterLookups(
        membership,
        records,
        rng,
        lifetime_s=settings.address_lifetime_s,
        tokens=None if settings.callers is None else Tokens(settings.callers),
    )
    caller_app = CallerApp(handler, lookups.handlers(), host_id=settings.host_id)
    graceful_stop = GracefulStop(leave, settings.address_lifetime_s)
    tasks = (
        runtime.run,
        graceful_stop.run,
        partial(follow_as_router, settings, client, membership, link),
        partial(send_gauges_periodically, metrics, current_gauges),
        LoadReader(client, scheduler).run,
    )
    return Router(
        runtime,
        membership,
        work,
        compose((observe,), background),
        deduplicate.store_error,
        caller_app,
        router_app(report, settings.operator_token),
        graceful_stop,
        client,
        tasks,
    )


def _team_parameters(config_follower: ConfigurationFollower, team: str) -> TeamParameters | None:
    if config_follower.configuration.revision == 0:
        # Before the first configuration no team is known, so this is not an error of the caller.
        message = "this router has no configuration yet"
        raise RequestError("no_quorum", message, retry_after_s=1.0)
    return config_follower.configuration.parameters(team)


def _operator_url(settings: RouterSettings) -> str:
    host, _, port = settings.operator_bind.rpartition(":")
    if host.strip("[]") in ("0.0.0.0", "::"):
        return str(httpx.URL(settings.caller_url).copy_with(port=int(port), path="/")).rstrip("/")
    return f"http://{settings.operator_bind}"


def _own_host(settings: RouterSettings) -> Host:
    return Host(
        settings.host_id,
        Role.ROUTER,
        settings.data_centre,
        settings.caller_url,
        settings.peer_bind,
        HostState.LIVE,
    )


__all__ = ["Router", "build_router", "run_router"]
