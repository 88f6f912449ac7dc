"""Guards against reuse of dead connections, waits without end, and pools that pile up."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING
from unittest import mock

import httpx
from tools.standins.serving import listening_socket

from camphorvalve.upstreams import client as client_module
from camphorvalve.upstreams.client import create_client

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SOON_S = 0.05


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.client = await self.stack.enter_async_context(create_client())
        self.opened_count = 0

    async def serve(self, after: Serve) -> str:
        """Answer each request, and call ``after`` once on each connection."""

        async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.opened_count += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
            await after(reader, writer)

        server = await asyncio.start_server(run, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"

    async def twice(self, url: str) -> list[str]:
        first = await self.client.get(url)
        await asyncio.sleep(SOON_S)
        return [first.text, (await self.client.get(url)).text]

    async def test_a_connection_that_ended_or_has_stray_bytes_is_not_used_again(self) -> None:
        async def close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.close()

        async def stray(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(SOON_S / 5)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")

        async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(SOON_S / 5)
            writer.transport.abort()

        for after in (close, stray, reset):
            with self.subTest(after.__name__):
                self.opened_count = 0
                self.assertEqual(await self.twice(await self.serve(after)), ["ok", "ok"])
                self.assertEqual(self.opened_count, 2)

    async def test_a_kept_connection_is_used_again(self) -> None:
        async def again(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)

        self.assertEqual(await self.twice(await self.serve(again)), ["ok", "ok"])
        self.assertEqual(self.opened_count, 1)

    async def test_waits_end_in_time(self) -> None:
        async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        silent = listening_socket()
        self.addCleanup(silent.close)
        cases = {
            "no answer": (f"http://127.0.0.1:{silent.getsockname()[1]}/", httpx.ReadTimeout),
            "no listener": ("http://127.0.0.1:1/", httpx.ConnectError),
        }
        for name, (url, error) in cases.items():
            with self.subTest(name), self.assertRaises(error):
                await self.client.get(url, timeout=SOON_S)
        url = await self.serve(hang)
        await self.client.get(url)
        with self.subTest("silence on a kept connection"), self.assertRaises(httpx.ReadTimeout):
            await self.client.get(url, timeout=SOON_S)

    async def test_connections_to_upstreams_that_are_gone_are_closed(self) -> None:
        ended = asyncio.Event()

        async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            ended.set()

        await self.client.get(await self.serve(watch))
        with mock.patch.object(client_module, "IDLE_POOL_S", 0.0):
            await self.client.get(await self.serve(watch))
        async with asyncio.timeout(5):
            await ended.wait()


if __name__ == "__main__":
    unittest.main()
