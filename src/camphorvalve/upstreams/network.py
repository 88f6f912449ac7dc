"""
Connections of the HTTP client, straight on the loop's transports.

httpcore's own backend takes a cancel scope for each read and a system call for each idle connection
whenever a request starts or ends, which was a third of a streamed answer's processor time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import httpcore

if TYPE_CHECKING:
    from collections.abc import Iterable

READ_AHEAD_BYTES = 64 << 10
"""Bytes that may wait for the reader before the connection stops reading."""


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection, read by one task and written by one."""

    def __init__(self) -> None:
        """Start unconnected; the loop calls ``connection_made``."""
        self._transport: asyncio.Transport
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self._paused = False
        self._ended = False
        self._error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Take the transport.

        :param transport: the loop's side of the connection
        """
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """
        Keep what arrived for the reader.

        :param data: the bytes
        """
        self._pieces.append(data)
        self._size_bytes += len(data)
        if self._size_bytes > READ_AHEAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        _wake(self._reader)

    def eof_received(self) -> bool:
        """
        Note that nothing more comes.

        :return: true, so that a request may still be written
        """
        self._ended = True
        _wake(self._reader)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Note the end of the connection.

        :param exc: why it broke, ``None`` after an orderly end
        """
        self._ended = True
        self._error = exc
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._full = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._full = False
        _wake(self._writer)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """
        Read what has arrived, or wait for it.

        :param max_bytes: longest result
        :param timeout: seconds to wait, ``None`` for ever
        :return: the bytes, none at the end
        :raises httpcore.ReadTimeout: nothing came in time
        :raises httpcore.ReadError: the connection broke
        """
        if not self._pieces and not self._ended:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await _wait(self._reader, timeout, httpcore.ReadTimeout)
            finally:
                self._reader = None
        if not self._pieces:
            if self._error is not None:
                raise httpcore.ReadError(str(self._error)) from self._error
            return b""
        found = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces = [found[max_bytes:]] if len(found) > max_bytes else []
        self._size_bytes = sum(map(len, self._pieces))
        if self._paused and self._size_bytes <= READ_AHEAD_BYTES:
            self._paused = False
            self._transport.resume_reading()
        return found[:max_bytes]

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """
        Write bytes and wait until the connection takes more.

        :param buffer: the bytes
        :param timeout: seconds to wait, ``None`` for ever
        :raises httpcore.WriteTimeout: the peer did not read in time
        :raises httpcore.WriteError: the connection has ended
        """
        if not buffer:
            return
        if self._transport.is_closing():
            raise httpcore.WriteError(str(self._error or "the connection is closed"))
        self._transport.write(buffer)
        if self._full:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await _wait(self._writer, timeout, httpcore.WriteTimeout)
            finally:
                self._writer = None
            if self._error is not None:
                raise httpcore.WriteError(str(self._error)) from self._error

    async def aclose(self) -> None:
        """Close; what was not delivered yet is dropped, since its request was given up."""
        self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """
        Tell httpcore about the connection.

        :param info: ``is_readable`` or a name of asyncio's transports
        :return: the value, ``None`` if it is not known
        """
        if info == "is_readable":
            # An idle connection has nothing to read but its end, or bytes of no request.
            return bool(self._pieces) or self._ended
        return self._transport.get_extra_info(info)


class Backend(httpcore.AsyncNetworkBackend):
    """Opens plain TCP connections."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """
        Connect.

        :param host: IP number or name
        :param port: the port
        :param timeout: seconds to wait, ``None`` for ever
        :param local_address: address to connect from
        :param socket_options: arguments of ``setsockopt``
        :return: the connection
        :raises httpcore.ConnectTimeout: there was no answer in time
        :raises httpcore.ConnectError: the connection was refused or failed
        """
        local = None if local_address is None else (local_address, 0)
        connecting = asyncio.get_running_loop().create_connection(
            Stream, host, port, local_addr=local
        )
        try:
            async with asyncio.timeout(timeout):
                transport, stream = await connecting
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        sock = transport.get_extra_info("socket")
        for option in socket_options or ():
            sock.setsockopt(*option)
        return stream


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


async def _wait(
    waiter: asyncio.Future[None], timeout_s: float | None, late: type[Exception]
) -> None:
    if timeout_s is None:
        await waiter
        return
    timer = asyncio.get_running_loop().call_later(timeout_s, _expire, waiter, late)
    try:
        await waiter
    finally:
        timer.cancel()


def _expire(waiter: asyncio.Future[None], late: type[Exception]) -> None:
    if not waiter.done():
        waiter.set_exception(late())


__all__ = ["Backend", "Stream"]
