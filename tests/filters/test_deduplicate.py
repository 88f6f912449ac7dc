"""Guards against a second run under one key and against wrong rejections."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from camphorvalve.filters.deduplicate import MAX_STORED_BYTES, DeduplicateFilter
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.registry.commands import (
    AbortRun,
    Conflict,
    Done,
    Finished,
    FinishRun,
    Invalid,
    LoseRun,
    Lost,
    Running,
    StartRun,
)
from camphorvalve.upstreams.errors import Broken, NoAnswer, NotSent
from tests.builders import a_classified_exchange, a_kind, team_parameters
from tests.filters.harness import error_handler, response_handler, run_filter

if TYPE_CHECKING:
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.requests import Exchange
    from camphorvalve.registry.commands import Command, Outcome

DONE = Done(1, 1)


class FakeRecordClient:
    """Returns one outcome for each start, and keeps all submitted commands."""

    def __init__(self, outcome: Outcome | Exception) -> None:
        self.outcome = outcome
        self.submitted: list[Command] = []

    async def submit(self, command: Command) -> Outcome:
        self.submitted.append(command)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome

    def submit_in_background(self, command: Command) -> None:
        self.submitted.append(command)


def _exchange(*, idempotent: bool = False, record_id: str | None = "team/key") -> Exchange:
    kinds = {"draft": a_kind(idempotent=idempotent)}
    exchange = a_classified_exchange(team_parameters(kinds=kinds), idempotency_key="key")
    exchange.record_id = record_id
    exchange.attempt = 1
    return exchange


class DeduplicateTest(unittest.IsolatedAsyncioTestCase):
    async def _run(
        self, outcome: Outcome | Exception, inner: Handler, exchange: Exchange | None = None
    ) -> tuple[object, list[type]]:
        records = FakeRecordClient(outcome)
        filter_ = DeduplicateFilter(records, "router-1", 1)
        try:
            result: object = await run_filter(filter_, exchange or _exchange(), inner)
        except (RequestError, NotSent, NoAnswer, Broken) as error:
            result = error
        return result, [type(command) for command in records.submitted]

    async def test_settlement_of_a_started_run(self) -> None:
        cases = {
            "answered": (response_handler(b"x"), FinishRun),
            "not sent": (error_handler(NotSent("e", "refused")), AbortRun),
            "no answer": (error_handler(NoAnswer("e", "reset")), LoseRun),
            "broken": (response_handler(b"x", error=Broken("e", "reset")), LoseRun),
            "too long to store": (response_handler(b"x" * (MAX_STORED_BYTES + 1)), LoseRun),
        }
        for name, (inner, settled) in cases.items():
            with self.subTest(name):
                _, submitted = await self._run(DONE, inner)
                self.assertEqual(submitted, [StartRun, settled])

    async def test_a_key_that_was_started_is_not_run_again(self) -> None:
        cases = {
            "running": (Running("router-2", 1, 1), Run.UNKNOWN),
            "lost": (Lost(1), Run.UNKNOWN),
            "conflict": (Conflict(1, "claimed"), Run.NO),
            "invalid": (Invalid("bad"), Run.NO),
            "no quorum": (RequestError("no_quorum", "none"), Run.NO),
        }
        for name, (outcome, expected) in cases.items():
            with self.subTest(name):
                error, _ = await self._run(outcome, error_handler(AssertionError("was run")))
                self.assertIsInstance(error, RequestError)
                self.assertEqual(error.run, expected)

    async def test_a_finished_key_gets_the_stored_answer(self) -> None:
        stored = Finished("request-0", 1, 201, (("x-a", "b"),), b"stored")
        parts, _ = await self._run(stored, error_handler(AssertionError("was run")))
        self.assertEqual(
            parts, [Head(201, (("x-a", "b"), ("x-replayed", "true"))), Body(b"stored")]
        )

    async def test_a_start_without_quorum_is_aborted(self) -> None:
        _, submitted = await self._run(RequestError("no_quorum", "none"), response_handler(b"x"))
        self.assertEqual(submitted, [StartRun, AbortRun])

    async def test_requests_without_a_record_are_passed_on(self) -> None:
        parts, submitted = await self._run(DONE, response_handler(b"x"), _exchange(record_id=None))
        self.assertEqual(submitted, [])
        self.assertEqual(parts[-1], Body(b"x"))

    async def test_an_idempotent_run_that_failed_may_start_again(self) -> None:
        failed = error_handler(NoAnswer("e", "reset"))
        _, submitted = await self._run(DONE, failed, _exchange(idempotent=True))
        self.assertEqual(submitted, [StartRun, AbortRun])

    async def test_idempotent_requests_proceed_without_quorum(self) -> None:
        no_quorum = RequestError("no_quorum", "none")
        parts, _ = await self._run(no_quorum, response_handler(b"x"), _exchange(idempotent=True))
        self.assertEqual(parts[-1], Body(b"x"))
