"""Test fixture: routers before engines that may crash, with controllers, in simulated time."""

from __future__ import annotations

import asyncio
import random
import selectors
from contextlib import aclosing
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import mock

from camphorvalve.controllers.runtime import Sender
from camphorvalve.controllers.suspects import SuspectsFollower, SuspectsPublisher
from camphorvalve.filters.chain import compose
from camphorvalve.filters.quarantine import QuarantineFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.upstreams.errors import Broken, NoAnswer, NotSent
from tests.routebuilders import a_listed_upstream, a_prompt, a_route, a_routed_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

    from camphorvalve.controllers.runtime import Outgoing, StateController
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream

DEADLY = "deadly"
FIRST = "system"
"""First part of all prompts."""
DOWN_S = 3.0
TRANSIT_S = 0.002
REPEAT_S = 0.3
"""Time until a caller repeats a request that was not refused with a delay."""
UNKNOWN_DOWN_RATIO = 0.1
"""Part of the choices in which an engine that is down is taken for usable."""


class _SkippingSelector(selectors.DefaultSelector):
    """Advances the simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now_s += timeout or 0.0
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = _SkippingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now_s


def run_simulated(main: Callable[[], Awaitable[None]]) -> None:
    """Run a coroutine on an event loop with simulated time, which ``time.monotonic`` returns."""
    loop = _SimulatedLoop()
    with mock.patch("time.monotonic", loop.time):
        try:
            loop.run_until_complete(main())
        finally:
            loop.close()


class Outcome(NamedTuple):
    """How a request ended."""

    at_s: float
    """When it was sent."""
    parts: tuple[str, ...]
    code: str | None
    """Error code, ``None`` for a whole answer."""
    attempts_count: int
    retry_after_s: float | None = None


class Run(NamedTuple):
    """A request that reached an engine."""

    at_s: float
    parts: tuple[str, ...]


class Engine:
    """Answers requests with streams, or plainly; a crash breaks all of them."""

    def __init__(self, fleet: EngineFleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.starts_count = 0
        self.open: dict[asyncio.Future[None], None] = {}
        self.is_up = False
        self.start()

    @property
    def upstream_id(self) -> str:
        """:return: id of this start of the engine"""
        return f"engine-{self.number}-{self.starts_count}"

    def start(self) -> None:
        """Start under a new id."""
        self.starts_count += 1
        self.is_up = True

    def crash(self) -> None:
        """End all connections, and start again later."""
        if not self.is_up:
            return
        self.is_up = False
        self.break_connections()
        asyncio.get_running_loop().call_later(DOWN_S, self.start)

    def break_connections(self) -> None:
        """Close all connections, as a faulty engine does."""
        for waiter in self.open:
            if not waiter.done():
                waiter.set_result(None)

    async def answer(self, exchange: Exchange) -> AsyncIterator[Part]:
        """Run a request."""
        fleet, upstream_id = self.fleet, self.upstream_id
        parts = _part_ids(exchange)
        fleet.runs.append(Run(fleet.now_s(), parts))
        if not await self._stays_open(fleet.rng.uniform(0.02, 0.4)):
            raise NoAnswer(upstream_id, "Server disconnected", connection_ended=True)
        if fleet.is_deadly(parts):
            fleet.crashes_s.append(fleet.now_s())
            self.crash()
            if not exchange.streams:
                raise NoAnswer(upstream_id, "Server disconnected", connection_ended=True)
        yield Head(200, ())
        if not exchange.streams:
            yield Body(b"answer")
            return
        for number in range(1, fleet.rng.randint(2, 20)):
            if not await self._stays_open(0.1 * (number > 1)):
                raise Broken(upstream_id, "closed", number - 1, connection_ended=True)
            yield Body(b"id: %d\ndata: a\n\n" % number)

    async def _stays_open(self, duration_s: float) -> bool:
        if not self.is_up:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self.open[waiter] = None
        try:
            await asyncio.wait((waiter,), timeout=duration_s)
        finally:
            del self.open[waiter]
        return not waiter.done()


class Process:
    """A router or controller: delivers the messages of one state controller."""

    def __init__(self, fleet: EngineFleet, host_id: str, controller: StateController) -> None:
        self.fleet = fleet
        self.host_id = host_id
        self.controller = controller
        self.is_up = True
        self._tick = asyncio.get_running_loop().call_soon(self._run_tick)

    def send(self, outgoing: Iterable[Outgoing]) -> None:
        """Send messages, some of which may be lost."""
        fleet = self.fleet
        for peer_id, message in outgoing:
            fleet.messages_count += 1
            if fleet.rng.random() >= fleet.loss_ratio and self.is_up:
                delay_s = TRANSIT_S * fleet.rng.uniform(1.0, fleet.delay_factor)
                asyncio.get_running_loop().call_later(
                    delay_s, fleet.deliver, self.host_id, peer_id, message
                )

    def stop(self) -> None:
        """End the process; its state is lost."""
        self.is_up = False
        self._tick.cancel()

    def _run_tick(self) -> None:
        self.send(self.controller.tick(self.fleet.now_s()))
        loop = asyncio.get_running_loop()
        self._tick = loop.call_later(self.controller.tick_s, self._run_tick)


class EngineFleet:
    """Callers send requests to random routers, which send them to engines."""

    def __init__(self, seed: int, *, routers_count: int = 8, engines_count: int = 9) -> None:
        self.rng = random.Random(seed)
        self.start_s = self.now_s()
        self.deadly_from_s = float("inf")
        self.deadly_until_s = float("inf")
        self.deadly_ratio = 0.05
        self.requests_per_s = 40.0
        self.middle_parts = tuple(f"middle-{number}" for number in range(30))
        self.route = a_route(idempotent=True, streamed=True, resumable=True, attempts_count=3)
        self.random_parts: Callable[[], tuple[str, ...]] = self._random_parts
        """Draws the parts of the next request."""
        self.has_prompts = True
        """Whether upstreams and routers are told the parts, or get them in the body only."""
        self.sound_repeats_count = 0
        """How often callers send a sound request again after it has failed."""
        self.loss_ratio = 0.0
        self.delay_factor = 2.0
        self.messages_count = 0
        self.runs: list[Run] = []
        self.crashes_s: list[float] = []
        self.outcomes: list[Outcome] = []
        self.engines = [Engine(self, number) for number in range(engines_count)]
        self.processes: dict[str, Process] = {}
        self.handlers: dict[str, Handler] = {}
        self.controller_ids = ("controller-1", "controller-2", "controller-3")
        self.router_ids = tuple(f"router-{number}" for number in range(routers_count))
        for host_id in (*self.controller_ids, *self.router_ids):
            self.start(host_id)

    def now_s(self) -> float:
        """:return: simulated time"""
        return asyncio.get_running_loop().time()

    def start(self, host_id: str) -> None:
        """Start or restart a process with empty state."""
        if host_id in self.processes:
            self.processes[host_id].stop()
        if host_id in self.controller_ids:
            self.processes[host_id] = Process(self, host_id, SuspectsPublisher())
            return
        suspects = SuspectsFollower(lambda: self.controller_ids)
        process = self.processes[host_id] = Process(self, host_id, suspects)
        budget = RetryBudget(ratio=0.2, floor_count=lambda: 5)
        filters = (
            RetryFilter(budget),
            QuarantineFilter(
                suspects, self._upstream_of, process.send, self.now_s, self.rng.random
            ),
        )
        self.handlers[host_id] = compose(filters, self._attempt)

    def deliver(self, sender_id: str, peer_id: str, message: Any) -> None:
        """Deliver a message."""
        process = self.processes[peer_id]
        if process.is_up:
            controller = process.controller
            process.send(controller.handle(Sender(sender_id, 1), message, self.now_s()))

    def is_deadly(self, parts: tuple[str, ...]) -> bool:
        """:return: whether a prompt with these parts crashes its engine now"""
        return DEADLY in parts and self.deadly_from_s <= self.now_s() < self.deadly_until_s

    async def run(self, duration_s: float) -> None:
        """Let callers send requests for some time, and wait until all have ended."""
        end_s = self.now_s() + duration_s
        async with asyncio.TaskGroup() as callers:
            while self.now_s() < end_s:
                await asyncio.sleep(self.rng.expovariate(self.requests_per_s))
                callers.create_task(self._call(self.random_parts()))

    def at(self, after_s: float, action: Callable[[], Any]) -> None:
        """Run an action some time after the start."""
        asyncio.get_running_loop().call_at(self.start_s + after_s, action)

    def _random_parts(self) -> tuple[str, ...]:
        is_deadly = self.now_s() >= self.deadly_from_s and self.rng.random() < self.deadly_ratio
        middle = DEADLY if is_deadly else self.rng.choice(self.middle_parts)
        return FIRST, middle, f"last-{self.rng.random()}"

    async def _call(self, parts: tuple[str, ...]) -> None:
        outcome = await self._send(parts)
        for _ in range(0 if DEADLY in parts else self.sound_repeats_count):
            if outcome.code is None:
                break
            await asyncio.sleep(outcome.retry_after_s or REPEAT_S)
            outcome = await self._send(parts)

    async def _send(self, parts: tuple[str, ...]) -> Outcome:
        sent_s, code, retry_after_s = self.now_s(), None, None
        prompt = a_prompt(*parts) if self.has_prompts else None
        exchange = a_routed_exchange(self.route, prompt=prompt, body=" ".join(parts).encode())
        exchange.attempt = 0
        handler = self.handlers[self.rng.choice(self.router_ids)]
        try:
            async with aclosing(handler(exchange)) as answer:
                async for _ in answer:
                    pass
        except RequestError as error:
            code, retry_after_s = error.code, error.retry_after_s
        outcome = Outcome(sent_s, parts, code, exchange.attempt, retry_after_s)
        self.outcomes.append(outcome)
        return outcome

    def _upstream_of(self, upstream_id: str) -> Upstream | None:
        return a_listed_upstream(upstream_id)

    async def _attempt(self, exchange: Exchange) -> AsyncIterator[Part]:
        usable = [
            engine
            for engine in self.engines
            if engine.upstream_id not in exchange.failed_upstreams
            and (engine.is_up or self.rng.random() < UNKNOWN_DOWN_RATIO)
        ]
        engine = self.rng.choice(usable or self.engines)
        exchange.upstream_id = engine.upstream_id
        if not engine.is_up:
            raise NotSent(engine.upstream_id, "refused")
        async with aclosing(engine.answer(exchange)) as parts:
            async for part in parts:
                yield part


def _part_ids(exchange: Exchange) -> tuple[str, ...]:
    return tuple(exchange.request.body.decode().split(" "))


__all__ = ["DEADLY", "FIRST", "EngineFleet", "Outcome", "Run", "run_simulated"]
