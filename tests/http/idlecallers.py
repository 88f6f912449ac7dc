"""Callers that send a second request on a connection after it was idle for a time of their own."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

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


async def _call_twice(port: int, number: int, idle_s: float) -> SecondCall:
    await asyncio.sleep(number * CONNECT_PAUSE_S)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        first = await _call(reader, writer, f"/first/{number}")
        if b" 200 " not in first:
            raise ValueError(f"expected a response to the first request, received {first!r}")
        await asyncio.sleep(idle_s)
        path = f"/second/{number}"
        return SecondCall(path, idle_s, await _call(reader, writer, path))
    finally:
        writer.transport.abort()


def call_twice(port: int, idles_s: Iterable[float]) -> list[SecondCall]:
    """Run one caller for each idle time on an event loop of their own; return second requests."""

    async def run() -> list[SecondCall]:
        calls = (_call_twice(port, number, idle_s) for number, idle_s in enumerate(idles_s))
        return await asyncio.gather(*calls)

    return asyncio.run(run())


__all__ = ["SecondCall", "call_twice"]
