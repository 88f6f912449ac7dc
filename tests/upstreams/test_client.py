"""Guards against lost data, late delivery and unbounded buffering in the HTTP client."""

from __future__ import annotations

import asyncio
import socket
import unittest
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING

import httpx
from tools.standins.service import Service
from tools.standins.serving import listening_socket, serve_app

from camphorvalve.upstreams.client import create_client, keep_connection
from camphorvalve.upstreams.pump import READ_AHEAD_BYTES, coalesced
from tests.rawpeers import Script, upstream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LARGE_BYTES = 8 << 20
"""More than the buffers of the kernel and of the event loop hold."""
CHUNK_BYTES = 256 << 10
CHUNKS_COUNT = 128


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.client = await self.stack.enter_async_context(
            create_client(unacknowledged_timeout_s=1.5)
        )

    async def test_large_bodies_arrive_complete_in_both_directions(self) -> None:
        url = await self.stack.enter_async_context(serve_app(Service()))
        body = b"x" * (2 << 20)
        response = await self.client.post(f"{url}/echo", content=body, timeout=30)
        self.assertEqual(response.json()["body"], body.decode())

    async def test_an_abandoned_request_is_not_written_later(self) -> None:
        listener = listening_socket()
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        with self.assertRaises(httpx.WriteTimeout):
            await self.client.post(url, content=b"x" * LARGE_BYTES, timeout=0.2)
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(listener)
        received_bytes = 0
        with suppress(ConnectionResetError):
            while data := await loop.sock_recv(accepted, 1 << 20):
                received_bytes += len(data)
        self.assertLess(received_bytes, LARGE_BYTES)
        accepted.close()
        listener.close()

    async def test_end_of_an_idle_connection(self) -> None:
        """Guards against an upstream that starts again and is not asked for its start, as only idle
        connections to it have ended, and against questions at each regular close."""
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n"
        kept, closed = head + b"\r\nyes", head + b"connection: close\r\n\r\nyes"
        rows = [(kept, "close", 1), (kept, "reset", 1), (kept, "keep", 0), (closed, "close", 0)]
        for content, ending, ends_count in rows:
            with self.subTest(ending, content=content):
                ended: list[str] = []
                script = Script(content, ending, pause_s=0.05)
                async with (
                    create_client(on_idle_end=ended.append) as client,
                    upstream(script) as (url, _),
                ):
                    request = client.build_request("GET", url)
                    response = await client.send(request, stream=True)
                    keep_connection(response)
                    await response.aread()
                    await asyncio.sleep(0.15)
                    self.assertEqual(ended, [url] * ends_count)

    async def test_a_slow_reader_stops_the_sender_and_loses_nothing(self) -> None:
        sent_bytes = 0

        async def send(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent_bytes
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
            for _ in range(CHUNKS_COUNT):
                writer.write(b"x" * CHUNK_BYTES)
                await writer.drain()
                sent_bytes += CHUNK_BYTES
            writer.close()

        server = await asyncio.start_server(send, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        received_bytes = 0
        async with self.client.stream("GET", f"http://127.0.0.1:{port}/", timeout=30) as response:
            await asyncio.sleep(0.2)
            self.assertLess(sent_bytes, CHUNKS_COUNT * CHUNK_BYTES)
            async for chunk in response.aiter_raw():
                received_bytes += len(chunk)
        self.assertEqual(received_bytes, CHUNKS_COUNT * CHUNK_BYTES)
        server.close()

    async def test_the_unacknowledged_timeout_is_set_on_the_socket(self) -> None:
        url = await self.stack.enter_async_context(serve_app(Service()))
        async with self.client.stream("GET", url) as response:
            stream = response.extensions["network_stream"]
            opened = stream.get_extra_info("socket")
            timeout_ms = opened.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(timeout_ms, 1500)


class CoalescedTest(unittest.IsolatedAsyncioTestCase):
    async def test_chunks_that_arrive_together_are_joined(self) -> None:
        async def source() -> AsyncIterator[bytes]:
            for iteration in range(3):
                for _ in range(4):
                    yield b"%d" % iteration
                for _ in range(5):
                    await asyncio.sleep(0)

        cases = {
            "fast reader": (0, [b"0000", b"1111", b"2222"]),
            "slow reader": (30, [b"0000", b"11112222"]),
        }
        for name, (iterations_count, expected) in cases.items():
            with self.subTest(name):
                received = []
                async with coalesced(source()) as chunks:
                    async for chunk in chunks:
                        received.append(chunk)
                        for _ in range(iterations_count):
                            await asyncio.sleep(0)
                self.assertEqual(received, expected)

    async def test_a_slow_reader_stops_the_source(self) -> None:
        produced_bytes = 0

        async def source() -> AsyncIterator[bytes]:
            nonlocal produced_bytes
            while True:
                produced_bytes += 1024
                yield b"x" * 1024

        async with coalesced(source()) as chunks:
            await anext(chunks)
            for _ in range(50):
                await asyncio.sleep(0)
            self.assertLessEqual(produced_bytes, 2 * READ_AHEAD_BYTES + 2048)

    async def test_an_error_is_raised_after_the_chunks_before_it(self) -> None:
        async def source() -> AsyncIterator[bytes]:
            yield b"before"
            raise httpx.ReadError("cut")

        received = []
        with self.assertRaises(httpx.ReadError):
            async with coalesced(source()) as chunks:
                async for chunk in chunks:
                    received.append(chunk)
        self.assertEqual(received, [b"before"])


if __name__ == "__main__":
    unittest.main()
