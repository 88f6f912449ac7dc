"""Guards against the loss of work that was accepted with 202, when processes are killed."""

from __future__ import annotations

import asyncio
import shutil
import unittest
from collections import defaultdict
from typing import Any, NamedTuple

from tests.processes.fleetcase import FleetCase, on_loop

FINAL_STATES = frozenset({"done", "unknown"})


class Work(NamedTuple):
    """Accepted unit of work."""

    work_id: str
    idempotent: bool


class AcceptedTest(FleetCase):
    """Guards against accepted work that is lost, and non-idempotent work that runs again."""

    @on_loop
    async def test_accepting_router_killed(self) -> None:
        """The router that accepted the work is killed while some of it runs and some waits."""
        work = await self._submit_work("router-1", count=12)
        await self.until(self._some_work_runs, "some of the work has started")
        await self.kill("router-1")
        states = await self._check_final_states("router-2", work)
        # Otherwise the router was killed too early or too late to prove anything.
        self.assertIn("unknown", states.values())
        self.assertTrue(await self._has_later_attempts(work), "no work moved to another router")
        await self.fleet.restart("router-1")

    @on_loop
    async def test_leader_killed(self) -> None:
        """The leader is killed; work is accepted before, during and after its absence."""
        work = await self._submit_work("router-2", count=3)
        leader_id = await self.leader()
        self.fleet.send_signal(leader_id)
        work += await self._submit_work("router-3", count=3)
        await self.fleet.restart(leader_id)
        work += await self._submit_work("router-1", count=3)
        await self._check_final_states("router-1", work)

    @on_loop
    async def test_disk_lost_and_second_controller_lost(self) -> None:
        """A controller restarts without its data; once it has rejoined, the leader is killed."""
        work = await self._submit_work("router-1", count=4)
        leader_id = await self.leader()
        lost_id, other_id = (
            controller_id
            for controller_id in self.fleet.member_ids("controller")
            if controller_id != leader_id
        )
        previous_identity = (await self.fleet.call_operator(lost_id, "GET", "/v1/status"))[
            "identity"
        ]
        await self.kill(lost_id)
        shutil.rmtree(self.fleet.folder / f"{lost_id}-data")
        work += await self._submit_work("router-2", count=4)
        await self.fleet.restart(lost_id)
        await self.until(
            lambda: self._is_replaced(lost_id, previous_identity), "the controller rejoins", 20
        )
        await self.kill(leader_id)
        await self._check_final_states("router-3", work)
        work += await self._submit_work("router-3", count=4)
        await self._check_final_states("router-2", work)
        await self.fleet.restart(leader_id)
        self.assertIn(other_id, self.running("controller"))

    @on_loop
    async def test_accepted_late(self) -> None:
        """A router that is cut off can't tell whether work was accepted, and runs it later."""
        key = {"idempotency_key": "late", "x_deferred": "true"}
        body = {"model": "chorale", "prompt": "late", "max_tokens": 4}
        async with self.cut("router-2", "controller-*"):
            answer = await self.call("router-2", "/v1/completions", "summary", body=body, **key)
            self.assertEqual("unknown", answer.run, answer)
        work_id = answer.error["message"].rpartition("/")[2]
        await self._check_final_states("router-1", [Work(work_id, True)])

    async def _submit_work(self, router_id: str, count: int) -> list[Work]:
        submitted = await asyncio.gather(
            *(self._submit(router_id, idempotent=number % 2 == 0) for number in range(2 * count))
        )
        return list(submitted)

    async def _submit(self, router_id: str, *, idempotent: bool) -> Work:
        async def submit() -> str | None:
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

        return Work(await self.until(submit, "the work is accepted", 15), idempotent)

    async def _check_final_states(self, router_id: str, work: list[Work]) -> dict[str, str]:
        """Wait until all work has ended, compare it with the logs, and return the states by id."""
        final_records = await asyncio.gather(
            *(self._wait_for_end(router_id, item.work_id) for item in work)
        )
        runs = await self._runs_by_id()
        for item, final_record in zip(work, final_records, strict=True):
            attempts = [run["attempt"] for run in runs[item.work_id]]
            with self.subTest(item.work_id, state=final_record["state"], attempts=attempts):
                self.assertEqual(len(set(attempts)), len(attempts), "an attempt ran twice")
                if item.idempotent:
                    self.assertEqual("done", final_record["state"])
                else:
                    self.assertLessEqual(len(attempts), 1)
                if final_record["state"] == "done":
                    self.assertIn(final_record["answer"]["attempt"], attempts)
                    self.assertEqual(200, final_record["answer"]["status"])
        return {
            item.work_id: final_record["state"]
            for item, final_record in zip(work, final_records, strict=True)
        }

    async def _wait_for_end(self, router_id: str, work_id: str) -> dict[str, Any]:
        async def get_final_record() -> dict[str, Any] | None:
            answer = await self.call(router_id, f"/v1/deferred/{work_id}", "summary")
            if answer.status != 200:
                return None
            state = answer.json()
            return state if state["state"] in FINAL_STATES else None

        return await self.until(get_final_record, f"work {work_id} ends", 40)

    async def _some_work_runs(self) -> bool:
        runs = await self.runs(*self.fleet.member_ids("engine"), *self.fleet.member_ids("service"))
        return len(runs) >= 12

    async def _runs_by_id(self) -> dict[str, list[dict[str, Any]]]:
        runs_by_id = defaultdict(list)
        for run in await self.runs(
            *self.fleet.member_ids("engine"), *self.fleet.member_ids("service")
        ):
            runs_by_id[run["request_id"]].append(run)
        return runs_by_id

    async def _has_later_attempts(self, work: list[Work]) -> bool:
        runs = await self._runs_by_id()
        return any(run["attempt"] > 1 for item in work for run in runs[item.work_id])

    async def _is_replaced(self, controller_id: str, previous_identity: str) -> bool:
        status = await self.fleet.call_operator(await self.leader(), "GET", "/v1/status")
        voters = {
            member["host_id"]: member["identity"] for member in status["members"] if member["voter"]
        }
        identities = [member["identity"] for member in status["members"]]
        return (
            voters.get(controller_id, previous_identity) != previous_identity
            and previous_identity not in identities
        )


if __name__ == "__main__":
    unittest.main()
