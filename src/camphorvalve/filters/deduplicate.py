"""Filter for at-most-once runs: a quorum records each start before the first byte is sent."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
import xxhash

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion, ServiceCall, Stage
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

    from camphorvalve.controllers.router.recordclient import RecordClient
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.registry.commands import Outcome

MAX_STORED_BYTES = 256 << 10
"""Maximum size of a response that a record keeps."""
REPLAY_HEADER = ("x-replayed", "true")


class DeduplicateFilter:
    """Runs a non-idempotent request at most once per record, and replays stored responses."""

    def __init__(self, records: RecordClient, host_id: str, incarnation: int) -> None:
        """
        Prepare the filter.

        :param records: submits commands to the controllers
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
        :return: parts of the response, or of the stored one
        :raises RequestError: no quorum, or an earlier run of the key has no known outcome
        """
        start = self._start(exchange)
        if start is None:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    yield part
            return
        stage, exchange.stage = exchange.stage, Stage.RECORDING
        outcome = await self._submit_start(exchange, start)
        exchange.stage = stage
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

    async def store_error(self, work_id: str, attempt: int, error: RequestError) -> None:
        """
        Store an error as the result of accepted work whose team or kind was removed.

        :param work_id: id of the work
        :param attempt: attempt that this router may start
        :param error: returned when the work is fetched
        :raises RequestError: no quorum
        """
        key = (work_id, work_id, attempt)
        now_s = time.time()
        start = StartRun(*key, self._host_id, self._incarnation, True, "", now_s)
        if isinstance(await self._records.submit(start), Done):
            body = msgspec.json.encode(error.body(work_id))
            headers = (("content-type", "application/json"),)
            finish = FinishRun(*key, error.status, headers, body, now_s)
            self._records.submit_in_background(finish)

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
            fingerprint="" if exchange.assigned_attempt is not None else fingerprint(exchange),
            started_at_s=time.time(),
        )

    async def _submit_start(self, exchange: Exchange, start: StartRun) -> Outcome:
        key = (start.record_id, start.request_id, start.attempt)
        try:
            return await self._records.submit(start)
        except BaseException as error:
            # The start may still be committed later; nothing was sent, so it is aborted.
            self._records.submit_in_background(AbortRun(*key))
            if isinstance(error, RequestError) and _may_run_unrecorded(exchange):
                return Done(0, 0)
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
            self._records.submit_in_background(AbortRun(*key))
            raise
        except BaseException:
            # An idempotent run may start again under the same key.
            settle_command = AbortRun if start.idempotent else LoseRun
            self._records.submit_in_background(settle_command(*key))
            raise
        head = exchange.head or Head(200, ())
        body = b"".join(exchange.stored)
        if len(body) > MAX_STORED_BYTES and exchange.assigned_attempt is None:
            self._records.submit_in_background(LoseRun(*key))
            return
        finish = FinishRun(*key, head.status, head.headers, body, time.time())
        self._records.submit_in_background(finish)


def fingerprint(exchange: Exchange) -> str:
    """
    Compute a checksum that is equal for repetitions of a request under one key.

    :param exchange: the request, classified
    :return: checksum of kind, call and body
    """
    digest = xxhash.xxh3_64(exchange.kind.encode())
    match exchange.request.call:
        case ServiceCall(method, path):
            digest.update(f"\n{method} {path}\n".encode())
        case Completion(streamed):
            digest.update(f"\n{streamed}\n".encode())
    digest.update(exchange.request.body)
    return digest.hexdigest()


def _may_run_unrecorded(exchange: Exchange) -> bool:
    """Tell whether a request proceeds without its record while there is no quorum."""
    assert exchange.parameters is not None
    return exchange.parameters.idempotent and exchange.assigned_attempt is None


__all__ = ["MAX_STORED_BYTES", "DeduplicateFilter"]
