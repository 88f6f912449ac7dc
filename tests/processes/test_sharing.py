"""Work goes on and no team starves while routers are cut off or restart empty."""

from __future__ import annotations

import asyncio
import itertools
import time
import unittest
from collections import defaultdict

from tools.fleet import UpstreamShape

from tests.processes.fleetcase import SHAPE, FleetCase, on_loop

TEAMS = ("kl-bookings", "fremantle", "joondalup", "midland")
CALLERS_COUNT = 14
"""Concurrent calls of each team; all teams together keep four times the slots waiting."""
SLOTS_COUNT = 12
WINDOW_S = 7.0
"""Three missed pings of 1 s, after up to 5 s, move a lost scheduler's upstreams to another."""
CUT_S = 7.5
"""Longer than the window, so that work has to go on during the cut."""
BUSY_RATIO = 0.5
"""Far above what is left when the schedulers of two of three engines are lost for good."""


class SharingTest(FleetCase):
    """Guards against idle slots, stuck queues and starved teams."""

    shape = SHAPE._replace(upstreams=(UpstreamShape("camphor-pool", "engine", 3, 4),))

    def setUp(self) -> None:
        """Start without load."""
        super().setUp()
        self.loading = True
        self.finished_s: dict[str, list[float]] = defaultdict(list)
        self.busy_counts: list[int] = []

    @on_loop
    async def test_router_cut_off_and_healed(self) -> None:
        """A router loses its peers, schedules by itself, and joins them again."""
        async with asyncio.TaskGroup() as tasks:
            self._start_load(tasks)
            await asyncio.sleep(1.5)
            async with self.cut("router-3", "router-*"):
                await asyncio.sleep(CUT_S)
            await asyncio.sleep(2.0)
            self.loading = False
        await self._check()

    @on_loop
    async def test_scheduler_killed_and_restarted_empty(self) -> None:
        """The router that schedules most engines is killed and starts without any state."""
        scheduler_id = await self._main_scheduler()
        async with asyncio.TaskGroup() as tasks:
            self._start_load(tasks)
            await asyncio.sleep(1.5)
            await self.kill(scheduler_id)
            await asyncio.sleep(1.0)
            await self.fleet.restart(scheduler_id)
            await asyncio.sleep(5.0)
            self.loading = False
        await self._check()

    def _start_load(self, tasks: asyncio.TaskGroup) -> None:
        self.started_s = time.monotonic()
        tasks.create_task(self._sample())
        for place, team in enumerate(TEAMS):
            for number in range(CALLERS_COUNT):
                # Teams are spread unevenly: most callers of a team use one router.
                tasks.create_task(self._load(team, place if number < 10 else number))

    async def _load(self, team: str, place: int) -> None:
        routers = self.fleet.ids("router")
        while self.loading:
            body = {"model": "chorale", "prompt": f"{team} {place}", "max_tokens": 30}
            router_id = routers[place % len(routers)]
            answer = await self.call(
                router_id, "/v1/completions", "parent-reply", body=body, timeout_s=30.0, team=team
            )
            if answer.status == 200:
                self.finished_s[team].append(time.monotonic() - self.started_s)
                continue
            place += 1
            await asyncio.sleep(0.1)

    async def _sample(self) -> None:
        # The first second fills the slots.
        await asyncio.sleep(1.0)
        while self.loading:
            self.busy_counts.append(await self._running_count())
            await asyncio.sleep(0.05)

    async def _running_count(self) -> int:
        urls = [self.fleet.members[one].url for one in self.fleet.ids("engine")]
        answers = [await self.fleet.client.get(f"{url}/v1/load") for url in urls]
        return sum(answer.json()["running"] for answer in answers)

    async def _check(self) -> None:
        ended_s = time.monotonic() - self.started_s
        for team in TEAMS:
            with self.subTest(team):
                times = [0.0, *self.finished_s[team], ended_s]
                longest_s = max(after - before for before, after in itertools.pairwise(times))
                self.assertLess(longest_s, WINDOW_S, "the team got nothing for so long")
        busy = sum(min(one, SLOTS_COUNT) for one in self.busy_counts)
        busy_ratio = busy / (SLOTS_COUNT * len(self.busy_counts))
        counts = {team: len(self.finished_s[team]) for team in TEAMS}
        print(f"busy {busy_ratio:.2f} over {ended_s:.1f} s, finished {counts}")
        self.assertGreater(busy_ratio, BUSY_RATIO)
        await self.until(self._is_drained, "the queues and the engines drain")

    async def _is_drained(self) -> bool:
        for router_id in self.fleet.ids("router"):
            status = await self.fleet.operate(router_id, "GET", "/v1/status")
            if status["waiting_count"] or status["running_count"] or status["granted_count"]:
                return False
        return await self._running_count() == 0

    async def _main_scheduler(self) -> str:
        counts = {
            router_id: len((await self.fleet.operate(router_id, "GET", "/v1/status"))["schedules"])
            for router_id in self.fleet.ids("router")
        }
        return max(counts, key=lambda one: counts[one])


if __name__ == "__main__":
    unittest.main()
