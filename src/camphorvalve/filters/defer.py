"""Filter that accepts deferred work, acknowledges it once a quorum has synced it, and starts it."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import msgspec
import xxhash

from camphorvalve.controllers.router.work import encode_request
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Stage
from camphorvalve.registry.commands import (
    AcceptWork,
    Conflict,
    Done,
    Exhausted,
    Finished,
    Lost,
    Running,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.router.recordclient import RecordClient
    from camphorvalve.controllers.router.work import WorkController
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.registry.commands import Outcome

FULL_RETRY_S = 30.0


class DeferFilter:
    """Submits deferred work to the controllers, and passes other requests to the next filter."""

    def __init__(
        self, records: RecordClient, work: WorkController, host_id: str, incarnation: int
    ) -> None:
        """
        Prepare the filter.

        :param records: submits commands to the controllers
        :param work: runs accepted work
        :param host_id: this router
        :param incarnation: its incarnation
        """
        self._records = records
        self._work = work
        self._host_id = host_id
        self._incarnation = incarnation

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Accept deferred work, or pass the request on.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: no quorum, or the work could not be accepted
        """
        exchange.record_id = record_id(exchange)
        if not exchange.request.deferred:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    yield part
            return
        accept = self._accept(exchange)
        exchange.stage = Stage.RECORDING
        match await self._submit(accept):
            case Done() | Running() | Finished() | Lost():
                pass
            case Exhausted():
                message = "the store of accepted work is full; nothing was accepted"
                raise RequestError("queue_full", message, retry_after_s=FULL_RETRY_S)
            case Conflict(reason=reason):
                raise RequestError("conflict", reason)
            case outcome:
                raise RequestError("bad_body", f"the work was not accepted: {outcome}")
        exchange.note(time.monotonic(), f"accepted as {accept.work_id}")
        location = f"/v1/deferred/{accept.work_id}"
        yield Head(202, (("content-type", "application/json"), ("location", location)))
        yield Body(msgspec.json.encode({"id": accept.work_id, "state": "waiting"}))

    async def _submit(self, accept: AcceptWork) -> Outcome:
        def start(outcome: Outcome) -> None:
            if isinstance(outcome, Done):
                self._work.start(accept.work_id, 1, accept.payload)

        try:
            return await self._records.submit_and_keep_resending(accept, start)
        except RequestError as error:
            # The command may still be committed later, and another router would then run the work.
            message = (
                "the controllers did not answer in time; resend with the same Idempotency-Key, "
                f"or check GET /v1/deferred/{accept.work_id}"
            )
            raise RequestError("outcome_unknown", message, retry_after_s=2.0) from error

    def _accept(self, exchange: Exchange) -> AcceptWork:
        assert exchange.team is not None and exchange.parameters is not None
        # The same key and content lead to the same bytes, so that a repetition is recognised.
        request = exchange.request._replace(
            request_id=work_id(exchange),
            token="",
            team=exchange.team.name,
            kind=exchange.kind,
            pool=exchange.parameters.pool,
        )
        return AcceptWork(
            work_id=work_id(exchange),
            team=exchange.team.name,
            kind=exchange.kind,
            idempotent=exchange.parameters.idempotent,
            router_id=self._host_id,
            incarnation=self._incarnation,
            payload=encode_request(request),
            accepted_at_s=time.time(),
        )


def record_id(exchange: Exchange) -> str | None:
    """
    Return the id of a request's at-most-once record.

    :param exchange: the request, its team known
    :return: team and key, or ``None`` without an idempotency key
    """
    if exchange.request.idempotency_key is None or exchange.team is None:
        return None
    return f"{exchange.team.name}/{exchange.request.idempotency_key}"


def work_id(exchange: Exchange) -> str:
    """
    Return the id of accepted work; the same team and key get the same id.

    :param exchange: the request, its team known
    :return: the id, which ends with the team that may fetch the work
    """
    assert exchange.team is not None
    key_record_id = record_id(exchange)
    unique_part = exchange.request.request_id
    if key_record_id is not None:
        unique_part = xxhash.xxh3_128_hexdigest(key_record_id.encode())
    return f"{unique_part}.{exchange.team.name}"


def team_of_work(work_id: str) -> str:
    """
    Read the team from the id of accepted work.

    :param work_id: id from ``work_id``
    :return: name of the team, empty for another id
    """
    return work_id.partition(".")[2]


__all__ = ["DeferFilter", "record_id", "team_of_work", "work_id"]
