"""Upstreams that respond before they have read the request, on plain sockets of loopback."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RECEIVE_BUFFER_BYTES = 64 << 10
"""Small, so that a long request is not written at once."""
PIECE_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Reset:
    """Resets the connection."""


@dataclass(frozen=True, slots=True)
class Close:
    """Closes the connection, which resets it as the request is unread."""


@dataclass(frozen=True, slots=True)
class HalfClose:
    """Closes the sending side, and reads no more."""


@dataclass(frozen=True, slots=True)
class Keep:
    """Keeps the connection, and reads no more."""


@dataclass(frozen=True, slots=True)
class ReadOn:
    """Reads all that follows."""


@dataclass(frozen=True, slots=True)
class Early:
    """A response that is sent once the first bytes of a request are there."""

    content: bytes
    ending: Reset | Close | HalfClose | Keep | ReadOn
    pause_s: float = 0.0
    """Delay before the ending."""
    more: bytes = b""
    """Sent after the delay."""


@dataclass(slots=True)
class EarlyUpstream:
    """Responds in the same way on each connection."""

    early: Early
    received: list[bytes] = field(default_factory=list)
    """What was read of each connection."""

    async def serve(self, connection: socket.socket) -> None:
        """Serve one connection."""
        loop = asyncio.get_running_loop()
        position = len(self.received)
        self.received.append(b"")
        with contextlib.closing(connection), contextlib.suppress(ConnectionError):
            while b"\r\n\r\n" not in self.received[position]:
                if not (piece := await loop.sock_recv(connection, PIECE_BYTES)):
                    return
                self.received[position] += piece
            await loop.sock_sendall(connection, self.early.content)
            await asyncio.sleep(self.early.pause_s)
            await loop.sock_sendall(connection, self.early.more)
            match self.early.ending:
                case Reset():
                    linger = struct.pack("ii", 1, 0)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                case Close():
                    pass
                case HalfClose():
                    connection.shutdown(socket.SHUT_WR)
                    await asyncio.sleep(60)
                case Keep():
                    await asyncio.sleep(60)
                case ReadOn():
                    while piece := await loop.sock_recv(connection, 16 * PIECE_BYTES):
                        self.received[position] += piece


@asynccontextmanager
async def early_upstream(early: Early) -> AsyncIterator[tuple[str, EarlyUpstream]]:
    """
    Run an upstream on a free port.

    :param early: its response
    :return: its URL, and the upstream
    """
    peer = EarlyUpstream(early)
    tasks: set[asyncio.Task[None]] = set()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

        async def accept() -> None:
            while True:
                connection, _ = await asyncio.get_running_loop().sock_accept(listener)
                tasks.add(asyncio.create_task(peer.serve(connection)))

        tasks.add(asyncio.create_task(accept()))
        try:
            yield f"http://127.0.0.1:{listener.getsockname()[1]}", peer
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


__all__ = ["Close", "Early", "HalfClose", "Keep", "ReadOn", "Reset", "early_upstream"]
