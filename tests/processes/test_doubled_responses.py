"""Guards against second responses of upstreams that reach a caller, a record or an order."""

from __future__ import annotations

import asyncio
import os
import random
import time
import unittest
from collections import Counter
from contextlib import AsyncExitStack
from typing import Any, NamedTuple

import msgspec
from tools.fleet import UpstreamGroup
from tools.standins.batch import token_text
from tools.standins.doubler import Doubler, DoublerSettings

from tests.processes.fleetcase import DEPLOYMENT, INCOMPLETE, SEED, Answer, FleetCase, on_loop

RUN_S = float(os.environ.get("CAMPHORVALVE_DOUBLER_S", "3"))
"""How long callers send requests."""
CALLERS_COUNT = 20
SETTINGS = DoublerSettings(twice_ratio=0.3, cut_ratio=0.05)
UNNAMED = SETTINGS._replace(unnamed_ratio=0.3)
FIRST_CALLS_COUNT = 24
ORDERS_COUNT = 8
ORDER_PAUSE_S = 0.5
LARGE_BYTES = 300 << 10
"""Longer than the responses that are kept until they are complete."""
FINAL_STATES = frozenset({"done", "unknown"})


class Call(NamedTuple):
    """A request of a caller, and the result that belongs to it alone."""

    path: str
    kind: str
    body: dict[str, Any]
    headers: dict[str, str] = {}  # noqa: RUF012 -- never changed in place


class DoubledResponsesTest(FleetCase):
    """Callers compare each byte, id and status while upstreams respond twice."""

    deployment = DEPLOYMENT._replace(
        with_network=False,
        upstreams=(
            UpstreamGroup("camphor-pool", "engine", 2, 8),
            UpstreamGroup("booking-desk", "service", 2, 8),
        ),
    )

    @on_loop
    async def test_upstreams_that_name_their_requests(self) -> None:
        """Also with a router that is killed and restarted."""
        await self._play(SETTINGS, restarts=True)

    @on_loop
    async def test_upstreams_that_leave_names_out(self) -> None:
        """Three of ten responses have neither the id nor the attempt."""
        await self._play(UNNAMED, restarts=False)

    @on_loop
    async def test_orders(self) -> None:
        """Guards against an order that is called failed by an older state of its engine."""
        self.rng = random.Random(SEED)
        self.outcomes: Counter[str] = Counter()
        self.request_ids: set[str] = set()
        self.work: dict[str, Call] = {}
        self.versions: set[str] = set()
        async with AsyncExitStack() as stack:
            await self._open_doublers(stack, SETTINGS)
            await self._send_orders()
            await self.until(self._orders_are_done, "the orders are done", 10)

    async def _play(self, settings: DoublerSettings, *, restarts: bool) -> None:
        self.rng = random.Random(SEED)
        self.outcomes: Counter[str] = Counter()
        self.request_ids: set[str] = set()
        self.work: dict[str, Call] = {}
        async with AsyncExitStack() as stack:
            doublers = await self._open_doublers(stack, settings)
            self.end_s = time.monotonic() + RUN_S
            async with asyncio.TaskGroup() as tasks:
                for number in range(CALLERS_COUNT):
                    tasks.create_task(self._run_caller(f"{self._testMethodName}-{number}"))
                if restarts:
                    tasks.create_task(self._restart_router())
            await asyncio.gather(*(self._check_work(*item) for item in self.work.items()))
            counts = sum((doubler.counts for doubler in doublers), Counter())
        print(f"outcomes {dict(self.outcomes)}, responses of upstreams {dict(counts)}")
        self.assertGreater(self.outcomes["whole"], 100)
        self.assertGreater(self.outcomes["replayed"], 0)
        self.assertGreater(self.outcomes["work done"], 0)
        for form in ("same write", "later", "two pieces", "next"):
            self.assertGreater(counts[form], 0)

    async def _open_doublers(
        self, stack: AsyncExitStack, settings: DoublerSettings
    ) -> list[Doubler]:
        """Put a forwarder in front of each upstream, and wait until every router uses it."""
        doublers = []
        for role in ("engine", "service"):
            for number, member_id in enumerate(self.fleet.member_ids(role)):
                port = int(self.fleet.members[member_id].url.rpartition(":")[2])
                doubler = Doubler(port, SEED + number, settings)
                url = await stack.enter_async_context(doubler.open())
                await self.fleet.set_members({"id": member_id, "url": url})
                doublers.append(doubler)
        # The feed is read at least once a second.
        await asyncio.sleep(1.5)
        for router_id in self.running("router"):
            counted = [doubler.counts["requests"] for doubler in doublers]

            async def all_are_used(
                router_id: str = router_id, counted: list[int] = counted
            ) -> bool:
                # One call after the other would all go to the first upstream of their pool.
                async with asyncio.TaskGroup() as tasks:
                    for number in range(FIRST_CALLS_COUNT):
                        name = f"{self._testMethodName}-start-{len(self.request_ids)}-{number}"
                        tasks.create_task(self._call_once(router_id, self._a_call(name)))
                return all(
                    doubler.counts["requests"] > count
                    for doubler, count in zip(doublers, counted, strict=True)
                )

            await self.until(all_are_used, "the forwarders are used", 20)
        self.outcomes.clear()
        return doublers

    async def _run_caller(self, name: str) -> None:
        number = 0
        while time.monotonic() < self.end_s:
            number += 1
            call = self._a_call(f"{name}-{number}")
            router_id = self.rng.choice(self.fleet.member_ids("router"))
            first = await self._call_once(router_id, call)
            if "idempotency-key" in call.headers and first.status == 200:
                await self._check_replay(call, first)
            await asyncio.sleep(self.rng.uniform(0, 0.05))

    def _a_call(self, name: str) -> Call:
        """Draw a call; its name is in every byte that is compared."""
        prompt = {"model": "chorale", "prompt": name, "max_tokens": self.rng.randint(3, 12)}
        slot = f"/v1/services/booking-desk/slots/{name}?service_ms=5"
        key, deferred = {"idempotency-key": name}, {"x-deferred": "true"}
        calls = [
            Call("/v1/completions", "schedule-draft", {**prompt, "stream": True}),
            Call("/v1/completions", "schedule-draft", {**prompt, "stream": False}),
            Call("/v1/completions", "schedule-draft", {**prompt, "stream": True}, key),
            Call("/v1/completions", "parent-reply", {**prompt, "stream": False}, key),
            Call("/v1/completions", "summary", {**prompt, "stream": False}, deferred),
            Call(slot, "slot-check", {"name": name}),
            Call(slot, "slot-check", {"name": name}, key),
            Call(slot, "slot-check", {"name": name, "more": name[-1] * LARGE_BYTES}),
            Call(slot, "slot-confirmation", {"name": name}),
            Call(slot, "slot-confirmation", {"name": name}, key),
            Call(slot, "slot-confirmation", {"name": name}, deferred),
        ]
        return self.rng.choice(calls)

    async def _call_once(self, router_id: str, call: Call) -> Answer:
        answer = await self.call(
            router_id, call.path, call.kind, body=call.body, timeout_s=20.0, **call.headers
        )
        with self.subTest(call=call.path, kind=call.kind, seed=SEED):
            self._check_answer(call, answer)
        return answer

    def _check_answer(self, call: Call, answer: Answer) -> None:
        if answer.status == INCOMPLETE:
            self.outcomes["incomplete"] += 1
            return
        request_id = answer.headers["x-request-id"]
        self.assertNotIn(request_id, self.request_ids)
        self.request_ids.add(request_id)
        if answer.status == 202:
            self.work[answer.headers["location"].rpartition("/")[2]] = call
            self.assertEqual({"id", "state"}, answer.json().keys())
            self.outcomes["accepted"] += 1
        elif answer.status == 200 and self._is_broken_stream(call, answer.body):
            self.outcomes["broken stream"] += 1
        elif answer.status == 200:
            self._check_body(call, answer.body)
            self.outcomes["whole"] += 1
        else:
            self.assertEqual(request_id, answer.error["request_id"], answer)
            self.outcomes[f"{answer.error['code']} {call.kind}"] += 1

    def _is_broken_stream(self, call: Call, body: bytes) -> bool:
        """Tell whether a stream ends with the error of the router, and check what precedes it."""
        if not call.body.get("stream"):
            return False
        events, error, _ = body.partition(b"event: error\n")
        if error:
            self.assertTrue(_stream(call).startswith(events), body)
        return bool(error)

    def _check_body(self, call: Call, body: bytes) -> None:
        """Compare each byte; of a service's response, numbers of runs are its own to tell."""
        if "prompt" in call.body:
            expected = _stream(call) if call.body["stream"] else _completion(call)
            self.assertEqual(expected, body)
            return
        value = msgspec.json.decode(body)
        self.assertEqual(msgspec.json.encode(value), body)
        path = call.path.removeprefix("/v1/services/booking-desk").partition("?")[0]
        self.assertEqual(path, value["path"])
        self.assertEqual(call.body, msgspec.json.decode(value["body"]))
        if call.kind == "slot-confirmation":
            self.assertLessEqual(value["key_runs_count"], 1)
            self.assertEqual(1, value["runs_count"])

    async def _check_replay(self, call: Call, first: Answer) -> None:
        again = await self._call_once(self.rng.choice(self.fleet.member_ids("router")), call)
        if again.status == 200 and "x-replayed" in again.headers:
            with self.subTest("replay", call=call.path, kind=call.kind, seed=SEED):
                self.assertEqual(first.body, again.body)
            self.outcomes["replayed"] += 1

    async def _check_work(self, work_id: str, call: Call) -> None:
        async def final_record() -> dict[str, Any] | None:
            answer = await self.call("router-1", f"/v1/deferred/{work_id}", call.kind)
            if answer.status != 200:
                return None
            self.assertEqual(work_id, answer.json()["id"])
            return answer.json() if answer.json()["state"] in FINAL_STATES else None

        record = await self.until(final_record, f"work {work_id} ends", 30)
        with self.subTest("work", work=work_id, kind=call.kind, seed=SEED):
            if record["state"] == "done":
                self.assertEqual(200, record["answer"]["status"])
                self._check_body(call, record["answer"]["body"].encode())
            else:
                self.assertEqual("slot-confirmation", call.kind)
            self.outcomes[f"work {record['state']}"] += 1

    async def _send_orders(self) -> None:
        self.engine_id = self.fleet.member_ids("engine")[0]
        for number in range(ORDERS_COUNT):
            version = f"{self._testMethodName}-{number}"
            action = {"type": "load_model", "model": "chorale", "version": version}
            request = {
                "operation_id": version,
                "upstream_id": self.engine_id,
                "action": {**action, "size_bytes": 1000},
            }
            leader_id = await self.leader()
            await self.fleet.call_operator(leader_id, "POST", "/v1/orders", json=request)
            self.versions.add(version)
            await asyncio.sleep(ORDER_PAUSE_S)

    async def _orders_are_done(self) -> bool:
        """Compare what the controllers believe of each order with what the engine has loaded."""
        listed = await self.fleet.call_operator(await self.leader(), "GET", "/v1/orders")
        states = {
            order["action"]["version"]: order["state"]
            for order in listed["orders"]
            if order["action"]["version"] in self.versions
        }
        url = f"{self.fleet.members[self.engine_id].url}/v1/state"
        state = (await self.fleet.client.get(url)).json()
        order_ids = [order["order_id"] for order in state["orders"]]
        self.assertEqual(len(set(order_ids)), len(order_ids))
        for version in (version for version in states if states[version] == "done"):
            self.assertIn(version, str(state["models"]))
        return set(states) == self.versions and set(states.values()) == {"done"}

    async def _restart_router(self) -> None:
        await asyncio.sleep(RUN_S / 3)
        await self.kill("router-3")
        await self.fleet.restart("router-3")


def _stream(call: Call) -> bytes:
    prompt, count = call.body["prompt"], call.body["max_tokens"]
    events = [
        b"id: %d\ndata: %s\n\n"
        % (index, msgspec.json.encode({"text": token_text(prompt, index), "index": index}))
        for index in range(1, count + 1)
    ]
    return b"".join(events) + b"data: [DONE]\n\n"


def _completion(call: Call) -> bytes:
    prompt, count = call.body["prompt"], call.body["max_tokens"]
    text = "".join(token_text(prompt, index) for index in range(1, count + 1))
    usage = {"prompt_tokens": len(prompt) // 4, "completion_tokens": count}
    return msgspec.json.encode({"text": text, "usage": usage})


if __name__ == "__main__":
    unittest.main()
