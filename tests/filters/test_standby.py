"""Guards against requests that are lost while an attempt runs beside a silent one."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.filters.retry import RetryFilter
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.upstreams.errors import Broken, Declined, NoAnswer, NotSent
from tests.filters.harness import run_filter
from tests.routebuilders import a_route, a_routed_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.upstreams.errors import UpstreamError

HEAD = Head(200, ())
FIRST, SECOND = Body(b"one"), Body(b"two")
SILENT = NoAnswer("up-1", "ReadTimeout")
STREAM = a_route(streamed=True, resumable=True)
PLAIN = a_route(idempotent=True)
CHECKS_COUNT = 20
"""Times that a silent upstream is considered before it goes on."""


class SilentAttempt:
    """The first attempt is silent after some parts; others are its standbys."""

    def __init__(
        self,
        *begin: Part,
        standby: tuple[Part, ...] = (HEAD, FIRST, SECOND),
        error: UpstreamError | RequestError | None = None,
        is_sent: bool = True,
        delay_s: float = 0.0,
        ends: UpstreamError | None = None,
    ) -> None:
        self.standbys: list[Exchange] = []
        self.closed_count = 0
        self.given_up_count = 0
        """Times that a standby that has been used was told to end."""
        self._begin, self._standby, self._error = begin, standby, error
        self._delay_s, self._is_sent = delay_s, is_sent
        self._ends = ends
        """How the silent attempt ends in place of going on."""

    async def __call__(self, exchange: Exchange) -> AsyncIterator[Part]:
        exchange.upstream_id = f"up-{exchange.attempt}"
        if exchange.attempt > 1:
            async with aclosing(self._run_standby(exchange)) as parts:
                async for part in parts:
                    yield part
            return
        for part in self._begin:
            exchange.events_count += isinstance(part, Body)
            yield part
        for _ in range(CHECKS_COUNT):
            if exchange.gives_up():
                raise SILENT if not exchange.events_count else Broken("up-1", "ReadTimeout", 1)
            await asyncio.sleep(0.001)
        if self._ends is not None:
            raise self._ends
        for part in (HEAD, FIRST, SECOND)[len(self._begin) :]:
            yield part

    async def _run_standby(self, exchange: Exchange) -> AsyncIterator[Part]:
        self.standbys.append(exchange)
        exchange.sent_upstream = self._is_sent
        try:
            await asyncio.sleep(self._delay_s)
            if self._error is not None:
                raise self._error
            for part in self._standby:
                yield part
                for _ in range(CHECKS_COUNT if isinstance(part, Body) else 0):
                    self.given_up_count += exchange.gives_up()
                    await asyncio.sleep(0.001)
        finally:
            self.closed_count += 1


class StandbyTest(unittest.IsolatedAsyncioTestCase):
    async def run_request(
        self, attempt: SilentAttempt, exchange: Exchange, budget: RetryBudget | None = None
    ) -> list[Part]:
        exchange.attempt = 0
        return await run_filter(RetryFilter(budget or RetryBudget()), exchange, attempt)

    async def test_which_silent_attempts_get_a_standby(self) -> None:
        """Guards against a standby for a request that may not run twice, that has no attempt or no
        retry left, or whose response no other upstream can continue."""
        none_left = RetryBudget(floor_count=lambda: 0)
        rows = [
            (
                "stream",
                1,
                a_routed_exchange(STREAM),
                SilentAttempt(HEAD, FIRST, standby=(HEAD, SECOND)),
                None,
            ),
            ("stream without an event", 1, a_routed_exchange(STREAM), SilentAttempt(HEAD), None),
            ("plain", 1, a_routed_exchange(PLAIN), SilentAttempt(), None),
            ("not repeatable", 0, a_routed_exchange(a_route()), SilentAttempt(), None),
            (
                "stream that may not be resumed",
                0,
                a_routed_exchange(a_route(streamed=True)),
                SilentAttempt(HEAD, FIRST),
                None,
            ),
            (
                "last attempt",
                0,
                a_routed_exchange(PLAIN._replace(attempts_count=1)),
                SilentAttempt(),
                None,
            ),
            ("no retry left", 0, a_routed_exchange(PLAIN), SilentAttempt(), none_left),
        ]
        for name, count, exchange, attempt, budget in rows:
            with self.subTest(name):
                parts = await self.run_request(attempt, exchange, budget)
                self.assertEqual(parts, [HEAD, FIRST, SECOND])
                self.assertEqual(len(attempt.standbys), count)

    async def test_standby_that_responds(self) -> None:
        """Guards against waiting for a silent upstream although another one has continued."""
        attempt = SilentAttempt(HEAD, FIRST, standby=(HEAD, SECOND))
        exchange = a_routed_exchange(STREAM)
        self.assertEqual(await self.run_request(attempt, exchange), [HEAD, FIRST, SECOND])
        self.assertEqual(attempt.standbys[0].broken, (1, ""))
        self.assertEqual(attempt.standbys[0].failed_upstreams, {"up-1"})
        self.assertEqual((exchange.attempt, exchange.upstream_id), (2, "up-2"))

    async def test_standby_that_is_silent(self) -> None:
        """Guards against more runs than the route allows when a standby falls silent as well."""
        for attempts_count in (2, 3):
            for ends in (None, Broken("up-1", "reset", 1)):
                with self.subTest(attempts_count=attempts_count, ends=ends):
                    attempt = SilentAttempt(
                        HEAD, FIRST, standby=(HEAD, SECOND), delay_s=0.005, ends=ends
                    )
                    exchange = a_routed_exchange(STREAM._replace(attempts_count=attempts_count))
                    parts = await self.run_request(attempt, exchange)
                    self.assertEqual(parts[:3], [HEAD, FIRST, SECOND])
                    self.assertLess(len(attempt.standbys), attempts_count)
                    self.assertLessEqual(exchange.attempt, attempts_count)
                    self.assertEqual(attempt.closed_count, len(attempt.standbys))

    async def test_standby_that_fails(self) -> None:
        """Guards against losing a silent response because another upstream fails or refuses."""
        for error in (
            Declined("up-2", "status 503, not run"),
            NoAnswer("up-2", "closed", connection_ended=True),
        ):
            with self.subTest(type(error).__name__):
                attempt = SilentAttempt(HEAD, FIRST, error=error)
                exchange = a_routed_exchange(STREAM)
                self.assertEqual(await self.run_request(attempt, exchange), [HEAD, FIRST, SECOND])
                self.assertEqual(len(attempt.standbys), 1)
                self.assertEqual(exchange.attempt, 2, "the route allows no third upstream")
                self.assertEqual(list(exchange.refused_at_s), ["up-2"] * (type(error) is Declined))

    async def test_standby_that_is_refused(self) -> None:
        """Guards against using up the retry budget on standbys that this router refuses."""
        refusal = RequestError("quarantined", "part 'a' of the prompt may crash upstreams")
        attempt = SilentAttempt(HEAD, FIRST, error=refusal, is_sent=False)
        exchange = a_routed_exchange(STREAM)
        self.assertEqual(await self.run_request(attempt, exchange), [HEAD, FIRST, SECOND])
        self.assertEqual((len(attempt.standbys), exchange.attempt), (1, 1))

    async def test_standby_that_is_not_sent(self) -> None:
        """Guards against trying an upstream that refuses connections again and again."""
        attempt = SilentAttempt(HEAD, FIRST, error=NotSent("up-2", "refused"), is_sent=False)
        exchange = a_routed_exchange(STREAM)
        filter_ = RetryFilter(
            RetryBudget(), lambda exchange: "up-2" not in exchange.failed_upstreams
        )
        exchange.attempt = 0
        self.assertEqual(await run_filter(filter_, exchange, attempt), [HEAD, FIRST, SECOND])
        self.assertEqual((len(attempt.standbys), exchange.attempt), (1, 1))

    async def test_standby_that_is_late(self) -> None:
        """Guards against a standby that runs on, or whose events come twice, when the silent
        upstream goes on first."""
        attempt = SilentAttempt(HEAD, FIRST, standby=(HEAD, SECOND), delay_s=5.0)
        exchange = a_routed_exchange(STREAM)
        self.assertEqual(await self.run_request(attempt, exchange), [HEAD, FIRST, SECOND])
        self.assertEqual((len(attempt.standbys), attempt.closed_count), (1, 1))
        self.assertEqual(exchange.upstream_id, "up-1")

    async def test_silent_attempt_that_breaks(self) -> None:
        """Guards against a third run of a request whose standby is under way."""
        attempt = SilentAttempt(
            HEAD, FIRST, standby=(HEAD, SECOND), delay_s=0.1, ends=Broken("up-1", "reset", 1)
        )
        exchange = a_routed_exchange(STREAM)
        self.assertEqual(await self.run_request(attempt, exchange), [HEAD, FIRST, SECOND])
        self.assertEqual(len(attempt.standbys), 1)

    async def test_caller_that_leaves(self) -> None:
        """Guards against a standby that runs on after its caller has left."""
        attempt = SilentAttempt(HEAD, FIRST, delay_s=5.0)
        exchange = a_routed_exchange(STREAM, attempt=0)
        parts = RetryFilter(RetryBudget())(exchange, attempt)
        async with aclosing(parts):
            await anext(parts)
            await anext(parts)
            waiting = asyncio.create_task(anext(parts))
            await asyncio.sleep(0.005)
            self.assertEqual(len(attempt.standbys), 1)
            waiting.cancel()
            await asyncio.wait((waiting,))
        self.assertEqual(attempt.closed_count, 1)

    async def test_silent_attempts_share_the_budget(self) -> None:
        """Guards against two silent attempts that are given up for the only retry left."""
        filter_ = RetryFilter(RetryBudget(ratio=0.0, floor_count=lambda: 1))
        attempts = [SilentAttempt(), SilentAttempt()]
        exchanges = [a_routed_exchange(PLAIN, attempt=0) for _ in attempts]
        responses = await asyncio.gather(
            *(
                run_filter(filter_, exchange, attempt)
                for exchange, attempt in zip(exchanges, attempts, strict=True)
            )
        )
        self.assertEqual(responses, [[HEAD, FIRST, SECOND]] * 2)
        self.assertEqual(sum(len(attempt.standbys) for attempt in attempts), 1)


if __name__ == "__main__":
    unittest.main()
