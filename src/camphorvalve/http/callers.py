"""ASGI application of the caller port: requests into the filter chain, its parts back."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio

from camphorvalve.http.asgi import bearer_token, send_json
from camphorvalve.http.decoding import (
    GetAddresses,
    GetDeferred,
    GetHealth,
    RunCall,
    decode_headers,
    decode_request,
    find_route,
)
from camphorvalve.http.sending import AnswerSender, error_headers, send_json_unread
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Receive, Scope, Send


class JsonAnswer(NamedTuple):
    """A whole answer that is no part of the filter chain."""

    status: int
    body: Any


class Lookups(NamedTuple):
    """What the caller port answers without the filter chain."""

    addresses: Callable[[], JsonAnswer]
    deferred: Callable[[str, str], Awaitable[JsonAnswer]]
    """Takes the id of the work and the caller's token; raises ``RequestError``."""
    health: Callable[[], JsonAnswer]


class CallerLimits(NamedTuple):
    """Bounds of the caller port."""

    body_bytes: int = 4 << 20
    """Largest body of any team; the teams' own limits are checked in the chain."""
    held_bytes: int = 24 << 20
    """Bodies of all requests from their first byte to the end of the answer."""
    body_timeout_s: float = 30.0
    """Longest time for a body to arrive."""


class CallerApp:
    """The ASGI application of the caller port."""

    def __init__(
        self,
        handler: Handler,
        lookups: Lookups,
        *,
        host_id: str,
        limits: CallerLimits = CallerLimits(),  # noqa: B008 -- immutable
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Prepare the application.

        :param handler: the filter chain
        :param lookups: what is answered without the chain
        :param host_id: this router, for ``X-Served-By``
        :param limits: bounds on bodies
        :param clock: monotonic time
        """
        self._handler = handler
        self._lookups = lookups
        self._host_id = host_id
        self._limits = limits
        self._clock = clock
        self._held_bytes = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """
        Serve one request.

        :param scope: the request's head
        :param receive: yields its body and the disconnect
        :param send: takes the answer
        """
        headers = decode_headers(scope["headers"])
        request_id = uuid.uuid4().hex
        try:
            route = find_route(scope["method"], _target(scope))
            if isinstance(route, RunCall):
                await self._run_call(scope, route, headers, request_id, receive, send)
                return
            answer = await self._look_up(route, headers)
        except RequestError as error:
            answer = JsonAnswer(error.status, error.body(request_id))
            await self._send(answer, headers, receive, send, error_headers(error, request_id))
        else:
            await self._send(answer, headers, receive, send, ())

    async def _look_up(
        self, route: GetAddresses | GetDeferred | GetHealth, headers: Mapping[str, str]
    ) -> JsonAnswer:
        match route:
            case GetAddresses():
                return self._lookups.addresses()
            case GetDeferred(work_id):
                token = bearer_token(headers.get("authorization", ""))
                return await self._lookups.deferred(work_id, token)
            case GetHealth():
                return self._lookups.health()

    async def _send(
        self,
        answer: JsonAnswer,
        headers: Mapping[str, str],
        receive: Receive,
        send: Send,
        extra: tuple[tuple[str, str], ...],
    ) -> None:
        if "transfer-encoding" in headers or headers.get("content-length", "0") != "0":
            await send_json_unread(receive, send, answer.status, answer.body, extra)
            return
        await send_json(send, answer.status, answer.body, extra)

    async def _run_call(
        self,
        scope: Scope,
        route: RunCall,
        headers: Mapping[str, str],
        request_id: str,
        receive: Receive,
        send: Send,
    ) -> None:
        # HTTP/1.0 ends a body by closing the connection, and an aborted HTTP/2 stream is not reset
        # by the server library, so a short answer would look like a whole one.
        if scope["http_version"] != "1.1":
            raise RequestError("bad_body", "HTTP/1.1 is required")
        request = decode_request(route, headers, request_id)
        body = _Body(self, headers)
        try:
            content = await body.read(receive)
            if content is None:
                return
            exchange = Exchange(request._replace(body=content), self._clock())
            await self._answer(exchange, receive, send)
        finally:
            body.release()

    async def _answer(self, exchange: Exchange, receive: Receive, send: Send) -> None:
        sender = AnswerSender(send, exchange, self._host_id)
        finished = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            await sender.send_parts(self._handler)
            finished = True
            tasks.cancel_scope.cancel()
        # The end is sent outside of the scope: the server reports a disconnect as soon as an answer
        # is complete, and a cancelled send would leave the connection in an undefined state.
        if finished:
            await sender.end()

    def hold(self, size_bytes: int) -> None:
        """
        Count bytes of a body.

        :param size_bytes: bytes to add, negative to release
        :raises RequestError: ``queue_full`` at the bound for all bodies
        """
        if size_bytes > 0 and self._held_bytes + size_bytes > self._limits.held_bytes:
            raise RequestError(
                "queue_full",
                f"the router holds request bodies of {self._held_bytes} bytes, "
                f"its limit is {self._limits.held_bytes}",
                retry_after_s=1.0,
            )
        self._held_bytes += size_bytes

    @property
    def limits(self) -> CallerLimits:
        """:return: bounds on bodies"""
        return self._limits


class _Body:
    """Reads one body within the limits of the caller port."""

    def __init__(self, app: CallerApp, headers: Mapping[str, str]) -> None:
        self._app = app
        self._declared = headers.get("content-length", "")
        self._held_bytes = 0

    async def read(self, receive: Receive) -> bytes | None:
        """
        Read the body.

        :param receive: the ASGI receive function
        :return: the body, ``None`` when the caller left
        :raises RequestError: ``too_large``, ``queue_full``, or ``bad_body`` when it takes too long
        """
        if self._declared.isdigit():
            self._check(int(self._declared))
        timeout_s = self._app.limits.body_timeout_s
        try:
            with anyio.fail_after(timeout_s):
                return await self._read(receive)
        except TimeoutError:
            message = f"the body did not arrive within {timeout_s:g} s"
            raise RequestError("bad_body", message) from None

    async def _read(self, receive: Receive) -> bytes | None:
        chunks: list[bytes] = []
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            chunk = message.get("body", b"")
            self._check(self._held_bytes + len(chunk))
            self._app.hold(len(chunk))
            self._held_bytes += len(chunk)
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)

    def _check(self, size_bytes: int) -> None:
        limit_bytes = self._app.limits.body_bytes
        if size_bytes > limit_bytes:
            raise RequestError("too_large", f"the body is larger than {limit_bytes} bytes")

    def release(self) -> None:
        """Give the held bytes back."""
        self._app.hold(-self._held_bytes)
        self._held_bytes = 0


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def _target(scope: Scope) -> str:
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


__all__ = ["CallerApp", "CallerLimits", "JsonAnswer", "Lookups"]
