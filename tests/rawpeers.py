"""Test peers on loopback that send raw bytes: scripted upstreams, and a client for any input."""

from __future__ import annotations

import contextlib
import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream


ECHOED_ID = b"<the id of the request>"


class Script(NamedTuple):
    """Response of a scripted upstream to one request, and what it does with the connection."""

    content: bytes
    """``ECHOED_ID`` in it is replaced by the request's ``X-Request-Id``."""
    ending: str = "keep"
    """``close`` or ``reset`` the connection, ``keep`` it open, ``extra`` to send ``content`` again
    without a request, ``later`` to send ``repeated`` once, ``later then close`` to close the
    connection after that, ``endless`` to send it until the caller closes the connection, or
    ``next`` to send ``content`` again before the response to the next request on it."""
    pause_s: float = 0.0
    """Delay before the ending, so that the content arrives first."""
    early: bool = False
    """Whether to respond before the request body has been read."""
    repeated: bytes = b""
    repeat_pause_s: float = 0.0
    """Delay after each ``repeated``."""


class ScriptedUpstream:
    """Responds to each request with the next script, and records the received requests."""

    def __init__(self, *scripts: Script, cancel_response: bytes = b"") -> None:
        self.received: list[bytes] = []
        self.connections_count = 0
        self.repeated_bytes = 0
        self.closed_by_caller = anyio.Event()
        """Set when the caller has closed the connection of an ``endless`` script."""
        self._scripts = list(scripts)
        self._cancel_response = cancel_response

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections_count += 1
        due = b""
        async with stream:
            while self._scripts:
                request = await _read_request(stream, whole=not self._scripts[0].early)
                if request is None:
                    return
                self.received.append(request)
                is_cancel = b"/cancel?" in request.partition(b"\r\n")[0]
                if self._cancel_response and is_cancel:
                    await stream.send(due + self._cancel_response)
                    due = b""
                    continue
                script = _echoing(self._scripts.pop(0), request)
                await stream.send(due + script.content)
                due = script.content if script.ending == "next" else b""
                await anyio.sleep(script.pause_s)
                match script.ending:
                    case "close":
                        return
                    case "extra":
                        await stream.send(script.content)
                    case "later":
                        with contextlib.suppress(anyio.BrokenResourceError):
                            await stream.send(script.repeated)
                    case "later then close":
                        await stream.send(script.repeated)
                        return
                    case "endless":
                        await self._repeat(stream, script)
                        return
                    case "reset":
                        _reset(stream)
                        return
            await anyio.sleep_forever()

    async def _repeat(self, stream: SocketStream, script: Script) -> None:
        try:
            while True:
                await stream.send(script.repeated)
                self.repeated_bytes += len(script.repeated)
                await anyio.sleep(script.repeat_pause_s)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed_by_caller.set()


@asynccontextmanager
async def upstream(
    *scripts: Script, cancel_response: bytes = b""
) -> AsyncIterator[tuple[str, ScriptedUpstream]]:
    """
    Run a scripted upstream on a free port; yield its URL and the upstream.

    With ``cancel_response``, requests that cancel a run get it and use no script.
    """
    scripted = ScriptedUpstream(*scripts, cancel_response=cancel_response)
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, scripted.handle)
            yield f"http://127.0.0.1:{port}", scripted
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def repeating_upstream(*contents: bytes) -> AsyncIterator[tuple[str, list[bytes]]]:
    """
    Run an upstream that sends the previous response of a connection again before each later one.

    :param contents: responses to the requests of all connections, in order
    :return: its URL, and the requests that it has received
    """
    left, received = list(contents), []

    async def handle(stream: SocketStream) -> None:
        previous = b""
        async with stream:
            while (request := await _read_request(stream, whole=True)) is not None:
                received.append(request)
                content = left.pop(0)
                await stream.send(previous + content)
                previous = content

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            yield f"http://127.0.0.1:{port}", received
            tasks.cancel_scope.cancel()


async def exchange_bytes(port: int, content: bytes, *, wait_s: float = 2.0) -> bytes:
    """Send bytes, and return what is received until the connection closes or ``wait_s`` is over."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(content)
        with anyio.move_on_after(wait_s):
            while True:
                try:
                    received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
    return received


def _echoing(script: Script, request: bytes) -> Script:
    request_id = _header(request, b"x-request-id")
    return script._replace(
        content=script.content.replace(ECHOED_ID, request_id),
        repeated=script.repeated.replace(ECHOED_ID, request_id),
    )


def _header(request: bytes, wanted: bytes) -> bytes:
    for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == wanted:
            return value.strip()
    return b""


def _reset(stream: SocketStream) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def _read_request(stream: SocketStream, *, whole: bool) -> bytes | None:
    received = b""
    while b"\r\n\r\n" not in received:
        try:
            received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return None
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(_header(head, b"content-length") or 0)
    while whole and len(body) < length:
        body += await stream.receive()
    return head + b"\r\n\r\n" + body


__all__ = [
    "ECHOED_ID",
    "Script",
    "ScriptedUpstream",
    "exchange_bytes",
    "repeating_upstream",
    "upstream",
]
