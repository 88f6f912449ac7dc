"""Guards against stalled work and starved teams when routers are cut off or restart."""

from __future__ import annotations

import asyncio
import itertools
import time
import unittest
from collections import defaultdict

from tools.fleet import UpstreamGroup

from tests.processes.fleetcase import DEPLOYMENT, FleetCase, on_loop

TEAMS = ("kl-bookings", "fremantle", "joondalup", "midland")
CALLERS_COUNT = 14
"""Concurrent calls of each team; all teams together keep four times the slots waiting."""
SLOTS_COUNT = 12
WINDOW_S = 7.0
"""A scheduler that misses three pings, one per second, loses its upstreams to another router after
up to 5 s."""
CUT_S = 7.5
"""Longer than ``WINDOW_S``, so that work has to continue during the cut."""
BUSY_RATIO = 0.5
"""Far above the ratio that remains if the schedulers of two of three engines stay lost."""


class SharingTest(FleetCase):
    """Guards against idle slots, stuck queues and starved teams."""

    deployment = DEPLOYMENT._replace(upstreams=(UpstreamGroup("camphor-pool", "engine", 3, 4),))

    def setUp(self) -> None:
        """Reset the state of the load."""
        super().setUp()
        self.loading = True
        self.finished_s: dict[str, list[float]] = defaultdict(list)
        self.busy_counts: list[int] = []

    @on_loop
    async def test_router_cut_off_and_healed(self) -> None:
        """A router is cut off from its peers, schedules by itself, and rejoins them."""
        async with asyncio.TaskGroup() as tasks:
            self._start_load(tasks)
            await asyncio.sleep(1.5)
            async with self.cut("router-3", "router-*"):
                await asyncio.sleep(CUT_S)
            await asyncio.sleep(2.0)
            self.loading = False
        await self._check_progress()

    @on_loop
    async def test_scheduler_killed_and_restarted_empty(self) -> None:
        """The router that schedules most engines is killed and restarts without state."""
        scheduler_id = await self._main_scheduler()
        async with asyncio.TaskGroup() as tasks:
            self._start_load(tasks)
            await asyncio.sleep(1.5)
            await self.kill(scheduler_id)
            await asyncio.sleep(1.0)
            await self.fleet.restart(scheduler_id)
            await asyncio.sleep(5.0)
            self.loading = False
        await self._check_progress()

    def _start_load(self, tasks: asyncio.TaskGroup) -> None:
        self.started_s = time.monotonic()
        tasks.create_task(self._sample())
        for router_index, team in enumerate(TEAMS):
            for number in range(CALLERS_COUNT):
                # Teams are distributed unevenly: most callers of a team use one router.
                tasks.create_task(self._run_caller(team, router_index if number < 10 else number))

    async def _run_caller(self, team: str, router_index: int) -> None:
        routers = self.fleet.member_ids("router")
        while self.loading:
            body = {"model": "chorale", "prompt": f"{team} {router_index}", "max_tokens": 30}
            router_id = routers[router_index % len(routers)]
            answer = await self.call(
                router_id, "/v1/completions", "parent-reply", body=body, timeout_s=30.0, team=team
            )
            if answer.status == 200:
                self.finished_s[team].append(time.monotonic() - self.started_s)
                continue
            router_index += 1
            await asyncio.sleep(0.1)

    async def _sample(self) -> None:
        # The first second fills the slots.
        await asyncio.sleep(1.0)
        while self.loading:
            self.busy_counts.append(await self._running_count())
            await asyncio.sleep(0.05)

    async def _running_count(self) -> int:
        urls = [self.fleet.members[engine_id].url for engine_id in self.fleet.member_ids("engine")]
        answers = [await self.fleet.client.get(f"{url}/v1/load") for url in urls]
        return sum(answer.json()["running"] for answer in answers)

    async def _check_progress(self) -> None:
        ended_s = time.monotonic() - self.started_s
        for team in TEAMS:
            with self.subTest(team):
                times = [0.0, *self.finished_s[team], ended_s]
                longest_s = max(after - before for before, after in itertools.pairwise(times))
                self.assertLess(longest_s, WINDOW_S, "no call of the team finished for this long")
        busy_count = sum(min(count, SLOTS_COUNT) for count in self.busy_counts)
        busy_ratio = busy_count / (SLOTS_COUNT * len(self.busy_counts))
        counts = {team: len(self.finished_s[team]) for team in TEAMS}
        print(f"busy {busy_ratio:.2f} over {ended_s:.1f} s, finished {counts}")
        self.assertGreater(busy_ratio, BUSY_RATIO)
        await self.until(self._is_drained, "the queues and the engines drain")

    async def _is_drained(self) -> bool:
        for router_id in self.fleet.member_ids("router"):
            status = await self.fleet.call_operator(router_id, "GET", "/v1/status")
            if status["waiting_count"] or status["running_count"] or status["granted_count"]:
                return False
        return await self._running_count() == 0

    async def _main_scheduler(self) -> str:
        counts = {
            router_id: len(
                (await self.fleet.call_operator(router_id, "GET", "/v1/status"))["schedules"]
            )
            for router_id in self.fleet.member_ids("router")
        }
        return max(counts, key=lambda router_id: counts[router_id])


if __name__ == "__main__":
    unittest.main()
