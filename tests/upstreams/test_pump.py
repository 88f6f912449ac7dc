"""Guards against events that are passed on late, out of order or one by one."""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING

import anyio

from camphorvalve.upstreams.pump import coalesced

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

GATHER_S = 0.1


async def source(pause_s: float, count: int) -> AsyncIterator[bytes]:
    for number in range(count):
        yield b"%d" % number
        if pause_s:
            await anyio.sleep(pause_s)


class CoalescedTest(unittest.TestCase):
    def collect(self, pause_s: float, count: int, gather_s: float) -> list[tuple[float, bytes]]:
        async def run() -> list[tuple[float, bytes]]:
            began_s = time.monotonic()
            async with coalesced(source(pause_s, count), gather_s) as pieces:
                return [(time.monotonic() - began_s, piece) async for piece in pieces]

        return anyio.run(run)

    def test_first_piece_at_once(self) -> None:
        """Guards against a first event that waits for others, which is what objectives count."""
        found = self.collect(0.02, 5, GATHER_S)
        self.assertEqual(found[0][1], b"0")
        self.assertEqual(b"".join(piece for _, piece in found), b"01234")

    def test_pieces_that_are_there(self) -> None:
        """Guards against pieces that have arrived together and leave one by one."""
        self.assertEqual([piece for _, piece in self.collect(0.0, 9, GATHER_S)], [b"012345678"])

    def test_nothing_is_lost(self) -> None:
        """Guards against pieces that a pause drops or reorders."""
        for pause_s in (0.0, 0.001, 0.03):
            for gather_s in (0.0, 0.02):
                found = self.collect(pause_s, 20, gather_s)
                joined = b"".join(piece for _, piece in found)
                self.assertEqual(joined, b"".join(b"%d" % number for number in range(20)))


if __name__ == "__main__":
    unittest.main()
