"""Closes idle connections of hypercorn's server without losing requests that have been received."""

from __future__ import annotations

import asyncio
import contextlib

import hypercorn.asyncio.run
from hypercorn.asyncio.tcp_server import TCPServer


class Connection(TCPServer):
    """
    A connection whose close, once it has been idle for too long, leaves no received request behind.

    Hypercorn closes in a task of its own, some iterations of the event loop after the idle timeout.
    A request that it reads in between is run, and its response has no connection.
    """

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
