"""Helpers that read requests and send responses in plain ASGI."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qsl

import msgspec

if TYPE_CHECKING:
    import anyio

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class HttpRequest(NamedTuple):
    """HTTP request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """
        Decode the body.

        :return: the JSON value; an empty object for an empty body
        :raises msgspec.DecodeError: the body is not JSON
        """
        return msgspec.json.decode(self.body) if self.body else {}


async def read_request(scope: Scope, receive: Receive) -> HttpRequest:
    """
    Read a request with its complete body.

    :param scope: ASGI scope of type ``http``
    :param receive: ASGI receive function
    :return: the request
    :raises ConnectionResetError: the client disconnected before the end of the body
    """
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionResetError("the client disconnected before the end of the request body")
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            break
    headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode()))
    return HttpRequest(scope["method"], scope["path"], query, headers, b"".join(chunks))


def request_names(request: HttpRequest) -> dict[str, str]:
    """
    Return the headers by which a response names its request.

    :param request: the request
    :return: the id and the number of the attempt, as far as the request has them
    """
    names = ("x-request-id", "x-attempt")
    return {name: request.headers[name] for name in names if name in request.headers}


async def send_head(send: Send, status: int, headers: dict[str, str]) -> None:
    """
    Send the status and the headers of a response.

    :param send: ASGI send function
    :param status: HTTP status
    :param headers: header fields
    """
    pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": pairs})


async def send_chunk(send: Send, content: bytes, *, last: bool = False) -> None:
    """
    Send a chunk of the response body.

    :param send: ASGI send function
    :param content: bytes of the chunk
    :param last: whether the chunk is the last one of the body
    """
    await send({"type": "http.response.body", "body": content, "more_body": not last})


async def send_json(
    send: Send, value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> None:
    """
    Send a JSON response.

    :param send: ASGI send function
    :param value: value to encode
    :param status: HTTP status
    :param headers: additional header fields
    """
    content = msgspec.json.encode(value)
    fields = {
        "content-type": "application/json",
        "content-length": str(len(content)),
        **(headers or {}),
    }
    await send_head(send, status, fields)
    await send_chunk(send, content, last=True)


async def cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """
    Cancel a scope when the client closes the connection.

    :param receive: ASGI receive function; the request body must have been read
    :param scope: cancel scope
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


__all__ = [
    "App",
    "HttpRequest",
    "Receive",
    "Scope",
    "Send",
    "read_request",
    "request_names",
    "send_head",
    "send_json",
    "send_chunk",
    "cancel_on_disconnect",
]
