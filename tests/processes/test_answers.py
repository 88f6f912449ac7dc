"""Guards against incomplete answers, and answers to other requests, when engines fail."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

import msgspec
from tools.fleet import UpstreamGroup
from tools.standins.batch import token_text

from tests.processes.fleetcase import DEPLOYMENT, Answer, FleetCase, caller_headers, on_loop

KIND = "schedule-draft"
STREAMS_COUNT = 90


class AnswersTest(FleetCase):
    """Guards against truncated, mixed-up and duplicated answers."""

    # With a long orphan time, a cancelled run was cancelled by the router and not by the engine.
    deployment = DEPLOYMENT._replace(
        upstreams=(UpstreamGroup("camphor-pool", "engine", 3, 4, ("--orphan-s", "60")),)
    )

    def setUp(self) -> None:
        """Clear the faults of an earlier test."""
        super().setUp()
        self.runner.run(self._set_engine_faults())

    @on_loop
    async def test_broken_stream_is_resumed(self) -> None:
        """Each stream breaks twice and is resumed on the same engine, in one run."""
        await self._set_engine_faults({"type": "break_after", "count": 4, "times": 2})
        await asyncio.gather(*(self._check_stream(f"resumed {number}", 31) for number in range(3)))
        # No other test asks for exactly this number of tokens.
        runs = [run for run in await self._runs() if run["tokens_count"] == 31]
        self.assertEqual((3, 3), (len(runs), len({run["request_id"] for run in runs})))

    @on_loop
    async def test_answer_of_another_request_is_dropped(self) -> None:
        """Engines answer a stream and a plain call with the id of another request."""
        checks = (("router-1", self._check_stream), ("router-2", self._check_plain))
        for router_id, check in checks:
            with self.subTest(check.__name__):
                await self._set_engine_faults({"type": "garble", "times": 1})
                answer = await check("crossed", 12, router_id)
                self.assertGreater(int(answer.headers["x-attempt"]), 1)

    @on_loop
    async def test_late_answers(self) -> None:
        """Slow answers are complete although faster ones overtake them."""
        await self._set_engine_faults({"type": "slow_down", "factor": 20, "times": 1})
        checks = [self._check_stream(f"late {number}", 10) for number in range(12)]
        plain = [self._check_plain(f"late plain {number}", 10) for number in range(12)]
        await asyncio.gather(*checks, *plain)

    @on_loop
    async def test_caller_that_leaves_cancels_the_run(self) -> None:
        """The engine stops within seconds, long before its own orphan time."""
        prompt, tokens_count = "left alone", 1999
        lines = self.fleet.stream(
            self.fleet.members["router-1"].url,
            {"model": "chorale", "prompt": prompt, "max_tokens": tokens_count, "stream": True},
            caller_headers(KIND),
        )
        async for line in lines:
            if line.startswith("data:"):
                break
        await lines.aclose()

        async def cancelled() -> bool:
            return any(
                run["outcome"] == "cancelled" and run["tokens_count"] < tokens_count
                for run in await self._runs()
            )

        await self.until(cancelled, "the run is cancelled", 5)

    @on_loop
    async def test_concurrent_streams_get_their_own_text(self) -> None:
        """Many streams run through all routers at the same time while some of them break."""
        await self._set_engine_faults({"type": "break_after", "count": 3, "times": 2})
        routers = self.fleet.member_ids("router")
        checks = [
            self._check_stream(
                f"own text {number}", 8 + number % 13, routers[number % len(routers)]
            )
            for number in range(STREAMS_COUNT)
        ]
        await asyncio.gather(*checks)

    @on_loop
    async def test_z_engine_dies_and_another_continues(self) -> None:
        """The caller gets the complete text; runs as the last test, as it leaves an engine dead."""
        prompt = "survivor"
        # Earlier tests may have used up the retry budget of the other routers.
        stream = asyncio.create_task(self._check_stream(prompt, 250, "router-3"))

        async def find() -> dict[str, Any] | None:
            for run in await self._runs():
                if run["outcome"] == "running":
                    return run
            return None

        first = await self.until(find, "the stream runs")
        await asyncio.sleep(0.5)
        await self.kill(first["upstream_id"])
        await stream
        runs = await self._runs()
        continued = [run for run in runs if run["request_id"] == first["request_id"]]
        self.assertEqual([2], [run["attempt"] for run in continued])
        self.assertLess(continued[0]["tokens_count"], 250)

    async def _check_stream(
        self, prompt: str, tokens_count: int, router_id: str = "router-1"
    ) -> Answer:
        body = _body(prompt, tokens_count, stream=True)
        answer = await self.call(router_id, "/v1/completions", KIND, body=body, timeout_s=30.0)
        self.assertEqual(200, answer.status, answer)
        events = answer.body.decode().split("\n\n")
        self.assertEqual(["data: [DONE]", ""], events[-2:], answer)
        expected = [
            (f"id: {index}", {"text": token_text(prompt, index), "index": index})
            for index in range(1, tokens_count + 1)
        ]
        self.assertEqual(expected, [_event(event) for event in events[:-2]])
        return answer

    async def _check_plain(
        self, prompt: str, tokens_count: int, router_id: str = "router-1"
    ) -> Answer:
        body = _body(prompt, tokens_count, stream=False)
        answer = await self.call(router_id, "/v1/completions", KIND, body=body, timeout_s=30.0)
        self.assertEqual(200, answer.status, answer)
        self.assertEqual(_whole_text(prompt, tokens_count), answer.json()["text"])
        return answer

    async def _runs(self) -> list[dict[str, Any]]:
        return await self.runs(*self.running("engine"))

    async def _set_engine_faults(self, *faults: dict[str, Any]) -> None:
        for engine_id in self.running("engine"):
            await self.set_faults(engine_id, *faults)


def _body(prompt: str, tokens_count: int, *, stream: bool) -> dict[str, Any]:
    return {"model": "chorale", "prompt": prompt, "max_tokens": tokens_count, "stream": stream}


def _event(event: str) -> tuple[str, Any]:
    number, _, data = event.partition("\n")
    return number, msgspec.json.decode(data.removeprefix("data: "))


def _whole_text(prompt: str, tokens_count: int) -> str:
    return "".join(token_text(prompt, index) for index in range(1, tokens_count + 1))


if __name__ == "__main__":
    unittest.main()
