"""Closes idle connections of hypercorn's server without losing requests that have been received."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import h11
import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed
from hypercorn.protocol.h11 import H11Protocol

if TYPE_CHECKING:
    from hypercorn.events import Event


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


class Connection(TCPServer):
    """
    A connection whose close, once it has been idle for too long, leaves no received request behind.

    Hypercorn closes in a task of its own, some iterations of the event loop after the idle timeout.
    A request that it reads in between is run, and its response has no connection.
    """

    async def protocol_send(self, event: Event) -> None:
        """
        Send bytes, start or stop the idle timeout, or close the connection.

        :param event: what the protocol wants
        """
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
        await super()._read_data()
        # Otherwise a connection that its caller has closed stays open until the idle timeout.
        await self.idle_task.stop()

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
    hypercorn.asyncio.run.TCPServer = Connection


__all__ = ["Connection", "use_connection_class"]
