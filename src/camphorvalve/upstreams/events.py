"""Splits a stream of server-sent events at event boundaries, and checks the order of the events."""

from __future__ import annotations

END_OF_EVENT = b"\n\n"
ENDS_OF_EVENT = (END_OF_EVENT, b"\r\n\r\n", b"\r\r")
"""Ends of an event in all forms that the format allows (HTML Living Standard, 9.2.5), which plain
services may use; model engines use ``END_OF_EVENT``."""
LONGEST_END_BYTES = 4
MAX_EVENT_BYTES = 1 << 20
"""Longest event accepted; a faulty upstream may send endless data that never completes an event."""
MAX_NUMBER_LENGTH = 18
_ID_FIELD = b"id:"


class EventError(Exception):
    """The events of a stream are invalid and cannot be passed on."""


class OutOfOrderError(EventError):
    """An event is missing before this one, or the place of an event is unknown."""

    def __init__(self, cause: str, events: bytes = b"") -> None:
        """
        Create the error.

        :param cause: what happened
        :param events: the events that were added with this one and precede it
        """
        super().__init__(cause)
        self.events = events


class EndlessEventError(EventError):
    """An event is longer than ``MAX_EVENT_BYTES``."""


class EventBuffer:
    """Buffers the bytes of an event until it is complete."""

    def __init__(self) -> None:
        """Start with an empty buffer, at the start of an event."""
        self._pending = bytearray()

    @property
    def inside_event(self) -> bool:
        """:return: whether the bytes so far end in the middle of an event"""
        return bool(self._pending)

    @property
    def held_bytes(self) -> int:
        """:return: size of the incomplete event"""
        return len(self._pending)

    def add(self, content: bytes) -> bytes:
        """
        Add bytes that were received.

        :param content: the next bytes of the stream
        :return: the events that are now complete
        :raises EndlessEventError: an event is too long
        """
        # The terminator may span the old and the new bytes; the rest was searched before.
        searched_bytes = max(0, len(self._pending) - len(END_OF_EVENT) + 1)
        self._pending += content
        end = self._pending.rfind(END_OF_EVENT, searched_bytes) + len(END_OF_EVENT)
        if end < len(END_OF_EVENT):
            if len(self._pending) > MAX_EVENT_BYTES:
                raise EndlessEventError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
            return b""
        events = bytes(self._pending[:end])
        del self._pending[:end]
        return events


class EventSequencer:
    """Passes on complete events in order, drops repeated ones and detects gaps."""

    def __init__(self, last_number: int | None, *, continues: bool = False) -> None:
        """
        Start before the first event, or after the last event that the caller has.

        :param last_number: number of the last event that the caller has, ``None`` if it has none
        :param continues: whether the events continue a stream of another upstream; until one has
            the next number, the place of events without a number is unknown
        """
        self.last_number = last_number
        self.has_events = False
        """Whether an event other than a comment was received, a repeated one included."""
        self._is_placed = not continues
        self._buffer = EventBuffer()

    @property
    def inside_event(self) -> bool:
        """:return: whether the bytes so far end in the middle of an event"""
        return self._buffer.inside_event

    @property
    def held_bytes(self) -> int:
        """:return: size of the incomplete event"""
        return self._buffer.held_bytes

    def add(self, content: bytes) -> bytes:
        """
        Add bytes that were received.

        :param content: the next bytes of the stream
        :return: the events that are now complete, without those that the caller already has
        :raises OutOfOrderError: an event is missing, or its place is unknown
        :raises EndlessEventError: an event is too long
        """
        new_events: list[bytes] = []
        try:
            for event in self._buffer.add(content).split(END_OF_EVENT)[:-1]:
                if self._is_new(event):
                    new_events.append(event + END_OF_EVENT)
        except OutOfOrderError as error:
            raise OutOfOrderError(str(error), b"".join(new_events)) from error
        return b"".join(new_events)

    def _is_new(self, event: bytes) -> bool:
        if _is_comment(event):
            return True
        self.has_events = True
        number = _event_number(event)
        if number is None:
            if not self._is_placed:
                raise OutOfOrderError(f"an event without a number follows event {self.last_number}")
            return True
        if self.last_number is not None:
            if number <= self.last_number:
                return False
            if number > self.last_number + 1:
                raise OutOfOrderError(f"event {number} follows event {self.last_number}")
        self.last_number = number
        self._is_placed = True
        return True


def _is_comment(event: bytes) -> bool:
    # The first byte rules out nearly all events.
    return event[:1] in b":\n" and all(line.startswith(b":") for line in event.split(b"\n") if line)


def _event_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return parse_number(line[len(_ID_FIELD) :].decode("latin-1"))
    return None


def parse_number(text: str) -> int | None:
    """
    Parse the number of an event, or of the last event that a caller has.

    :param text: the number
    :return: the number, ``None`` if it is none or too long
    """
    digits = text.strip()
    # Python raises an error for numbers of thousands of digits.
    return int(digits) if digits.isdecimal() and len(digits) <= MAX_NUMBER_LENGTH else None


__all__ = [
    "ENDS_OF_EVENT",
    "END_OF_EVENT",
    "LONGEST_END_BYTES",
    "MAX_EVENT_BYTES",
    "EndlessEventError",
    "EventSequencer",
    "EventError",
    "OutOfOrderError",
    "EventBuffer",
    "parse_number",
]
