"""Output of log lines that never blocks: lines over its limits are dropped and counted."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

BUFFER_BYTES = 256 << 10
"""Size of the buffer for a slow reader; it holds about 800 lines of a router."""
BURST_LINES = 4000
"""Lines that may be written at once after an idle period."""


class BoundedSink:
    """Text stream on a file descriptor that limits the buffered bytes and the lines per second."""

    def __init__(
        self, descriptor: int, lines_per_s: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """
        Make the descriptor non-blocking.

        :param descriptor: open for writing
        :param lines_per_s: maximum average rate of lines
        :param clock: monotonic time
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._clock = clock
        self._tokens_count = float(BURST_LINES)
        self._refilled_s = self._clock()
        self._buffer = bytearray()
        self.dropped_count = 0
        """Lines dropped since the process started."""
        self._reported_dropped_count = 0

    def write(self, text: str) -> int:
        """
        Write a line, or drop it.

        :param text: the line, including the newline
        :return: length of the text
        """
        line = text.encode("utf-8", "replace")
        if not self._admit(line):
            self.dropped_count += 1
            return len(text)
        if self.dropped_count > self._reported_dropped_count:
            count = self.dropped_count - self._reported_dropped_count
            self._buffer += b'{"event": "log lines dropped", "count": %d}\n' % count
            self._reported_dropped_count = self.dropped_count
        self._buffer += line
        self.flush()
        return len(text)

    def accepts_line(self) -> bool:
        """
        Check whether a line would be written now, and count a dropped line if not.

        A caller that gets ``False`` drops the line without rendering it.

        :return: whether the buffer has room and the rate is not exceeded
        """
        if self._tokens_count < 1:
            self._refill_tokens()
        if self._tokens_count >= 1 and len(self._buffer) < BUFFER_BYTES:
            return True
        self.dropped_count += 1
        return False

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is no other place to report it.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def _refill_tokens(self) -> None:
        now_s = self._clock()
        refill_count = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens_count = min(float(BURST_LINES), self._tokens_count + refill_count)
        self._refilled_s = now_s

    def _admit(self, line: bytes) -> bool:
        self._refill_tokens()
        if self._tokens_count < 1 or len(self._buffer) + len(line) > BUFFER_BYTES:
            return False
        self._tokens_count -= 1
        return True


__all__ = ["BURST_LINES", "BoundedSink"]
