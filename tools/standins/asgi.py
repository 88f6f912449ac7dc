"""Reading requests and sending responses in plain ASGI."""

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


class HttpCall(NamedTuple):
    """One HTTP request with its whole body."""

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


async def read_call(scope: Scope, receive: Receive) -> HttpCall:
    """
    Read a request.

    :param scope: ASGI scope of type ``http``
    :param receive: ASGI receive function
    :return: the request
    :raises ConnectionResetError: the client went away before the end of the body
    """
    pieces: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ConnectionResetError("request without the end of its body")
        pieces.append(message.get("body", b""))
        if not message.get("more_body", False):
            break
    headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
    query = dict(parse_qsl(scope["query_string"].decode()))
    return HttpCall(scope["method"], scope["path"], query, headers, b"".join(pieces))


async def send_head(send: Send, status: int, headers: dict[str, str]) -> None:
    """
    Send status and headers.

    :param send: ASGI send function
    :param status: HTTP status
    :param headers: header fields
    """
    pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": pairs})


async def send_part(send: Send, content: bytes, *, last: bool = False) -> None:
    """
    Send a piece of the body.

    :param send: ASGI send function
    :param content: the bytes
    :param last: whether the body ends here
    """
    await send({"type": "http.response.body", "body": content, "more_body": not last})


async def send_json(
    send: Send, value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> None:
    """
    Send a JSON response.

    :param send: ASGI send function
    :param value: what to encode
    :param status: HTTP status
    :param headers: further header fields
    """
    content = msgspec.json.encode(value)
    fields = {
        "content-type": "application/json",
        "content-length": str(len(content)),
        **(headers or {}),
    }
    await send_head(send, status, fields)
    await send_part(send, content, last=True)


async def until_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    """
    Wait for the client to close the connection, then cancel.

    :param receive: ASGI receive function; the body must have been read
    :param scope: what to cancel
    """
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


__all__ = [
    "App",
    "HttpCall",
    "Receive",
    "Scope",
    "Send",
    "read_call",
    "send_head",
    "send_json",
    "send_part",
    "until_disconnect",
]
