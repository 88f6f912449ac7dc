"""Sends answers over ASGI: the parts of the filter chain, JSON bodies and errors."""

from __future__ import annotations

import asyncio
import math
from contextlib import aclosing
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import structlog

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError, Run
from camphorvalve.model.headers import HOP_HEADERS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Receive, Send
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

_log = structlog.get_logger(__name__)

LINGER_S = 1.0
"""How long an unread body is discarded before the connection closes. Closing at once resets the
connection, and the caller may lose the error that was sent to it."""

_NOT_PASSED_ON = HOP_HEADERS | {"date"}


@dataclass(frozen=True, slots=True)
class ProductForm:
    """Answers of the caller port: own headers on all of them, errors inside broken streams."""

    host_id: str


@dataclass(frozen=True, slots=True)
class PassedForm:
    """Answers of upstreams as they came; a broken one closes the connection."""

    request_id_name: str
    """Header that carries the request's id on errors of the router."""
    closes: bool
    """Whether a refusal closes the connection."""


AnswerForm = ProductForm | PassedForm


async def answer(
    handler: Handler, exchange: Exchange, form: AnswerForm, receive: Receive, send: Send
) -> None:
    """
    Run the chain for a request whose body was read, until its end or until the caller leaves.

    :param handler: the filter chain
    :param exchange: the request
    :param form: how answers look
    :param receive: the ASGI receive function
    :param send: the ASGI send function
    """
    sender = AnswerSender(send, exchange, form)
    finished = False
    with anyio.CancelScope() as scope:
        # A bare task: a task group costs a tenth of what a refused request does.
        watcher = asyncio.create_task(_cancel_on_disconnect(receive, scope))
        try:
            await sender.send_parts(handler)
            finished = True
        finally:
            watcher.cancel()
    # The end is sent outside of the scope: the server reports a disconnect as soon as an answer
    # is complete, and a cancelled send would leave the connection in an undefined state.
    if finished:
        await sender.end()


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


class AnswerSender:
    """Sends the answer to one exchange."""

    def __init__(self, send: Send, exchange: Exchange, form: AnswerForm) -> None:
        """
        Prepare the sender.

        :param send: the ASGI send function
        :param exchange: the exchange
        :param form: how answers look
        """
        self._send = send
        self._exchange = exchange
        self._form = form
        self._head: Head | None = None
        self._event_open = False
        self._aborted = False
        self._ended = False

    async def send_parts(self, handler: Handler) -> None:
        """
        Run the chain and send what it yields; errors are sent in the documented form.

        :param handler: the filter chain
        """
        try:
            async with aclosing(handler(self._exchange)) as parts:
                async for part in parts:
                    await self._send_part(part)
            if self._head is None:
                raise RuntimeError("the filter chain ended without an answer")
        except RequestError as error:
            await self._send_error(error)
        except Exception:
            _log.exception("request failed", request_id=self._exchange.request.request_id)
            await self._send_error(RequestError("internal_error", "internal error of the router"))

    async def end(self) -> None:
        """End the answer; an aborted one closes the connection instead."""
        if not self._aborted and not self._ended:
            await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def _send_part(self, part: Part) -> None:
        match part:
            case Head():
                await self._start(part)
            case Body(content):
                await self._body(content)

    async def _start(self, head: Head) -> None:
        self._head = head
        own = self._own_headers()
        passed = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in _NOT_PASSED_ON and name.lower() not in own
        ]
        await self._send(_start_message(head.status, [*passed, *own.items()]))

    def _own_headers(self) -> dict[str, str]:
        exchange = self._exchange
        match self._form:
            case PassedForm():
                return {}
            case ProductForm(host_id):
                own = {"x-request-id": exchange.request.request_id, "x-served-by": host_id}
        if exchange.attempt:
            own["x-attempt"] = str(exchange.attempt)
        if exchange.upstream_id is not None:
            own["x-upstream"] = exchange.upstream_id
        return own

    async def _body(self, content: bytes) -> None:
        if not content:
            return
        self._event_open = not content.endswith((b"\n\n", b"\r\n\r\n"))
        await self._send({"type": "http.response.body", "body": content, "more_body": True})

    async def _send_error(self, error: RequestError) -> None:
        request_id = self._exchange.request.request_id
        content = msgspec.json.encode(error.body(request_id))
        if self._head is None:
            headers = _json_headers(content, self._error_headers(error))
            self._head = Head(error.status, headers)
            await self._send(_start_message(error.status, [*headers, *self._own_headers().items()]))
            self._ended = True
            await self._send({"type": "http.response.body", "body": content})
        elif isinstance(self._form, ProductForm) and _is_event_stream(self._head):
            separator = b"\n\n" if self._event_open else b""
            await self._body(separator + b"event: error\ndata: " + content + b"\n\n")
        else:
            self._aborted = True

    def _error_headers(self, error: RequestError) -> tuple[tuple[str, str], ...]:
        match self._form:
            case ProductForm():
                return error_headers(error, None)
            case PassedForm(request_id_name, closes):
                headers = [(request_id_name, self._exchange.request.request_id)]
                if closes and error.run is Run.NO:
                    # Callers come back on a new connection; the old ones would use up descriptors.
                    headers.append(("connection", "close"))
                if error.retry_after_s is not None:
                    headers.append(("retry-after", f"{error.retry_after_s:.3f}"))
                return tuple(headers)


async def send_json_unread(
    receive: Receive, send: Send, status: int, body: Any, headers: Iterable[tuple[str, str]] = ()
) -> None:
    """
    Send a whole JSON answer to a request whose body was not read, and close the connection.

    :param receive: the ASGI receive function
    :param send: the ASGI send function
    :param status: HTTP status
    :param body: value to encode
    :param headers: further headers
    """
    content = msgspec.json.encode(body)
    closing = (*headers, ("connection", "close"))
    received = anyio.Event()
    async with anyio.create_task_group() as tasks:
        # Discards until the disconnect: the server's queue of body parts is bounded, and the last
        # send would wait for room in it for ever.
        tasks.start_soon(_discard, receive, received)
        await send(_start_message(status, _json_headers(content, closing)))
        await send({"type": "http.response.body", "body": content, "more_body": True})
        with anyio.move_on_after(LINGER_S):
            await received.wait()
        await send({"type": "http.response.body", "body": b"", "more_body": False})
        tasks.cancel_scope.cancel()


async def _discard(receive: Receive, received: anyio.Event) -> None:
    while True:
        message = await receive()
        if not message.get("more_body", False):
            received.set()
        if message["type"] == "http.disconnect":
            return


def error_headers(error: RequestError, request_id: str | None) -> tuple[tuple[str, str], ...]:
    """
    Build the headers of an error answer.

    :param error: the error
    :param request_id: id of the request, ``None`` if the header is set elsewhere
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
    "AnswerForm",
    "AnswerSender",
    "PassedForm",
    "ProductForm",
    "answer",
    "error_headers",
    "send_json_unread",
]
