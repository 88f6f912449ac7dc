"""Decides which connections may go on with a body of very small chunks."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

FREE_CHUNKS_COUNT = 8192
"""Small chunks that each request may send; parsing them takes a tenth of a second."""
MIN_MEAN_BYTES = 16
"""Average size below which chunks are small: their framing takes more time than their content."""
PLACES_COUNT = 4
"""Connections of a port that may send more at the same time: one such body of 4 MiB takes the
processor for 20 s."""


class SmallChunkPlaces:
    """Places for connections that send many small chunks, so that a crowd of them is cut off."""

    def __init__(self) -> None:
        """Create the places, all of them free."""
        self._taken: set[Hashable] = set()
        self.cut_off_count = 0
        """Connections since the start for which there was no place."""

    def may_go_on(self, connection: Hashable, chunks_count: int, size_bytes: int) -> bool:
        """
        Decide whether a connection may send more.

        :param connection: identifies the connection
        :param chunks_count: chunks of its current request that came in company of others
        :param size_bytes: their content
        :return: false if the connection has to be closed
        """
        if chunks_count <= FREE_CHUNKS_COUNT or size_bytes >= MIN_MEAN_BYTES * chunks_count:
            self._taken.discard(connection)
            return True
        if connection not in self._taken and len(self._taken) >= PLACES_COUNT:
            self.cut_off_count += 1
            return False
        self._taken.add(connection)
        return True

    def leave(self, connection: Hashable) -> None:
        """
        Free the place of a connection.

        :param connection: identifies the connection, which may have none
        """
        self._taken.discard(connection)


__all__ = ["SmallChunkPlaces"]
