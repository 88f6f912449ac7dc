"""
Tests for the codec of messages between processes.

Guards against malformed frames that are decoded to a wrong message instead of being rejected.
"""

from __future__ import annotations

import unittest

from camphorvalve.wire.codec import DecodeError, Envelope, EnvelopeCodec
from camphorvalve.wire.messages import MESSAGES, Grant, Ping


class CodecTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = EnvelopeCodec(MESSAGES)

    def test_round_trip_keeps_sender_and_message(self) -> None:
        envelope = Envelope("router-1", 7, Grant(1, "p", "engine-1", "t", 1.0))
        self.assertEqual(self.codec.decode(self.codec.encode(envelope)), envelope)

    def test_malformed_frames_name_what_is_wrong(self) -> None:
        valid = self.codec.encode(Envelope("router-1", 7, Ping(1, False, ())))
        cases = {
            "truncated": valid[:-1],
            "empty": b"",
            "not MessagePack": b"\xc1",
            "unknown type": valid.replace(b"Ping", b"Pin2"),
            "deep nesting": b"\x91" * 5000 + b"\x01",
            "deep nesting in the message": valid.replace(b"\x93\x01", b"\x93" + b"\x91" * 5000),
            "wrong field type": valid.replace(b"\x93\x01", b"\x93\xc0"),
        }
        for name, frame in cases.items():
            with self.subTest(name), self.assertRaises(DecodeError) as caught:
                self.codec.decode(frame)
            self.assertTrue(str(caught.exception))
