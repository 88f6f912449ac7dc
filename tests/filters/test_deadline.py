"""Guards against responses past their deadline, and errors that misreport whether a run began."""

from __future__ import annotations

import time
import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from camphorvalve.filters.deadline import DeadlineFilter
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from tests.routebuilders import a_departure, a_routed_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


class DeadlineTest(unittest.TestCase):
    def run_chain(self, pauses_s: list[float], *, sent: bool) -> tuple[int, RequestError | None]:
        """Run a chain that pauses before each part; return the number of parts and the error."""

        async def inner(exchange: Exchange) -> AsyncIterator[Part]:
            exchange.sent_upstream = sent
            for number, pause_s in enumerate(pauses_s):
                await anyio.sleep(pause_s)
                yield Body(b"event") if number else Head(200, ())

        async def run() -> tuple[int, RequestError | None]:
            exchange = a_routed_exchange(deadline_s=time.monotonic() + 0.2)
            filter_ = DeadlineFilter(a_departure())
            count = 0
            try:
                async with aclosing(filter_(exchange, inner)) as parts:
                    async for _ in parts:
                        count += 1
            except RequestError as error:
                return count, error
            return count, None

        return anyio.run(run)

    def test_in_time(self) -> None:
        """Guards against a response that is cancelled before its deadline."""
        self.assertEqual(self.run_chain([0.0, 0.01, 0.01], sent=True), (3, None))

    def test_no_answer(self) -> None:
        """Guards against a request that waits forever, and an error that misreports its run."""
        for sent, run in ((True, Run.UNKNOWN), (False, Run.NO)):
            with self.subTest(sent=sent):
                count, error = self.run_chain([60.0], sent=sent)
                self.assertEqual((count, error.run), (0, run))

    def test_stream_past_deadline(self) -> None:
        """Guards against a stream that continues after its deadline."""
        count, error = self.run_chain([0.0] + [0.05] * 20, sent=True)
        self.assertEqual(error.code, "timed_out")
        self.assertLess(count, 8)

    def test_silent_upstream_at_the_end_of_a_stop(self) -> None:
        """Guards against a request that a stopping router cuts off without an answer because its
        upstream is silent, whether the request came before the signal or after it."""

        async def inner(exchange: Exchange) -> AsyncIterator[Part]:
            exchange.sent_upstream = True
            await anyio.sleep(60.0)
            yield Head(200, ())

        async def run(begins_after_s: float) -> RequestError | None:
            departure = a_departure(duration_s=0.3)
            departure.record_response("drafts", 0.1, time.monotonic())
            filter_ = DeadlineFilter(departure)
            errors: list[RequestError] = []

            async def call() -> None:
                exchange = a_routed_exchange(deadline_s=time.monotonic() + 30.0)
                exchange.kind = "drafts"
                try:
                    async with aclosing(filter_(exchange, inner)) as parts:
                        await anext(parts)
                except RequestError as error:
                    errors.append(error)

            with anyio.fail_after(5.0):
                async with anyio.create_task_group() as tasks:
                    if begins_after_s == 0.0:
                        departure.begin(time.monotonic())
                    tasks.start_soon(call)
                    if begins_after_s > 0.0:
                        await anyio.sleep(begins_after_s)
                        departure.begin(time.monotonic())
                        filter_.begin_departure()
            return errors[0]

        for begins_after_s in (0.0, 0.1):
            with self.subTest(begins_after_s=begins_after_s):
                error = anyio.run(run, begins_after_s)
                self.assertEqual((error.code, error.run), ("timed_out", Run.UNKNOWN))

    def test_running_stream_at_the_end_of_a_stop(self) -> None:
        """Guards against a stream that is logged as late for its caller when it is the stop that
        cuts it off, and so is missing from the log of the stop."""

        async def inner(exchange: Exchange) -> AsyncIterator[Part]:
            yield Head(200, ())
            for _ in range(10):
                yield Body(b"event")
                await anyio.sleep(0.05)

        async def run() -> int:
            departure = a_departure(duration_s=0.2)
            departure.record_response("drafts", 0.1, time.monotonic())
            departure.begin(time.monotonic())
            exchange = a_routed_exchange(deadline_s=time.monotonic() + 30.0)
            exchange.kind = "drafts"
            async with aclosing(DeadlineFilter(departure)(exchange, inner)) as parts:
                return len([part async for part in parts])

        self.assertEqual(anyio.run(run), 11)

    def test_refused_late_in_a_stop(self) -> None:
        """Guards against a request that a stopping router takes though it may be cut off."""
        departure = a_departure(intake_s=2.0)
        departure.begin(time.monotonic() - 2.1)

        async def run() -> None:
            exchange = a_routed_exchange()
            async with aclosing(DeadlineFilter(departure)(exchange, _never)) as parts:
                await anext(parts)

        with self.assertRaises(RequestError) as caught:
            anyio.run(run)
        error = caught.exception
        self.assertEqual((error.code, error.status, error.run), ("leaving", 503, Run.NO))
        self.assertIsNotNone(error.retry_after_s)


async def _never(exchange: Exchange) -> AsyncIterator[Part]:
    raise AssertionError("the request was passed on")
    yield


if __name__ == "__main__":
    unittest.main()
