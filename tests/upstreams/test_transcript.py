"""Guards against events that are split, lost or counted twice."""

from __future__ import annotations

import unittest

from camphorvalve.upstreams.options import ContinueText, FromStart
from camphorvalve.upstreams.transcript import DONE, Transcript

EVENTS = b'id: 1\ndata: {"text":" a\\n\\n","index":1}\n\nid: 2\ndata: {"text":" b","index":2}\n\n'


class TranscriptTest(unittest.TestCase):
    def test_only_complete_events_are_returned_wherever_the_stream_is_split(self) -> None:
        stream = EVENTS + DONE
        for split in range(len(stream) + 1):
            with self.subTest(split=split):
                transcript = Transcript(FromStart())
                first, first_count = transcript.add(stream[:split])
                self.assertTrue(first == b"" or first.endswith(b"\n\n"))
                self.assertEqual(first_count, transcript.last_number())
                second, second_count = transcript.add(stream[split:])
                self.assertEqual(first + second, stream)
                self.assertEqual(first_count + second_count, 2)
                self.assertTrue(transcript.done)
                self.assertEqual(transcript.text(), " a\n\n b")

    def test_a_continued_stream_keeps_earlier_events_and_text(self) -> None:
        transcript = Transcript(ContinueText(7, "before"))
        self.assertEqual((transcript.last_number(), transcript.text()), (7, "before"))
        transcript.add(EVENTS.replace(b"id: 1", b"id: 8").replace(b"id: 2", b"id: 9"))
        self.assertEqual((transcript.last_number(), transcript.text()), (9, "before a\n\n b"))
        self.assertFalse(transcript.done)

    def test_only_event_numbers_move_the_point_to_resume(self) -> None:
        cases = {
            "comment": b": still here\n\n",
            "event without number": b"event: note\ndata: {}\n\n",
            "number in a text": b'data: {"text":"\\nid: 7"}\n\n',
        }
        for name, extra in cases.items():
            with self.subTest(name):
                transcript = Transcript(FromStart())
                transcript.add(EVENTS + extra)
                self.assertEqual(transcript.last_number(), 2)

    def test_endless_number(self) -> None:
        """Guards against an internal error, when the stream breaks off, for a number of thousands
        of digits."""
        transcript = Transcript(FromStart())
        transcript.add(b"id: " + b"1" * 5000 + b"\n\n")
        self.assertEqual(transcript.last_number(), 0)


if __name__ == "__main__":
    unittest.main()
