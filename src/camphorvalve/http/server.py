"""Serves an ASGI application on one port, with a graceful shutdown that completes responses."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import structlog
from hypercorn.asyncio import serve as hypercorn_serve

from camphorvalve.http.asgi import run_lifespan
from camphorvalve.http.idle import PortConfig, use_connection_class
from camphorvalve.loop import ServingLoop
from camphorvalve.sharing.openconnections import order_connections

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.http.asgi import App, Receive, Scope, Send
    from camphorvalve.http.idle import Connection
    from camphorvalve.loop import Guard
    from camphorvalve.sharing.openconnections import ConnectionState

KEEP_ALIVE_S = 75.0
"""Default keep-alive timeout. Longer than that of common clients (5 to 60 s), so that the client
closes first and doesn't send a request on a connection that the server is closing."""

MAX_REQUESTS_PER_CONNECTION_COUNT = 1 << 30
"""Maximum number of requests on one connection. With hypercorn's default of 1,000 the server would
close connections at a time that callers can't foresee."""

BACKLOG_COUNT = 512
"""Maximum number of connections in the listen backlog. All of them are accepted in one iteration of
the event loop; an overloaded router gets 900 a second, and an iteration takes up to 0.3 s."""

RECEIVE_BUFFER_BYTES = 32 << 10
"""Bytes of a connection that the kernel holds for the process, for which the memory of the machine
counts too; the kernel uses twice as many for its own records."""

QUEUED_PIECES_COUNT = 3
"""Pieces of a body that wait for the application; two are taken by the end of a request without a
body and by the disconnect, which an application need not receive."""

LOG_INTERVAL_S = 1.0
"""Shortest interval between log lines about a full port."""
SEARCH_INTERVAL_S = 0.1
"""Shortest interval between searches for connections that may be closed: each one goes through all
connections of the port."""

DRAIN_S = 0.5
"""Time after the shutdown signal in which new requests are still served; new connections are
accepted for the first half of it. Hypercorn then closes all connections without a running request,
even if a request is already in transit."""

ABORT_DELAY_S = 0.4
"""Time between cutting off running requests and aborting the connections that are still open:
hypercorn waits until each caller has read what is buffered for it."""

_log = structlog.get_logger(__name__)


def listen(bind: str) -> socket.socket:
    """
    Open a listening socket.

    :param bind: IP address and port, such as ``127.0.0.1:8080`` or ``[::1]:8080``; with port 0 the
        system chooses a free port
    :return: the socket; ``getsockname()`` returns the bound port
    :raises ValueError: ``bind`` is not an IP address and a port
    :raises OSError: the address is in use or not local
    """
    host, separator, port = bind.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"bind address {bind!r}: expected <IP address>:<port>")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Connections inherit it if it is set before they are opened. A system may not support it.
        with contextlib.suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG_COUNT)
    except OSError:
        listener.close()
        raise
    return listener


async def serve(
    app: App,
    bind: str | socket.socket,
    shutdown: anyio.Event,
    *,
    graceful_timeout_s: float = 600.0,
    drain_s: float = DRAIN_S,
    leaving: Callable[[], bool] = lambda: False,
    keep_alive_s: Callable[[], float] = lambda: KEEP_ALIVE_S,
    guard: Guard | None = None,
    on_timeout: Callable[[], None] = lambda: None,
    connections_count: int | None = None,
) -> None:
    """
    Serve until the shutdown signal, then complete the running requests.

    :param app: application, called for HTTP requests only
    :param bind: address, or a socket from ``listen``, which is closed at the end
    :param shutdown: set to start the graceful shutdown
    :param graceful_timeout_s: maximum time for running requests after the shutdown signal
    :param drain_s: time after the shutdown signal in which new requests are still served
    :param leaving: tells whether responses ask the caller to close the connection, before the
        shutdown signal; after it they always do
    :param keep_alive_s: returns the time after which an idle connection is closed
    :param guard: decides which new connections are served; used only on the event loop of
        ``camphorvalve.loop``
    :param on_timeout: called when ``graceful_timeout_s`` is over, before running requests are cut
        off
    :param connections_count: most connections that are open at the same time; used only on the
        event loop of ``camphorvalve.loop``
    """
    listener = listen(bind) if isinstance(bind, str) else bind
    loop = asyncio.get_running_loop()
    if guard is not None and isinstance(loop, ServingLoop):
        loop.guard(listener.getsockname(), guard)
    address = listener.getsockname()
    duplicate = listener.dup()
    listener_fd = listener.detach()
    use_connection_class()
    config = _hypercorn_config(listener_fd, graceful_timeout_s, keep_alive_s)
    if connections_count is not None and isinstance(loop, ServingLoop):
        limit = _OpenConnections(config.open_connections, connections_count, address)
        loop.limit(address, limit)
    tracker = _RequestTracker(app, lambda: shutdown.is_set() or leaving())
    timers: list[asyncio.TimerHandle] = []

    async def stop() -> None:
        await shutdown.wait()
        await anyio.sleep(drain_s / 2)
        _refuse_connections(listener_fd, duplicate)
        await anyio.sleep(drain_s / 2)
        # Hypercorn starts its own timer when this function returns.
        timers.append(loop.call_later(graceful_timeout_s, on_timeout))
        if isinstance(loop, ServingLoop):
            abort_after_s = graceful_timeout_s + ABORT_DELAY_S
            timers.append(loop.call_later(abort_after_s, loop.abort_connections, address))

    async def run() -> None:
        try:
            with duplicate:
                await hypercorn_serve(tracker, config, shutdown_trigger=stop, mode="asgi")
        except asyncio.InvalidStateError:
            # Hypercorn 0.18 raises this error instead of a cancellation during graceful shutdown.
            await anyio.lowlevel.checkpoint_if_cancelled()
            raise

    # Hypercorn's use of asyncio.TaskGroup leaves a pending cancellation request on its task
    # (Python 3.11). In the calling task, the next cancelled scope would raise an error, so
    # hypercorn runs in a task of its own.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
    # Hypercorn waits only for the connections that it knew when the listener was closed, not for
    # one that was accepted at the same moment.
    with anyio.move_on_after(graceful_timeout_s):
        await tracker.wait_idle()
    for timer in timers:
        timer.cancel()


def _refuse_connections(listener_fd: int, duplicate: socket.socket) -> None:
    """
    Refuse new connections while hypercorn still serves the open ones.

    :param listener_fd: file descriptor of hypercorn's listening socket
    :param duplicate: duplicate of that socket
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, ServingLoop):
        # This loop would keep polling a socket that was shut down, and use up the processor.
        loop.stop_accepting(duplicate.getsockname())
        duplicate.close()
        return
    loop.remove_reader(listener_fd)
    with contextlib.suppress(OSError):  # Only Linux allows shutdown() on a listening socket.
        duplicate.shutdown(socket.SHUT_RD)


class _OpenConnections:
    """The connections of a port, of which one that stands still is closed for a new one."""

    def __init__(self, connections: set[Connection], limit_count: int, address: Any) -> None:
        self.limit_count = limit_count
        self._connections = connections
        self._address = address
        self._logged_s = -LOG_INTERVAL_S
        self._searched_s = -SEARCH_INTERVAL_S
        self._candidates: deque[tuple[Connection, ConnectionState]] = deque()

    def make_room(self) -> bool:
        """:return: whether a connection is being closed for a new one"""
        now_s = asyncio.get_running_loop().time()
        chosen = self._next_candidate()
        if chosen is None and now_s - self._searched_s >= SEARCH_INTERVAL_S:
            self._searched_s = now_s
            states = ((connection, connection.standing()) for connection in self._connections)
            known = [(connection, state) for connection, state in states if state is not None]
            self._candidates = deque(order_connections(known, now_s))
            chosen = self._next_candidate()
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.warning(
                "port full", port=self._address[1], limit=self.limit_count, closes=bool(chosen)
            )
        if chosen is None:
            return False
        chosen.abort()
        return True

    def _next_candidate(self) -> Connection | None:
        """Return the next connection of the last search that has not moved since."""
        while self._candidates:
            connection, state = self._candidates.popleft()
            if connection.standing() == state:
                return connection
        return None


class _Config(PortConfig):
    """Configuration whose keep-alive timeout is read anew at each use."""

    keep_alive_s: Callable[[], float]
    keep_alive_timeout = property(lambda self: self.keep_alive_s())


def _hypercorn_config(
    listener_fd: int, graceful_timeout_s: float, keep_alive_s: Callable[[], float]
) -> _Config:
    config = _Config()
    config.keep_alive_s = keep_alive_s
    config.max_app_queue_size = QUEUED_PIECES_COUNT
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION_COUNT
    config.bind = [f"fd://{listener_fd}"]
    config.backlog = BACKLOG_COUNT
    config.graceful_timeout = graceful_timeout_s
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    return config


class _RequestTracker:
    """
    ASGI middleware that counts the running requests.

    While ``leaving`` returns true, it adds ``connection: close`` to the responses.
    """

    def __init__(self, app: App, leaving: Callable[[], bool]) -> None:
        self._app = app
        self._leaving = leaving
        self._running_count = 0
        self._idle = anyio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        match scope["type"]:
            case "http":
                await self._run(scope, receive, send)
            case "lifespan":
                await run_lifespan(receive, send)
            case "websocket":
                await send({"type": "websocket.close"})

    async def _run(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def send_with_close(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and self._leaving():
                others = [header for header in message["headers"] if header[0] != b"connection"]
                message = {**message, "headers": [*others, (b"connection", b"close")]}
            await send(message)

        self._running_count += 1
        try:
            await self._app(scope, receive, send_with_close)
        finally:
            self._running_count -= 1
            if self._running_count == 0:
                self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        await anyio.lowlevel.checkpoint()
        while self._running_count:
            self._idle = anyio.Event()
            await self._idle.wait()


__all__ = ["listen", "serve"]
