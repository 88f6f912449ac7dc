"""Runs a stand-in on a loopback port until it is told to stop."""

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
    Bind a loopback port.

    :param port: the port; 0 lets the system choose
    :return: the bound socket
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound.bind((LOOPBACK, port))
    bound.listen(1024)
    bound.setblocking(False)
    return bound


def _config(bound: socket.socket) -> Config:
    config = Config()
    config.bind = [f"fd://{bound.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = 1024
    config.graceful_timeout = 0.1
    config.shutdown_timeout = 0.5
    config.keep_alive_timeout = 60
    return config


@asynccontextmanager
async def running(app: App, port: int = 0) -> AsyncIterator[str]:
    """
    Serve an app inside the running loop.

    :param app: ASGI app
    :param port: port to listen on; 0 lets the system choose
    :return: the URL of the app
    """
    bound = listening_socket(port)
    url = f"http://{LOOPBACK}:{bound.getsockname()[1]}"
    stopped = asyncio.Event()
    # A bare task, as unittest enters and leaves this context in different tasks.
    task = asyncio.create_task(_serve(app, _config(bound), stopped))
    try:
        yield url
    finally:
        stopped.set()
        await task


async def _serve(app: App, config: Config, stopped: asyncio.Event) -> None:
    await serve(app, config, shutdown_trigger=stopped.wait, mode="asgi")


async def run_until_stopped(app: App, port: int, **ready: Any) -> None:
    """
    Serve an app, print its address, return on SIGTERM, SIGINT or the end of standard input.

    :param app: ASGI app
    :param port: port to listen on; 0 lets the system choose
    :param ready: further fields of the printed JSON line
    """
    stopped = stop_event()
    async with running(app, port) as url:
        print_ready(url=url, **ready)
        await stopped.wait()


def print_ready(**fields: Any) -> None:
    """
    Print the one line that tells the parent where the stand-in listens.

    :param fields: fields of the JSON object
    """
    sys.stdout.write(msgspec.json.encode(fields).decode() + "\n")
    sys.stdout.flush()


def stop_event() -> asyncio.Event:
    """
    Watch for the reasons to stop.

    :return: an event that is set on SIGTERM, SIGINT or the end of standard input
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)

    def read_input() -> None:
        if not os.read(0, 4096):
            loop.remove_reader(0)
            stopped.set()

    # Regular files and /dev/null cannot be watched; only signals end the process then.
    with suppress(OSError, ValueError):
        loop.add_reader(0, read_input)
    return stopped


__all__ = [
    "LOOPBACK",
    "listening_socket",
    "print_ready",
    "run_until_stopped",
    "running",
    "stop_event",
]
