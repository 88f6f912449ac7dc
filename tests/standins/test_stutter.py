"""Guards against raw workers whose first response is not whole, or whose faults have no effect."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from tools.standins.stutter import (
    PLACES,
    SILENCE_S,
    InPlace,
    Once,
    Reset,
    Shares,
    Silent,
    StutteringWorkers,
)

from tests.responsebuilders import a_call

if TYPE_CHECKING:
    from tools.standins.stutter import Reply

    from tests.processes.keptcallers import SentCall

CALLS_COUNT = 40
SEED = 7
WAIT_S = 0.6
"""Longer than any second response takes."""


def encoded(call: SentCall) -> bytes:
    """Return a request whose pieces are sent at once."""
    return b"".join(call.encode())


class StutterTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, port: int, *contents: bytes) -> bytes:
        """Send requests on one connection, and return what is received in ``WAIT_S``."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        received = b""
        try:
            async with asyncio.timeout(WAIT_S):
                for content in contents:
                    writer.write(content)
                while piece := await reader.read(1 << 16):
                    received += piece
        except (TimeoutError, ConnectionResetError):
            pass
        finally:
            writer.transport.abort()
        return received

    async def send_and_time(self, port: int, content: bytes) -> list[tuple[float, bytes]]:
        """Send a request, and return the pieces received with the time before each."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        loop = asyncio.get_running_loop()
        pieces = []
        try:
            async with asyncio.timeout(SILENCE_S[1] + WAIT_S):
                writer.write(content)
                last_s = loop.time()
                while piece := await reader.read(1 << 16):
                    pieces.append((loop.time() - last_s, piece))
                    last_s = loop.time()
        except TimeoutError:
            pass
        finally:
            writer.transport.abort()
        return pieces

    async def play(self, shares: Shares, kind: str = "safe") -> list[tuple[bytes, Reply]]:
        """Return what was received for each request, and the worker's record of its response."""
        workers = StutteringWorkers("engines", SEED, shares)
        self.addAsyncCleanup(workers.close)
        port = await workers.start("i-1")
        calls = [a_call(kind, request_id=f"id-{number}") for number in range(CALLS_COUNT)]
        received = await asyncio.gather(*(self.send(port, encoded(call)) for call in calls))
        return [
            (content, workers.record.replies[call.request_id][0])
            for content, call in zip(received, calls, strict=True)
        ]

    async def test_framings(self) -> None:
        """Each framing carries the recorded body, and a second response follows each first one."""
        for framing in ("length", "chunks", "close"):
            with self.subTest(framing):
                shares = Shares(second=1.0, reset=0.0, refusal=0.0, framings=(framing,))
                played = await self.play(shares)
                seconds_count = 0
                for received, reply in played:
                    self.assertEqual(received.split(b"\r\n")[0][9:12], b"%d" % reply.status)
                    self.assertIn(reply.content, received)
                    rest = received[received.index(reply.content) + len(reply.content) :]
                    rest = rest.removeprefix(b"\r\n0\r\n\r\n")
                    self.assertTrue(received.startswith(rest))
                    self.assertNotIsInstance(reply.fault, Once)
                    # Without a next request there is nothing that the copy could take the place of.
                    if framing == "close" or not isinstance(reply.fault, InPlace):
                        self.assertTrue(rest, reply.fault)
                    seconds_count += bool(rest)
                self.assertGreater(seconds_count, CALLS_COUNT // 2)

    async def test_resets(self) -> None:
        """A reset response lacks its last byte at least."""
        for received, reply in await self.play(Shares(second=0.0, reset=1.0)):
            self.assertIsInstance(reply.fault, Reset)
            self.assertFalse(reply.is_whole)
            self.assertFalse(reply.content and received.endswith(reply.content), reply)

    async def test_silences(self) -> None:
        """A silent response stands still once, at its place, and is whole afterwards."""
        workers = StutteringWorkers("engines", SEED, Shares(0.0, 0.0, refusal=0.0, silent=1.0))
        self.addAsyncCleanup(workers.close)
        port = await workers.start("i-1")
        calls = [
            a_call(("safe", "feed")[number % 2], request_id=f"id-{number}")
            for number in range(CALLS_COUNT)
        ]
        played = await asyncio.gather(*(self.send_and_time(port, encoded(call)) for call in calls))
        places = set()
        for call, pieces in zip(calls, played, strict=True):
            fault = workers.record.replies[call.request_id][0].fault
            assert isinstance(fault, Silent)
            whole = b"".join(piece for _, piece in pieces)
            silent = max(range(len(pieces)), key=lambda number: pieces[number][0])
            before = b"".join(piece for _, piece in pieces[:silent])
            self.assertEqual(len(before), fault.offset_bytes(whole), fault)
            places.add(fault.place)
        self.assertEqual(places, set(PLACES))

    async def test_streams(self) -> None:
        """A stream has each event once, whatever frames it."""
        for received, reply in await self.play(Shares(0.0, 0.0, refusal=0.0), "feed"):
            self.assertEqual(reply.content.count(b"id: "), received.count(b"id: "))
            self.assertGreater(received.count(b"id: "), 2)

    async def test_same_seed(self) -> None:
        """The same seed has the same faults."""
        first, second = [await self.play(Shares()) for _ in range(2)]
        connection = {"connection_number": 0}
        self.assertEqual(
            [reply._replace(**connection) for _, reply in first],
            [reply._replace(**connection) for _, reply in second],
        )

    async def test_refusals(self) -> None:
        """A request for another worker is not run."""
        workers = StutteringWorkers("engines", SEED, Shares(0.0, 0.0))
        self.addAsyncCleanup(workers.close)
        port = await workers.start("i-1")
        content = encoded(a_call()).replace(b"\r\n\r\n", b"\r\nTarget-Instance: i-2\r\n\r\n", 1)
        received = await self.send(port, content)
        self.assertTrue(received.startswith(b"HTTP/1.1 421 "), received)
        self.assertFalse(workers.record.runs)

    async def test_copy_in_place_of_the_next_response(self) -> None:
        """The response to the next request on the connection comes behind the copy, or not."""
        workers = StutteringWorkers("engines", SEED, Shares(1.0, 0.0, 0.0, 0.0, ("length",)))
        self.addAsyncCleanup(workers.close)
        port = await workers.start("i-1")
        pairs = [
            tuple(a_call(request_id=f"{part}-{number}") for part in ("first", "next"))
            for number in range(CALLS_COUNT)
        ]
        all_received = await asyncio.gather(
            *(self.send(port, *(encoded(call) for call in pair)) for pair in pairs)
        )
        found = set()
        for (first, second), received in zip(pairs, all_received, strict=True):
            fault = workers.record.replies[first.request_id][0].fault
            if isinstance(fault, InPlace):
                found.add(fault.swallows_next)
                ids = [f"Attempt-Id: {call.request_id}".encode() for call in (first, second)]
                self.assertEqual(received.count(ids[0]), 2)
                self.assertEqual(ids[1] not in received, fault.swallows_next)
        self.assertEqual(found, {True, False})


if __name__ == "__main__":
    unittest.main()
