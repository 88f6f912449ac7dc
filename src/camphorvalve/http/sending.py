"""Sends responses over ASGI: the output of the filter chain, JSON bodies and errors."""

from __future__ import annotations

import asyncio
import math
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import structlog

from camphorvalve.http.asgi import has_body
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.model.headers import HOP_HEADERS
from camphorvalve.model.requests import Completion

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, MutableMapping

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import App, Receive, Scope, Send
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

_log = structlog.get_logger(__name__)

LINGERING_CLOSE_S = 1.0
"""Silence after which the connection is closed while a part of the request body is unread. Until
then the body is received and discarded: an immediate close would reset the connection, and the
caller may lose the error response."""
MAX_LINGERING_S = 10.0
"""Longest time for which a body is discarded."""
MAX_DISCARDED_BYTES = 8 << 20
"""Most bytes that are discarded: twice the largest body that is accepted."""

_DROPPED_HEADERS = HOP_HEADERS | {"date"}


@dataclass(frozen=True, slots=True)
class CallerPortFormat:
    """
    Response format of the caller port.

    The router adds its own headers to all responses. An error after the start of a completion that
    is streamed is sent as an ``error`` event; that of a service, whose events the router doesn't
    know, breaks the response off.
    """

    host_id: str


@dataclass(frozen=True, slots=True)
class PassThroughFormat:
    """Passes upstream responses on without adding headers; a broken one closes the connection."""

    request_id_header: str
    """Name of the header with the request id on error responses of the router."""
    close_connection: bool
    """Whether an error response to a request that was not run closes the connection."""


ResponseFormat = CallerPortFormat | PassThroughFormat


async def respond(
    handler: Handler,
    exchange: Exchange,
    response_format: ResponseFormat,
    receive: Receive,
    send: Send,
) -> None:
    """
    Run the filter chain for a request and send the response; stop if the caller disconnects.

    :param handler: the filter chain
    :param exchange: the exchange of a request whose body has been read
    :param response_format: format of the response
    :param receive: ASGI receive function
    :param send: ASGI send function
    """
    sender = ResponseSender(send, exchange, response_format)
    finished = False
    with anyio.CancelScope() as scope:
        # A plain task: a task group would cost a tenth as much as a whole refused request.
        watcher = asyncio.create_task(_cancel_on_disconnect(receive, scope))
        try:
            await sender.send_parts(handler)
            finished = True
        finally:
            watcher.cancel()
    # The end is sent outside of the cancel scope: the server reports a disconnect as soon as the
    # response is complete, and a cancelled send would leave the connection in an undefined state.
    if finished:
        await sender.end()


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


class ResponseSender:
    """Sends the response to one request."""

    def __init__(self, send: Send, exchange: Exchange, response_format: ResponseFormat) -> None:
        """
        Create a sender.

        :param send: ASGI send function
        :param exchange: the exchange of the request
        :param response_format: format of the response
        """
        self._send = send
        self._exchange = exchange
        self._format = response_format
        self._head: Head | None = None
        self._event_incomplete = False
        self._aborted = False
        self._ended = False

    async def send_parts(self, handler: Handler) -> None:
        """
        Run the filter chain and send the parts that it yields; an error becomes an error response.

        :param handler: the filter chain
        """
        try:
            async with aclosing(handler(self._exchange)) as parts:
                async for part in parts:
                    await self._send_part(part)
            if self._head is None:
                raise RuntimeError("the filter chain ended without a response")
        except RequestError as error:
            await self._send_error(error)
        except Exception:
            _log.exception("request failed", request_id=self._exchange.request.request_id)
            await self._send_error(RequestError("internal_error", "internal error of the router"))

    async def end(self) -> None:
        """
        Send the end of the response, unless the response has ended already.

        An aborted response stays incomplete, which makes the server close the connection.
        """
        if not self._aborted and not self._ended:
            await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _send_part(self, part: Part) -> None:
        match part:
            case Head():
                await self._send_head(part)
            case Body(content):
                await self._send_body(content)

    async def _send_head(self, head: Head) -> None:
        self._head = head
        router_headers = self._router_headers()
        upstream_headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in _DROPPED_HEADERS and name.lower() not in router_headers
        ]
        await self._send(_start_message(head.status, [*upstream_headers, *router_headers.items()]))

    def _router_headers(self) -> dict[str, str]:
        exchange = self._exchange
        match self._format:
            case PassThroughFormat():
                return {}
            case CallerPortFormat(host_id):
                headers = {"x-request-id": exchange.request.request_id, "x-served-by": host_id}
        if exchange.attempt:
            headers["x-attempt"] = str(exchange.attempt)
        if exchange.upstream_id is not None:
            headers["x-upstream"] = exchange.upstream_id
        return headers

    async def _send_body(self, content: bytes) -> None:
        if not content:
            return
        self._event_incomplete = not content.endswith((b"\n\n", b"\r\n\r\n"))
        await self._send({"type": "http.response.body", "body": content, "more_body": True})

    async def _send_error(self, error: RequestError) -> None:
        request_id = self._exchange.request.request_id
        content = msgspec.json.encode(error.body(request_id))
        if self._head is None:
            headers = _json_headers(content, self._error_headers(error))
            self._head = Head(error.status, headers)
            await self._send(
                _start_message(error.status, [*headers, *self._router_headers().items()])
            )
            self._ended = True
            await self._send({"type": "http.response.body", "body": content})
        elif self._may_have_error_events() and _is_event_stream(self._head):
            separator = b"\n\n" if self._event_incomplete else b""
            await self._send_body(separator + b"event: error\ndata: " + content + b"\n\n")
        else:
            self._aborted = True

    def _may_have_error_events(self) -> bool:
        is_completion = isinstance(self._exchange.request.call, Completion)
        return is_completion and isinstance(self._format, CallerPortFormat)

    def _error_headers(self, error: RequestError) -> tuple[tuple[str, str], ...]:
        match self._format:
            case CallerPortFormat():
                return error_headers(error, None)
            case PassThroughFormat(request_id_header, close_connection):
                headers = [(request_id_header, self._exchange.request.request_id)]
                if close_connection and error.run is Run.NO:
                    # Callers retry on a new connection; the old ones would use up file descriptors.
                    headers.append(("connection", "close"))
                if error.retry_after_s is not None:
                    headers.append(("retry-after", f"{error.retry_after_s:.3f}"))
                return tuple(headers)


async def send_json_and_close(
    receive: Receive, send: Send, status: int, body: Any, headers: Iterable[tuple[str, str]] = ()
) -> None:
    """
    Send a complete JSON response to a request whose body is unread, and close the connection.

    :param receive: ASGI receive function
    :param send: ASGI send function
    :param status: HTTP status code
    :param body: value to encode as JSON
    :param headers: additional response headers
    """
    content = msgspec.json.encode(body)
    headers_with_close = (*headers, ("connection", "close"))
    async with _discarding_body(receive, send):
        await send(_start_message(status, _json_headers(content, headers_with_close)))
        await send({"type": "http.response.body", "body": content, "more_body": True})


def ignore_bodies(app: App) -> App:
    """
    Wrap an application that reads no request bodies, so that one costs no memory.

    :param app: the application
    :return: an application that closes the connection after the response to a request with a body
    """

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        if not has_body(scope):
            await app(scope, receive, send)
            return

        async def send_part(message: MutableMapping[str, Any]) -> None:
            match message["type"]:
                case "http.response.start":
                    headers = [*message.get("headers", ()), (b"connection", b"close")]
                    await send({**message, "headers": headers})
                case _:
                    await send({**message, "more_body": True})

        async with _discarding_body(receive, send):
            await app(scope, receive, send_part)

    return wrapped


@asynccontextmanager
async def _discarding_body(receive: Receive, send: Send) -> AsyncIterator[None]:
    """Discard a body while a response is sent and for a while after it, then end the response."""
    discarded = anyio.Event()
    async with anyio.create_task_group() as tasks:
        # Discards until the disconnect: the server's queue of body parts is bounded, and if it
        # stayed full, the last send would block forever.
        tasks.start_soon(_discard_body, receive, discarded)
        yield
        with anyio.move_on_after(MAX_LINGERING_S):
            await discarded.wait()
        await send({"type": "http.response.body", "body": b"", "more_body": False})
        tasks.cancel_scope.cancel()


async def _discard_body(receive: Receive, discarded: anyio.Event) -> None:
    """Receive until the disconnect; the event is set when the connection should be closed."""
    size_bytes = 0
    while True:
        message: dict[str, Any] = {}
        with anyio.move_on_after(None if discarded.is_set() else LINGERING_CLOSE_S):
            message = await receive()
        size_bytes += len(message.get("body", b""))
        if size_bytes > MAX_DISCARDED_BYTES or not message.get("more_body", False):
            discarded.set()
        if message.get("type") == "http.disconnect":
            return


def error_headers(error: RequestError, request_id: str | None) -> tuple[tuple[str, str], ...]:
    """
    Build the headers of an error response.

    :param error: the error
    :param request_id: id of the request, or ``None`` to leave out the header with the id
    :return: names and values
    """
    headers: list[tuple[str, str]] = []
    if request_id is not None:
        headers.append(("x-request-id", request_id))
    if error.retry_after_s is not None:
        headers.append(("retry-after", str(math.ceil(error.retry_after_s))))
    return tuple(headers)


def _json_headers(
    content: bytes, headers: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    return (
        ("content-type", "application/json"),
        ("content-length", str(len(content))),
        *headers,
    )


def _start_message(status: int, headers: Iterable[tuple[str, str]]) -> dict[str, Any]:
    encoded = [(name.lower().encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    return {"type": "http.response.start", "status": status, "headers": encoded}


def _is_event_stream(head: Head) -> bool:
    return any(
        name.lower() == "content-type" and value.lower().startswith("text/event-stream")
        for name, value in head.headers
    )


__all__ = [
    "CallerPortFormat",
    "PassThroughFormat",
    "ResponseFormat",
    "ResponseSender",
    "error_headers",
    "ignore_bodies",
    "respond",
    "send_json_and_close",
]
