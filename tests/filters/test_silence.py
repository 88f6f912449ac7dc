"""Guards against giving up a silent upstream when the retry cannot be made, and against hanging."""

from __future__ import annotations

import asyncio
import contextlib
import time
import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from unittest import mock

from camphorvalve.controllers.suspects import SuspectsFollower
from camphorvalve.filters.quarantine import QuarantineFilter
from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.suspects import Suspected
from camphorvalve.upstreams import network, routed
from camphorvalve.upstreams.errors import NoAnswer
from tests.filters.harness import error_handler, run_filter
from tests.filters.silence import (
    EVENTS,
    Answers,
    Breaks,
    Declines,
    Hangs,
    Outcome,
    ReadsSlowly,
    StopsReading,
    Streams,
    a_router,
    a_slow_listener,
)
from tests.routebuilders import a_listed_upstream, a_prompt, a_route, a_routed_exchange

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange

STREAM = a_route(streamed=True, resumable=True, idempotent=True)
PLAIN = a_route(idempotent=True)
SILENCE_S = 0.3
"""Silence after which an attempt may be given up here; upstreams are silent for twice as long."""
CONTENT = b"".join(EVENTS)


def a_stream() -> Exchange:
    return a_routed_exchange(STREAM)


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = self.enterContext(contextlib.ExitStack())
        stack.enter_context(mock.patch.object(routed, "BODY_SILENCE_S", SILENCE_S))
        stack.enter_context(mock.patch.object(routed, "FIRST_BYTE_TIMEOUT_S", SILENCE_S))
        stack.enter_context(mock.patch.object(network, "RECHECK_S", 0.05))
        self.stack = await self.enterAsyncContext(AsyncExitStack())

    def delay_timers(self) -> None:
        """Hold the loop when silences that begin now are noticed, so that all are in one turn."""
        asyncio.get_running_loop().call_later(0.8 * SILENCE_S, time.sleep, 0.4 * SILENCE_S)

    def assert_whole(self, outcomes: list[Outcome]) -> None:
        self.assertEqual(
            [(o.content, o.error) for o in outcomes], [(CONTENT, None)] * len(outcomes)
        )

    async def test_streams_that_are_silent_together(self) -> None:
        """Guards against giving up more streams of one upstream than retries are left."""
        streams = Streams(2 * SILENCE_S, together_count=4)
        budget = RetryBudget(ratio=0.0, floor_count=lambda: 1)
        router = await self.stack.enter_async_context(
            a_router({"up-1": streams, "up-2": streams}, budget=budget)
        )
        tasks = [asyncio.create_task(router.run(a_stream())) for _ in range(8)]
        for peer in router.peers.values():
            await peer.wait_for_requests(4)
        self.delay_timers()
        self.assert_whole(await asyncio.gather(*tasks))

    async def test_room_for_one_stream_of_two(self) -> None:
        """Guards against giving up more streams than another upstream has room for."""
        streams = Streams(2 * SILENCE_S, together_count=2)
        router = await self.stack.enter_async_context(
            a_router({"up-1": streams, "up-2": Hangs()}, engine_part=0.0)
        )
        # The second upstream has room for one more request.
        router.pools.begin(a_routed_exchange(failed_upstreams={"up-1"}), time.monotonic())
        exchanges = [a_routed_exchange(STREAM, failed_upstreams={"up-2"}) for _ in range(2)]
        tasks = [asyncio.create_task(router.run(exchange)) for exchange in exchanges]
        await router.peers["up-1"].wait_for_requests(2)
        self.delay_timers()
        router.peers["up-2"].behaviour = Streams()
        for exchange in exchanges:
            exchange.failed_upstreams.clear()
        self.assert_whole(await asyncio.gather(*tasks))

    async def test_declined_retry(self) -> None:
        """Guards against a response that is cut as the retry of a silent attempt is declined."""
        router = await self.stack.enter_async_context(
            a_router({"up-1": Streams(2 * SILENCE_S), "up-2": Declines()})
        )
        exchange = a_routed_exchange(STREAM, failed_upstreams={"up-2"})
        task = asyncio.create_task(router.run(exchange))
        await router.peers["up-1"].wait_for_requests(1)
        exchange.failed_upstreams.clear()
        self.assert_whole([await task])

    async def test_retry_that_is_quarantined(self) -> None:
        """Guards against giving up the only attempt that a suspected part of a prompt may have."""
        suspects = SuspectsFollower(lambda: ("controller",))
        quarantine = QuarantineFilter(suspects, a_listed_upstream, send=list)
        prompt = a_prompt("a", "own")
        for upstream_id in ("up-8", "up-9"):
            error = NoAnswer(upstream_id, "closed", connection_ended=True)
            with contextlib.suppress(NoAnswer, RequestError):
                crashed = a_routed_exchange(STREAM, prompt=prompt)
                await run_filter(quarantine, crashed, error_handler(error))
            await asyncio.sleep(SILENCE_S)
        self.assertEqual(suspects.judge(("a",)), Suspected(("a",)))
        router = await self.stack.enter_async_context(
            a_router(
                {"up-1": Streams(2 * SILENCE_S), "up-2": Streams(2 * SILENCE_S)},
                inner_filters=[quarantine],
            )
        )
        self.assert_whole([await router.run(a_routed_exchange(STREAM, prompt=prompt))])

    async def test_hanging_upstream_without_retries(self) -> None:
        """Guards against sending more and more requests to an upstream that hangs, while the retry
        budget is used up."""
        budget = RetryBudget(ratio=0.0, floor_count=lambda: 0)
        router = await self.stack.enter_async_context(
            a_router({"up-1": Hangs(), "up-2": Answers()}, budget=budget)
        )

        async def run() -> Outcome:
            return await router.run(a_routed_exchange(PLAIN, deadline_s=time.monotonic() + 1.0))

        await asyncio.gather(*(run() for _ in range(8)))
        received_count = router.peers["up-1"].received_count
        outcomes = await asyncio.gather(*(run() for _ in range(8)))
        self.assertGreater(received_count, 1)
        self.assertEqual([outcome.error for outcome in outcomes], [None] * 8)

    async def test_deadline_within_two_objectives(self) -> None:
        """Guards against waiting until the deadline for an upstream that hangs, although another
        one would respond in time."""
        router = await self.stack.enter_async_context(
            a_router({"up-1": Hangs(), "up-2": Answers()})
        )
        exchange = a_routed_exchange(
            PLAIN._replace(objective_s=0.8),
            failed_upstreams={"up-2"},
            deadline_s=time.monotonic() + 1.5,
        )
        task = asyncio.create_task(router.run(exchange))
        await router.peers["up-1"].wait_for_requests(1)
        exchange.failed_upstreams.clear()
        outcome = await task
        self.assertEqual((outcome.content, outcome.error), (b"yes", None))

    async def test_deadline_before_the_head_of_a_continuation(self) -> None:
        """Guards against a deadline that is noticed only when a silent upstream is considered
        again."""
        self.enterContext(mock.patch.object(network, "RECHECK_S", 5.0))
        router = await self.stack.enter_async_context(
            a_router({"up-1": Streams(60), "up-2": Hangs()})
        )
        exchange = a_routed_exchange(
            STREAM, failed_upstreams={"up-2"}, deadline_s=time.monotonic() + 2.0
        )
        task = asyncio.create_task(router.run(exchange))
        await router.peers["up-1"].wait_for_requests(1)
        exchange.failed_upstreams.clear()
        done, _ = await asyncio.wait([task], timeout=4.0)
        task.cancel()
        self.assertTrue(done, "the response did not end at its deadline")

    async def test_lost_packet_of_the_last_attempt(self) -> None:
        """Guards against cutting a stream because the first packet of the connection for its last
        attempt was lost, although it is sent again after a second."""
        self.enterContext(mock.patch.object(routed, "CONNECT_TURNS_COUNT", 0))
        router = await self.stack.enter_async_context(
            a_router({"up-1": Breaks(), "up-2": Streams()})
        )
        url = await self.stack.enter_async_context(a_slow_listener(router.peers["up-2"], 0.5))
        first_url = f"http://127.0.0.1:{router.peers['up-1'].port}"
        listed = [a_listed_upstream("up-1", url=first_url), a_listed_upstream("up-2", url=url)]
        router.pools.apply(listed, time.monotonic())
        exchange = a_routed_exchange(STREAM, failed_upstreams={"up-2"})
        task = asyncio.create_task(router.run(exchange))
        await router.peers["up-1"].wait_for_requests(1)
        exchange.failed_upstreams.clear()
        self.assert_whole([await task])

    async def test_slow_body_is_not_silence(self) -> None:
        """Guards against repeating a request while its upstream still reads the body."""
        router = await self.stack.enter_async_context(
            a_router({"up-1": ReadsSlowly(0.02), "up-2": Answers()})
        )
        exchange = a_routed_exchange(PLAIN, failed_upstreams={"up-2"}, body=bytes(4 << 20))
        task = asyncio.create_task(router.run(exchange))
        await router.peers["up-1"].wait_for_requests(1)
        exchange.failed_upstreams.clear()
        outcome = await task
        self.assertEqual((outcome.content, outcome.error), (b"yes", None))
        self.assertEqual(router.peers["up-2"].received_count, 0)

    async def test_silence_of_an_upstream_that_has_read_a_long_body(self) -> None:
        """Guards against waiting until the deadline for an upstream that hangs after it has read a
        body, or in the middle of it."""
        for behaviour in (ReadsSlowly(0.02, responds=False), StopsReading()):
            for body_bytes in (1 << 20, 16 << 20):
                with self.subTest(behaviour=behaviour, body_bytes=body_bytes):
                    router = await self.stack.enter_async_context(
                        a_router({"up-1": behaviour, "up-2": Answers()})
                    )
                    exchange = a_routed_exchange(
                        PLAIN,
                        failed_upstreams={"up-2"},
                        body=bytes(body_bytes),
                        deadline_s=time.monotonic() + 30.0,
                    )
                    task = asyncio.create_task(router.run(exchange))
                    await router.peers["up-1"].wait_for_requests(1)
                    exchange.failed_upstreams.clear()
                    outcome = await task
                    self.assertEqual((outcome.content, outcome.error), (b"yes", None))
                    self.assertEqual(router.peers["up-2"].received_count, 1)


if __name__ == "__main__":
    unittest.main()
