"""Slopes of processor time, bytes and memory by size, in one process with a fake link."""

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
from tools.measuring.node import Node, a_configuration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

LEAST_S = 0.1
"""Processor time that one figure is taken over."""
TARGET = (1200, 6500, 11_000)
"""Routers, upstreams and teams of the target size; see section 1.7 of the design page."""
TODAY = (8, 13, 16)
LINK_MESSAGES_COUNT = 3000
EVENT = b'id: 17\ndata: {"text":" viola","index":17}\n\n'


def cost_us(action: Callable[[], Any]) -> float:
    """
    Measure the processor time of an action.

    :param action: repeated until enough time has passed
    :return: microseconds a call
    """
    count, started_s = 0, time.process_time()
    while (spent_s := time.process_time() - started_s) < LEAST_S:
        action()
        count += 1
    return spent_s / count * 1e6


def rss_bytes() -> int:
    """:return: resident memory of this process"""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def frames(node: Node) -> dict[str, bytes]:
    """
    Build one frame of each message that a router receives often.

    :param node: for its codec and configuration
    :return: frames by name
    """
    report = GrantProgress(2**52, "engine-17", "pool-0", "team-1", 123.4, False)
    entry = ServiceEntry("pool-0", "team-1", 12345.6, 123.4, 123456.7, True)
    total = TotalEntry("pool-0", "team-1", 123456.7, 123.4, 3)
    revision = node.following.configuration.revision
    change = CHANGE_CODEC.encode(PutTeam(node.following.configuration.teams["team-1"]))
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
    return {name: node.link.encode(one, "router-1") for name, one in messages.items()}


def message_costs(node: Node) -> dict[str, float]:
    """
    Measure decoding, handling and encoding of answers by message.

    :param node: the router
    :return: microseconds by message
    """
    clock = itertools.count()
    return {
        name: cost_us(lambda frame=frame: node.receive(frame, 100.0 + next(clock) * 1e-6))
        for name, frame in frames(node).items()
        if name != "config_update"
    }


def update_cost_us(node: Node) -> float:
    """
    Measure one change of the configuration on a router.

    :param node: the router
    :return: microseconds
    """

    def apply() -> None:
        node.receive(frames(node)["config_update"], 100.0)

    return cost_us(apply)


def tick_costs(node: Node, waiting_teams_count: int) -> dict[str, float]:
    """
    Measure a second of ticks, and a change of the deployment.

    :param node: the router
    :param waiting_teams_count: teams with requests that wait at this router
    :return: microseconds by name
    """
    for team in range(waiting_teams_count):
        for _ in range(4):
            node.wait(team, 100.0)
        demand = Demand("pool-0", f"team-{team}", 2.0, 17, 3, 1.2, 250.0)
        node.receive(node.link.encode(demand, "router-1"), 100.0)
    clock = itertools.count(1)
    costs = {
        f"tick_{one.name}": cost_us(
            lambda one=one: node.runtime.send(one.tick(100.0 + next(clock)))
        )
        / one.tick_s
        for one in (node.ledgers, node.membership, node.following, node.demand, node.scheduling)
    }

    def change() -> None:
        node.membership.apply_feed(node.routers[:1], ())
        node.scheduling._refresh()

    costs["deployment_change"] = cost_us(change)
    return costs


def request_cost_us(node: Node) -> float:
    """
    Measure a request's way through the entry side: wait, grant, start, last progress.

    :param node: the router
    :return: microseconds
    """
    grant = frames(node)["grant"]

    def serve() -> None:
        waiter = node.wait(1, 100.0)
        node.receive(grant, 100.0)
        running = node.demand.started(waiter)
        running.units = 250.0
        node.runtime.send(node.demand.finished(running))

    return cost_us(serve)


async def _tokens(count: int) -> AsyncIterator[Part]:
    transcript = Transcript(FromStart())
    yield Head(200, ())
    for _ in range(count):
        whole, _ = transcript.add(EVENT)
        yield Body(whole)


async def _filter(exchange: Exchange, inner: Callable[[Any], AsyncIterator[Part]]) -> Any:
    async for part in inner(exchange):
        yield part


def token_cost_us() -> float:
    """
    Measure a token's way through a chain of eight filters, without HTTP.

    :return: microseconds
    """
    count = 1000
    handler = compose((_filter,) * 8, lambda exchange: _tokens(count))

    async def run() -> None:
        async for _ in handler(None):  # type: ignore[arg-type]
            pass

    return cost_us(lambda: asyncio.run(run())) / count


async def wakeup_cost_us() -> float:
    """
    Measure a timer that wakes the loop up.

    :return: microseconds of processor time
    """
    count, started_s = 100, time.process_time()
    for _ in range(count):
        await asyncio.sleep(0.01)
    return (time.process_time() - started_s) / count * 1e6


async def link_cost_us() -> float:
    """
    Measure one message from socket to socket, both ends and the encryption in this process.

    :return: microseconds, the loop's wake-up included
    """
    pair = keys.generate()
    base = 15_000 + os.getpid() % 5000 * 2
    links = [Link(f"router-{n}", 1, f"tcp://127.0.0.1:{base + n}", MESSAGES, pair) for n in (0, 1)]
    for one in links:
        one.open()
        one.connect({f"router-{n}": f"tcp://127.0.0.1:{base + n}" for n in (0, 1)})
    received = links[1].receive()
    links[0].send("router-1", Ping(0, False, ()))
    await asyncio.sleep(0.5)
    started_s = time.process_time()
    for number in range(LINK_MESSAGES_COUNT):
        if links[0].send("router-1", Ping(number, False, ())):
            await asyncio.wait_for(anext(received), 5)
    spent_s = time.process_time() - started_s
    await received.aclose()
    for one in links:
        one.close()
    return spent_s / LINK_MESSAGES_COUNT * 1e6


def memory_mb(size: tuple[int, int, int], waiting_teams_count: int) -> dict[str, float]:
    """
    Measure the memory that the state of one router takes.

    :param size: routers, upstreams and teams
    :param waiting_teams_count: teams that this router schedules and that wait here
    :return: megabytes by part, measured one after the other
    """
    gc.collect()
    start = rss_bytes()
    kept = a_configuration(size[2])
    decoded = configuration.decode(configuration.encode(kept))
    del kept
    gc.collect()
    with_teams = rss_bytes()
    node = Node(size[0], size[1], 1)
    node.following.configuration = decoded
    for number in range(waiting_teams_count):
        node.wait(number, 100.0)
        demand = Demand("pool-0", f"team-{number}", 2.0, 17, 3, 1.2, 250.0)
        node.receive(node.link.encode(demand, "router-1"), 100.0)
    for one in (node.scheduling, node.ledgers, node.demand):
        node.runtime.send(one.tick(101.0))
    gc.collect()
    after = rss_bytes()
    return {
        "configuration": (with_teams - start) / 2**20,
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
