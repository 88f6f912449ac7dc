"""The one event loop of a process."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

import anyio
import structlog
import uvloop

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    T = TypeVar("T")

ACCEPT_COUNT = 512
"""Connections that are accepted in one turn of the loop at most; the queue holds no more."""
ACCEPT_PAUSE_S = 0.1
"""Time until the next try after the system refused a descriptor; it has none until some close."""

_log = structlog.get_logger(__name__)


class Guard(Protocol):
    """Decides about the new connections of a port."""

    def admit(
        self, connection: socket.socket, protocol_factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Protocol | None:
        """
        Decide about a connection.

        :param connection: accepted and non-blocking
        :param protocol_factory: makes the protocol that serves a connection
        :return: the protocol that takes the connection, ``None`` if it is closed already
        """


class Acceptor(asyncio.AbstractServer):
    """
    Accepts all waiting connections of a listening socket whenever the loop comes round.

    uvloop accepts one connection a turn, so that the rate followed from how long turns took: a
    router whose turns took 40 ms accepted 25 connections a second, and callers had given up.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listener: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
        guard: Guard | None = None,
    ) -> None:
        """
        Start accepting.

        :param loop: the running loop
        :param listener: listening socket; closed with the acceptor
        :param protocol_factory: makes the protocol of each connection
        :param guard: decides which connections are served; all without one
        """
        self._loop = loop
        self._listener: socket.socket | None = listener
        self._protocol_factory = protocol_factory
        self._guard = guard
        self._opening: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        self.address = listener.getsockname()
        self._watch()

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """:return: the listening socket, none after the close"""
        return () if self._listener is None else (self._listener,)

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """:return: the loop"""
        return self._loop

    def is_serving(self) -> bool:
        """:return: whether connections are accepted"""
        return self._listener is not None

    def close(self) -> None:
        """Accept what waits, then refuse new connections; open ones go on."""
        if self._listener is None:
            return
        self._accept()
        listener, self._listener = self._listener, None
        if self._retry is not None:
            self._retry.cancel()
        else:
            self._loop.remove_reader(listener.fileno())
        listener.close()

    async def wait_closed(self) -> None:
        """Wait until accepted connections have been handed to their protocols."""
        if self._opening:
            await asyncio.wait(self._opening)

    def _watch(self) -> None:
        self._retry = None
        if self._listener is not None:
            self._loop.add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPT_COUNT):
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
            self._hand_over(accepted)

    def _hand_over(self, accepted: socket.socket) -> None:
        if self._guard is None:
            protocol = self._protocol_factory()
        else:
            protocol = self._guard.admit(accepted, self._protocol_factory)
        if protocol is None:
            return
        task = self._loop.create_task(self._open(accepted, protocol))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def _pause(self) -> None:
        if self._retry is None:
            self._loop.remove_reader(self._listener.fileno())
            self._retry = self._loop.call_later(ACCEPT_PAUSE_S, self._watch)

    async def _open(self, accepted: socket.socket, protocol: asyncio.Protocol) -> None:
        # A caller that has left already is no fault of this process.
        with contextlib.suppress(OSError):
            await self._loop.connect_accepted_socket(lambda: protocol, accepted)


class ServingLoop(uvloop.Loop):
    """A loop whose servers accept all waiting connections at once, and can refuse new ones."""

    def __init__(self) -> None:
        """Start without servers."""
        super().__init__()
        self._acceptors: list[Acceptor] = []
        self._guards: dict[Any, Guard] = {}

    def guard(self, address: Any, guard: Guard) -> None:
        """
        Let the connections of a port be decided about before its server sees them.

        :param address: IP number and port, as ``getsockname`` tells them
        :param guard: decides
        """
        self._guards[address] = guard

    async def create_server(
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        *arguments: Any,
        sock: socket.socket | None = None,
        ssl: Any = None,
        **options: Any,
    ) -> asyncio.AbstractServer:
        """
        Create a server; one on a listening socket without TLS accepts by an ``Acceptor``.

        :param protocol_factory: makes the protocol of each connection
        :param arguments: those of asyncio's loop
        :param sock: listening socket
        :param ssl: context of TLS
        :param options: those of asyncio's loop
        :return: the server
        """
        if sock is None or ssl is not None:
            return await super().create_server(
                protocol_factory, *arguments, sock=sock, ssl=ssl, **options
            )
        guard = self._guards.get(sock.getsockname())
        acceptor = Acceptor(self, sock, protocol_factory, guard)
        self._acceptors.append(acceptor)
        return acceptor

    def stop_accepting(self, address: Any) -> None:
        """
        Refuse new connections to an address while open ones are served.

        :param address: IP number and port, as ``getsockname`` tells them
        """
        for acceptor in self._acceptors:
            if acceptor.address == address:
                acceptor.close()


def run(main: Callable[..., Awaitable[T]], *arguments: Any) -> T:
    """
    Run a coroutine function on a new loop until it ends.

    uvloop serves a streamed answer in two thirds of the processor time that asyncio's loop takes.

    :param main: the coroutine function
    :param arguments: its arguments
    :return: what it returns
    """
    return anyio.run(main, *arguments, backend_options={"loop_factory": ServingLoop})


__all__ = ["Acceptor", "Guard", "ServingLoop", "run"]
