"""The single event loop of a process; its servers accept all waiting connections at once."""

from __future__ import annotations

import asyncio
import contextlib
import weakref
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import anyio
import structlog
import uvloop

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    T = TypeVar("T")

ACCEPT_BATCH_COUNT = 512
"""Maximum number of connections accepted per loop iteration; the accept queue holds no more."""
ACCEPT_PAUSE_S = 0.1
"""Delay after an error before accepting continues. The usual cause is a lack of file descriptors,
which lasts until some connections are closed."""

_log = structlog.get_logger(__name__)


class Guard(Protocol):
    """Decides which new connections of a port are served."""

    def admit(
        self, connection: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Protocol | None:
        """
        Decide whether a connection is served.

        :param connection: the accepted, non-blocking socket
        :param protocol_factory: creates the protocol that serves a connection
        :return: the protocol for the connection, ``None`` if the guard has closed it
        """


class ConnectionLimit(Protocol):
    """Bounds the connections of a port."""

    limit_count: int
    """Most connections that are open at the same time."""

    def make_room(self) -> bool:
        """
        Close an open connection for a new one.

        :return: whether one is being closed
        """


class Acceptor(asyncio.AbstractServer):
    """
    Accepts all waiting connections of a listening socket in each iteration of the loop.

    uvloop accepts one connection per iteration, which ties the accept rate to the duration of an
    iteration: a router whose iterations took 40 ms accepted 25 connections a second, and callers
    had given up before their connection was accepted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
        guard: Guard | None = None,
        limit: ConnectionLimit | None = None,
    ) -> None:
        """
        Start accepting.

        :param loop: the running loop
        :param listener: listening socket; closed with the acceptor
        :param protocol_factory: creates the protocol of each connection
        :param guard: decides which connections are served; without one, all are
        :param limit: bounds the open connections; without one, there is no bound
        """
        self._limit = limit
        self._loop = loop
        self._listener: socket.socket | None = listener
        self._protocol_factory = protocol_factory
        self._guard = guard
        self._connecting: set[asyncio.Task[None]] = set()
        self._transports: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        self._open: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        """Those that were not closing at the last count; closed ones stay until collected."""
        self._retry: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        self.address = listener.getsockname()
        self._start_watching()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """:return: the listening socket; empty once closed"""
        return () if self._listener is None else (self._listener,)

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """:return: the event loop"""
        return self._loop

    def is_serving(self) -> bool:
        """:return: whether connections are accepted"""
        return self._listener is not None

    def close(self) -> None:
        """Accept the waiting connections, then refuse new ones; open connections go on."""
        if self._listener is None:
            return
        # Those that wait are answered, also where the port is full.
        self._limit = None
        self._accept()
        listener, self._listener = self._listener, None
        if self._retry is not None:
            self._retry.cancel()
        else:
            self._loop.remove_reader(listener.fileno())
        listener.close()

    def abort_connections(self) -> None:
        """Close the open connections at once, without sending what is buffered."""
        for transport in list(self._transports):
            transport.abort()

    async def wait_closed(self) -> None:
        """Wait until every accepted connection is attached to its protocol."""
        if self._connecting:
            await asyncio.wait(self._connecting)

    def _start_watching(self) -> None:
        self._retry = None
        if self._listener is not None:
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for number in range(ACCEPT_BATCH_COUNT):
            if self._limit is not None and self._is_full(self._limit.limit_count):
                if number:
                    # The loop calls again if another connection is waiting.
                    return
                if not self._limit.make_room():
                    # New connections wait in the accept queue.
                    self._pause()
                    return
            try:
                accepted, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                _log.warning("connections not accepted", reason=str(error), pause_s=ACCEPT_PAUSE_S)
                self._pause()
                return
            accepted.setblocking(False)
            self._start_connection(accepted)

    def _is_full(self, limit_count: int) -> bool:
        if len(self._open) + len(self._connecting) < limit_count:
            return False
        self._open -= {transport for transport in self._open if transport.is_closing()}
        return len(self._open) + len(self._connecting) >= limit_count

    def _start_connection(self, accepted: socket.socket) -> None:
        if self._guard is None:
            protocol = self._protocol_factory()
        else:
            protocol = self._guard.admit(accepted, self._protocol_factory)
        if protocol is None:
            return
        task = self._loop.create_task(self._connect_transport(accepted, protocol))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def _pause(self) -> None:
        if self._retry is None:
            self._loop.remove_reader(self._listener.fileno())
            self._retry = self._loop.call_later(ACCEPT_PAUSE_S, self._start_watching)

    async def _connect_transport(self, accepted: socket.socket, protocol: asyncio.Protocol) -> None:
        # A caller that has disconnected already is not an error of this process.
        with contextlib.suppress(OSError):
            transport, _ = await self._loop.connect_accepted_socket(lambda: protocol, accepted)
            self._transports.add(transport)
            self._open.add(transport)


class ServingLoop(uvloop.Loop):
    """Event loop whose servers accept all waiting connections at once and can refuse new ones."""

    def __init__(self) -> None:
        """Create a loop without servers."""
        super().__init__()
        self._acceptors: list[Acceptor] = []
        self._guards: dict[Any, Guard] = {}
        self._limits: dict[Any, ConnectionLimit] = {}

    def guard(self, address: Any, guard: Guard) -> None:
        """
        Set the guard of a port, which decides on its connections before the server gets them.

        :param address: IP address and port, as returned by ``getsockname``
        :param guard: the guard
        """
        self._guards[address] = guard

    def limit(self, address: Any, limit: ConnectionLimit) -> None:
        """
        Bound the connections of a port, before it is served.

        :param address: IP address and port, as returned by ``getsockname``
        :param limit: the bound
        """
        self._limits[address] = limit

    async def create_server(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        *arguments: Any,
        sock: socket.socket | None = None,
        ssl: Any = None,
        **options: Any,
    ) -> asyncio.AbstractServer:
        """
        Create a server; with a listening socket and without TLS, an ``Acceptor`` serves it.

        :param protocol_factory: creates the protocol of each connection
        :param arguments: passed on to uvloop
        :param sock: listening socket
        :param ssl: TLS context
        :param options: passed on to uvloop
        :return: the server
        """
        if sock is None or ssl is not None:
            return await super().create_server(
                protocol_factory, *arguments, sock=sock, ssl=ssl, **options
            )
        guard = self._guards.get(sock.getsockname())
        limit = self._limits.get(sock.getsockname())
        acceptor = Acceptor(self, sock, protocol_factory, guard, limit)
        self._acceptors.append(acceptor)
        return acceptor

    def stop_accepting(self, address: Any) -> None:
        """
        Refuse new connections to an address; open connections are still served.

        :param address: IP address and port, as returned by ``getsockname``
        """
        for acceptor in self._acceptors:
            if acceptor.address == address:
                acceptor.close()

    def abort_connections(self, address: Any) -> None:
        """
        Close the open connections of an address at once, without sending what is buffered.

        :param address: IP address and port, as returned by ``getsockname``
        """
        for acceptor in self._acceptors:
            if acceptor.address == address:
                acceptor.abort_connections()


def run(main: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """
    Run a coroutine function on a new event loop until it returns.

    uvloop serves a streamed answer in two thirds of the processor time that asyncio's own loop
    takes.

    :param main: the coroutine function
    :param arguments: its arguments
    :return: its return value
    """
    return anyio.run(main, *arguments, backend_options={"loop_factory": ServingLoop})


__all__ = ["Acceptor", "ConnectionLimit", "Guard", "ServingLoop", "run"]
