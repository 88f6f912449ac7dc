"""The at-most-once record: started on a quorum before the first byte goes to an upstream."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
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
from camphorvalve.upstreams.errors import NotSent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.records import Records
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

STORED_BYTES = 256 << 10
"""Largest answer that a record keeps."""
REPLAY_HEADER = ("x-replayed", "true")


class DeduplicateFilter:
    """Runs a request with a record at most once, and gives the stored answer to its key."""

    def __init__(self, records: Records, host_id: str, incarnation: int) -> None:
        """
        Prepare the filter.

        :param records: commits commands
        :param host_id: this router
        :param incarnation: its incarnation
        """
        self._records = records
        self._host_id = host_id
        self._incarnation = incarnation

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Start the record, run the rest of the chain, and settle the record.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the answer, or of the stored one
        :raises RequestError: no quorum, or an earlier run of the key has no known outcome
        """
        start = self._start(exchange)
        if start is None:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    yield part
            return
        outcome = await self._submit_start(start)
        exchange.note(time.monotonic(), f"record start: {type(outcome).__name__.lower()}")
        match outcome:
            case Done():
                async with aclosing(self._run(exchange, start, inner)) as parts:
                    async for part in parts:
                        yield part
            case Finished(status=status, headers=headers, body=body):
                yield Head(status, (*headers, REPLAY_HEADER))
                yield Body(body)
            case Running() | Lost():
                raise RequestError(
                    "outcome_unknown",
                    f"attempt {outcome.attempt} of this key was started and has no known outcome",
                    retry_after_s=1.0 if isinstance(outcome, Running) else None,
                )
            case Conflict(reason=reason):
                raise RequestError("conflict", reason)
            case Invalid(reason):
                raise RequestError("bad_body", reason)

    def _start(self, exchange: Exchange) -> StartRun | None:
        if exchange.record_id is None or exchange.parameters is None:
            return None
        return StartRun(
            record_id=exchange.record_id,
            request_id=exchange.request.request_id,
            attempt=exchange.run_attempt,
            router_id=self._host_id,
            incarnation=self._incarnation,
            idempotent=exchange.parameters.idempotent,
            started_at_s=time.time(),
        )

    async def _submit_start(self, start: StartRun) -> object:
        try:
            return await self._records.submit(start)
        except BaseException:
            # The start may still be committed later; nothing was sent, so it is taken back.
            self._records.submit_later(AbortRun(start.record_id, start.request_id, start.attempt))
            raise

    async def _run(
        self, exchange: Exchange, start: StartRun, inner: Handler
    ) -> AsyncIterator[Part]:
        key = (start.record_id, start.request_id, start.attempt)
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    match part:
                        case Head():
                            exchange.head = exchange.head or part
                        case Body(content):
                            exchange.stored.append(content)
                    yield part
        except NotSent:
            self._records.submit_later(AbortRun(*key))
            raise
        except BaseException:
            if not start.idempotent:
                self._records.submit_later(LoseRun(*key))
            raise
        head = exchange.head or Head(200, ())
        body = b"".join(exchange.stored)
        if len(body) > STORED_BYTES and exchange.claim_attempt is None:
            self._records.submit_later(LoseRun(*key))
            return
        finish = FinishRun(*key, head.status, head.headers, body, time.time())
        self._records.submit_later(finish)


__all__ = ["STORED_BYTES", "DeduplicateFilter"]
