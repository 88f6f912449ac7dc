"""Guards against prompts that crash one upstream after another, and against untrue refusals."""

from __future__ import annotations

import contextlib
import time
import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import anyio

from camphorvalve.controllers.runtime import Sender
from camphorvalve.controllers.suspects import MAX_SILENCE_S, SuspectsFollower
from camphorvalve.filters.chain import compose
from camphorvalve.filters.quarantine import FRESH_S, TRIAL_RATIO, UNDER_WAY_S, QuarantineFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.model.requests import MAX_PART_ID_LENGTH, shared_part_ids
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.suspectends import LIFETIME_S
from camphorvalve.sharing.suspects import Condemned, Sound, Suspected
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import Broken, Declined, NoAnswer, NotSent, WrongAnswer
from camphorvalve.upstreams.routed import RoutedAttempts
from camphorvalve.wire.messages import SuspectEnd, SuspectPart, SuspectUpdate
from tests.filters.harness import run_filter
from tests.rawpeers import Script, upstream
from tests.routebuilders import (
    HEADER_NAMES,
    a_listed_upstream,
    a_prompt,
    a_route,
    a_routed_exchange,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.runtime import Outgoing
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.upstreams.errors import UpstreamError

STREAM = a_route(idempotent=True, streamed=True, resumable=True, attempts_count=3)
PLAIN = a_route(idempotent=True)
UPSTREAM_HEADERS = b"x-id: id-1\r\nx-proof: p\r\n"


def an_exchange(*part_ids: str, route: Any = STREAM, **fields: Any) -> Exchange:
    """Build a request with a prompt, whose body says the same."""
    body = fields.pop("body", " ".join(part_ids).encode())
    return a_routed_exchange(route, prompt=a_prompt(*part_ids), body=body, **fields)


class Quarantine:
    """The filter with its state, and a clock that attempts move on."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.sent: list[Outgoing] = []
        self.suspects = SuspectsFollower(lambda: ("controller",))
        self.started_ms: int | None = None
        self.drawn = 0.0
        self.filter = QuarantineFilter(
            self.suspects,
            lambda upstream_id: a_listed_upstream(upstream_id, started_ms=self.started_ms),
            self.sent.extend,
            lambda: self.now_s,
            lambda: self.drawn,
        )

    def attempt(
        self, *steps: float | Part, error: UpstreamError | None = None, upstream_id: str = "up-9"
    ) -> Handler:
        """Build a handler that yields parts and moves the clock by numbers between them."""

        async def handler(exchange: Exchange) -> AsyncIterator[Part]:
            exchange.upstream_id = upstream_id
            for step in steps:
                if isinstance(step, float):
                    self.now_s += step
                else:
                    yield step
            if error is not None:
                raise error

        return handler

    async def crash(self, *part_ids: str, upstream_id: str) -> None:
        """Run a request whose upstream ends before it answers."""
        self.now_s += 1.0
        error = NoAnswer(upstream_id, "closed", connection_ended=True)
        handler = self.attempt(error=error, upstream_id=upstream_id)
        with contextlib.suppress(NoAnswer, RequestError):
            # The request is like no other one.
            exchange = an_exchange(*part_ids, body=f"{self.now_s}".encode())
            await run_filter(self.filter, exchange, handler)

    async def crash_again(self, upstream_id: str) -> None:
        """Run a plain request, always the same, whose upstream ends before it answers."""
        self.now_s += 0.1
        error = NoAnswer(upstream_id, "closed", connection_ended=True)
        handler = self.attempt(error=error, upstream_id=upstream_id)
        with contextlib.suppress(NoAnswer):
            await run_filter(self.filter, a_routed_exchange(PLAIN), handler)

    def ends_count(self, part_id: str) -> int:
        return self.suspects._record.count(part_id)


HEAD, EVENT = Head(200, ()), Body(b"id: 1\ndata: a\n\n")


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    async def test_which_failures_count(self) -> None:
        ended = {"connection_ended": True}
        long_s = UNDER_WAY_S + 0.1
        cases: dict[str, tuple[tuple[Any, ...], UpstreamError, int]] = {
            "closed before the head": ((0.1,), NoAnswer("up-9", "closed", **ended), 1),
            "closed after the head": ((HEAD, 1.0), Broken("up-9", "closed", **ended), 1),
            "closed at the first event": ((HEAD, EVENT), Broken("up-9", "closed", 1, **ended), 1),
            "closed later": ((HEAD, EVENT, long_s), Broken("up-9", "closed", 1, **ended), 0),
            "timeout": ((1.0,), NoAnswer("up-9", "timeout"), 0),
            "stalled": ((HEAD, 1.0), Broken("up-9", "timeout"), 0),
            "refused connection": ((), NotSent("up-9", "refused"), 0),
            "wrong answer": ((), WrongAnswer("up-9", "another request"), 0),
            "not run": ((), Declined("up-9", "full"), 0),
        }
        for name, (steps, error, count) in cases.items():
            with self.subTest(name):
                quarantine = Quarantine()
                handler = quarantine.attempt(*steps, error=error)
                with self.assertRaises(type(error)):
                    await run_filter(quarantine.filter, an_exchange("a", "last"), handler)
                self.assertEqual(quarantine.ends_count("a"), count)
                self.assertEqual(quarantine.ends_count("last"), 0)

    async def test_which_answers_clear(self) -> None:
        cases = {
            "whole": (STREAM, (0.1, HEAD, EVENT), None, 0),
            "whole, plain": (PLAIN, (0.1, HEAD, Body(b"yes")), None, 0),
            "still running": (STREAM, (0.1, HEAD, EVENT, 0.6, EVENT), Broken("up-9", "x"), 0),
            "no event": (STREAM, (0.1, HEAD), None, 1),
            "failure": (PLAIN, (0.1, Head(500, ()), Body(b"no")), None, 1),
            "begun just now": (STREAM, (0.1, HEAD, EVENT, 0.1, EVENT), Broken("up-9", "x"), 1),
        }
        for name, (route, steps, error, count) in cases.items():
            with self.subTest(name):
                quarantine = Quarantine()
                await quarantine.crash("a", "last", upstream_id="up-1")
                self.assertEqual(quarantine.ends_count("a"), 1)
                handler = quarantine.attempt(*steps, error=error)
                with contextlib.suppress(Broken):
                    await run_filter(quarantine.filter, an_exchange("a", "b", route=route), handler)
                self.assertEqual(quarantine.ends_count("a"), count)

    async def test_a_condemned_part(self) -> None:
        """Guards against requests with the part that reach upstreams, and against a refusal that
        tells the caller to come back soon."""
        quarantine = Quarantine()
        for number in range(3):
            await quarantine.crash(f"a-{number}", "deadly", "last", upstream_id=f"up-{number}")
        for retry_after_s in (0.5, 60.0, 60.0):
            with self.assertRaises(RequestError) as caught:
                await run_filter(
                    quarantine.filter, an_exchange("b", "deadly", "c"), quarantine.attempt()
                )
            error = caught.exception
            self.assertEqual((error.code, error.status, error.run), ("quarantined", 503, Run.NO))
            self.assertIn("'deadly'", error.message)
            # Just after the third end, an answer at another router may still acquit the part.
            self.assertEqual(error.retry_after_s, retry_after_s)
            quarantine.now_s += FRESH_S
        last = an_exchange("b", "deadly")
        parts = await run_filter(quarantine.filter, last, quarantine.attempt(HEAD, EVENT))
        self.assertEqual(parts, [HEAD, EVENT])

    async def test_a_suspected_part_runs_alone(self) -> None:
        quarantine = Quarantine()
        for number in range(2):
            await quarantine.crash("a", "last", upstream_id=f"up-{number}")
        running = quarantine.filter(an_exchange("a", "x"), quarantine.attempt(HEAD, EVENT, EVENT))
        async with aclosing(running):
            await anext(running)
            with self.assertRaises(RequestError) as caught:
                await run_filter(quarantine.filter, an_exchange("a", "y"), quarantine.attempt())
            self.assertEqual(caught.exception.code, "quarantined")
            self.assertLess(caught.exception.retry_after_s, 1.0)
        # The caller has left; the next request runs.
        await run_filter(quarantine.filter, an_exchange("a", "y"), quarantine.attempt(HEAD, EVENT))
        self.assertEqual(quarantine.suspects.judge(("a",)), Sound())

    async def test_a_suspected_part_is_not_repeated(self) -> None:
        """Guards against a repeat that crashes the next upstream, and against the answer "not run"
        for a request that has run."""
        quarantine = Quarantine()
        await quarantine.crash("a", "last", upstream_id="up-0")
        runs = []

        async def handler(exchange: Exchange) -> AsyncIterator[Part]:
            quarantine.now_s += 1.0
            runs.append(exchange.attempt)
            raise NoAnswer("up-1", "closed", connection_ended=True)
            yield

        chain = compose((RetryFilter(RetryBudget()), quarantine.filter), handler)
        exchange = an_exchange("a", "last")
        exchange.attempt = 0
        with self.assertRaises(RequestError) as caught:
            [part async for part in chain(exchange)]
        self.assertEqual(caught.exception.code, "upstream_failed")
        self.assertEqual(runs, [1])

    async def test_a_router_that_has_just_started(self) -> None:
        """Guards against running a condemned request before the controllers have told of it, and
        against a router that waits without end for controllers that do not answer."""
        quarantine = Quarantine()
        list(quarantine.suspects.tick(quarantine.now_s))
        ends = tuple(
            SuspectEnd(f"up-{number}", 1000 * (10 - number), cleared=False) for number in range(4)
        )
        update = SuspectUpdate((SuspectPart("deadly", ends),), ())

        async def answer() -> None:
            await anyio.wait_all_tasks_blocked()
            list(quarantine.suspects.handle(Sender("controller", 1), update, quarantine.now_s))

        with self.assertRaises(ExceptionGroup) as caught:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(answer)
                handler = quarantine.attempt(HEAD, EVENT)
                await run_filter(quarantine.filter, an_exchange("deadly", "last"), handler)
        self.assertEqual([error.code for error in caught.exception.exceptions], ["quarantined"])
        silent = Quarantine()
        list(silent.suspects.tick(silent.now_s))
        silent.now_s += MAX_SILENCE_S
        handler = silent.attempt(HEAD, EVENT)
        parts = await run_filter(silent.filter, an_exchange("deadly", "last"), handler)
        self.assertEqual(parts, [HEAD, EVENT])

    async def test_restarts_under_one_id(self) -> None:
        """Guards against counting the ends of an upstream once that starts again under its id."""
        quarantine = Quarantine()
        for number in range(3):
            quarantine.started_ms = number
            await quarantine.crash("a", "last", upstream_id="up-1")
        self.assertEqual(quarantine.suspects.judge(("a",)), Condemned("a"))

    async def test_calls_without_shared_parts(self) -> None:
        quarantine = Quarantine()
        for exchange in (an_exchange("last"), a_routed_exchange(PLAIN)):
            parts = await run_filter(quarantine.filter, exchange, quarantine.attempt(HEAD, EVENT))
            self.assertEqual(parts, [HEAD, EVENT])
        self.assertEqual(quarantine.sent, [])

    async def test_a_condemned_request(self) -> None:
        """Guards against a plain request that reaches more upstreams, and against a refusal that
        tells its caller to come back before it can be run."""
        quarantine = Quarantine()
        for number in range(4):
            quarantine.now_s += 1.5 * (number == 3)
            await quarantine.crash_again(f"up-{number}")
        with self.assertRaises(RequestError) as caught:
            await run_filter(quarantine.filter, a_routed_exchange(PLAIN), quarantine.attempt())
        self.assertLess(caught.exception.retry_after_s, 1.0)
        quarantine.now_s += 10.0
        with self.assertRaises(RequestError) as caught:
            await run_filter(quarantine.filter, a_routed_exchange(PLAIN), quarantine.attempt())
        error = caught.exception
        self.assertEqual((error.code, error.status, error.run), ("quarantined", 503, Run.NO))
        self.assertGreater(error.retry_after_s, LIFETIME_S - 20.0)
        other = a_routed_exchange(PLAIN, body=b"cellos")
        parts = await run_filter(quarantine.filter, other, quarantine.attempt(HEAD, EVENT))
        self.assertEqual(parts, [HEAD, EVENT])

    async def test_a_suspected_request_is_seldom_tried(self) -> None:
        """Guards against trials at all routers until the first of them shows its fault."""
        quarantine = Quarantine()
        for number in range(3):
            await quarantine.crash_again(f"up-{number}")
        quarantine.drawn = TRIAL_RATIO + 0.01
        with self.assertRaises(RequestError) as caught:
            await run_filter(quarantine.filter, a_routed_exchange(PLAIN), quarantine.attempt())
        self.assertLess(caught.exception.retry_after_s, 1.0)
        quarantine.drawn = TRIAL_RATIO - 0.01
        handler = quarantine.attempt(HEAD, EVENT)
        await run_filter(quarantine.filter, a_routed_exchange(PLAIN), handler)
        key = a_routed_exchange(PLAIN).identify()
        self.assertEqual(quarantine.suspects.judge((key,)), Sound())

    def test_long_part_ids(self) -> None:
        """Guards against messages and state that grow with the ids that callers choose."""
        long_ids = ["x" * 5000 + suffix for suffix in "ab"]
        first, second = (shared_part_ids(an_exchange(x, "b").request.call)[0] for x in long_ids)
        self.assertNotEqual(first, second)
        self.assertLessEqual(len(first), MAX_PART_ID_LENGTH)
        many = an_exchange(*map(str, range(1000)))
        self.assertEqual(len(shared_part_ids(many.request.call)), 64)


class QuarantineHttpTest(unittest.TestCase):
    def test_answers_that_end_with_their_connection(self) -> None:
        """Guards against clearing a part by an upstream that crashed as its answer began: without a
        length or chunks, what it had sent looks like a whole answer."""
        head = b"HTTP/1.1 200 OK\r\n" + UPSTREAM_HEADERS
        stream = head + b"content-type: text/event-stream\r\n"
        event = b"id: 1\ndata: a\n\n"
        cases = {
            "stream": (STREAM, stream + b"\r\n" + event, 1),
            "stream with a length": (STREAM, stream + b"content-length: 15\r\n\r\n" + event, 0),
            "plain": (PLAIN, head + b"\r\npart", 1),
            "plain without a body": (PLAIN, head + b"\r\n", 1),
            "plain with a length": (PLAIN, head + b"content-length: 4\r\n\r\npart", 0),
        }

        async def run(route: Any, content: bytes) -> int:
            quarantine = Quarantine()
            await quarantine.crash("a", "last", upstream_id="up-1")
            quarantine.now_s += 1.0
            async with (
                create_client() as client,
                upstream(Script(content, "close")) as (url, _),
            ):
                listed = a_listed_upstream("up-9", url=url)
                attempts = RoutedAttempts(client, HEADER_NAMES)

                def handler(exchange: Exchange) -> AsyncIterator[Part]:
                    exchange.upstream_id = listed.upstream_id
                    return attempts.open(listed, exchange)

                exchange = an_exchange("a", "last", route=route)
                await run_filter(quarantine.filter, exchange, handler)
            return quarantine.ends_count("a")

        for name, (route, content, count) in cases.items():
            with self.subTest(name):
                self.assertEqual(anyio.run(run, route, content), count)

    def test_upstreams_that_close(self) -> None:
        """Guards against a prompt that ends one upstream after another over real connections."""
        whole = (
            b"HTTP/1.1 200 OK\r\n" + UPSTREAM_HEADERS + b"content-type: text/event-stream\r\n"
            b"content-length: 15\r\n\r\nid: 1\ndata: a\n\n"
        )
        head_only = whole[: -len(b"id: 1\ndata: a\n\n")]
        scripts = [Script(b"", "close"), Script(b"", "reset"), Script(head_only, "close")]

        async def run() -> None:
            suspects = SuspectsFollower(tuple)
            quarantine = QuarantineFilter(
                suspects, a_listed_upstream, list, lambda: time.monotonic() + self.passed_s
            )
            verdicts = []
            async with create_client() as client:
                attempts = RoutedAttempts(client, HEADER_NAMES)

                async def send(script: Script, *part_ids: str) -> int:
                    async with upstream(script) as (url, peer):
                        self.uses_count += 1
                        listed = a_listed_upstream(f"up-{self.uses_count}", url=url)

                        def handler(exchange: Exchange) -> AsyncIterator[Part]:
                            exchange.upstream_id = listed.upstream_id
                            return attempts.open(listed, exchange)

                        chain = compose((RetryFilter(RetryBudget()), quarantine), handler)
                        exchange = an_exchange(*part_ids, route=once)
                        exchange.attempt = 0
                        try:
                            [part async for part in chain(exchange)]
                        except RequestError as error:
                            self.codes.append(error.code)
                        return len(peer.received)

                for script in scripts:
                    verdicts.append(suspects.judge(("first", "deadly")))
                    self.assertEqual(await send(script, "first", "deadly", "last"), 1)
                    self.passed_s += 1.0
                    await send(Script(whole), "first", "sound", "last")
                self.assertEqual(await send(Script(whole), "first", "deadly", "last"), 0)
                self.assertEqual(await send(Script(whole), "first", "sound", "last"), 1)
            self.assertEqual(verdicts, [Sound(), Sound(), Suspected(("deadly",))])

        once = a_route(idempotent=True, streamed=True, resumable=True, attempts_count=1)
        self.passed_s, self.uses_count, self.codes = 0.0, 0, []
        anyio.run(run)
        self.assertEqual(self.codes[-1], "quarantined")
        self.assertEqual(len(self.codes), 4)
