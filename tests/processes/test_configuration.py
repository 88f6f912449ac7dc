"""Guards against accepted changes that are not in force after 8 s, or that revert later."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
import unittest
from typing import Any

import httpx
from tools.fleet import UpstreamGroup

from tests.processes.fleetcase import DEPLOYMENT, FleetCase, on_loop

IN_FORCE_S = 8.0
CHANGES_COUNT = 300


class ConfigurationTest(FleetCase):
    """Guards against lost, duplicated and reverted changes."""

    deployment = DEPLOYMENT._replace(upstreams=(UpstreamGroup("camphor-pool", "engine", 1, 4),))

    def setUp(self) -> None:
        """Start to watch the revision that is in force on each router."""
        super().setUp()
        self.share = 1
        self.seen_revisions: dict[str, list[int]] = {
            router_id: [0] for router_id in self.fleet.member_ids("router")
        }
        watch = self.runner.get_loop().create_task(self._watch_revisions())
        self.addCleanup(self.runner.run, self._check_watched_revisions(watch))

    @on_loop
    async def test_leader_killed(self) -> None:
        """Changes before and after a leader is killed are in force, and reach it once restarted."""
        await self._change_in_force()
        leader_id = await self.leader()
        await self.kill(leader_id)
        revision = await self._change_in_force()
        await self.fleet.restart(leader_id)
        await self._wait_for_controllers(revision)
        await self._change_in_force()

    @on_loop
    async def test_leader_frozen(self) -> None:
        """A leader that was suspended rejects a change to its outdated revision."""
        frozen_id = await self.leader()
        async with self.frozen(frozen_id):
            revision = await self._change_in_force(excluded_id=frozen_id)
        status, answer = await self._post(frozen_id, self._body(revision - 1))
        self.assertNotEqual(200, status, answer)
        await self._wait_for_controllers(revision)
        await self._change_in_force()

    @on_loop
    async def test_leader_cut_off_for_long(self) -> None:
        """A leader that is cut off accepts no change; routers that hear it keep newer revisions."""
        cut_id = await self.leader()
        before = await self._revision(cut_id)
        rejected_body = self._body(before)
        async with self.cut(cut_id, "controller-*"):
            status, answer = await self._post(cut_id, rejected_body, timeout_s=12.0)
            self.assertNotEqual(200, status, answer)
            for _ in range(20):
                revision = await self._change(excluded_id=cut_id)
            await self._wait_in_force(revision)
            self.assertEqual(before, await self._revision(cut_id))
        await self._wait_for_controllers(revision)
        leader_id = await self.leader()
        status, answer = await self._post(leader_id, rejected_body)
        self.assertEqual((409, "conflict"), (status, answer["error"]["code"]), answer)
        await self._change_in_force()

    @on_loop
    async def test_router_restarts_empty_after_many_changes(self) -> None:
        """A router that missed several hundred changes puts the newest revision in force."""
        leader_id = await self.leader()
        first = await self._revision(leader_id)
        for revision in range(first, first + CHANGES_COUNT):
            status, answer = await self._post(leader_id, self._body(revision))
            self.assertEqual(200, status, answer)
        await self.kill("router-2")
        self.seen_revisions["router-2"] = [0]
        revision = await self._change()
        await self.fleet.restart("router-2")
        await self._wait_in_force(revision)

    @on_loop
    async def test_operators_race(self) -> None:
        """Of two concurrent changes to the same revision exactly one is accepted."""
        leader_id = await self.leader()
        for _ in range(20):
            revision = await self._revision(leader_id)
            bodies = [self._body(revision), self._body(revision)]
            answers = await asyncio.gather(*(self._post(leader_id, body) for body in bodies))
            self.assertEqual([200, 409], sorted(status for status, _ in answers), answers)
            conflict = next(answer for status, answer in answers if status == 409)
            self.assertEqual("conflict", conflict["error"]["code"])
            self.assertEqual(revision + 1, conflict["revision"])
        await self._wait_in_force(revision + 1)

    @on_loop
    async def test_resend_after_lost_answer(self) -> None:
        """A resent operation gets the revision of its first commit, also from the next leader."""
        leader_id = await self.leader()
        before = await self._revision(leader_id)
        body = self._body(before)
        status, answer = await self._post(leader_id, body)
        self.assertEqual(200, status, answer)
        await self.kill(leader_id)
        revisions = [await self._resend(body) for _ in range(2)]
        self.assertEqual([before + 1] * 2, revisions)
        self.assertEqual(before + 1, await self._revision(await self.leader()))
        await self.fleet.restart(leader_id)
        await self._wait_in_force(before + 1)

    @on_loop
    async def test_all_controllers_restart(self) -> None:
        """Routers serve without controllers, and no committed change is lost by the restart."""
        revision = await self._change_in_force()
        for controller_id in self.fleet.member_ids("controller"):
            await self.kill(controller_id)
        body = {"model": "chorale", "prompt": "while they are down", "max_tokens": 4}
        answer = await self.call("router-1", "/v1/completions", "schedule-draft", body=body)
        self.assertEqual(200, answer.status, answer)
        await asyncio.gather(*map(self.fleet.restart, self.fleet.member_ids("controller")))
        self.assertEqual(revision + 1, await self._change_in_force())

    def _body(self, expected_revision: int) -> dict[str, Any]:
        self.share += 1
        team = {"name": "fremantle", "template": "centre", "share": self.share}
        return {
            "operation_id": os.urandom(8).hex(),
            "expected_revision": expected_revision,
            "change": {"type": "put_team", "team": team},
        }

    async def _post(
        self, controller_id: str, body: dict[str, Any], timeout_s: float = 5.0
    ) -> tuple[int, dict[str, Any]]:
        url = f"{self.fleet.members[controller_id].operator_url}/v1/changes"
        headers = {"authorization": "Bearer operator-token"}
        answer = await self.fleet.client.post(url, json=body, headers=headers, timeout=timeout_s)
        return answer.status_code, answer.json()

    async def _change(self, excluded_id: str = "") -> int:
        """Make one change at the leader, as a new operation after each conflict."""
        ids = [
            controller_id
            for controller_id in self.running("controller")
            if controller_id != excluded_id
        ]
        body = self._body(max([await self._revision(controller_id) for controller_id in ids]))

        async def change() -> int | None:
            for controller_id in ids:
                with contextlib.suppress(httpx.HTTPError):
                    status, answer = await self._post(controller_id, body)
                    if status == 200:
                        return answer["revision"]
                    if answer["error"]["code"] == "conflict":
                        # A conflict is the final outcome of its operation; retry with a new one.
                        body.update(self._body(answer["revision"]))
            return None

        return await self.until(change, "a controller accepts the change")

    async def _resend(self, body: dict[str, Any]) -> int:
        async def resend() -> int | None:
            for controller_id in self.running("controller"):
                status, answer = await self._post(controller_id, body)
                if status == 200:
                    return answer["revision"]
            return None

        return await self.until(resend, "a controller answers the resent change")

    async def _change_in_force(self, excluded_id: str = "") -> int:
        revision = await self._change(excluded_id)
        await self._wait_in_force(revision)
        return revision

    async def _wait_in_force(self, revision: int) -> None:
        started_s = time.monotonic()
        for router_id in self.fleet.member_ids("router"):

            async def reached(router_id: str = router_id) -> bool:
                return await self._revision(router_id) >= revision

            remaining_s = IN_FORCE_S - (time.monotonic() - started_s)
            await self.until(reached, f"{router_id} has revision {revision} in force", remaining_s)

    async def _wait_for_controllers(self, revision: int) -> None:
        for controller_id in self.fleet.member_ids("controller"):

            async def reached(controller_id: str = controller_id) -> bool:
                return await self._revision(controller_id) >= revision

            await self.until(reached, f"{controller_id} reaches revision {revision}")

    async def _revision(self, member_id: str) -> int:
        status = await self.fleet.call_operator(member_id, "GET", "/v1/status", timeout=2.0)
        return status["revision"]

    async def _watch_revisions(self) -> None:
        while True:
            for router_id, seen_revisions in self.seen_revisions.items():
                with contextlib.suppress(httpx.HTTPError):
                    revision = await self._revision(router_id)
                    # A test replaces the list when it restarts the router.
                    if seen_revisions is self.seen_revisions[router_id]:
                        seen_revisions.append(revision)
            await asyncio.sleep(0.02)

    async def _check_watched_revisions(self, watch: asyncio.Task[None]) -> None:
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        for router_id, seen_revisions in self.seen_revisions.items():
            self.assertEqual(
                sorted(seen_revisions),
                seen_revisions,
                f"{router_id} went back to an older revision",
            )


if __name__ == "__main__":
    unittest.main()
