"""Callers that send a second request on a connection after it was idle for a time of their own."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

CONNECT_PAUSE_S = 0.002
"""Time between two callers' first requests, so that their connections do not expire together."""


class SecondCall(NamedTuple):
    """Second request of a caller, and what it received."""

    path: str
    idle_s: float
    """Time between the response to the first request and the second request."""
    received: bytes
    """Empty if the server closed the connection without a response."""


async def _call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, path: str) -> bytes:
    """Send a request, and return its response, or what arrived before the connection ended."""
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return head + await reader.readexactly(2)
    except asyncio.IncompleteReadError as error:
        return error.partial
    except ConnectionError:
        return b""


class _Caller(NamedTuple):
    """A connection that is idle since the response to its first request."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since_s: float

    @classmethod
    async def open(cls, port: int, number: int) -> _Caller:
        await asyncio.sleep(number * CONNECT_PAUSE_S)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        first = await _call(reader, writer, f"/first/{number}")
        if b" 200 " not in first:
            raise ValueError(f"expected a response to the first request, received {first!r}")
        return cls(number, reader, writer, time.monotonic())

    async def call_again(self, at_s: float) -> SecondCall:
        try:
            await asyncio.sleep(at_s - time.monotonic())
            path = f"/second/{self.number}"
            idle_s = time.monotonic() - self.idle_since_s
            return SecondCall(path, idle_s, await _call(self.reader, self.writer, path))
        finally:
            self.writer.transport.abort()


def call_after_idle(port: int, idles_s: Sequence[float]) -> list[SecondCall]:
    """
    Let each caller send its second request after a time of its own.

    :param port: loopback port of the server
    :param idles_s: for each caller, the time after the response to its first request
    :return: the second requests
    """

    async def call(number: int, idle_s: float) -> SecondCall:
        caller = await _Caller.open(port, number)
        return await caller.call_again(caller.idle_since_s + idle_s)

    async def run() -> list[SecondCall]:
        return await asyncio.gather(*map(call, range(len(idles_s)), idles_s))

    return asyncio.run(run())


def call_around(
    port: int, offsets_s: Sequence[float], start: Callable[[], float]
) -> list[SecondCall]:
    """
    Let all callers send their second requests around one moment.

    :param port: loopback port of the server
    :param offsets_s: for each caller, the time between the moment and its second request
    :param start: called when all connections are idle; returns the moment in monotonic time
    :return: the second requests
    """

    async def run() -> list[SecondCall]:
        numbers = range(len(offsets_s))
        callers = await asyncio.gather(*(_Caller.open(port, number) for number in numbers))
        moment_s = start()
        calls = (
            caller.call_again(moment_s + offset_s)
            for caller, offset_s in zip(callers, offsets_s, strict=True)
        )
        return await asyncio.gather(*calls)

    return asyncio.run(run())


__all__ = ["SecondCall", "call_after_idle", "call_around"]
