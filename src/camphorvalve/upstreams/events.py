"""Cuts a stream of server-sent events into whole events, and checks that they follow each other."""

from __future__ import annotations

END_OF_EVENT = b"\n\n"
MOST_EVENT_BYTES = 1 << 20
"""Longest event; an upstream in trouble may send bytes without end that complete none."""
_NUMBER = b"id:"


class EventError(Exception):
    """What a stream sends cannot be passed on."""


class OutOfOrderError(EventError):
    """An event does not follow the one before it."""


class EndlessEventError(EventError):
    """An event is longer than ``MOST_EVENT_BYTES``."""


class WholeEvents:
    """Holds back what has arrived of an event until it is complete."""

    def __init__(self) -> None:
        """Start between two events."""
        self._tail = bytearray()

    @property
    def inside_event(self) -> bool:
        """:return: whether the bytes so far end in the middle of an event"""
        return bool(self._tail)

    def add(self, content: bytes) -> bytes:
        """
        Take bytes as they arrive.

        :param content: the next bytes of the stream
        :return: the events that are complete now
        :raises EndlessEventError: an event is too long
        """
        # The end may lie across the seam; the rest was searched before.
        searched_bytes = max(0, len(self._tail) - len(END_OF_EVENT) + 1)
        self._tail += content
        end = self._tail.rfind(END_OF_EVENT, searched_bytes) + len(END_OF_EVENT)
        if end < len(END_OF_EVENT):
            if len(self._tail) > MOST_EVENT_BYTES:
                raise EndlessEventError(f"an event is longer than {MOST_EVENT_BYTES} bytes")
            return b""
        whole = bytes(self._tail[:end])
        del self._tail[:end]
        return whole


class EventCutter:
    """Passes whole events on and remembers the number of the last one."""

    def __init__(self, last_number: int | None) -> None:
        """
        Start before the first event, or after the events that the caller has.

        :param last_number: number of the last event that the caller has
        """
        self.last_number = last_number
        self._whole = WholeEvents()

    @property
    def inside_event(self) -> bool:
        """:return: whether the bytes so far end in the middle of an event"""
        return self._whole.inside_event

    def add(self, content: bytes) -> bytes:
        """
        Take bytes as they arrive.

        :param content: the next bytes of the stream
        :return: the whole events that are complete now, without those that the caller has
        :raises OutOfOrderError: an event is missing
        :raises EndlessEventError: an event is too long
        """
        events = self._whole.add(content).split(END_OF_EVENT)[:-1]
        return b"".join(event + END_OF_EVENT for event in events if self._is_next(event))

    def _is_next(self, event: bytes) -> bool:
        number = _number(event)
        if number is None:
            return True
        if self.last_number is not None:
            if number <= self.last_number:
                return False
            if number > self.last_number + 1:
                raise OutOfOrderError(f"event {number} follows event {self.last_number}")
        self.last_number = number
        return True


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_NUMBER):
            text = line[len(_NUMBER) :].strip()
            return int(text) if text.isdigit() else None
    return None


__all__ = [
    "END_OF_EVENT",
    "MOST_EVENT_BYTES",
    "EndlessEventError",
    "EventCutter",
    "EventError",
    "OutOfOrderError",
    "WholeEvents",
]
