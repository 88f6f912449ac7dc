"""Reads ahead in a task, and joins the chunks that arrive in one iteration of the event loop."""

from __future__ import annotations

import asyncio
from contextlib import aclosing, asynccontextmanager, suppress
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

READ_AHEAD_BYTES = 64 << 10
"""Bytes buffered before reading ahead pauses."""


class _ReadAhead:
    """Buffer of chunks that were read from the source and not consumed yet."""

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._eof = False
        self._error: Exception | None = None
        self._filled = asyncio.Event()
        self._drained = asyncio.Event()

    async def fill(self) -> None:
        try:
            async for chunk in self._source:
                self._chunks.append(chunk)
                self._buffered_bytes += len(chunk)
                self._filled.set()
                while self._buffered_bytes > READ_AHEAD_BYTES:
                    self._drained.clear()
                    await self._drained.wait()
        except Exception as error:
            self._error = error
        self._eof = True
        self._filled.set()

    async def drain(self) -> AsyncGenerator[bytes, None]:
        while True:
            await self._filled.wait()
            self._filled.clear()
            if self._chunks:
                content = b"".join(self._chunks)
                self._chunks.clear()
                self._buffered_bytes = 0
                self._drained.set()
                yield content
            if self._eof and not self._chunks:
                if self._error is not None:
                    raise self._error
                return


@asynccontextmanager
async def coalesced(source: AsyncIterator[bytes]) -> AsyncIterator[AsyncIterator[bytes]]:
    """
    Join the chunks of a source that arrive together.

    :param source: iterator of chunks, such as the raw body of a response
    :return: an iterator of joined chunks, which raises what the source raises
    """
    read_ahead = _ReadAhead(source)
    # A task group must not stay open across a generator's yield; a plain task may.
    task = asyncio.create_task(read_ahead.fill())
    try:
        async with aclosing(read_ahead.drain()) as chunks:
            yield chunks
    finally:
        task.cancel()
        with anyio.CancelScope(shield=True), suppress(asyncio.CancelledError):
            await task


__all__ = ["coalesced"]
