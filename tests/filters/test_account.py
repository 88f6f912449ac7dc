"""Guards against requests whose outcome is not recorded."""

from __future__ import annotations

import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.filters.account import account
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.reports.outcomes import Answered, CallerLeft, Failed
from tests.builders import a_classified_exchange, an_exchange
from tests.filters.harness import error_handler, response_handler, run_filter

if TYPE_CHECKING:
    from camphorvalve.reports.outcomes import Finished


class AccountTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.finished: list[Finished] = []
        self.now_s = 10.0

    def _clock(self) -> float:
        self.now_s += 1.0
        return self.now_s

    async def test_every_outcome_is_recorded_once(self) -> None:
        refused = RequestError("queue_full", "full")
        broken = RequestError("stream_broken", "closed")
        cases = [
            ("answered", response_handler(b"1", b"2"), Answered(200), 1.0, 2.0),
            ("empty body", response_handler(status=204), Answered(204), 1.0, 1.0),
            ("refused", error_handler(refused), Failed("queue_full", Run.NO), None, 1.0),
            (
                "broken",
                response_handler(b"1", error=broken),
                Failed("stream_broken", Run.UNKNOWN),
                1.0,
                2.0,
            ),
            (
                "fault",
                error_handler(ValueError()),
                Failed("internal_error", Run.UNKNOWN),
                None,
                1.0,
            ),
        ]
        for name, handler, outcome, first_byte_s, total_s in cases:
            with self.subTest(name):
                exchange = an_exchange(received_s=self.now_s)
                try:
                    await run_filter(
                        account([self.finished.append], self._clock), exchange, handler
                    )
                except (RequestError, ValueError):
                    self.assertIsInstance(outcome, Failed)
                (record,) = self.finished
                self.finished.clear()
                self.assertEqual(record.outcome, outcome)
                self.assertEqual((record.first_byte_s, record.total_s), (first_byte_s, total_s))

    async def test_a_disconnected_caller_is_recorded(self) -> None:
        exchange = a_classified_exchange(received_s=self.now_s)
        filter_ = account([self.finished.append], self._clock)
        async with aclosing(filter_(exchange, response_handler(b"1"))) as parts:
            await anext(parts)
        self.assertEqual([record.outcome for record in self.finished], [CallerLeft()])
