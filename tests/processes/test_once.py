"""Guards non-idempotent calls against a second run and a wrong "not run" under faults."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from tests.processes.fleetcase import CALLS_COUNT, SEED, FleetCase, on_loop

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.processes.fleetcase import Answer

PATH = "/v1/services/booking-desk/slots/17?service_ms=40"
TRIES_COUNT = 4
CALLERS_COUNT = 60
SERVICE_FAULTS = (
    {"type": "break_after", "count": 1, "times": 3},
    {"type": "hang", "times": 1},
    {"type": "refuse", "status": 503, "times": 1},
)


class OnceTest(FleetCase):
    """Guards against calls that run twice, and answers that wrongly state that nothing ran."""

    def setUp(self) -> None:
        """Seed the random generator and reset the answers."""
        super().setUp()
        self.rng = random.Random(SEED)
        self.answers_by_key: dict[str, list[Answer]] = defaultdict(list)
        self.faults_count: Counter[str] = Counter()

    @on_loop
    async def test_keyed_calls_under_faults(self) -> None:
        """Callers retry with the same key at other routers while processes and links fail."""
        router_faults = [self._kill_router, self._freeze_router]
        other_faults = [self._cut_router, self._break_service, self._kill_leader]
        keys = iter([f"key-{number}" for number in range(CALLS_COUNT)])
        async with asyncio.TaskGroup() as tasks:
            injectors = [
                tasks.create_task(self._inject(faults)) for faults in (router_faults, other_faults)
            ]
            await asyncio.gather(*(self._run_caller(keys) for _ in range(CALLERS_COUNT)))
            for task in injectors:
                task.cancel()
        await self._check_runs()

    @on_loop
    async def test_same_key_at_once(self) -> None:
        """Concurrent calls with one key at all routers lead to one run and one answer."""
        for service_id in self.fleet.member_ids("service"):
            await self.set_faults(service_id)
        routers = self.running("router")
        for number in range(10):
            key = f"at-once-{number}"
            await asyncio.gather(*(self._call_once(key, router_id) for router_id in routers * 2))
            await self._call_once(key, routers[0])
            self.assertEqual(200, self.answers_by_key[key][-1].status, self.answers_by_key[key][-1])
        await self._check_runs()

    async def _run_caller(self, keys: object) -> None:
        for key in keys:
            await self._call_with_retries(key)
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))

    async def _call_with_retries(self, key: str) -> None:
        routers = self.rng.sample(self.fleet.member_ids("router"), 3)
        for number in range(TRIES_COUNT):
            parallel_count = 2 if self.rng.random() < 0.2 else 1
            chosen = [routers[(number + offset) % 3] for offset in range(parallel_count)]
            await asyncio.gather(*(self._call_once(key, router_id) for router_id in chosen))
            # Some callers repeat the call although they have an answer.
            if self.answers_by_key[key][-1].status == 200 and self.rng.random() < 0.7:
                return
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))

    async def _call_once(self, key: str, router_id: str) -> None:
        answer = await self.call(
            router_id,
            PATH,
            "slot-confirmation",
            body={"key": key},
            timeout_s=3.0,
            idempotency_key=key,
        )
        self.answers_by_key[key].append(answer)

    async def _inject(self, faults: list[Callable[[], Awaitable[None]]]) -> None:
        while True:
            self.rng.shuffle(faults)
            for fault in faults:
                self.faults_count[fault.__name__] += 1
                await fault()
                await asyncio.sleep(self.rng.uniform(0.5, 1.5))

    async def _kill_router(self) -> None:
        router_id = self.rng.choice(self.fleet.member_ids("router"))
        await self.kill(router_id)
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await self.fleet.restart(router_id)

    async def _freeze_router(self) -> None:
        # After 5 s the leader declares the router lost and settles its records.
        duration_s = 6.0 if self.faults_count["_freeze_router"] == 1 else 1.0
        async with self.frozen(self.rng.choice(self.fleet.member_ids("router"))):
            await asyncio.sleep(duration_s)

    async def _cut_router(self) -> None:
        mode = self.rng.choice(("refuse", "blackhole"))
        async with self.cut(self.rng.choice(self.fleet.member_ids("router")), "controller-*", mode):
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))

    async def _break_service(self) -> None:
        for service_id in self.fleet.member_ids("service"):
            await self.set_faults(service_id, self.rng.choice(SERVICE_FAULTS))
        await asyncio.sleep(0.5)

    async def _kill_leader(self) -> None:
        leader_id = await self.leader()
        await self.kill(leader_id)
        await asyncio.sleep(0.5)
        await self.fleet.restart(leader_id)

    async def _check_runs(self) -> None:
        runs = await self.runs(*self.fleet.member_ids("service"))
        runs_by_key = Counter(run["idempotency_key"] for run in runs)
        run_request_ids = {run["request_id"] for run in runs}
        outcomes: Counter[str] = Counter()
        for key, answers in self.answers_by_key.items():
            with self.subTest(key=key, seed=SEED):
                self.assertLessEqual(runs_by_key[key], 1, answers)
                for answer in answers:
                    outcomes[answer.error.get("code", str(answer.status))] += 1
                    if answer.run == "no":
                        self.assertNotIn(answer.error["request_id"], run_request_ids)
                if all(answer.run == "no" for answer in answers):
                    self.assertEqual(0, runs_by_key[key], answers)
                if bodies := {answer.body for answer in answers if answer.status == 200}:
                    self.assertEqual((1, 1), (runs_by_key[key], len(bodies)), answers)
        print(f"answers {dict(outcomes)}, faults {dict(self.faults_count)}")
        self.assertGreater(
            sum(runs_by_key[key] for key in self.answers_by_key), len(self.answers_by_key) / 2
        )


if __name__ == "__main__":
    unittest.main()
