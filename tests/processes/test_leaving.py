"""Guards against new work on leaving upstreams after 3 s, and against stops that cut answers."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from collections import Counter
from typing import TYPE_CHECKING, Any

from tests.processes.fleetcase import FleetCase, on_loop

if TYPE_CHECKING:
    from tests.processes.fleetcase import Answer

LEAVING_S = 3.0
CALLERS_COUNT = 6
KINDS = ("schedule-draft", "slot-check")


class LeavingTest(FleetCase):
    """Guards against new work on leaving upstreams, and answers that a stopping router cuts."""

    def setUp(self) -> None:
        """Reset the state of the load."""
        super().setUp()
        self.loading = True
        self.answers: list[Answer] = []

    @on_loop
    async def test_upstreams_marked_leaving_in_the_feed(self) -> None:
        """No run starts later than 3 s after the feed marks an engine and a service as leaving."""
        leaving = ["camphor-pool-1", "booking-desk-1"]
        await self.fleet.set_members(
            *({"id": upstream_id, "state": "leaving"} for upstream_id in leaving)
        )
        await self._check_no_new_runs(leaving, time.time())
        await self.fleet.set_members(
            *({"id": upstream_id, "state": "live"} for upstream_id in leaving)
        )
        await self._check_new_runs(leaving)

    @on_loop
    async def test_drained_upstreams(self) -> None:
        """No run starts later than 3 s after an operator drains an engine and a service."""
        drained = ["camphor-pool-2", "booking-desk-2"]
        await self._drain(drained, draining=True)
        await self._check_no_new_runs(drained, time.time())
        await self._drain(drained, draining=False)
        await self._check_new_runs(drained)

    @on_loop
    async def test_stopped_router_cuts_nothing(self) -> None:
        """SIGTERM under load of streams and plain calls, whose callers still use the address."""
        callers = [asyncio.create_task(self._run_caller("router-2")) for _ in range(CALLERS_COUNT)]
        await asyncio.sleep(1.0)
        answer = await self.call("router-1", "/v1/addresses", "slot-check")
        self.fleet.send_signal("router-2", signal.SIGTERM)
        removed = self.until(
            lambda: self._is_removed("router-2"), "discovery no longer lists the router", 3.0
        )
        # The last answer that lists the router may be sent when the notice of its stop arrives, and
        # callers may use it for its lifetime, so the load ends just before the lifetime does.
        await removed
        await asyncio.sleep(answer.json()["lifetime_s"] * 0.9)
        self.loading = False
        await asyncio.gather(*callers)
        process = self.fleet.members["router-2"].process
        assert process is not None
        self.assertEqual(0, await asyncio.wait_for(process.wait(), 15))
        self.assertGreater(len(self.answers), 2 * CALLERS_COUNT)
        self.assertEqual({200: len(self.answers)}, self._statuses())

    @on_loop
    async def test_killed_router_cuts_answers(self) -> None:
        """Verifies that the load of the other tests detects answers that a killed router cuts."""
        callers = [asyncio.create_task(self._run_caller("router-2")) for _ in range(CALLERS_COUNT)]
        await asyncio.sleep(1.0)
        await self.kill("router-2")
        self.loading = False
        await asyncio.gather(*callers)
        self.assertLess(self._statuses()[200], len(self.answers))

    def _statuses(self) -> Counter[int]:
        return Counter(answer.status for answer in self.answers)

    async def _run_caller(self, router_id: str) -> None:
        number = 0
        while self.loading:
            number += 1
            self.answers.append(await self._call(router_id, number))

    async def _call(self, router_id: str, number: int) -> Answer:
        kind = KINDS[number % 2]
        if kind == "slot-check":
            path = "/v1/services/booking-desk/slots/1?service_ms=30"
            return await self.call(router_id, path, kind, body={})
        body = {"model": "chorale", "prompt": f"load {number}", "max_tokens": 30, "stream": True}
        return await self.call(router_id, "/v1/completions", kind, body=body)

    async def _is_removed(self, router_id: str) -> bool:
        for asked_router_id in self.fleet.member_ids("router"):
            answer = await self.call(asked_router_id, "/v1/addresses", "slot-check")
            if router_id in {entry["router"] for entry in answer.json()["addresses"]}:
                return False
        return True

    async def _check_no_new_runs(self, upstream_ids: list[str], marked_s: float) -> None:
        routers = self.fleet.member_ids("router")
        callers = [asyncio.create_task(self._run_caller(router_id)) for router_id in routers * 2]
        await asyncio.sleep(LEAVING_S + 1.5)
        self.loading = False
        await asyncio.gather(*callers)
        bound_s = marked_s + LEAVING_S
        late_runs = [run for run in await self.runs(*upstream_ids) if run["start_s"] > bound_s]
        self.assertEqual([], late_runs)
        # The check proves nothing unless the other upstreams got work after the bound.
        others = set(self.fleet.member_ids("engine") + self.fleet.member_ids("service")) - set(
            upstream_ids
        )
        for upstream_id in others:
            runs = await self.runs(upstream_id)
            self.assertTrue(any(run["start_s"] > bound_s for run in runs), upstream_id)
        self.assertEqual({200: len(self.answers)}, self._statuses())

    async def _check_new_runs(self, upstream_ids: list[str]) -> None:
        since_s = time.time()

        async def used() -> bool:
            await asyncio.gather(*(self._call("router-1", number) for number in range(12)))
            starts = [
                max((run["start_s"] for run in await self.runs(upstream_id)), default=0.0)
                for upstream_id in upstream_ids
            ]
            return all(start_s > since_s for start_s in starts)

        await self.until(used, f"{upstream_ids} get new runs")

    async def _drain(self, upstream_ids: list[str], *, draining: bool) -> None:
        for upstream_id in upstream_ids:
            change: dict[str, Any] = {"type": "set_drain", "member_id": upstream_id}
            await self.fleet.change({**change, "draining": draining})


if __name__ == "__main__":
    unittest.main()
