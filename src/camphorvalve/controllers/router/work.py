"""Runs accepted work in the background, from callers of this router or assigned by the leader."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio
import msgspec
import structlog

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Call, Completion, Exchange, Request, ServiceCall

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from camphorvalve.controllers.router.following import ConfigurationFollower
    from camphorvalve.filters.chain import Handler
    from camphorvalve.wire.messages import Assignment

    StoreError = Callable[[str, int, RequestError], Awaitable[None]]

RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 30.0
FINAL_CODES = frozenset({"conflict", "outcome_unknown", "unknown_team", "bad_body"})
"""Codes after which another attempt would be refused in the same way."""

_log = structlog.get_logger(__name__)


class _StoredCall(msgspec.Struct, array_like=True):
    """Stored form of both kinds of call; ``streamed`` is null for a service call."""

    streamed: bool | None
    method: str = ""
    path: str = ""


def encode_request(request: Request) -> bytes:
    """
    Encode a request for storage in a record.

    :param request: the request
    :return: the request as MessagePack
    """
    match request.call:
        case Completion(streamed):
            call = _StoredCall(streamed)
        case ServiceCall(method, path):
            call = _StoredCall(None, method, path)
    return msgspec.msgpack.encode((call, request._replace(call=None)))


def decode_request(payload: bytes) -> Request:
    """
    Decode a request that was stored in a record.

    :param payload: bytes from ``encode_request``
    :return: the request
    :raises msgspec.MsgspecError: the bytes are not a stored request
    """
    stored, fields = msgspec.msgpack.decode(payload, type=tuple[_StoredCall, list])
    call: Call
    if stored.streamed is None:
        call = ServiceCall(stored.method, stored.path)
    else:
        call = Completion(stored.streamed)
    return Request(*fields)._replace(call=call)


class WorkController:
    """Owns the accepted work that this router runs."""

    def __init__(self, following: ConfigurationFollower) -> None:
        """
        Start without work.

        :param following: provides the current configuration
        """
        self._following = following
        self._running: dict[str, int] = {}
        self._spawn: Callable[[str, int, bytes], None] | None = None
        self._handler: Handler | None = None
        self._store_error: StoreError | None = None

    def connect(self, tasks: TaskGroup, handler: Handler, store_error: StoreError) -> None:
        """
        Set how work is run.

        :param tasks: task group of the process
        :param handler: the part of the filter chain behind the filter that accepts work
        :param store_error: stores an error as the result of work that can no longer run
        """
        self._handler = handler
        self._store_error = store_error
        self._spawn = lambda *work: tasks.start_soon(self._run, *work)

    def assigned(self, assignment: Assignment) -> None:
        """
        Start work assigned by the leader, unless it runs here already.

        :param assignment: the assigned work
        """
        self.start(assignment.work_id, assignment.attempt, assignment.payload)

    def start(self, work_id: str, attempt: int, payload: bytes) -> None:
        """
        Run accepted work in the background.

        :param work_id: id of the work
        :param attempt: number of the attempt that this router may start
        :param payload: from ``encode_request``
        """
        if self._running.get(work_id, 0) >= attempt or self._spawn is None:
            return
        self._running[work_id] = attempt
        self._spawn(work_id, attempt, payload)

    def running_count(self) -> int:
        """:return: number of pieces of accepted work that wait or run here"""
        return len(self._running)

    async def _run(self, work_id: str, attempt: int, payload: bytes) -> None:
        delay_s = RETRY_DELAY_S
        try:
            next_attempt = attempt
            while (used_count := await self._run_once(work_id, next_attempt, payload)) > 0:
                next_attempt += used_count
                await anyio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        finally:
            if self._running.get(work_id) == attempt:
                del self._running[work_id]

    async def _run_once(self, work_id: str, attempt: int, payload: bytes) -> int:
        """Run the work once; return the number of attempts used, zero if there is no retry."""
        assert self._handler is not None and self._store_error is not None
        exchange = None
        try:
            exchange = self._exchange(work_id, attempt, payload)
            async with aclosing(self._handler(exchange)) as parts:
                async for _ in parts:
                    pass
        except RequestError as error:
            _log.warning("accepted work failed", work=work_id, code=error.code, run=error.run)
            if exchange is None:
                await self._store_error(work_id, attempt, error)
                return 0
            return 0 if error.code in FINAL_CODES else max(1, exchange.attempt)
        except Exception:
            # A failure of one piece of work must not stop the router; another attempt may succeed.
            _log.exception("accepted work failed with an unexpected error", work=work_id)
            return 1 if exchange is None else max(1, exchange.attempt)
        return 0

    def _exchange(self, work_id: str, attempt: int, payload: bytes) -> Exchange:
        request = decode_request(payload)
        team = self._following.configuration.parameters(request.team or "")
        parameters = team.kinds.get(request.kind or "") if team is not None else None
        if team is None or parameters is None:
            raise RequestError("unknown_team", f"team {request.team!r} or its kind was removed")
        exchange = Exchange(request, time.monotonic())
        exchange.team = team
        exchange.kind = request.kind or ""
        exchange.parameters = parameters
        exchange.record_id = work_id
        exchange.assigned_attempt = attempt
        return exchange


__all__ = ["WorkController", "decode_request", "encode_request"]
