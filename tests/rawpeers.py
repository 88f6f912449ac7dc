"""Peers that speak raw bytes on loopback: scripted upstreams, and callers that send anything."""

from __future__ import annotations

import socket
import struct
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream


class Script(NamedTuple):
    """What a scripted upstream sends on one connection."""

    content: bytes
    ending: str = "keep"
    """``close``, ``reset``, ``keep`` to leave the connection open, ``extra`` to send another answer
    that nobody asked for, or ``endless`` to send ``repeated`` until the caller closes."""
    pause_s: float = 0.0
    """Before the ending, so that the bytes arrive first."""
    early: bool = False
    """Whether to answer before the body was read."""
    repeated: bytes = b""
    repeat_pause_s: float = 0.0


class ScriptedUpstream:
    """Answers connection after connection from its scripts and keeps what it received."""

    def __init__(self, *scripts: Script) -> None:
        self.received: list[bytes] = []
        self.connections_count = 0
        self.repeated_bytes = 0
        self.left = anyio.Event()
        """Set when a caller has closed a connection on which bytes come without end."""
        self._scripts = list(scripts)

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections_count += 1
        async with stream:
            while self._scripts:
                request = await _read_request(stream, whole=not self._scripts[0].early)
                if request is None:
                    return
                self.received.append(request)
                script = self._scripts.pop(0)
                await stream.send(script.content)
                await anyio.sleep(script.pause_s)
                match script.ending:
                    case "close":
                        return
                    case "extra":
                        await stream.send(script.content)
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
            self.left.set()


@asynccontextmanager
async def upstream(*scripts: Script) -> AsyncIterator[tuple[str, ScriptedUpstream]]:
    """Run a scripted upstream; yields its URL."""
    scripted = ScriptedUpstream(*scripts)
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, scripted.handle)
            yield f"http://127.0.0.1:{port}", scripted
            tasks.cancel_scope.cancel()


async def exchange_bytes(port: int, content: bytes, *, wait_s: float = 2.0) -> bytes:
    """Send bytes, and return what comes back until the connection ends or falls silent."""
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


def _reset(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def _read_request(stream: SocketStream, *, whole: bool) -> bytes | None:
    received = b""
    while b"\r\n\r\n" not in received:
        try:
            received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return None
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while whole and len(body) < length:
        body += await stream.receive()
    return head + b"\r\n\r\n" + body


__all__ = ["Script", "ScriptedUpstream", "exchange_bytes", "upstream"]
