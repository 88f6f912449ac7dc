"""
Measures processor time, message sizes and memory of one router by the size of the fleet.

Runs in one process, without sockets except where the link itself is measured.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from camphorvalve.filters.chain import compose
from camphorvalve.model.answers import Body, Head
from camphorvalve.registry import configuration
from camphorvalve.registry.commands import CHANGE_CODEC, PutTeam
from camphorvalve.upstreams.options import FromStart
from camphorvalve.upstreams.transcript import Transcript
from camphorvalve.wire import keys
from camphorvalve.wire.link import Link
from camphorvalve.wire.messages import (
    MESSAGES,
    ConfigUpdate,
    Demand,
    FreeSlots,
    Grant,
    GrantProgress,
    Ping,
    Progress,
    ServiceEntry,
    ServiceReport,
    ServiceTotal,
    TotalEntry,
)
from tools.measuring.simulatedrouter import SimulatedRouter, build_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

MIN_MEASUREMENT_S = 0.1
"""Least processor time over which one figure is averaged."""
TARGET = (1200, 6500, 11_000)
"""Routers, upstreams and teams of the target size; see section 1.7 of the design page."""
TODAY = (8, 13, 16)
"""The same numbers for a deployment of the current size."""
LINK_MESSAGES_COUNT = 3000
EVENT = b'id: 17\ndata: {"text":" viola","index":17}\n\n'


def cost_us(action: Callable[[], Any]) -> float:
    """
    Measure the mean processor time of an action.

    :param action: called until ``MIN_MEASUREMENT_S`` is spent
    :return: microseconds per call
    """
    count, started_s = 0, time.process_time()
    while (spent_s := time.process_time() - started_s) < MIN_MEASUREMENT_S:
        action()
        count += 1
    return spent_s / count * 1e6


def rss_bytes() -> int:
    """:return: resident memory of this process in bytes"""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def frames(router: SimulatedRouter) -> dict[str, bytes]:
    """
    Build a frame for each type of message that a router receives often.

    :param router: its codec and configuration are used
    :return: frames by message name
    """
    report = GrantProgress(2**52, "engine-17", "pool-0", "team-1", 123.4, False)
    entry = ServiceEntry("pool-0", "team-1", 12345.6, 123.4, 123456.7, True)
    total = TotalEntry("pool-0", "team-1", 123456.7, 123.4, 3)
    revision = router.following.configuration.revision
    change = CHANGE_CODEC.encode(PutTeam(router.following.configuration.teams["team-1"]))
    update = ConfigUpdate(revision, revision + 1, 3, msgspec.msgpack.encode([change]))
    messages = {
        "ping": Ping(17, False, ()),
        "demand": Demand("pool-0", "team-1", 2.0, 17, 3, 1.234, 250.0),
        "grant": Grant(2**52, "pool-0", "engine-17", "team-1", 1.0),
        "progress": Progress((report,)),
        "free_slots": FreeSlots("pool-0", 16),
        "service_report": ServiceReport((entry,)),
        "service_total": ServiceTotal((total,)),
        "config_update": update,
    }
    return {name: router.link.encode(message, "router-1") for name, message in messages.items()}


def message_costs(router: SimulatedRouter) -> dict[str, float]:
    """
    Measure decoding and handling a message and encoding the responses, for each type of message.

    :param router: the router
    :return: microseconds by message name
    """
    clock = itertools.count()
    return {
        name: cost_us(lambda frame=frame: router.receive(frame, 100.0 + next(clock) * 1e-6))
        for name, frame in frames(router).items()
        if name != "config_update"
    }


def update_cost_us(router: SimulatedRouter) -> float:
    """
    Measure applying one change of the configuration.

    :param router: the router
    :return: microseconds
    """

    def apply() -> None:
        router.receive(frames(router)["config_update"], 100.0)

    return cost_us(apply)


def tick_costs(router: SimulatedRouter, waiting_teams_count: int) -> dict[str, float]:
    """
    Measure the ticks of each state controller, and a change of the deployment.

    :param router: the router
    :param waiting_teams_count: number of teams with requests that wait at this router
    :return: microseconds per second by tick, and per change
    """
    for number in range(waiting_teams_count):
        for _ in range(4):
            router.add_waiter(number, 100.0)
        demand = Demand("pool-0", f"team-{number}", 2.0, 17, 3, 1.2, 250.0)
        router.receive(router.link.encode(demand, "router-1"), 100.0)
    clock = itertools.count(1)
    costs = {
        f"tick_{controller.name}": cost_us(
            lambda controller=controller: router.runtime.send(controller.tick(100.0 + next(clock)))
        )
        / controller.tick_s
        for controller in (
            router.ledgers,
            router.membership,
            router.following,
            router.demand,
            router.scheduling,
        )
    }

    def change() -> None:
        router.membership.apply_feed(router.routers[:1], ())
        router.scheduling._refresh_upstreams()

    costs["deployment_change"] = cost_us(change)
    return costs


def request_cost_us(router: SimulatedRouter) -> float:
    """
    Measure a request at the router that received it: wait, grant, start and final progress.

    :param router: the router
    :return: microseconds
    """
    grant = frames(router)["grant"]

    def serve() -> None:
        waiter = router.add_waiter(1, 100.0)
        router.receive(grant, 100.0)
        running = router.demand.started(waiter)
        running.units = 250.0
        router.runtime.send(router.demand.finished(running))

    return cost_us(serve)


async def _tokens(count: int) -> AsyncIterator[Part]:
    transcript = Transcript(FromStart())
    yield Head(200, ())
    for _ in range(count):
        whole, _ = transcript.add(EVENT)
        yield Body(whole)


async def _pass_through(exchange: Exchange, inner: Callable[[Any], AsyncIterator[Part]]) -> Any:
    async for part in inner(exchange):
        yield part


def token_cost_us() -> float:
    """
    Measure passing a token through a chain of eight filters, without HTTP.

    :return: microseconds
    """
    count = 1000
    handler = compose((_pass_through,) * 8, lambda exchange: _tokens(count))

    async def run() -> None:
        async for _ in handler(None):  # type: ignore[arg-type]
            pass

    return cost_us(lambda: asyncio.run(run())) / count


async def wakeup_cost_us() -> float:
    """
    Measure a wake-up of the event loop by a timer.

    :return: microseconds of processor time
    """
    count, started_s = 100, time.process_time()
    for _ in range(count):
        await asyncio.sleep(0.01)
    return (time.process_time() - started_s) / count * 1e6


async def link_cost_us() -> float:
    """
    Measure sending and receiving one encrypted message, with both ends of the link in this process.

    :return: microseconds, including the wake-up of the event loop
    """
    pair = keys.generate_key_pair()
    base = 15_000 + os.getpid() % 5000 * 2
    links = [Link(f"router-{n}", 1, f"tcp://127.0.0.1:{base + n}", MESSAGES, pair) for n in (0, 1)]
    for link in links:
        link.open()
        link.set_peers({f"router-{n}": f"tcp://127.0.0.1:{base + n}" for n in (0, 1)})
    received = links[1].receive()
    links[0].send("router-1", Ping(0, False, ()))
    await asyncio.sleep(0.5)
    started_s = time.process_time()
    for number in range(LINK_MESSAGES_COUNT):
        if links[0].send("router-1", Ping(number, False, ())):
            await asyncio.wait_for(anext(received), 5)
    spent_s = time.process_time() - started_s
    await received.aclose()
    for link in links:
        link.close()
    return spent_s / LINK_MESSAGES_COUNT * 1e6


def memory_mb(size: tuple[int, int, int], waiting_teams_count: int) -> dict[str, float]:
    """
    Measure the memory that the state of one router uses.

    :param size: numbers of routers, upstreams and teams
    :param waiting_teams_count: number of teams that this router schedules and that wait here
    :return: mebibytes by part, measured one after the other
    """
    gc.collect()
    at_start = rss_bytes()
    built = build_configuration(size[2])
    decoded = configuration.decode(configuration.encode(built))
    del built
    gc.collect()
    with_teams = rss_bytes()
    router = SimulatedRouter(size[0], size[1], 1)
    router.following.configuration = decoded
    for number in range(waiting_teams_count):
        router.add_waiter(number, 100.0)
        demand = Demand("pool-0", f"team-{number}", 2.0, 17, 3, 1.2, 250.0)
        router.receive(router.link.encode(demand, "router-1"), 100.0)
    for controller in (router.scheduling, router.ledgers, router.demand):
        router.runtime.send(controller.tick(101.0))
    gc.collect()
    after = rss_bytes()
    return {
        "configuration": (with_teams - at_start) / 2**20,
        "deployment_and_demand": (after - with_teams) / 2**20,
    }


__all__ = [
    "TARGET",
    "TODAY",
    "cost_us",
    "frames",
    "link_cost_us",
    "memory_mb",
    "message_costs",
    "request_cost_us",
    "rss_bytes",
    "tick_costs",
    "token_cost_us",
    "update_cost_us",
    "wakeup_cost_us",
]
