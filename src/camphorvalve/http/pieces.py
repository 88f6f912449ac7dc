"""Joins the small chunks of a request body before hypercorn's server handles them."""

from __future__ import annotations

import h11

MAX_JOINED_BYTES = 64 << 10
SMALL_CHUNKS_COUNT = 64
"""Chunks in bytes that were received together from which they count as small."""


class PieceConnection(h11.Connection):
    """
    An ``h11.Connection`` that returns chunks which were received together as one.

    Hypercorn puts each into a queue of the application, which takes 50 microseconds and 300 bytes
    for a chunk that may have a single byte.
    """

    has_small_chunks = False
    """Whether the last bytes that were received held many chunks."""
    chunks_count = 0
    """Chunks of the current request that were received together with others."""
    chunks_bytes = 0
    """Size of their content."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """
        Create a connection.

        :param arguments: passed on to h11
        :param options: passed on to h11
        """
        super().__init__(*arguments, **options)
        self._kept: h11.Event | type | Exception | None = None

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """
        Parse the next event.

        :return: the event, or that more data is needed or the connection is paused
        :raises h11.RemoteProtocolError: the caller sent something invalid
        """
        event, self._kept = self._kept, None
        if event is None:
            event = super().next_event()
        if isinstance(event, Exception):
            raise event
        if isinstance(event, h11.Data):
            return self._join(event)
        if isinstance(event, h11.Request):
            self.has_small_chunks = False
            self.chunks_count = self.chunks_bytes = 0
        return event

    def _join(self, first: h11.Data) -> h11.Data:
        content: bytes | bytearray = first.data
        chunks_count = 1
        while len(content) < MAX_JOINED_BYTES:
            try:
                event = super().next_event()
            except h11.RemoteProtocolError as error:
                self._kept = error
                break
            if not isinstance(event, h11.Data):
                # Asking again returns the same when more data is needed.
                self._kept = None if event is h11.NEED_DATA else event
                break
            if chunks_count == 1:
                content = bytearray(content)
            content += event.data
            chunks_count += 1
        if chunks_count > 1:
            self.chunks_count += chunks_count
            self.chunks_bytes += len(content)
        self.has_small_chunks = chunks_count >= SMALL_CHUNKS_COUNT
        return first if chunks_count == 1 else h11.Data(data=bytes(content))

    def start_next_cycle(self) -> None:
        """Prepare for the next request; the end of the last one is no longer of use."""
        super().start_next_cycle()
        self._kept = None


__all__ = ["PieceConnection"]
