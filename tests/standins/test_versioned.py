"""Guards against workers of several versions whose streams don't show who wrote them."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING

from tools.standins.serving import serve_app
from tools.standins.versioned import (
    EVENTS_COUNT,
    MidEventReset,
    Silence,
    VersionedWorkers,
    VersionShares,
    versioned_event,
)

from tests.processes.keptcallers import body_pieces
from tests.responsebuilders import a_call

if TYPE_CHECKING:
    from tests.processes.keptcallers import SentCall

SEED = 7
WAIT_S = 5.0
LAG_S = 0.3
CALL = a_call("stream")
NO_FAULTS = VersionShares()


async def exchange(port: int, call: SentCall) -> tuple[str, bytes]:
    """Send a request; return the status line, and the body as far as it arrived."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head, body = "", bytearray()
    try:
        async with asyncio.timeout(WAIT_S):
            writer.writelines(call.encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            is_chunked = "chunked" in head
            headers = {"transfer-encoding": "chunked"} if is_chunked else {"content-length": "0"}
            async for piece in body_pieces(reader, headers):
                body += piece
    except (ConnectionError, EOFError):
        pass
    finally:
        writer.transport.abort()
    return head.partition("\r\n")[0], bytes(body)


def events(version: str, run_id: str, first: int, last: int = EVENTS_COUNT) -> bytes:
    numbers = range(first, last + 1)
    return b"".join(versioned_event(CALL.request_id, version, run_id, n) for n in numbers)


class VersionedWorkersTest(unittest.IsolatedAsyncioTestCase):
    def workers(self, shares: VersionShares = NO_FAULTS, slots: int = 2) -> VersionedWorkers:
        workers = VersionedWorkers("engines", SEED, shares, slots)
        self.addAsyncCleanup(workers.close)
        return workers

    async def entries(self, url: str) -> dict[str, tuple[str, str]]:
        """Return the version and the state of each listed worker."""
        host, _, port = url.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: list\r\nConnection: close\r\n\r\n")
        content = (await reader.read()).partition(b"\r\n\r\n")[2]
        writer.close()
        listed = json.loads(content)["instances"]
        return {entry["id"]: (entry["version"], entry["state"]) for entry in listed}

    async def test_stream(self) -> None:
        workers = self.workers()
        port = await workers.start("i-1", "v1.1")
        status, body = await exchange(port, CALL)
        (run,) = workers.record.runs[CALL.request_id]
        self.assertEqual(status, "HTTP/1.1 200 OK")
        self.assertEqual(body, events("v1.1", run.run_id, 1))

    async def test_stream_goes_on_at_another_version(self) -> None:
        """The workers don't compare versions, so that a text that two of them wrote shows."""
        workers = self.workers()
        port = await workers.start("i-2", "v1.2")
        position = (("Last-Event-Id", "25"),)
        _, body = await exchange(port, CALL._replace(headers=position))
        (run,) = workers.record.runs[CALL.request_id]
        self.assertEqual((run.first_number, body), (26, events("v1.2", run.run_id, 26)))

    async def test_reset(self) -> None:
        workers = self.workers(VersionShares(reset=1.0))
        port = await workers.start("i-1", "v1.1")
        _, body = await exchange(port, CALL)
        (run,) = workers.record.runs[CALL.request_id]
        assert isinstance(run.fault, MidEventReset)
        whole = events("v1.1", run.run_id, 1, run.fault.number - 1)
        self.assertTrue(body.startswith(whole))
        rest, cut = body.removeprefix(whole), events("v1.1", run.run_id, run.fault.number)
        self.assertTrue(cut.startswith(rest))
        self.assertNotIn(b"\n\n", rest)

    async def test_silence(self) -> None:
        workers = self.workers(VersionShares(silent=1.0))
        port = await workers.start("i-1", "v1.1")
        _, body = await exchange(port, CALL)
        (run,) = workers.record.runs[CALL.request_id]
        self.assertIsInstance(run.fault, Silence)
        self.assertEqual(body, events("v1.1", run.run_id, 1))

    async def test_refusals(self) -> None:
        """Guards against a run without a free slot, or at another worker than the expected one."""
        workers = self.workers(slots=1)
        port = await workers.start("i-1", "v1.1")
        async with asyncio.TaskGroup() as tasks:
            running = tasks.create_task(exchange(port, CALL))
            await asyncio.sleep(0.1)
            refused, _ = await exchange(port, CALL._replace(request_id="id-2"))
        self.assertEqual(running.result()[0], "HTTP/1.1 200 OK")
        self.assertEqual(refused, "HTTP/1.1 503 Full")
        expected = (("Target-Instance", "i-2"),)
        misdirected, _ = await exchange(port, CALL._replace(headers=expected))
        self.assertEqual(misdirected, "HTTP/1.1 421 Misdirected")
        self.assertEqual(list(workers.record.runs), [CALL.request_id])

    async def test_list_and_services(self) -> None:
        """Guards against a list that doesn't lag, and times of service that outlast a worker."""
        workers = self.workers()
        clock = asyncio.get_running_loop().time
        await workers.start("i-1", "v1.1")
        began_s = clock()
        async with serve_app(workers.list_app()) as url, serve_app(workers.list_app(LAG_S)) as late:
            await asyncio.sleep(LAG_S)
            self.assertEqual(workers.record.serving_count("v1.1", began_s, clock()), 1)
            port = await workers.end("i-1")
            ended_s = clock()
            await workers.start("i-1", "v1.2", port)
            self.assertEqual(await self.entries(url), {"i-1": ("v1.2", "ready")})
            self.assertEqual(await self.entries(late), {"i-1": ("v1.1", "ready")})
            workers.announce_end("i-1")
            self.assertEqual(await self.entries(url), {"i-1": ("v1.2", "draining")})
            workers.unlist("i-1")
            self.assertEqual(await self.entries(url), {})
        self.assertEqual(workers.record.serving_count("v1.1", began_s, ended_s + 1), 0)
        self.assertEqual(workers.record.serving_count("v1.2", ended_s, clock()), 0)


if __name__ == "__main__":
    unittest.main()
