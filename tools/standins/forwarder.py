"""TCP forwarder for one directed pair of processes, which can cut and delay connections."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING, cast

from tools.standins.serving import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Callable

BUFFER_BYTES = 1 << 20


class _Endpoint(asyncio.Protocol):
    """One endpoint of a forwarded connection; writes what its peer endpoint receives."""

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.transport: asyncio.Transport | None = None
        self.peer: _Endpoint | None = None
        self._delayed_writes: deque[tuple[float, bytes]] = deque()
        self._writes_before_connect: list[bytes] = []
        self._closing = False
        self._blocked = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self.transport.set_write_buffer_limits(BUFFER_BYTES)
        self.forwarder.endpoints.add(self)
        if self.forwarder.cut == "blackhole":
            self.block()
        for data in self._writes_before_connect:
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.forwarder.endpoints.discard(self)
        if self.peer is not None:
            self.peer.close_after_writes()

    def data_received(self, data: bytes) -> None:
        if self.peer is not None:
            self.peer.write_delayed(data)

    def write_delayed(self, data: bytes) -> None:
        delay_s = self.forwarder.delay_ms / 1000
        if not delay_s and not self._delayed_writes:
            self._write(data)
            return
        loop = asyncio.get_running_loop()
        self._delayed_writes.append((loop.time() + delay_s, data))
        if len(self._delayed_writes) == 1:
            loop.call_later(delay_s, self._write_due)

    def close_after_writes(self) -> None:
        self._closing = True
        if not self._delayed_writes and self.transport is not None:
            self.transport.close()

    def pause_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.peer is not None and self.peer.transport is not None and not self._blocked:
            self.peer.transport.resume_reading()

    def block(self) -> None:
        self._blocked = True
        if self.transport is not None:
            self.transport.pause_reading()

    def unblock(self) -> None:
        if self._blocked and self.transport is not None:
            self.transport.resume_reading()
        self._blocked = False

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _write(self, data: bytes) -> None:
        if self.transport is None:
            self._writes_before_connect.append(data)
        else:
            self.transport.write(data)

    def _write_due(self) -> None:
        loop = asyncio.get_running_loop()
        while self._delayed_writes and self._delayed_writes[0][0] <= loop.time():
            self._write(self._delayed_writes.popleft()[1])
        if self._delayed_writes:
            loop.call_at(self._delayed_writes[0][0], self._write_due)
        elif self._closing and self.transport is not None:
            self.transport.close()


class Forwarder:
    """Listening port whose connections are forwarded to one address."""

    def __init__(self, target_host: str, target_port: int) -> None:
        """
        Create a forwarder that does not listen yet.

        :param target_host: address that connections are forwarded to
        :param target_port: port at that address
        """
        self.target = (target_host, target_port)
        self.cut: str | None = None
        """``refuse``, ``blackhole`` or ``None``."""
        self.delay_ms = 0.0
        self.opened_count = 0
        """Number of connections accepted so far."""
        self.endpoints: set[_Endpoint] = set()
        self.port = 0
        self._reserving_socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._connect_tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a port that the system chooses."""
        # A bound socket that never listens reserves the port while connections are refused.
        self._reserving_socket = _bind_shared_port(0)
        self.port = self._reserving_socket.getsockname()[1]
        await self._listen()

    async def set_cut(self, mode: str | None) -> None:
        """
        Cut the link, or restore it.

        :param mode: ``refuse`` aborts connections and refuses new ones, ``blackhole`` keeps them
            open and forwards nothing, ``None`` restores the link
        """
        self.cut = mode
        if mode == "refuse":
            await self._stop_listening()
            self._for_each_endpoint(_Endpoint.abort)
            return
        if mode == "blackhole":
            self._for_each_endpoint(_Endpoint.block)
        else:
            self._for_each_endpoint(_Endpoint.unblock)
        await self._listen()

    async def close(self) -> None:
        """Close the port and all connections."""
        await self._stop_listening()
        self._for_each_endpoint(_Endpoint.abort)
        for task in self._connect_tasks:
            task.cancel()
        if self._reserving_socket is not None:
            self._reserving_socket.close()

    def _for_each_endpoint(self, action: Callable[[_Endpoint], None]) -> None:
        for endpoint in list(self.endpoints):
            action(endpoint)

    async def _listen(self) -> None:
        if self._server is None:
            loop = asyncio.get_running_loop()
            sock = _bind_shared_port(self.port)
            self._server = await loop.create_server(self._accept, sock=sock, backlog=256)

    async def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _accept(self) -> _Endpoint:
        self.opened_count += 1
        inbound = _Endpoint(self)
        outbound = _Endpoint(self)
        inbound.peer = outbound
        outbound.peer = inbound
        task = asyncio.get_running_loop().create_task(self._connect(inbound, outbound))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return inbound

    async def _connect(self, inbound: _Endpoint, outbound: _Endpoint) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: outbound, *self.target)
        except OSError:
            inbound.abort()


def _bind_shared_port(port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, port))
    sock.setblocking(False)
    return sock


__all__ = ["Forwarder"]
