"""Small ASGI helpers that the caller port and the operator ports share."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import msgspec

from camphorvalve.model.errors import RequestError

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class ClientDisconnectedError(Exception):
    """The client closed its connection before its body was complete."""


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """
    Read a whole request body.

    :param receive: ASGI receive
    :param limit_bytes: longest body that is accepted
    :return: the body
    :raises RequestError: ``too_large``; no more than the limit is kept in memory
    :raises ClientDisconnectedError: the client went away
    """
    chunks: list[bytes] = []
    size_bytes = 0
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            raise ClientDisconnectedError
        chunk = event.get("body", b"")
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            raise RequestError("too_large", f"body: longer than the limit of {limit_bytes} bytes")
        chunks.append(chunk)
        if not event.get("more_body", False):
            return b"".join(chunks)


async def send_json(
    send: Send, status: int, body: Any, headers: Iterable[tuple[str, str]] = ()
) -> None:
    """
    Send a whole JSON answer.

    :param send: ASGI send
    :param status: HTTP status
    :param body: JSON value
    :param headers: further headers
    """
    content = msgspec.json.encode(body)
    fields = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
        *((name.lower().encode(), value.encode()) for name, value in headers),
    ]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": content})


def header(scope: Scope, name: str) -> str | None:
    """
    Look up a request header.

    :param scope: ASGI scope
    :param name: header name in any case
    :return: the first value, or ``None``
    """
    wanted = name.lower().encode()
    for key, value in scope["headers"]:
        if key == wanted:
            return value.decode("latin-1")
    return None


def bearer_token(authorization: str) -> str:
    """
    Read the token of an ``Authorization`` header.

    :param authorization: value of the header, empty without one
    :return: the token; empty without a bearer token
    """
    scheme, _, token = authorization.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def tokens_equal(given: str, expected: str) -> bool:
    """
    Compare tokens in a time that does not depend on where they differ.

    :param given: token of the client
    :param expected: token from the settings
    :return: whether they are the same
    """
    return hmac.compare_digest(given.encode(), expected.encode())


async def run_lifespan(receive: Receive, send: Send) -> None:
    """
    Answer the server's lifespan events; the applications have nothing to start or stop.

    :param receive: ASGI receive
    :param send: ASGI send
    """
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


__all__ = [
    "App",
    "ClientDisconnectedError",
    "Receive",
    "Scope",
    "Send",
    "bearer_token",
    "header",
    "read_body",
    "run_lifespan",
    "send_json",
    "tokens_equal",
]
