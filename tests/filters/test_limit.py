"""Guards against unbounded queues and against needlessly displaced requests."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from camphorvalve.filters.limit import limit
from camphorvalve.model.errors import RequestError
from camphorvalve.model.teams import Limits, Urgency
from tests.builders import a_classified_exchange, sheddable_requests, team_parameters
from tests.filters.harness import response_handler, run_filter

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.sharing.shedding import SheddableRequests


class _Queue:
    """Waiting requests of one team; sheds up to ``shed_limit`` of them."""

    def __init__(self, summaries_count: int, shed_limit: int, wait_s: float | None = None) -> None:
        self.summaries_count = summaries_count
        self.shed_limit = shed_limit
        self.wait_s = wait_s
        self.wait_query: tuple[str, str, Urgency] | None = None

    def waiting(self, team: str) -> tuple[int, int]:
        return self.summaries_count, 100 * self.summaries_count

    def total(self) -> tuple[int, int]:
        return self.waiting("")

    def predicted_wait_s(self, pool: str, team: str, urgency: Urgency) -> float | None:
        self.wait_query = (pool, team, urgency)
        return self.wait_s

    def sheddable(self) -> Iterator[SheddableRequests]:
        yield sheddable_requests(
            team="a", kind="summary", urgency=Urgency.DEFERRABLE, count=self.summaries_count
        )

    def shed(self, team: str, kind: str) -> bool:
        if self.shed_limit == 0:
            return False
        self.shed_limit -= 1
        self.summaries_count -= 1
        return True


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def test_limits_and_shedding(self) -> None:
        cases = [
            ("room", _Queue(9, 0), {}, None, 9),
            ("full", _Queue(10, 1), {"kind": "summary"}, "queue_full", 10),
            ("more urgent", _Queue(10, 1), {}, None, 9),
            ("large body displaces several", _Queue(10, 9), {"body": b"x" * 300}, None, 7),
            ("nothing left to displace", _Queue(10, 0), {}, "queue_full", 10),
            ("late", _Queue(0, 0, 2.0), {}, "wait_too_long", 0),
            ("late but deferred", _Queue(0, 0, 2.0), {"deferred": True}, None, 0),
        ]
        team = team_parameters("a", limits=Limits(10, 1000, 500))
        for name, queue, fields, code, left_count in cases:
            with self.subTest(name):
                exchange = a_classified_exchange(team, **{"kind": "chat", "body": b"x", **fields})
                try:
                    await run_filter(limit(queue, 10, 1000), exchange, response_handler())
                except RequestError as error:
                    self.assertEqual((error.code, error.run), (code, "no"))
                    self.assertGreaterEqual(error.retry_after_s, 1.0)
                else:
                    self.assertIsNone(code)
                self.assertEqual(queue.summaries_count, left_count)
                parameters = exchange.parameters
                self.assertEqual(queue.wait_query, (parameters.pool, "a", parameters.urgency))
