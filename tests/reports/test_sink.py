"""Guards against logs that block or end the process, grow without bound, or lose lines silently."""

from __future__ import annotations

import os
import unittest

from camphorvalve.reports.sink import BURST_LINES, BoundedSink


class BoundedSinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.now_s = 0.0

    def sink(self, lines_per_s: float = 1e9) -> BoundedSink:
        return BoundedSink(self.writer, lines_per_s, lambda: self.now_s)

    def test_full_pipe(self) -> None:
        """Guards against a write that blocks on a full pipe, and against lines that are cut."""
        sink = self.sink()
        for number in range(3000):
            sink.write(f"{number:06}" + "x" * 300 + "\n")
            self.now_s += 1.0
        self.assertGreater(sink.dropped_count, 0)
        os.set_blocking(self.reader, False)
        received = b""
        for _ in range(100):
            try:
                received += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                sink.flush()
        sink.write("last\n")
        received += os.read(self.reader, 1 << 20)
        lines = received.splitlines()
        self.assertEqual(lines[-1], b"last")
        self.assertIn(b"log lines dropped", lines[-2])
        self.assertIn(str(sink.dropped_count).encode(), lines[-2])
        self.assertTrue(all(len(line) == 306 for line in lines[:-2]))

    def test_rate(self) -> None:
        """Guards against a volume of logs that grows with the load."""
        sink = self.sink(lines_per_s=10.0)
        for _ in range(BURST_LINES + 50):
            sink.write("\n")
        self.assertEqual(sink.dropped_count, 50)
        self.now_s += 1.0
        for _ in range(12):
            sink.write("\n")
        self.assertEqual(sink.dropped_count, 52)

    def test_reader_gone(self) -> None:
        """Guards against a process that ends because the reader of its logs has closed the pipe."""
        reader, writer = os.pipe()
        sink = BoundedSink(writer, 1e9)
        os.close(reader)
        sink.write("line\n")
        os.close(writer)


if __name__ == "__main__":
    unittest.main()
