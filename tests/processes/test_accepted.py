"""Work accepted with 202 is never lost, whatever is killed."""

from __future__ import annotations

import asyncio
import shutil
import unittest
from collections import defaultdict
from typing import Any, NamedTuple

from tests.processes.fleetcase import FleetCase, on_loop

ENDED = frozenset({"done", "unknown"})


class Work(NamedTuple):
    """One accepted piece of work."""

    work_id: str
    idempotent: bool


class AcceptedTest(FleetCase):
    """Guards against lost work, and against non-idempotent work that runs again."""

    @on_loop
    async def test_accepting_router_killed(self) -> None:
        """Some of the work runs and some waits when the router that accepted it is killed."""
        work = await self._accept_some("router-1", count=12)
        await self.until(self._some_runs, "some of the work has started")
        await self.kill("router-1")
        ended = await self._check("router-2", work)
        # Without these the kill came too early or too late to show anything.
        self.assertIn("unknown", ended.values())
        self.assertTrue(await self._later_attempts(work), "no work moved to another router")
        await self.fleet.restart("router-1")

    @on_loop
    async def test_leader_killed(self) -> None:
        """Work is accepted before, while and after the leader is killed."""
        work = await self._accept_some("router-2", count=3)
        leader_id = await self.leader()
        self.fleet.kill(leader_id)
        work += await self._accept_some("router-3", count=3)
        await self.fleet.restart(leader_id)
        work += await self._accept_some("router-1", count=3)
        await self._check("router-1", work)

    @on_loop
    async def test_disk_lost_and_second_controller_lost(self) -> None:
        """A controller comes back without its disk; then another one is lost at once."""
        work = await self._accept_some("router-1", count=4)
        leader_id = await self.leader()
        lost_id, other_id = (one for one in self.fleet.ids("controller") if one != leader_id)
        before = (await self.fleet.operate(lost_id, "GET", "/v1/status"))["identity"]
        await self.kill(lost_id)
        shutil.rmtree(self.fleet.folder / f"{lost_id}-data")
        work += await self._accept_some("router-2", count=4)
        await self.fleet.restart(lost_id)
        await self.until(lambda: self._is_repaired(lost_id, before), "the controller rejoins", 20)
        await self.kill(leader_id)
        await self._check("router-3", work)
        work += await self._accept_some("router-3", count=4)
        await self._check("router-2", work)
        await self.fleet.restart(leader_id)
        self.assertIn(other_id, self.running("controller"))

    @on_loop
    async def test_accepted_late(self) -> None:
        """A cut router can't tell whether its work was accepted, and runs it after the cut."""
        key = {"idempotency_key": "late", "x_deferred": "true"}
        body = {"model": "chorale", "prompt": "late", "max_tokens": 4}
        async with self.cut("router-2", "controller-*"):
            answer = await self.call("router-2", "/v1/completions", "summary", body=body, **key)
            self.assertEqual("unknown", answer.run, answer)
        work_id = answer.error["message"].rpartition("/")[2]
        await self._check("router-1", [Work(work_id, True)])

    async def _accept_some(self, router_id: str, count: int) -> list[Work]:
        accepted = await asyncio.gather(
            *(self._accept(router_id, idempotent=number % 2 == 0) for number in range(2 * count))
        )
        return list(accepted)

    async def _accept(self, router_id: str, *, idempotent: bool) -> Work:
        async def accept() -> str | None:
            if idempotent:
                body = {"model": "chorale", "prompt": "Summarise.", "max_tokens": 120}
                answer = await self.call(
                    router_id, "/v1/completions", "summary", body=body, x_deferred="true"
                )
            else:
                path = "/v1/services/booking-desk/slots/17?service_ms=1200"
                answer = await self.call(
                    router_id, path, "slot-confirmation", body={}, x_deferred="true"
                )
            self.assertIn(answer.status, (202, 409, 503), answer)
            return answer.headers["location"].rpartition("/")[2] if answer.status == 202 else None

        return Work(await self.until(accept, "work is accepted", 15), idempotent)

    async def _check(self, router_id: str, work: list[Work]) -> dict[str, str]:
        """Wait for the end of all work and compare it with the logs; gives the states."""
        ended = await asyncio.gather(*(self._end_of(router_id, one.work_id) for one in work))
        runs = await self._runs_by_id()
        for one, end in zip(work, ended, strict=True):
            attempts = [run["attempt"] for run in runs[one.work_id]]
            with self.subTest(one.work_id, state=end["state"], attempts=attempts):
                self.assertEqual(len(set(attempts)), len(attempts), "an attempt ran twice")
                if one.idempotent:
                    self.assertEqual("done", end["state"])
                else:
                    self.assertLessEqual(len(attempts), 1)
                if end["state"] == "done":
                    self.assertIn(end["answer"]["attempt"], attempts)
                    self.assertEqual(200, end["answer"]["status"])
        return {one.work_id: end["state"] for one, end in zip(work, ended, strict=True)}

    async def _end_of(self, router_id: str, work_id: str) -> dict[str, Any]:
        async def end() -> dict[str, Any] | None:
            answer = await self.call(router_id, f"/v1/deferred/{work_id}", "summary")
            if answer.status != 200:
                return None
            state = answer.json()
            return state if state["state"] in ENDED else None

        return await self.until(end, f"work {work_id} ends", 40)

    async def _some_runs(self) -> bool:
        runs = await self.runs(*self.fleet.ids("engine"), *self.fleet.ids("service"))
        return len(runs) >= 12

    async def _runs_by_id(self) -> dict[str, list[dict[str, Any]]]:
        found = defaultdict(list)
        for run in await self.runs(*self.fleet.ids("engine"), *self.fleet.ids("service")):
            found[run["request_id"]].append(run)
        return found

    async def _later_attempts(self, work: list[Work]) -> bool:
        runs = await self._runs_by_id()
        return any(run["attempt"] > 1 for one in work for run in runs[one.work_id])

    async def _is_repaired(self, controller_id: str, before: str) -> bool:
        status = await self.fleet.operate(await self.leader(), "GET", "/v1/status")
        voters = {one["host_id"]: one["identity"] for one in status["members"] if one["voter"]}
        identities = [one["identity"] for one in status["members"]]
        return voters.get(controller_id, before) != before and before not in identities


if __name__ == "__main__":
    unittest.main()
