"""Reads bodies of responses, with limits on each body and on all bodies in memory together."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import httpx
import structlog

from camphorvalve.upstreams.errors import Broken
from camphorvalve.upstreams.network import Stream, is_connection_end

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

    from camphorvalve.model.upstreams import Upstream

MAX_RESPONSE_BYTES = 4 << 20
"""Longest body that is buffered; a faulty upstream may send endless data."""
MAX_HELD_BYTES = 24 << 20
"""Total size of the responses that a process keeps in memory, the short ones not counted."""
SHORT_RESPONSE_BYTES = 64 << 10
"""Size up to which a response does not count, so that others never cost it its memory."""
CHUNKS_PER_TURN_COUNT = 16
"""Chunks after which the event loop gets a turn."""
SMALL_CHUNKS_COUNT = 1024
"""Chunks that arrive without a pause before their size is checked."""
MIN_CHUNK_BYTES = 8
"""Smallest average size of such chunks."""

_log = structlog.get_logger(__name__)


class BodyTooLongError(Exception):
    """A response exceeds a limit; the message names it."""


class Reservation:
    """Memory of one response that is being read, or has been and is being passed on."""

    def __init__(self, budget: ResponseBudget, response: httpx.Response) -> None:
        """
        Reserve nothing yet; callers use ``ResponseBudget.reserve``.

        :param budget: the budget of the process
        :param response: the response
        """
        self.response = response
        self.size_bytes = 0
        self.is_complete = False
        """Whether the body has been read, so that giving it up would free nothing."""
        self.is_given_up = False
        """Whether the memory was taken away for other responses."""
        self._budget = budget

    def resize(self, size_bytes: int) -> None:
        """
        Change the size; if the budget is used up, the longest response is given up.

        :param size_bytes: bytes of the response that are in memory
        :raises BodyTooLongError: this response was given up
        """
        if not self.is_given_up:
            self._budget.resize(self, size_bytes if size_bytes > SHORT_RESPONSE_BYTES else 0)
        self.check()

    def check(self) -> None:
        """
        Check that the memory has not been taken away.

        :raises BodyTooLongError: it has
        """
        if self.is_given_up:
            limit_bytes = self._budget.limit_bytes
            raise BodyTooLongError(f"the responses in memory are longer than {limit_bytes} bytes")

    def give_up(self) -> None:
        """Take the memory away and end the connection, so that a waiting reader learns of it."""
        self.is_given_up = True
        match self.response.extensions.get("network_stream"):
            case Stream() as stream if not self.response.is_closed:
                stream.abort()


class ResponseBudget:
    """
    Limits the total size of the responses that a process keeps in memory.

    When it is used up, the longest response that is being read is given up: a faulty upstream that
    sends data without end then costs its own callers their responses, and not those of others.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        """
        Create a budget with nothing reserved.

        :param limit_bytes: limit of the total
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        """Total size of all reservations."""
        self._reservations: set[Reservation] = set()

    @contextmanager
    def reserve(self, response: httpx.Response) -> Iterator[Reservation]:
        """
        Reserve memory for a response until the context ends.

        :param response: the response, its body unread
        :return: the reservation, of no size yet
        """
        reservation = Reservation(self, response)
        self._reservations.add(reservation)
        try:
            yield reservation
        finally:
            self._release(reservation)

    def resize(self, reservation: Reservation, size_bytes: int) -> None:
        """
        Change the size of a reservation, and give up the longest ones until the rest fits.

        :param reservation: the reservation of a response that is being read
        :param size_bytes: its new size
        """
        self.held_bytes += size_bytes - reservation.size_bytes
        reservation.size_bytes = size_bytes
        while self.held_bytes > self.limit_bytes:
            unfinished = [other for other in self._reservations if not other.is_complete]
            longest = max(unfinished, key=lambda other: other.size_bytes)
            _log.warning(
                "response given up, the memory for responses is used up",
                size_bytes=longest.size_bytes,
                held_bytes=self.held_bytes,
                url=str(longest.response.request.url),
            )
            self._release(longest)
            longest.give_up()

    def _release(self, reservation: Reservation) -> None:
        if reservation in self._reservations:
            self._reservations.remove(reservation)
            self.held_bytes -= reservation.size_bytes


async def body_chunks(response: httpx.Response) -> AsyncIterator[bytes]:
    """
    Read a body in chunks as they were sent, without decompressing them.

    Chunks of a few bytes cost far more time than they carry, and those that have already arrived
    are read without a turn of the event loop.

    :param response: the response, unread
    :return: the chunks
    :raises httpx.HTTPError: the body ended before it was complete, its chunks are too small, or it
        contains the start of another response
    """
    stream = response.extensions.get("network_stream")
    waits_count = chunks_count = total_bytes = 0
    async for chunk in response.aiter_raw():
        yield chunk
        if not isinstance(stream, Stream):
            continue
        if stream.waits_count != waits_count:
            waits_count, chunks_count, total_bytes = stream.waits_count, 0, 0
        chunks_count += 1
        total_bytes += len(chunk)
        if chunks_count % CHUNKS_PER_TURN_COUNT:
            continue
        if chunks_count >= SMALL_CHUNKS_COUNT and total_bytes < MIN_CHUNK_BYTES * chunks_count:
            raise httpx.RemoteProtocolError("the chunks of the body are too small")
        await asyncio.sleep(0)


async def read_limited(
    response: httpx.Response, reservation: Reservation, limit_bytes: int
) -> bytes:
    """
    Read a body as it was sent, without decompressing it.

    :param response: the response, unread
    :param reservation: its memory
    :param limit_bytes: longest body
    :return: the body
    :raises BodyTooLongError: the body is longer, or was given up for others
    :raises httpx.HTTPError: the body ended before it was complete
    """
    content = bytearray()
    try:
        async for chunk in body_chunks(response):
            content += chunk
            if len(content) > limit_bytes:
                raise BodyTooLongError(f"the body is longer than {limit_bytes} bytes")
            reservation.resize(len(content))
        reservation.is_complete = True
        return bytes(content)
    except httpx.HTTPError:
        reservation.check()
        raise
    finally:
        # The traceback of an error keeps this frame.
        content.clear()


async def read_body(
    upstream: Upstream, response: httpx.Response, reservation: Reservation
) -> bytes:
    """
    Read a complete body before its head is passed on, so that a broken response can be retried.

    :param upstream: the upstream
    :param response: its response, unread
    :param reservation: its memory
    :return: the body
    :raises Broken: the body ended before it was complete, or is too long
    """
    try:
        return await read_limited(response, reservation, MAX_RESPONSE_BYTES)
    except BodyTooLongError as error:
        raise Broken(upstream.upstream_id, str(error)) from error
    except httpx.HTTPError as error:
        cause = f"{type(error).__name__}: {error}"
        ended = is_connection_end(error)
        raise Broken(upstream.upstream_id, cause, connection_ended=ended) from error


__all__ = [
    "MAX_HELD_BYTES",
    "MAX_RESPONSE_BYTES",
    "SHORT_RESPONSE_BYTES",
    "BodyTooLongError",
    "Reservation",
    "ResponseBudget",
    "body_chunks",
    "read_body",
    "read_limited",
]
