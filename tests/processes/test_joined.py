"""Guards the path from seeds to answers, and acknowledged manifests, with real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tools.joinedfleet import JoinedFleet
from tools.standins.karrilane import Workers
from tools.standins.serving import running

from tests.routebuilders import a_document

if TYPE_CHECKING:
    import httpx

CONTROLLERS = ["controller-1", "controller-2", "controller-3", "controller-4", "controller-5"]
ROUTERS = ["router-1", "router-2"]
ROUTES = [
    {
        "name": name,
        "host": "desk.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 4000,
        "service": "engines",
        "maxAttempts": 2,
        "resumable": kind == "streaming",
    }
    for name, kind in (("stream", "streaming"), ("once", "unsafe"))
]


class JoinedFleetTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await AsyncExitStack().__aenter__()
        self.addAsyncCleanup(self.stack.aclose)
        folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        self.workers = Workers("engines")
        list_url = await self.stack.enter_async_context(running(self.workers.serve_list))
        for worker_id in ("i-1", "i-2"):
            app = self.workers.worker(worker_id)
            self.workers.add(worker_id, await self.stack.enter_async_context(running(app)))
        self.fleet = JoinedFleet(folder, list_url)
        self.stack.push_async_callback(self.fleet.close)
        self.fleet.seeds = CONTROLLERS[:3]
        # Nobody listens yet when the first ones look for the others.
        for name in [*ROUTERS, *CONTROLLERS[::-1]]:
            await self.fleet.start(name, bootstrap=True)
        await self.fleet.until(lambda: self.accepted("controller-4", 5))
        for router in ROUTERS:
            await self.fleet.until(lambda router=router: self.fleet.is_ready(router))

    def document(self, version: int) -> bytes:
        return a_document(version=version, routes=ROUTES)

    async def accepted(self, name: str, version: int) -> bool:
        return await self.fleet.put(name, self.document(version)) == 200

    async def version(self, name: str) -> int:
        document = await self.fleet.read(name)
        return -1 if document is None else document["version"]

    async def call(self, path: str, router: str = "router-1", **headers: str) -> httpx.Response:
        sent = {
            "host": "desk.example",
            "credential": "key-1",
            "attempt-id": f"id-{len(self.workers.runs)}-{path}",
            "deadline-ms": "3000",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = self.fleet.url(router, self.fleet.ports.front) + path
        return await self.fleet.client.post(url, content=b"violins", headers=sent)

    async def addresses(self, router: str) -> list[str]:
        url = self.fleet.url(router, self.fleet.ports.directory) + "/-/resolve?name=desk.example"
        return (await self.fleet.client.get(url)).json()["addresses"]

    def logged(self, name: str, event: str) -> list[dict[str, Any]]:
        lines = map(json.loads, self.fleet.log(name).splitlines())
        return [line for line in lines if line["event"] == event]

    async def all_controllers_vote(self) -> bool:
        found = self.logged("router-1", "roster received")
        return bool(found) and len(found[-1]["controllers"]) == len(CONTROLLERS)

    async def test_calls(self) -> None:
        """Guards the whole path: directory, request, stream, continuation, refusal."""
        answer = await self.call("/once/1", tenant="forged", hold="forged")
        self.assertEqual(answer.status_code, 200)
        run = self.workers.runs[-1]
        self.assertEqual((run.target, run.body), ("/once/1", b"violins"))
        self.assertEqual(run.headers["tenant"], "youth")
        self.assertNotIn("hold", run.headers)
        self.assertNotIn("credential", run.headers)
        self.assertEqual(answer.headers["server-stamp"], f"stamp of {run.worker_id}")
        self.workers.cut_after = 1
        answer = await self.call("/stream/1")
        self.assertEqual(
            [line for line in answer.text.split("\n") if "id" in line], ["id: 1", "id: 2", "id: 3"]
        )
        first, second = self.workers.runs[-2:]
        self.assertNotEqual(first.worker_id, second.worker_id)
        self.assertEqual(answer.headers["server-stamp"], f"stamp of {first.worker_id}")
        self.assertEqual((await self.call("/none/1")).status_code, 404)
        self.assertEqual((await self.call("/once/1", credential="x")).status_code, 401)
        expected = {f"{self.fleet.ip(one)}:{self.fleet.ports.front}" for one in ROUTERS}
        await self.fleet.until(lambda: self.listed(expected))

    async def listed(self, expected: set[str]) -> bool:
        return set(await self.addresses("router-1")) == expected

    async def test_graceful_stop(self) -> None:
        """Guards against a stop that cuts a stream, or that callers are not told of."""
        self.workers.events_count, self.workers.event_pause_s = 20, 0.1
        async with asyncio.TaskGroup() as tasks:
            stream = tasks.create_task(self.call("/stream/1", "router-2"))
            await asyncio.sleep(0.3)
            stop = tasks.create_task(self.fleet.stop("router-2", signal.SIGTERM))
            await asyncio.sleep(0.2)
            self.assertFalse(await self.fleet.is_ready("router-2"))
            own = f"{self.fleet.ip('router-1')}:{self.fleet.ports.front}"
            await self.fleet.until(lambda: self.listed({own}), 3.0)
        self.assertEqual(stream.result().text.count("data:"), 20)
        self.assertEqual(stop.result(), 0)

    async def test_reload(self) -> None:
        """Guards against a SIGHUP that ends a process."""
        for name in ("router-1", "controller-1"):
            self.fleet._processes[name].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        self.assertTrue(await self.fleet.is_ready("router-1"))
        self.assertTrue(await self.accepted("controller-1", 6))

    async def test_controllers_lost(self) -> None:
        """Guards against an acknowledged manifest that is lost with disks, or read back older."""
        await self.fleet.until(self.all_controllers_vote)
        self.assertTrue(await self.accepted("controller-2", 10))
        # The one that acknowledged comes back empty, all others come back as they were.
        for name in CONTROLLERS:
            await self.fleet.stop(name)
        self.fleet.wipe("controller-2")
        for name in CONTROLLERS:
            await self.fleet.start(name)
        for name in CONTROLLERS:
            await self.fleet.until(lambda name=name: self.reads(name, 10))
        # Replaced for good by an empty one elsewhere, while only the other seeds are known.
        await self.fleet.stop("controller-1")
        self.fleet.seeds = ["controller-3", "controller-4"]
        await self.fleet.start("controller-6")
        await self.fleet.until(lambda: self.reads("controller-6", 10))
        self.assertTrue(await self.accepted("controller-6", 11))
        for name in [*CONTROLLERS[1:], "controller-6"]:
            self.assertEqual(await self.version(name), 11)
        # No majority: nobody may answer a read.
        for name in ("controller-3", "controller-4", "controller-5", "controller-6"):
            await self.fleet.stop(name)
        self.assertIsNone(await self.fleet.read("controller-2"))

    async def reads(self, name: str, version: int) -> bool:
        found = await self.version(name)
        self.assertIn(found, (-1, version))
        return found == version


if __name__ == "__main__":
    unittest.main()
