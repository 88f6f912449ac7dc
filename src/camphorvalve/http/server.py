"""Serves an ASGI application on one port until a shutdown, without cutting an answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
from hypercorn.asyncio import serve as hypercorn_serve
from hypercorn.config import Config

from camphorvalve.http.asgi import run_lifespan
from camphorvalve.loop import ServingLoop

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.http.asgi import App, Receive, Scope, Send
    from camphorvalve.loop import Guard

KEEP_ALIVE_S = 75.0
"""Longer than the keep-alive of common clients (5 to 60 s), so that the client closes first and
no request meets a connection that is being closed here."""

MAX_REQUESTS_COUNT = 1 << 30
"""Requests on one connection; hypercorn's 1,000 would end it at a moment that callers can't see."""

BACKLOG_COUNT = 512
"""Connections that wait to be accepted. All of them are accepted in one turn of the loop; a flooded
router gets 900 a second, and its turns take up to 0.3 s."""

LINGER_S = 0.5
"""How long new requests are still served after the shutdown, and new connections for half of it.
Hypercorn then closes connections that have no request, also those whose request is on its way."""


def listen(bind: str) -> socket.socket:
    """
    Open a listening socket; port 0 lets the system choose.

    :param bind: IP number and port, such as ``127.0.0.1:8080`` or ``[::1]:8080``
    :return: the socket; ``getsockname()`` tells the bound port
    :raises ValueError: not an address with a port
    :raises OSError: the address is in use or not local
    """
    host, separator, port = bind.rpartition(":")
    if not separator or not port.isdigit():
        raise ValueError(f"bind address {bind!r}: expected <IP number>:<port>")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
    linger_s: float = LINGER_S,
    leaving: Callable[[], bool] = lambda: False,
    keep_alive_s: Callable[[], float] = lambda: KEEP_ALIVE_S,
    guard: Guard | None = None,
) -> None:
    """
    Serve until the shutdown, then finish the running requests.

    :param app: application that is called for HTTP requests only
    :param bind: address, or a socket from ``listen``, which is closed at the end
    :param shutdown: stops accepting when set
    :param graceful_timeout_s: how long running requests may take after the shutdown
    :param linger_s: how long requests are still accepted after the shutdown
    :param keep_alive_s: how long an idle connection stays open
    :param leaving: whether answers ask the caller to close the connection before the shutdown
    :param guard: decides which new connections are served, on the loop of ``camphorvalve.loop``
    """
    listener = listen(bind) if isinstance(bind, str) else bind
    loop = asyncio.get_running_loop()
    if guard is not None and isinstance(loop, ServingLoop):
        loop.guard(listener.getsockname(), guard)
    twin = listener.dup()
    listener_fd = listener.detach()
    config = _config(listener_fd, graceful_timeout_s, keep_alive_s)
    gate = _Gate(app, lambda: shutdown.is_set() or leaving())

    async def stop() -> None:
        await shutdown.wait()
        await anyio.sleep(linger_s / 2)
        _refuse_connections(listener_fd, twin)
        await anyio.sleep(linger_s / 2)

    async def run() -> None:
        try:
            with twin:
                await hypercorn_serve(gate, config, shutdown_trigger=stop, mode="asgi")
        except asyncio.InvalidStateError:
            # Hypercorn 0.18 replaces a cancellation during the graceful stop by this error.
            await anyio.lowlevel.checkpoint_if_cancelled()
            raise

    # Hypercorn's use of asyncio.TaskGroup leaves a request to cancel on its task (Python 3.11),
    # which would turn the next cancelled scope of the caller into an error. So it gets its own.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
    # Hypercorn waits for the connections that it knew when the listener closed. One that was
    # accepted in that very moment is not among them.
    with anyio.move_on_after(graceful_timeout_s):
        await gate.wait_idle()


def _refuse_connections(listener_fd: int, twin: socket.socket) -> None:
    """
    Refuse new connections while hypercorn still serves the open ones.

    :param listener_fd: hypercorn's listening socket
    :param twin: another handle of the same socket
    """
    loop = asyncio.get_running_loop()
    if isinstance(loop, ServingLoop):
        # It would go on to poll a socket that was shut down, and use up the processor.
        loop.stop_accepting(twin.getsockname())
        twin.close()
        return
    loop.remove_reader(listener_fd)
    with contextlib.suppress(OSError):  # Only Linux takes it for a listening socket.
        twin.shutdown(socket.SHUT_RD)


class _Config(Config):
    """Settings of hypercorn whose keep-alive follows the configuration in force."""

    keep_alive_s: Callable[[], float]
    keep_alive_timeout = property(lambda self: self.keep_alive_s())


def _config(
    listener_fd: int, graceful_timeout_s: float, keep_alive_s: Callable[[], float]
) -> Config:
    config = _Config()
    config.keep_alive_s = keep_alive_s
    config.keep_alive_max_requests = MAX_REQUESTS_COUNT
    config.bind = [f"fd://{listener_fd}"]
    config.backlog = BACKLOG_COUNT
    config.graceful_timeout = graceful_timeout_s
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    return config


class _Gate:
    """Passes HTTP requests on, counts the running ones, and ends connections when leaving."""

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
        async def send_closing(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start" and self._leaving():
                kept = [one for one in message["headers"] if one[0] != b"connection"]
                message = {**message, "headers": [*kept, (b"connection", b"close")]}
            await send(message)

        self._running_count += 1
        try:
            await self._app(scope, receive, send_closing)
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
