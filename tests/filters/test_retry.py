"""Guards against duplicate runs, truncated responses, and errors that misreport a run."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from camphorvalve.filters.retry import MAX_ATTEMPTS_COUNT, RetryFilter
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion, ServiceCall
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.upstreams.errors import (
    Broken,
    FailedAnswer,
    NoAnswer,
    NotSent,
    WrongAnswer,
)
from tests.builders import a_classified_exchange, a_kind, team_parameters
from tests.filters.harness import run_filter

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.upstreams.errors import UpstreamError

PARTS = (Head(200, ()), Body(b"one"), Body(b"two"))


class Script:
    """Scripted attempts: each yields a number of parts, then raises an error or ends."""

    def __init__(self, *attempts: tuple[int, UpstreamError | None]) -> None:
        self.attempts = list(attempts)
        self.runs_count = 0

    def handler(self) -> Handler:
        async def run_attempt(exchange: Exchange) -> AsyncIterator[Part]:
            exchange.upstream_id = f"engine-{self.runs_count}"
            parts_count, error = self.attempts[min(self.runs_count, len(self.attempts) - 1)]
            self.runs_count += 1
            for part in PARTS[:parts_count]:
                yield part
            if error is not None:
                raise error

        return run_attempt


def _exchange(*, idempotent: bool, streamed: bool) -> Exchange:
    kinds = {"draft": a_kind(idempotent=idempotent)}
    call = Completion(True) if streamed else ServiceCall("POST", "/slots")
    return a_classified_exchange(team_parameters(kinds=kinds), call=call)


NOT_SENT = NotSent("engine-0", "refused")
NO_ANSWER = NoAnswer("engine-0", "reset")
WRONG = WrongAnswer("engine-0", "another request's answer")
BROKEN = Broken("engine-0", "reset", 2, "onetwo")
BROKEN_EARLY = Broken("engine-0", "reset")
WHOLE = (3, None)


class RetryTest(unittest.IsolatedAsyncioTestCase):
    async def test_which_failures_are_retried(self) -> None:
        cases = {
            # name: (idempotent, streamed, attempts, runs, code or None)
            "not sent, idempotent": (True, False, [(0, NOT_SENT), WHOLE], 2, None),
            "not sent, non-idempotent": (False, False, [(0, NOT_SENT), WHOLE], 2, None),
            "not sent for ever": (False, False, [(0, NOT_SENT)], MAX_ATTEMPTS_COUNT, "no_upstream"),
            "no answer, idempotent": (True, False, [(0, NO_ANSWER), WHOLE], 2, None),
            "no answer, non-idempotent": (False, False, [(0, NO_ANSWER)], 1, "upstream_failed"),
            "wrong answer, idempotent": (True, False, [(0, WRONG), WHOLE], 2, None),
            "wrong answer, non-idempotent": (False, False, [(0, WRONG)], 1, "upstream_failed"),
            "plain, broken, idempotent": (True, False, [(2, BROKEN_EARLY), WHOLE], 2, None),
            "plain, broken, non-idempotent": (
                False,
                False,
                [(2, BROKEN_EARLY)],
                1,
                "stream_broken",
            ),
            "stream, broken": (True, True, [(2, BROKEN), (3, None)], 2, None),
            "stream, broken before an event": (True, True, [(2, BROKEN_EARLY)], 1, "stream_broken"),
            "stream, broken after its head": (True, True, [(1, BROKEN_EARLY), WHOLE], 2, None),
            "stream, broken after its head, non-idempotent": (
                False,
                True,
                [(1, BROKEN_EARLY)],
                1,
                "stream_broken",
            ),
            "stream, broken, non-idempotent": (False, True, [(2, BROKEN)], 1, "stream_broken"),
        }
        for name, (idempotent, streamed, attempts, runs_count, code) in cases.items():
            with self.subTest(name):
                script = Script(*attempts)
                exchange = _exchange(idempotent=idempotent, streamed=streamed)
                error_code = await self._error_code(exchange, script)
                self.assertEqual(error_code, code)
                self.assertEqual(script.runs_count, runs_count)

    async def test_a_plain_response_is_complete_and_has_one_head(self) -> None:
        script = Script((2, BROKEN_EARLY), WHOLE)
        exchange = _exchange(idempotent=True, streamed=False)
        parts = await run_filter(RetryFilter(RetryBudget()), exchange, script.handler())
        self.assertEqual(parts, list(PARTS))

    async def test_a_continued_stream_has_one_head(self) -> None:
        script = Script((2, BROKEN), WHOLE)
        exchange = _exchange(idempotent=True, streamed=True)
        parts = await run_filter(RetryFilter(RetryBudget()), exchange, script.handler())
        self.assertEqual([type(part) for part in parts].count(Head), 1)
        assert exchange.broken is not None
        self.assertEqual(exchange.broken, (2, "onetwo"))

    async def test_an_error_response_is_not_part_of_a_broken_stream(self) -> None:
        """Guards against a second head and the text of an error in the middle of a stream."""
        failed = FailedAnswer("engine-1", Head(500, ()), b"overloaded")
        exchange = _exchange(idempotent=True, streamed=True)
        filter_ = RetryFilter(RetryBudget(floor_count=lambda: 1))
        parts: list[Part] = []
        with self.assertRaises(RequestError) as caught:
            async for part in filter_(exchange, Script((2, BROKEN), (0, failed)).handler()):
                parts.append(part)
        self.assertEqual(caught.exception.code, "stream_broken")
        self.assertEqual(parts, list(PARTS[:2]))
        exchange = _exchange(idempotent=True, streamed=True)
        parts = await run_filter(filter_, exchange, Script((0, failed)).handler())
        self.assertEqual(parts, [failed.head, Body(b"overloaded")])

    async def test_a_response_that_is_not_streamed_is_repeated_from_the_start(self) -> None:
        """Guards against a continuation whose first events the caller never gets."""
        exchange = _exchange(idempotent=True, streamed=False)
        await run_filter(RetryFilter(RetryBudget()), exchange, Script((2, BROKEN), WHOLE).handler())
        self.assertIsNone(exchange.broken)

    async def test_a_failing_upstream_cannot_multiply_the_load(self) -> None:
        budget, runs_count = RetryBudget(), 0
        for _ in range(200):
            script = Script((0, NO_ANSWER))
            exchange = _exchange(idempotent=True, streamed=False)
            await self._error_code(exchange, script, budget)
            runs_count += script.runs_count
        self.assertLessEqual(runs_count, 200 * 1.1 + 3)

    async def test_failures_without_a_retry_do_not_use_the_budget(self) -> None:
        budget = RetryBudget(ratio=0.0, floor_count=lambda: 1)
        for _ in range(5):
            exchange = _exchange(idempotent=False, streamed=False)
            await self._error_code(exchange, Script((0, NO_ANSWER)), budget)
        script = Script((0, NO_ANSWER), WHOLE)
        error_code = await self._error_code(
            _exchange(idempotent=True, streamed=False), script, budget
        )
        self.assertIsNone(error_code)

    async def test_failed_upstreams_are_excluded(self) -> None:
        exchange = _exchange(idempotent=True, streamed=False)
        await self._error_code(exchange, Script((0, NOT_SENT), (0, NOT_SENT), WHOLE))
        self.assertEqual(exchange.failed_upstreams, {"engine-0", "engine-1"})

    async def _error_code(
        self, exchange: Exchange, script: Script, budget: RetryBudget | None = None
    ) -> str | None:
        try:
            await run_filter(RetryFilter(budget or RetryBudget()), exchange, script.handler())
        except RequestError as error:
            return error.code
        return None
