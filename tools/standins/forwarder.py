"""Forwards TCP connections of one directed pair of processes, with cuts and delay."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from tools.standins.serving import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Callable

BUFFER_BYTES = 1 << 20


class _End(asyncio.Protocol):
    """One end of a forwarded connection."""

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None
        self._delayed: deque[tuple[float, bytes]] = deque()
        self._early: list[bytes] = []
        self._closing = False
        self._stalled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(BUFFER_BYTES)
        self.forwarder.ends.add(self)
        if self.forwarder.cut == "blackhole":
            self.stall()
        for data in self._early:
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.forwarder.ends.discard(self)
        if self.other is not None:
            self.other.close_later()

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            self.other.write_later(data)

    def write_later(self, data: bytes) -> None:
        delay_s = self.forwarder.delay_ms / 1000
        if not delay_s and not self._delayed:
            self._write(data)
            return
        loop = asyncio.get_running_loop()
        self._delayed.append((loop.time() + delay_s, data))
        if len(self._delayed) == 1:
            loop.call_later(delay_s, self._flush)

    def close_later(self) -> None:
        self._closing = True
        if not self._delayed and self.transport is not None:
            self.transport.close()

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None and not self._stalled:
            self.other.transport.resume_reading()

    def stall(self) -> None:
        self._stalled = True
        if self.transport is not None:
            self.transport.pause_reading()

    def unstall(self) -> None:
        if self._stalled and self.transport is not None:
            self.transport.resume_reading()
        self._stalled = False

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _write(self, data: bytes) -> None:
        if self.transport is None:
            self._early.append(data)
        else:
            self.transport.write(data)

    def _flush(self) -> None:
        loop = asyncio.get_running_loop()
        while self._delayed and self._delayed[0][0] <= loop.time():
            self._write(self._delayed.popleft()[1])
        if self._delayed:
            loop.call_at(self._delayed[0][0], self._flush)
        elif self._closing and self.transport is not None:
            self.transport.close()


class Forwarder:
    """One listening port in front of one address."""

    def __init__(self, target_host: str, target_port: int) -> None:
        """
        Prepare a forwarder.

        :param target_host: where connections lead
        :param target_port: port there
        """
        self.target = (target_host, target_port)
        self.cut: str | None = None
        """``refuse``, ``blackhole`` or ``None``."""
        self.delay_ms = 0.0
        self.opened_count = 0
        """Connections accepted so far."""
        self.ends: set[_End] = set()
        self.port = 0
        self._holder: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._connects: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a port that the system chooses."""
        # A bound socket that never listens keeps the port while connections are to be refused.
        self._holder = _shared_socket(0)
        self.port = self._holder.getsockname()[1]
        await self._listen()

    async def set_cut(self, mode: str | None) -> None:
        """
        Cut the pair off, or heal it.

        :param mode: ``refuse`` drops connections and refuses new ones, ``blackhole`` keeps them
            open and passes nothing, ``None`` heals
        """
        self.cut = mode
        if mode == "refuse":
            await self._stop_listening()
            self._each_end(_End.abort)
            return
        if mode == "blackhole":
            self._each_end(_End.stall)
        else:
            self._each_end(_End.unstall)
        await self._listen()

    async def close(self) -> None:
        """Close the port and every connection."""
        await self._stop_listening()
        self._each_end(_End.abort)
        for task in self._connects:
            task.cancel()
        if self._holder is not None:
            self._holder.close()

    def _each_end(self, action: Callable[[_End], None]) -> None:
        for end in list(self.ends):
            action(end)

    async def _listen(self) -> None:
        if self._server is None:
            loop = asyncio.get_running_loop()
            bound = _shared_socket(self.port)
            self._server = await loop.create_server(self._accept, sock=bound, backlog=256)

    async def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _accept(self) -> _End:
        self.opened_count += 1
        near = _End(self)
        far = _End(self)
        near.other = far
        far.other = near
        task = asyncio.get_running_loop().create_task(self._connect(near, far))
        self._connects.add(task)
        task.add_done_callback(self._connects.discard)
        return near

    async def _connect(self, near: _End, far: _End) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: far, *self.target)
        except OSError:
            near.abort()


def _shared_socket(port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((LOOPBACK, port))
    bound.setblocking(False)
    return bound


__all__ = ["Forwarder"]
