"""Guards against streams with missing, repeated or truncated events."""

from __future__ import annotations

import unittest

from camphorvalve.upstreams.events import EventSequencer, OutOfOrderError


def event(number: int) -> bytes:
    return b"id: %d\ndata: tokens\n\n" % number


class EventSequencerTest(unittest.TestCase):
    def test_complete_events(self) -> None:
        """Guards against passing on part of an event, wherever the stream is split."""
        content = event(1) + event(2) + event(3)
        for split in range(len(content) + 1):
            sequencer = EventSequencer(None)
            first, second = sequencer.add(content[:split]), sequencer.add(content[split:])
            self.assertEqual(first + second, content)
            self.assertTrue(first == b"" or first.endswith(b"\n\n"))
            self.assertEqual((sequencer.last_number, sequencer.inside_event), (3, False))

    def test_truncated_stream(self) -> None:
        """Guards against taking a response that ends inside an event for a complete one."""
        sequencer = EventSequencer(None)
        self.assertEqual(sequencer.add(event(1) + event(2)[:8]), event(1))
        self.assertTrue(sequencer.inside_event)
        self.assertEqual(sequencer.last_number, 1)

    def test_continuation(self) -> None:
        """Guards against events that a second upstream repeats or omits."""
        sequencer = EventSequencer(4)
        self.assertEqual(sequencer.add(event(4) + event(5)), event(5))
        with self.assertRaises(OutOfOrderError):
            sequencer.add(event(7))

    def test_gap(self) -> None:
        """Guards against losing the events before a gap, which count as passed on."""
        sequencer = EventSequencer(None)
        sequencer.add(event(1))
        with self.assertRaises(OutOfOrderError) as caught:
            sequencer.add(event(2) + event(3) + event(5) + event(6))
        self.assertEqual(caught.exception.events, event(2) + event(3))
        self.assertEqual(sequencer.last_number, 3)

    def test_continuation_without_numbers(self) -> None:
        """Guards against events at an unknown place of a stream, which the caller may have."""
        for unplaced in (b"data: 5\n\n", event(4) + b"data: 5\n\n", b": x\ndata: 5\n\n"):
            with self.subTest(unplaced), self.assertRaises(OutOfOrderError):
                EventSequencer(4, continues=True).add(unplaced)
        content = b": wait\n\n" + event(5) + b"data: 5\n\n"
        self.assertEqual(EventSequencer(4, continues=True).add(content), content)

    def test_endless_number(self) -> None:
        """Guards against an internal error for a number of thousands of digits, which the caller's
        stream would end with."""
        content = b"id: " + b"1" * 5000 + b"\ndata: 1\n\n"
        self.assertEqual(EventSequencer(None).add(content), content)
        with self.assertRaises(OutOfOrderError):
            EventSequencer(4, continues=True).add(content)

    def test_events_without_number(self) -> None:
        """Guards against dropping comments and events without a number."""
        sequencer = EventSequencer(None)
        content = b": wait\n\nid: x\ndata: 1\n\n"
        self.assertEqual(sequencer.add(content), content)


if __name__ == "__main__":
    unittest.main()
