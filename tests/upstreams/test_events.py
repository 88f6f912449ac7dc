"""Guards against streams with missing, doubled or cut events."""

from __future__ import annotations

import unittest

from camphorvalve.upstreams.events import EventCutter, OutOfOrderError


def event(number: int) -> bytes:
    return b"id: %d\ndata: tokens\n\n" % number


class EventCutterTest(unittest.TestCase):
    def test_whole_events(self) -> None:
        """Guards against half an event that is passed on, at any place of a cut."""
        content = event(1) + event(2) + event(3)
        for cut in range(len(content) + 1):
            cutter = EventCutter(None)
            first, second = cutter.add(content[:cut]), cutter.add(content[cut:])
            self.assertEqual(first + second, content)
            self.assertTrue(first == b"" or first.endswith(b"\n\n"))
            self.assertEqual((cutter.last_number, cutter.inside_event), (3, False))

    def test_broken_off(self) -> None:
        """Guards against an answer that ends inside an event and looks whole."""
        cutter = EventCutter(None)
        self.assertEqual(cutter.add(event(1) + event(2)[:8]), event(1))
        self.assertTrue(cutter.inside_event)
        self.assertEqual(cutter.last_number, 1)

    def test_continuation(self) -> None:
        """Guards against events that a second upstream sends again or leaves out."""
        cutter = EventCutter(4)
        self.assertEqual(cutter.add(event(4) + event(5)), event(5))
        with self.assertRaises(OutOfOrderError):
            cutter.add(event(7))

    def test_events_without_number(self) -> None:
        """Guards against comments and unnumbered events that are dropped."""
        cutter = EventCutter(None)
        content = b": wait\n\nid: x\ndata: 1\n\n"
        self.assertEqual(cutter.add(content), content)


if __name__ == "__main__":
    unittest.main()
