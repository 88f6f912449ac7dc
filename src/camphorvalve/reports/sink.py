"""Where log lines go: never waits for the reader, and drops and counts what does not fit."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BUFFER_BYTES = 256 << 10
"""Lines that may wait for a slow reader; about 800 lines of a router."""
BURST_LINES = 4000
"""Lines that may be written at once after a quiet time."""


class BoundedSink:
    """A text stream over a descriptor, with a bound on waiting bytes and on lines per second."""

    def __init__(
        self, descriptor: int, lines_per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """
        Make the descriptor non-blocking.

        :param descriptor: open for writing
        :param lines_per_s: lines that are written on average at most
        :param clock: monotonic time
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._allowed = float(BURST_LINES)
        self._refilled_s = self._clock()
        self._waiting = bytearray()
        self.dropped_count = 0
        """Lines that were dropped since the start."""
        self._reported_count = 0

    def write(self, text: str) -> int:
        """
        Write a line, or drop it.

        :param text: the line with its end
        :return: length of the text
        """
        line = text.encode("utf-8", "replace")
        if not self._take(line):
            self.dropped_count += 1
            return len(text)
        if self.dropped_count > self._reported_count:
            count = self.dropped_count - self._reported_count
            self._waiting += b'{"event": "log lines dropped", "count": %d}\n' % count
            self._reported_count = self.dropped_count
        self._waiting += line
        self.flush()
        return len(text)

    def takes_more(self) -> bool:
        """
        Tell whether a line would be written now; a caller that is told so may drop it unrendered.

        :return: whether there is room and the rate is not used up; counts a line otherwise
        """
        if self._allowed < 1:
            self._refill()
        if self._allowed >= 1 and len(self._waiting) < BUFFER_BYTES:
            return True
        self.dropped_count += 1
        return False

    def flush(self) -> None:
        """Hand over as much as the reader takes now."""
        while self._waiting:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to report it.
                self._waiting.clear()
                return
            del self._waiting[:written]

    def _refill(self) -> None:
        now_s = self._clock()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._allowed = min(float(BURST_LINES), self._allowed + refill)
        self._refilled_s = now_s

    def _take(self, line: bytes) -> bool:
        self._refill()
        if self._allowed < 1 or len(self._waiting) + len(line) > BUFFER_BYTES:
            return False
        self._allowed -= 1
        return True


__all__ = ["BURST_LINES", "BoundedSink"]
