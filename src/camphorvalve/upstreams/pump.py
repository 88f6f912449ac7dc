"""Reads ahead in a task, so that what arrives in one turn of the loop leaves as one piece."""

from __future__ import annotations

import asyncio
from contextlib import aclosing, asynccontextmanager, suppress
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

READ_AHEAD_BYTES = 64 << 10


class _Pump:
    """Pieces that have arrived and were not taken yet."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._pieces: list[bytes] = []
        self._size_bytes = 0
        self._ended = False
        self._error: Exception | None = None
        self._arrived = asyncio.Event()
        self._taken = asyncio.Event()

    async def fill(self) -> None:
        try:
            async for piece in self._source:
                self._pieces.append(piece)
                self._size_bytes += len(piece)
                self._arrived.set()
                while self._size_bytes > READ_AHEAD_BYTES:
                    self._taken.clear()
                    await self._taken.wait()
        except Exception as error:
            self._error = error
        self._ended = True
        self._arrived.set()

    async def joined(self) -> AsyncGenerator[bytes, None]:
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            if self._pieces:
                content = b"".join(self._pieces)
                self._pieces.clear()
                self._size_bytes = 0
                self._taken.set()
                yield content
            if self._ended and not self._pieces:
                if self._error is not None:
                    raise self._error
                return


@asynccontextmanager
async def coalesced(source: AsyncIterator[bytes]) -> AsyncIterator[AsyncIterator[bytes]]:
    """
    Join the pieces of a source that arrive together.

    :param source: pieces, such as the raw chunks of a response
    :return: an iterator of joined pieces, which raises what the source raises
    """
    pump = _Pump(source)
    # A task group cannot be held open across the yields of a generator; a bare task can.
    task = asyncio.create_task(pump.fill())
    try:
        async with aclosing(pump.joined()) as pieces:
            yield pieces
    finally:
        task.cancel()
        with anyio.CancelScope(shield=True), suppress(asyncio.CancelledError):
            await task


__all__ = ["coalesced"]
