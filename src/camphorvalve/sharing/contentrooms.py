"""Divides the room for large values that wait, so that those of one size keep out no others."""

from __future__ import annotations

from typing import NamedTuple


class Room(NamedTuple):
    """Room for contents up to a size that are larger than those of the room before."""

    content_bytes: int
    """Largest content that uses this room."""
    limit_bytes: int
    """Most bytes of all contents in this room; at least one content of the largest size."""


CONTENT_ROOMS = (
    Room(64 << 10, 1 << 20),
    Room(1 << 20, 3 << 20),
    Room(4 << 20, 8 << 20),
)
"""Rooms of the contents that are in memory decoded, which takes several times their size."""


class ContentRooms:
    """The bytes that are held in each room."""

    def __init__(self, rooms: tuple[Room, ...] = CONTENT_ROOMS) -> None:
        """
        Create empty rooms.

        :param rooms: the rooms in the order of their contents' sizes
        """
        self._rooms = rooms
        self._held_bytes = [0] * len(rooms)

    def enter(self, size_bytes: int) -> bool:
        """
        Take room for a content.

        :param size_bytes: its size
        :return: whether there was room
        """
        index = self._index(size_bytes)
        if self._held_bytes[index] + size_bytes > self._rooms[index].limit_bytes:
            return False
        self._held_bytes[index] += size_bytes
        return True

    def leave(self, size_bytes: int) -> None:
        """
        Free the room of a content that entered.

        :param size_bytes: its size
        """
        self._held_bytes[self._index(size_bytes)] -= size_bytes

    def _index(self, size_bytes: int) -> int:
        last = len(self._rooms) - 1
        sizes = (
            index for index, room in enumerate(self._rooms) if size_bytes <= room.content_bytes
        )
        return next(sizes, last)


__all__ = ["CONTENT_ROOMS", "ContentRooms", "Room"]
