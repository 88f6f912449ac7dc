"""Server-sent events of one stream: whole events, their count, and their text when needed."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

import msgspec

from camphorvalve.upstreams.events import END_OF_EVENT, WholeEvents
from camphorvalve.upstreams.options import ContinueText, FromStart, ResumeStream

if TYPE_CHECKING:
    from camphorvalve.upstreams.options import Begin

DONE = b"data: [DONE]\n\n"
_DATA = b"data: "
_NUMBER = b"id: "


class _EventData(TypedDict):
    text: str


_decoder = msgspec.json.Decoder(_EventData)


class Transcript:
    """Cuts a stream at the ends of events and remembers it until it is complete."""

    def __init__(self, begin: Begin) -> None:
        """
        Start at the beginning, or after the events of earlier attempts.

        :param begin: how the attempt begins
        """
        self.done = False
        match begin:
            case FromStart():
                self._earlier_count, self._earlier_text = 0, ""
            case ResumeStream(events_count, text) | ContinueText(events_count, text):
                self._earlier_count, self._earlier_text = events_count, text
        self._whole = WholeEvents()
        self._parts: list[bytes] = []

    def add(self, content: bytes) -> tuple[bytes, int]:
        """
        Take bytes as they arrive.

        :param content: the next bytes of the stream
        :return: the whole events that are complete now, and how many of them are tokens
        """
        whole = self._whole.add(content)
        if not whole:
            return b"", 0
        self.done = whole.endswith(DONE)
        count = whole.count(END_OF_EVENT) - self.done
        self._parts.append(whole)
        return whole, count

    def last_number(self) -> int:
        """
        Read the number of the last event, which the engine wants in order to resume.

        :return: the number; that of the earlier attempts while no event has come
        """
        numbers = [line[len(_NUMBER) :] for line in self._lines() if line.startswith(_NUMBER)]
        return int(numbers[-1]) if numbers and numbers[-1].isdigit() else self._earlier_count

    def text(self) -> str:
        """
        Decode the text so far; only needed after a break.

        :return: text of the events of all attempts
        """
        texts = (_text_of(line) for line in self._lines() if line.startswith(_DATA))
        return self._earlier_text + "".join(texts)

    def _lines(self) -> list[bytes]:
        return b"".join(self._parts).split(b"\n")


def _text_of(line: bytes) -> str:
    try:
        return _decoder.decode(line[len(_DATA) :])["text"]
    except msgspec.MsgspecError:
        return ""


__all__ = ["DONE", "Transcript"]
