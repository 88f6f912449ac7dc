"""Closes idle connections of hypercorn's server without losing requests that have been received."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import h11
import hypercorn.asyncio.run
import structlog
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol

from camphorvalve.http.pieces import PieceConnection
from camphorvalve.sharing.chunking import SmallChunkPlaces
from camphorvalve.sharing.memory import PROGRESS_BYTES
from camphorvalve.sharing.openconnections import ConnectionState

if TYPE_CHECKING:
    from hypercorn.events import Event

READ_BYTES = 16 << 10
"""Most bytes that are parsed at a time."""
BUFFER_BYTES = 4 << 10
"""A connection that has buffered more than twice as many is not read; the last read may bring what
the kernel holds for it."""
SLICE_BYTES = 4 << 10
"""Bytes that are parsed in a turn of the loop while they hold many small chunks, each of which
takes as long as a large one."""
END_OF_CHUNKS = b"\r\n\r\n"

_log = structlog.get_logger(__name__)


class _EndedConnection:
    """
    Stands in for the ``h11.Connection`` of a connection that has been closed.

    It discards what is received. An ``h11.Connection`` whose response was broken off would let the
    task that reads wait for the end of that response for ever.
    """

    our_state = their_state = h11.ERROR
    they_are_waiting_for_100_continue = False
    trailing_data = (b"", False)

    def receive_data(self, data: bytes) -> None:
        """Discard bytes."""

    def next_event(self) -> type[h11.NEED_DATA]:
        """:return: always that more data is needed"""
        return h11.NEED_DATA

    def send(self, event: h11.Event) -> bytes:
        """:raises h11.LocalProtocolError: always; hypercorn ignores it in this state"""
        raise h11.LocalProtocolError("the connection has been closed")


class PortConfig(Config):
    """Hypercorn configuration of a port, with what its connections share."""

    def __init__(self) -> None:
        """Start without connections."""
        super().__init__()
        self.small_chunk_places = SmallChunkPlaces()
        self.open_connections: set[Connection] = set()


class Connection(TCPServer):
    """
    A connection whose close, once it has been idle for too long, leaves no received request behind.

    Hypercorn closes in a task of its own, some iterations of the event loop after the idle timeout.
    A request that it reads in between is run, and its response has no connection.
    """

    _pieces: PieceConnection | None = None
    _moved_s = 0.0
    _unmarked_bytes = 0

    async def run(self) -> None:
        """Serve the connection until it ends."""
        self._moved_s = self.loop.time()
        self.config.open_connections.add(self)
        try:
            await super().run()
        finally:
            self.config.open_connections.discard(self)
            self.config.small_chunk_places.leave(self)

    # Hypercorn has an attribute named ``state``.
    def standing(self) -> ConnectionState | None:
        """:return: what decides whether it may be closed, ``None`` while a request runs on it"""
        connection = self._pieces
        if connection is None or self.writer.transport.is_closing():
            return None
        match connection.their_state:
            case h11.IDLE:
                return ConnectionState(bool(connection.trailing_data[0]), self._moved_s)
            case h11.SEND_BODY:
                return ConnectionState(True, self._moved_s)
        return None

    def abort(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()

    async def protocol_send(self, event: Event) -> None:
        """
        Send bytes, start or stop the idle timeout, or close the connection.

        :param event: what the protocol wants
        """
        if isinstance(event, Updated):
            self._moved_s = self.loop.time()
        if isinstance(event, Closed):
            if self._start_next_request():
                await self.idle_task.restart(self._task_group, self._idle_timeout)
                return
            self._discard_requests()
        await super().protocol_send(event)

    def _start_next_request(self) -> bool:
        """
        Let the protocol read the next request, if the last response kept the connection.

        In a stop, hypercorn closes after each response, also if its head has told the caller that
        the connection is kept. The next request may have been received already, by the protocol or
        by the stream that it reads; if it was not, the idle timeout closes.

        :return: whether the last response kept the connection
        """
        match self.protocol.protocol:
            case H11Protocol(connection=h11.Connection() as connection):
                if connection.our_state is connection.their_state is h11.DONE:
                    connection.start_next_cycle()
                    return True
        return False

    def _discard_requests(self) -> None:
        match self.protocol.protocol:
            case H11Protocol(connection=h11.Connection()) as protocol:
                protocol.connection = _EndedConnection()

    async def _read_data(self) -> None:
        # Hypercorn has no setting for either. Unread bytes stay with the sender.
        self.reader._limit = BUFFER_BYTES
        pieces = self._pieces = self._use_pieces()
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(READ_BYTES)
            except OSError:
                break
            self._record_progress(len(data))
            if not await self._parse(data, pieces):
                break
        self.config.small_chunk_places.leave(self)
        await self.protocol.handle(Closed())
        # Otherwise a connection that its caller has closed stays open until the idle timeout.
        await self.idle_task.stop()

    def _record_progress(self, size_bytes: int) -> None:
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes >= PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self._moved_s = self.loop.time()

    def _use_pieces(self) -> PieceConnection:
        limit_bytes = self.config.h11_max_incomplete_size
        pieces = PieceConnection(h11.SERVER, max_incomplete_event_size=limit_bytes)
        match self.protocol.protocol:
            case H11Protocol() as protocol:
                protocol.connection = pieces
        return pieces

    async def _parse(self, data: bytes, pieces: PieceConnection) -> bool:
        """
        Parse received bytes; small chunks in slices, between which the loop gets a turn.

        :return: whether the connection is still of use
        """
        position = 0
        while position < len(data):
            is_slow = pieces.has_small_chunks
            size_bytes = SLICE_BYTES if is_slow else len(data)
            await self.protocol.handle(RawData(data[position : position + size_bytes]))
            position += size_bytes
            if not is_slow:
                continue
            places = self.config.small_chunk_places
            if pieces.their_state is not h11.SEND_BODY:
                # The body has ended, and the place serves others.
                places.leave(self)
            elif not places.may_go_on(self, pieces.chunks_count, pieces.chunks_bytes):
                _log.warning("connection with small chunks closed", cut_off=places.cut_off_count)
                # Without the rest of the request, which would have to be parsed to its end.
                self.writer.transport.abort()
                return False
            await asyncio.sleep(0)
            if self.writer.transport.is_closing() or self._is_cut_off(data[position:]):
                return False
        return True

    def _is_cut_off(self, unparsed: bytes) -> bool:
        """Tell whether the caller has left before the end of its chunks."""
        rest = unparsed + bytes(self.reader._buffer) if self.reader._eof else b""
        return bool(rest) and not rest.endswith(END_OF_CHUNKS)

    async def _idle_timeout(self) -> None:
        await self._wait_until_expired()
        transport = self.writer.transport
        if transport.is_closing():
            return
        transport.pause_reading()
        try:
            # The task that reads handles what has been received, and cancels this one if that is a
            # request.
            await asyncio.sleep(0)
        except asyncio.CancelledError:
            transport.resume_reading()
            raise
        self.writer.close()

    async def _wait_until_expired(self) -> None:
        """Wait for the idle timeout in force, which may change meanwhile, or for the stop."""
        began_s = self.loop.time()
        while (left_s := began_s + self.config.keep_alive_timeout - self.loop.time()) > 0:
            with contextlib.suppress(TimeoutError):
                # Unlike asyncio.wait_for, it does not swallow a cancellation after the event.
                async with asyncio.timeout(left_s):
                    await self.context.terminated.wait()
                return


def use_connection_class() -> None:
    """Make hypercorn's servers use ``Connection``; hypercorn has no setting for it."""
    hypercorn.asyncio.run.TCPServer = _create_connection


def _create_connection(
    app: Any, loop: asyncio.AbstractEventLoop, config: Config, *arguments: Any
) -> TCPServer:
    # Other servers in the same process, such as those of tests, have a configuration of hypercorn.
    connection_class = Connection if isinstance(config, PortConfig) else TCPServer
    return connection_class(app, loop, config, *arguments)


__all__ = ["Connection", "PortConfig", "use_connection_class"]
