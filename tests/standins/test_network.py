"""Guards against network cuts that let data through, or that lose data instead of holding it."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import AsyncExitStack

from tools.standins.network import open_network


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.network = await stack.enter_async_context(open_network())
        server = await asyncio.start_server(self._echo, "127.0.0.1", 0)
        stack.callback(server.close)
        port = server.sockets[0].getsockname()[1]
        self.ports = {
            source: await self.network.open_route(source, "echo", "127.0.0.1", port)
            for source in ("router-1", "router-2")
        }

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def connect(self, source: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[source])
        self.addCleanup(writer.close)
        return reader, writer

    async def test_refusing_cut_drops_one_pair_until_it_heals(self) -> None:
        reader, writer = await self.connect("router-1")
        writer.write(b"before")
        self.assertEqual(await reader.readexactly(6), b"before")
        self.assertEqual(await self.network.cut("router-1", "*"), 1)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        with self.assertRaises(ConnectionRefusedError):
            await self.connect("router-1")
        _, other_writer = await self.connect("router-2")
        other_writer.close()
        await self.network.cut("router-1", "*", None)
        reader, writer = await self.connect("router-1")
        writer.write(b"after")
        self.assertEqual(await reader.readexactly(5), b"after")

    async def test_blackhole_passes_nothing_and_loses_nothing(self) -> None:
        reader, writer = await self.connect("router-1")
        writer.write(b"1")
        await reader.readexactly(1)
        await self.network.cut("*", "*", "blackhole")
        writer.write(b"2")
        _, late_writer = late_streams = await self.connect("router-2")
        late_writer.write(b"3")
        for reader_without_data in (reader, late_streams[0]):
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await reader_without_data.readexactly(1)
        await self.network.cut("*", "*", None)
        self.assertEqual(await reader.readexactly(1), b"2")
        self.assertEqual(await late_streams[0].readexactly(1), b"3")

    async def test_delay_holds_back_and_keeps_the_order(self) -> None:
        reader, writer = await self.connect("router-1")
        self.assertEqual(self.network.delay("router-1", "echo", 50.0), 1)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        sent = [b"%03d" % number for number in range(100)]
        for chunk in sent:
            writer.write(chunk)
            await asyncio.sleep(0)
        self.assertEqual(await reader.readexactly(300), b"".join(sent))
        self.assertGreaterEqual(loop.time() - started_s, 0.099)


if __name__ == "__main__":
    unittest.main()
