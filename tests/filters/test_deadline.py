"""Guards against responses past their deadline, and errors that misreport whether a run began."""

from __future__ import annotations

import time
import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from camphorvalve.filters.deadline import deadline
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from tests.routebuilders import a_routed_exchange

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
            count = 0
            try:
                async with aclosing(deadline(exchange, inner)) as parts:
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


if __name__ == "__main__":
    unittest.main()
