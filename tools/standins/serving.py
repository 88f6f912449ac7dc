"""Serves the ASGI application of a stand-in on a loopback port until it is stopped."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tools.standins.asgi import App

LOOPBACK = "127.0.0.1"


def listening_socket(port: int = 0) -> socket.socket:
    """
    Create a socket that listens on a loopback port.

    :param port: the port; 0 lets the system choose
    :return: the listening socket
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.bind((LOOPBACK, port))
    sock.listen(1024)
    sock.setblocking(False)
    return sock


def _server_config(sock: socket.socket) -> Config:
    config = Config()
    config.bind = [f"fd://{sock.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = 1024
    config.graceful_timeout = 0.1
    config.shutdown_timeout = 0.5
    config.keep_alive_timeout = 60
    return config


@asynccontextmanager
async def serve_app(app: App, port: int = 0) -> AsyncIterator[str]:
    """
    Serve an application on the running event loop.

    :param app: ASGI application
    :param port: port to listen on; 0 lets the system choose
    :return: the URL of the application
    """
    sock = listening_socket(port)
    url = f"http://{LOOPBACK}:{sock.getsockname()[1]}"
    stopped = asyncio.Event()
    # Not a task group, as unittest enters and leaves this context in different tasks.
    task = asyncio.create_task(_serve(app, _server_config(sock), stopped))
    try:
        yield url
    finally:
        stopped.set()
        await task


async def _serve(app: App, config: Config, stopped: asyncio.Event) -> None:
    await serve(app, config, shutdown_trigger=stopped.wait, mode="asgi")


async def run_until_stopped(app: App, port: int, **ready: Any) -> None:
    """
    Serve an application and print its URL; return on SIGTERM, SIGINT or end of standard input.

    :param app: ASGI application
    :param port: port to listen on; 0 lets the system choose
    :param ready: additional fields of the printed JSON line
    """
    stopped = stop_event()
    async with serve_app(app, port) as url:
        print_ready(url=url, **ready)
        await stopped.wait()


def print_ready(**fields: Any) -> None:
    """
    Print the JSON line that tells the parent process where the stand-in listens.

    :param fields: fields of the JSON object
    """
    sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
    sys.stdout.flush()


def stop_event() -> asyncio.Event:
    """
    Create an event that tells the process to stop.

    :return: the event, which is set on SIGTERM, SIGINT or the end of standard input
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)

    def handle_input() -> None:
        if not os.read(0, 4096):
            loop.remove_reader(0)
            stopped.set()

    # Regular files and /dev/null cannot be watched; then only signals end the process.
    with suppress(OSError, ValueError):
        loop.add_reader(0, handle_input)
    return stopped


__all__ = [
    "LOOPBACK",
    "listening_socket",
    "print_ready",
    "run_until_stopped",
    "serve_app",
    "stop_event",
]
