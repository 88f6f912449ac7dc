"""Network backend of httpcore on the loop's own transports.

The backend that comes with httpcore took about twice the time for each token of a stream.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

import anyio
import httpcore

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterable

READ_AHEAD_BYTES = 256 << 10


class LoopBackend(httpcore.AsyncNetworkBackend):
    """Opens plain TCP connections; encrypted ones use httpcore's own backend."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """
        Open a connection.

        :param host: IP number or name
        :param port: TCP port
        :param timeout: seconds until the attempt is given up
        :param local_address: not supported
        :param socket_options: arguments of ``setsockopt``
        :return: the connection
        :raises httpcore.ConnectError: refused or unreachable
        :raises httpcore.ConnectTimeout: no reply in time
        """
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(timeout):
                transport, stream = await loop.create_connection(_Stream, host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(f"no connection within {timeout} s") from error
        except OSError as error:
            raise httpcore.ConnectError(str(error)) from error
        opened = transport.get_extra_info("socket")
        for option in socket_options or ():
            opened.setsockopt(*option)
        return stream

    async def sleep(self, seconds: float) -> None:
        """
        Wait between attempts to connect.

        :param seconds: how long
        """
        await anyio.sleep(seconds)


class _Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection; only one task reads and one writes at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._ended = False
        self._error: Exception | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > READ_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        self._ended = True
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended = True
        self._error = exc
        self._writable.set()
        self._wake()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if not self._received and not self._ended:
            await self._wait_for_data(timeout)
        if self._received:
            data = b"".join(self._received)
            self._received.clear()
            if self._received_bytes > READ_AHEAD_BYTES and self._transport is not None:
                self._transport.resume_reading()
            self._received_bytes = 0
            return data
        if self._error is not None:
            raise httpcore.ReadError(str(self._error))
        return b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if not buffer or self._transport is None:
            return
        if self._transport.is_closing():
            raise httpcore.WriteError("connection closed")
        self._transport.write(buffer)
        if self._writable.is_set():
            return
        try:
            with anyio.fail_after(timeout):
                await self._writable.wait()
        except TimeoutError as error:
            raise httpcore.WriteTimeout(f"not written within {timeout} s") from error

    async def aclose(self) -> None:
        if self._transport is None:
            return
        # An orderly close would go on to write what the caller has given up on.
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        raise NotImplementedError("encrypted connections use httpcore's own backend")

    def get_extra_info(self, info: str) -> Any:
        if info == "is_readable":
            return self._ended or bool(self._received)
        return None if self._transport is None else self._transport.get_extra_info(info)

    async def _wait_for_data(self, timeout: float | None) -> None:
        loop = asyncio.get_running_loop()
        self._reader = loop.create_future()
        timer = None if timeout is None else loop.call_later(timeout, self._time_out, timeout)
        try:
            await self._reader
        finally:
            self._reader = None
            if timer is not None:
                timer.cancel()

    def _time_out(self, timeout: float) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_exception(httpcore.ReadTimeout(f"silent for {timeout} s"))

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)


__all__ = ["LoopBackend"]
