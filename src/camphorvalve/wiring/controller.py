"""Builds and runs a controller whose settings list the other controllers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.consensus.storage import open_storage
from camphorvalve.controllers.feeds import follow_as_controller
from camphorvalve.controllers.quorum.backend import ControllerBackend
from camphorvalve.controllers.quorum.orderexecutor import OrderExecutor
from camphorvalve.controllers.quorum.orderplan import OrderPlan
from camphorvalve.controllers.quorum.ordersource import ReplicatedOrderSource
from camphorvalve.controllers.quorum.ordersteps import OrderTiming
from camphorvalve.controllers.quorum.replication import ReplicationController
from camphorvalve.controllers.runtime import Runtime
from camphorvalve.controllers.stopping import wait_for_signal
from camphorvalve.http.operators import CONNECTIONS_COUNT, controller_app
from camphorvalve.http.server import serve
from camphorvalve.reports.metrics import (
    Metrics,
    destination_from_settings,
    send_gauges_periodically,
)
from camphorvalve.upstreams.client import create_client
from camphorvalve.wiring.common import create_link, new_incarnation, warn_unauthenticated

if TYPE_CHECKING:
    from camphorvalve.settings.schema import ControllerSettings

_log = structlog.get_logger(__name__)


async def run_controller(settings: ControllerSettings) -> None:
    """
    Run a controller until it receives a signal to stop.

    :param settings: validated settings
    """
    incarnation = new_incarnation()
    warn_unauthenticated(settings.keys, settings.operator_token)
    storage = open_storage(settings.data_folder, settings.host_id)
    replication = ReplicationController(settings, storage, random.Random(incarnation))
    link = create_link(settings, incarnation)
    runtime = Runtime(link, (replication,), durable=(replication,))
    client = create_client()
    timing = OrderTiming()
    order_client = create_client(timing.delivery_s)
    backend = ControllerBackend(settings, replication, link.traffic)
    executor = OrderExecutor(
        ReplicatedOrderSource(replication, backend.upstreams),
        OrderPlan(settings.weight_store_bytes_per_s, timing),
        order_client,
        settings.order_token,
    )
    link.open()
    link.set_peers({peer.host_id: peer.peer_address for peer in settings.controllers})
    metrics = Metrics(destination_from_settings(settings.metrics))
    shutdown = anyio.Event()
    async with client, order_client, anyio.create_task_group() as tasks:
        tasks.start_soon(runtime.run)
        tasks.start_soon(replication.run, runtime.send)
        tasks.start_soon(executor.run)
        tasks.start_soon(follow_as_controller, settings, client, link, backend)
        tasks.start_soon(wait_for_signal, shutdown)
        tasks.start_soon(
            send_gauges_periodically, metrics, lambda: replication.gauges(storage.take_sync_stats())
        )
        _log.info("controller started", identity=replication.status()["identity"])
        app = controller_app(backend, settings.operator_token)
        await serve(
            app,
            settings.operator_bind,
            shutdown,
            graceful_timeout_s=settings.stop_timeout_s,
            connections_count=CONNECTIONS_COUNT,
        )
        tasks.cancel_scope.cancel()
    storage.close()
    link.close()
    _log.info("controller stopped")


__all__ = ["run_controller"]
