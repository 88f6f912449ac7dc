"""Record of the server-sent events of a completion stream, from which it can be continued."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

import msgspec

from camphorvalve.upstreams.events import (
    END_OF_EVENT,
    EventBuffer,
    EventSequencer,
    parse_number,
)
from camphorvalve.upstreams.options import ContinueText, FromStart, ResumeStream

if TYPE_CHECKING:
    from camphorvalve.upstreams.options import StartPoint

DONE = b"data: [DONE]\n\n"
"""Event that ends a complete stream."""
_LAST_LINE = b"\n" + DONE
_DATA_PREFIX = b"data: "
_ID_PREFIX = b"id: "


class _EventData(TypedDict):
    text: str


_decoder = msgspec.json.Decoder(_EventData)


class Transcript:
    """Splits a stream at event boundaries, and keeps its events so that it can be continued."""

    def __init__(self, start: StartPoint) -> None:
        """
        Start with no events, or after the events of earlier attempts.

        :param start: where the attempt starts
        """
        self.done = False
        self._buffer: EventBuffer | EventSequencer
        match start:
            case FromStart():
                self._earlier_count, self._earlier_text = 0, ""
                self._buffer = EventBuffer()
            case ResumeStream(events_count, text) | ContinueText(events_count, text):
                self._earlier_count, self._earlier_text = events_count, text
                self._buffer = EventSequencer(events_count)
        self._events: list[bytes] = []
        self._events_bytes = 0

    @property
    def held_bytes(self) -> int:
        """:return: size of all events, the incomplete one included"""
        return self._events_bytes + self._buffer.held_bytes

    def add(self, content: bytes) -> tuple[bytes, int]:
        """
        Add bytes that were received.

        :param content: the next bytes of the stream
        :return: the events that are now complete, without those of earlier attempts and what
            follows the end of the stream, and how many of them are tokens
        :raises EventError: an event is too long, or one is missing in a continued stream
        """
        events = self._buffer.add(content)
        if not events:
            return b"", 0
        before, self.done = _before_end(events)
        events = before + DONE if self.done else events
        tokens_count = events.count(END_OF_EVENT) - self.done
        self._events.append(events)
        self._events_bytes += len(events)
        return events, tokens_count

    def last_number(self) -> int:
        """
        Return the number of the last event, from which the engine resumes the stream.

        :return: the number; that of earlier attempts if no event has arrived in this one
        """
        numbers = [line[len(_ID_PREFIX) :] for line in self._lines() if line.startswith(_ID_PREFIX)]
        number = parse_number(numbers[-1].decode("latin-1")) if numbers else None
        return self._earlier_count if number is None else number

    def text(self) -> str:
        """
        Decode the text received so far; only needed after the stream broke.

        :return: text of the events of all attempts so far
        """
        texts = (_event_text(line) for line in self._lines() if line.startswith(_DATA_PREFIX))
        return self._earlier_text + "".join(texts)

    def _lines(self) -> list[bytes]:
        return b"".join(self._events).split(b"\n")


def _before_end(events: bytes) -> tuple[bytes, bool]:
    """Return the events in front of the one that ends the stream, and whether there is one."""
    if events.startswith(DONE):
        return b"", True
    before, end, _ = events.partition(_LAST_LINE)
    return (before + b"\n", True) if end else (events, False)


def _event_text(line: bytes) -> str:
    try:
        return _decoder.decode(line[len(_DATA_PREFIX) :])["text"]
    except msgspec.MsgspecError:
        return ""


__all__ = ["DONE", "Transcript"]
