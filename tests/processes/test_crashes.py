"""Guards against refusals beside upstreams that end, while another one is up and has room."""

from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

from tools.joinedfleet import JoinedFleet
from tools.standins.serving import serve_app
from tools.standins.stutter import Shares, StutteringWorkers

from tests.processes.joinedcase import ROUTERS, start_fleet
from tests.processes.keptcallers import CallerFleet, run_callers
from tests.routebuilders import a_document_of_all_kinds

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SEED = 1
CALLERS_COUNT = 10
"""Fewer than the requests that a router runs at one upstream."""
FAULT_AFTER_S = 1.0
DURATION_S = 5.0
WORKER_IDS = ("i-1", "i-2", "i-3")


class CrashTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = await AsyncExitStack().__aenter__()
        self.addAsyncCleanup(self.stack.aclose)
        folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        shares = Shares(second=0, reset=0, failure=0, refusal=0, framings=("length",))
        self.workers = StutteringWorkers("engines", SEED, shares)
        self.stack.push_async_callback(self.workers.close)
        list_url = await self.stack.enter_async_context(serve_app(self.workers.listed.serve_list))
        for worker_id in WORKER_IDS:
            await self.workers.start(worker_id)
        self.fleet = JoinedFleet(folder, list_url)
        self.stack.push_async_callback(self.fleet.close)
        await start_fleet(self.fleet, ROUTERS, a_document_of_all_kinds(5))

    async def assert_no_refusals(self, fault: Callable[[], Awaitable[None]]) -> None:
        """Run callers beside a fault, and check that none is asked to come back."""
        callers = CallerFleet(lambda name: (self.fleet.ip(name), self.fleet.ports.front), ROUTERS)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(run_callers(callers, CALLERS_COUNT, SEED, DURATION_S))
            await asyncio.sleep(FAULT_AFTER_S)
            await fault()
        refusals = Counter(
            json.loads(received.content)["error"]["message"]
            for received in callers.received
            if received.status == 503
        )
        self.assertEqual(refusals, Counter())
        served_count = sum(received.status == 200 for received in callers.received)
        self.assertGreater(served_count, 0.9 * len(callers.received))

    async def test_most_upstreams_end(self) -> None:
        """Two of three end, and the list still has them."""

        async def end_two() -> None:
            for worker_id in WORKER_IDS[:2]:
                await self.workers.end(worker_id)

        await self.assert_no_refusals(end_two)

    async def test_addresses_are_taken(self) -> None:
        """Others listen on the addresses of two of three, and the list still has the old ones."""

        async def replace_two() -> None:
            for worker_id in WORKER_IDS[:2]:
                port = await self.workers.end(worker_id)
                await self.workers.start(f"{worker_id}+", port)

        await self.assert_no_refusals(replace_two)


if __name__ == "__main__":
    unittest.main()
