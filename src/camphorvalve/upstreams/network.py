"""
Network backend for httpcore, built directly on asyncio transports.

httpcore's own backend enters a cancel scope for each read, and makes a system call for each idle
connection whenever a request starts or ends. Together these took a third of the processor time of a
streamed response.
"""

from __future__ import annotations

import asyncio
import sys
import termios
import time
from fcntl import ioctl
from typing import TYPE_CHECKING, Any

import httpcore
import httpx
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ABORTED_HERE = "the connection was aborted here"
"""Text of the error that a waiting reader gets from ``Stream.abort``."""
READ_AHEAD_BYTES = 64 << 10
"""Bytes buffered for the reader before the connection pauses reading."""
COLLECTED_BYTES = 16 << 10
"""Buffered bytes that are not kept waiting for more."""
MAX_HEAD_BYTES = 32 << 10
"""Longest head of a response, together with the informational responses before it, which httpcore
reads without an end."""
HEAD_READ_BYTES = 8 << 10
"""Most bytes that one read returns before the body, so that parsing does not hold the loop."""


_INT_BYTES = 4
SHORT_REQUEST_BYTES = 64 << 10
"""Length up to which a request fits into the buffers of its connection."""
RECHECK_S = 0.05
"""Time after which a silent connection that was not given up, or one whose peer is still reading
the request, is considered again."""
_END_TEXTS = ("Server disconnected", "peer closed connection")
"""First words of the texts of httpcore and h11 for a connection that ends inside a response."""

_log = structlog.get_logger(__name__)


class SilenceTimeout(float):
    """
    Seconds after which it is asked whether a silent connection is given up.

    A connection is silent while no byte of the response arrives and the peer accepts none of the
    request: one that reads a long request slowly is not.

    httpcore passes timeouts on to the network backend unchanged; other backends take this one for
    an ordinary number.
    """

    latest_s: float
    """Monotonic time at which it is given up in any case."""
    gives_up: Callable[[], bool]

    def __new__(
        cls, timeout_s: float, latest_s: float, gives_up: Callable[[], bool]
    ) -> SilenceTimeout:
        """
        Create a timeout.

        :param timeout_s: time without a byte in either direction
        :param latest_s: monotonic time at which the wait ends in any case
        :param gives_up: asked after ``timeout_s``, and at intervals from then on, whether it ends
        """
        timeout = super().__new__(cls, timeout_s)
        timeout.latest_s = latest_s
        timeout.gives_up = gives_up
        return timeout


class Stream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """One connection, with at most one reading and one writing task."""

    def __init__(self) -> None:
        """Start unconnected; the event loop calls ``connection_made``."""
        self._transport: asyncio.Transport
        self.connected_s = 0.0
        """Monotonic time at which the connection was established."""
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._reading_paused = False
        self._eof = False
        self._error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._collecting_waiter: asyncio.Future[None] | None = None
        self._writing_paused = False
        self.waits_count = 0
        """Reads that had to wait for bytes."""
        self.collecting_s: Callable[[], float] | None = None
        """Returns the time for which bytes are collected before the next read of this response."""
        self._head_left_bytes: int | None = None
        """Bytes that the head of the response may still take, ``None`` outside of it."""
        self.request_bytes = 0
        """Written bytes of the current request."""
        self._on_idle_bytes: Callable[[], None] | None = None
        """Called when bytes arrive, ``None`` while a request is under way."""
        self._on_idle_end: Callable[[], None] | None = None
        """Called when the peer closes or resets the connection, ``None`` while a request is under
        way."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Store the transport.

        :param transport: the transport of this connection
        """
        self._transport = transport  # type: ignore[assignment]
        self.connected_s = time.monotonic()

    def data_received(self, data: bytes) -> None:
        """
        Buffer received data, and pause reading when the buffer is full.

        :param data: the received bytes
        """
        self._report_idle_bytes()
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)
        if self._is_collected():
            _wake(self._collecting_waiter)

    def eof_received(self) -> bool:
        """
        Record that the peer has closed its side.

        :return: true, so that the connection stays open for writing
        """
        self._eof = True
        self._report_idle_end()
        _wake(self._read_waiter)
        _wake(self._collecting_waiter)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Record that the connection has ended.

        :param exc: why it failed, ``None`` after an orderly close
        """
        self._eof = True
        self._error = self._error or exc
        self._report_idle_end()
        _wake(self._read_waiter)
        _wake(self._collecting_waiter)
        _wake(self._write_waiter)

    def pause_writing(self) -> None:
        """Make ``write`` wait: the transport's buffer is full."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Resume a waiting ``write``."""
        self._writing_paused = False
        _wake(self._write_waiter)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """
        Return buffered data, or wait for some.

        :param max_bytes: most bytes to return
        :param timeout: seconds to wait, ``None`` for no limit
        :return: the bytes, empty at the end of the connection
        :raises httpcore.ReadTimeout: nothing arrived in time
        :raises httpcore.ReadError: the connection failed
        :raises httpcore.RemoteProtocolError: the head of the response is too long
        """
        if self._head_left_bytes is not None:
            max_bytes = min(max_bytes, HEAD_READ_BYTES)
            if self._head_left_bytes < MAX_HEAD_BYTES:
                # Bytes that have already arrived would be read without a turn of the loop.
                await asyncio.sleep(0)
        if self.collecting_s is not None and not self._is_collected():
            await self._collect(self.collecting_s())
        content = await self._read(max_bytes, timeout)
        if self._head_left_bytes is not None:
            self._head_left_bytes -= len(content)
            if self._head_left_bytes < 0:
                raise httpcore.RemoteProtocolError(
                    f"the head of the response is longer than {MAX_HEAD_BYTES} bytes"
                )
        return content

    def start_body(self) -> None:
        """End the limits on the head of the response, which has been received."""
        self._head_left_bytes = None

    def start_idle(
        self, on_bytes: Callable[[], None], on_end: Callable[[], None] | None = None
    ) -> None:
        """
        Report bytes that are there or arrive before the next request, and an end by the peer.

        :param on_bytes: called once if there are any
        :param on_end: called once if the peer closes or resets the connection
        """
        self._on_idle_end = on_end
        self._on_idle_bytes = on_bytes
        if self._chunks:
            self._report_idle_bytes()

    def _report_idle_bytes(self) -> None:
        if self._on_idle_bytes is not None:
            on_bytes, self._on_idle_bytes = self._on_idle_bytes, None
            on_bytes()

    def _report_idle_end(self) -> None:
        if self._on_idle_end is not None:
            on_end, self._on_idle_end = self._on_idle_end, None
            on_end()

    def _is_collected(self) -> bool:
        return self._eof or self._buffered_bytes >= COLLECTED_BYTES

    async def _collect(self, wait_s: float) -> None:
        """Wait for bytes until the connection ends, enough have arrived or the time is over."""
        if wait_s <= 0:
            return
        self.waits_count += 1
        loop = asyncio.get_running_loop()
        self._collecting_waiter = waiter = loop.create_future()
        timer = loop.call_later(wait_s, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._collecting_waiter = None

    async def _read(self, max_bytes: int, timeout: float | None) -> bytes:
        if not self._chunks and not self._eof:
            self.waits_count += 1
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._wait(self._read_waiter, timeout, httpcore.ReadTimeout)
            finally:
                self._read_waiter = None
        if not self._chunks:
            if self._error is not None:
                raise httpcore.ReadError(str(self._error)) from self._error
            return b""
        buffered = self._chunks[0] if len(self._chunks) == 1 else b"".join(self._chunks)
        self._chunks = [buffered[max_bytes:]] if len(buffered) > max_bytes else []
        self._buffered_bytes = sum(map(len, self._chunks))
        if self._reading_paused and self._buffered_bytes <= READ_AHEAD_BYTES:
            self._reading_paused = False
            self._transport.resume_reading()
        return buffered[:max_bytes]

    async def _wait(
        self, waiter: asyncio.Future[None], timeout_s: float | None, error_type: type[Exception]
    ) -> None:
        match timeout_s:
            case None:
                await waiter
                return
            case SilenceTimeout():
                # Nothing is written any more once the body of the response has begun.
                stream = None if self._head_left_bytes is None else self
                silence = _Silence(waiter, timeout_s, error_type, stream)
                silence.start()
                cancel = silence.cancel
            case _:
                loop = asyncio.get_running_loop()
                cancel = loop.call_later(timeout_s, _expire, waiter, error_type).cancel
        try:
            await waiter
        finally:
            cancel()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """
        Write bytes, and wait until the transport accepts more.

        :param buffer: the bytes
        :param timeout: seconds to wait, ``None`` for no limit
        :raises httpcore.WriteTimeout: the peer did not accept the data in time
        :raises httpcore.WriteError: the connection has ended
        """
        if not buffer:
            return
        if self._transport.is_closing():
            raise httpcore.WriteError(str(self._error or "the connection is closed"))
        self._on_idle_bytes = self._on_idle_end = self.collecting_s = None
        if self._head_left_bytes is None:
            self.request_bytes = 0
        self.request_bytes += len(buffer)
        self._head_left_bytes = MAX_HEAD_BYTES
        self._transport.write(buffer)
        if self._writing_paused:
            self._write_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._wait(self._write_waiter, timeout, httpcore.WriteTimeout)
            finally:
                self._write_waiter = None
            if self._error is not None:
                raise httpcore.WriteError(str(self._error)) from self._error

    def unaccepted_bytes(self) -> int:
        """:return: written bytes that the peer's machine has not acknowledged, 0 if unknown"""
        if self._transport.is_closing():
            return 0
        sock = self._transport.get_extra_info("socket")
        try:
            queued = ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT_BYTES))
        except (OSError, ValueError) as error:
            # Raised into the event loop, it would leave the connection without a timeout.
            _log.warning("send queue of a connection not read", reason=str(error))
            return 0
        queued_bytes = int.from_bytes(queued, sys.byteorder)
        return self._transport.get_write_buffer_size() + queued_bytes

    def abort(self) -> None:
        """Close at once; a waiting reader gets an error, never the regular end of a response."""
        self._on_idle_end = None
        self._error = self._error or ConnectionAbortedError(ABORTED_HERE)
        self._transport.abort()

    async def aclose(self) -> None:
        """Close at once and discard unsent data, which belongs to an abandoned request."""
        self.abort()

    def get_extra_info(self, info: str) -> Any:
        """
        Return information on the connection.

        :param info: ``is_readable`` or a key of asyncio's ``get_extra_info``
        :return: the value, ``None`` for an unknown key
        """
        if info == "is_readable":
            # httpcore asks this of idle connections, and drops one with EOF or unsolicited bytes.
            return bool(self._chunks) or self._eof or self._transport.is_closing()
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
        Open a connection.

        :param host: IP address or name
        :param port: the port
        :param timeout: seconds to wait, ``None`` for no limit
        :param local_address: address to connect from
        :param socket_options: arguments of ``setsockopt``
        :return: the connection
        :raises httpcore.ConnectTimeout: the connection was not established in time
        :raises httpcore.ConnectError: the connection was refused or failed
        """
        local_addr = None if local_address is None else (local_address, 0)
        connecting = asyncio.get_running_loop().create_connection(
            Stream, host, port, local_addr=local_addr
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


def is_connection_end(error: Exception) -> bool:
    """
    Tell whether an error of the HTTP client means that the peer closed or reset the connection.

    :param error: error of a request that was sent
    :return: false for timeouts, invalid responses and connections that were aborted here
    """
    match error:
        case httpx.ReadError() | httpx.WriteError():
            return str(error) != ABORTED_HERE
        case httpx.RemoteProtocolError():
            # Invalid responses raise the same error with other texts.
            return str(error).startswith(_END_TEXTS)
        case _:
            return False


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _expire(waiter: asyncio.Future[None], error_type: type[Exception]) -> None:
    if not waiter.done():
        waiter.set_exception(error_type())


class _Silence:
    """Ends a wait when its connection is silent and given up."""

    def __init__(
        self,
        waiter: asyncio.Future[None],
        timeout: SilenceTimeout,
        error_type: type[Exception],
        stream: Stream | None,
    ) -> None:
        """
        Prepare the timer of a wait.

        :param waiter: ends with an error if the connection is given up
        :param timeout: when that is considered
        :param error_type: type of the error
        :param stream: the connection, if a part of the request may not have been accepted
        """
        self._loop = asyncio.get_running_loop()
        self._waiter = waiter
        self._timeout = timeout
        self._error_type = error_type
        self._stream = stream
        self._unaccepted_bytes = 0
        self._since_s = 0.0
        """Time of the event loop since which the connection has been silent."""
        self._timer: asyncio.TimerHandle

    def start(self) -> None:
        """Start the timer."""
        self._since_s = self._loop.time()
        if self._stream is not None and self._stream.request_bytes > SHORT_REQUEST_BYTES:
            unaccepted_bytes = self._stream.unaccepted_bytes()
            if unaccepted_bytes > SHORT_REQUEST_BYTES:
                self._unaccepted_bytes = unaccepted_bytes
        self._schedule(self._timeout)

    def cancel(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _schedule(self, after_s: float) -> None:
        if self._unaccepted_bytes:
            after_s = min(after_s, RECHECK_S)
        self._timer = self._loop.call_later(after_s, self._check)

    def _check(self) -> None:
        if self._waiter.done():
            return
        now_s = self._loop.time()
        if self._unaccepted_bytes and self._stream is not None:
            unaccepted_bytes = self._stream.unaccepted_bytes()
            if unaccepted_bytes < self._unaccepted_bytes:
                self._unaccepted_bytes, self._since_s = unaccepted_bytes, now_s
        left_s = self._since_s + self._timeout - now_s
        latest_left_s = self._timeout.latest_s - time.monotonic()
        if left_s > 0 and latest_left_s > 0:
            self._schedule(min(left_s, latest_left_s))
        elif _gives_up(self._timeout):
            _expire(self._waiter, self._error_type)
        else:
            self._schedule(min(RECHECK_S, latest_left_s))


def _gives_up(timeout: SilenceTimeout) -> bool:
    if time.monotonic() >= timeout.latest_s:
        return True
    try:
        return timeout.gives_up()
    except Exception:
        # Raised into the event loop, it would leave the connection without a timeout.
        _log.exception("silent connection given up")
        return True


__all__ = ["ABORTED_HERE", "Backend", "SilenceTimeout", "Stream", "is_connection_end"]
