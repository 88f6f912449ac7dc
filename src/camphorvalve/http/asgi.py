"""ASGI helpers shared by the HTTP ports."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from typing import Any

import msgspec

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


async def send_json(
    send: Send, status: int, body: Any, headers: Iterable[tuple[str, str]] = ()
) -> None:
    """
    Send a complete JSON response.

    :param send: ASGI send function
    :param status: HTTP status code
    :param body: value to encode as JSON
    :param headers: additional response headers
    """
    content = msgspec.json.encode(body)
    fields = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(content)).encode()),
        *((name.lower().encode(), value.encode()) for name, value in headers),
    ]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": content})


def get_header(scope: Scope, name: str) -> str | None:
    """
    Return the value of a request header.

    :param scope: ASGI scope
    :param name: header name, case-insensitive
    :return: the first value, or ``None`` if the header is absent
    """
    encoded_name = name.lower().encode()
    for key, value in scope["headers"]:
        if key == encoded_name:
            return value.decode("latin-1")
    return None


def has_body(scope: Scope) -> bool:
    """
    Tell whether a request declares a body.

    :param scope: ASGI scope
    :return: whether there is one, which may be empty if it is sent in chunks
    """
    return any(
        key == b"transfer-encoding" or (key == b"content-length" and value != b"0")
        for key, value in scope.get("headers", ())
    )


def bearer_token(authorization: str) -> str:
    """
    Extract the bearer token from the value of an ``Authorization`` header.

    :param authorization: header value, or an empty string if the header is absent
    :return: the token, or an empty string if there is no bearer token
    """
    scheme, _, token = authorization.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def tokens_equal(received: str, expected: str) -> bool:
    """
    Compare tokens in constant time, to prevent timing attacks.

    :param received: token sent by the client
    :param expected: token from the settings
    :return: whether the tokens are equal
    """
    return hmac.compare_digest(received.encode(), expected.encode())


async def run_lifespan(receive: Receive, send: Send) -> None:
    """
    Acknowledge ASGI lifespan events; the applications need no startup or shutdown.

    :param receive: ASGI receive function
    :param send: ASGI send function
    """
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


__all__ = [
    "App",
    "Receive",
    "Scope",
    "Send",
    "bearer_token",
    "get_header",
    "has_body",
    "run_lifespan",
    "send_json",
    "tokens_equal",
]
