"""Guards against documented operator commands that fail on a real fleet."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import os
import signal
import tempfile
import time
import unittest
from typing import Any
from unittest import mock

from tools.fleet import OPERATOR_TOKEN, ROOT, SMALL

from camphorvalve.cli.main import execute
from camphorvalve.cli.output import ExitCode
from camphorvalve.wire.keys import KeyPair, generate_key_pair
from camphorvalve.wire.link import Link
from camphorvalve.wire.messages import MESSAGES
from tests.builders import a_config_poll
from tests.processes.fleetcase import FleetCase, on_loop

CONFIGURATION = str(ROOT / "examples" / SMALL.name / "configuration.json")
SERVICE_PATH = "/v1/services/booking-desk/slots/17"


class OperationsTest(FleetCase):
    deployment = SMALL

    def setUp(self) -> None:
        super().setUp()
        urls = {
            role: " ".join(
                self.fleet.members[member_id].operator_url
                for member_id in self.fleet.member_ids(role)
            )
            for role in ("controller", "router")
        }
        environment = {
            "CAMPHORVALVE_CONTROLLERS": urls["controller"],
            "CAMPHORVALVE_ROUTERS": urls["router"],
            "CAMPHORVALVE_TOKEN": OPERATOR_TOKEN,
        }
        self.enterContext(mock.patch.dict(os.environ, environment))

    async def run_command(self, *argv: str) -> tuple[int, str, str]:
        with (
            contextlib.redirect_stdout(io.StringIO()) as output,
            contextlib.redirect_stderr(io.StringIO()) as errors,
        ):
            code = int(await execute(argv))
        return code, output.getvalue(), errors.getvalue()

    async def run_json(self, *argv: str) -> Any:
        code, output, errors = await self.run_command(*argv, "--json")
        self.assertEqual(0, code, errors)
        return json.loads(output)

    async def revision(self) -> int:
        return max(row["revision"] or 0 for row in await self.run_json("status"))

    @on_loop
    async def test_changes_conflict_and_resend(self) -> None:
        await self.run_json("apply", CONFIGURATION)
        self.assertEqual([], await self.run_json("apply", CONFIGURATION))
        revision = await self.revision()
        put = ("team", "put", "kalamunda", "--expected-revision", str(revision))
        first = (*put, "--share", "2", "--operation-id", f"op-{revision}")
        self.assertEqual({"revision": revision + 1}, await self.run_json(*first))
        code, _, errors = await self.run_command(*put, "--share", "3")
        self.assertEqual((ExitCode.CONFLICT, True), (code, f"revision {revision + 1}" in errors))
        self.assertEqual({"revision": revision + 1}, await self.run_json(*first))
        shown = await self.run_json("team", "show", "kalamunda")
        self.assertEqual(2, shown["in_force"]["share"])
        await self.fleet.wait_configured(revision + 1)

    @on_loop
    async def test_status_with_processes_killed(self) -> None:
        leader_id = await self.leader()
        controller_id = next(
            member_id for member_id in self.fleet.member_ids("controller") if member_id != leader_id
        )
        lost = {controller_id, "router-3"}
        # The leader lists router-right of test_link_without_the_key_is_not_admitted for a while.
        fleet_ids = {*self.fleet.member_ids("controller"), *self.fleet.member_ids("router")}
        for member_id in lost:
            await self.kill(member_id)

        async def cut_off() -> Any:
            rows = [row for row in await self.run_json("status") if row["id"] in fleet_ids]
            silent = {row["id"] for row in rows if row["cut_off"] and (row["heard_s"] or 0) > 3}
            return rows if silent == lost else None

        rows = await self.until(cut_off, "the leader reports both as cut off")
        self.assertEqual(6, len(rows))
        self.assertEqual({None}, {row["error"] for row in rows if row["id"] not in lost})
        members = await self.run_json("status", "--members")
        self.assertEqual(["voter"] * 3, [row["role"] for row in members])
        code, table, _ = await self.run_command("status")
        self.assertEqual(0, code)
        self.assertLessEqual(fleet_ids, {line.split()[0] for line in table.splitlines()})

    @on_loop
    async def test_drains(self) -> None:
        body = {"model": "chorale", "prompt": "p", "max_tokens": 2}
        for member_id in ("router-3", "camphor-pool-2"):
            drained = await self.run_json("drain", member_id)
            await self.fleet.wait_configured(drained["revision"])
        answer = await self.call("router-1", "/v1/addresses", "summary")
        listed = {entry["router"] for entry in answer.json()["addresses"]}
        self.assertEqual({"router-1", "router-2"}, listed)
        # A grant that was in transit when the drain came into force may be used for its lifetime.
        await asyncio.sleep(1.0)
        for _ in range(8):
            answer = await self.call("router-2", "/v1/completions", "schedule-draft", body=body)
            self.assertEqual((200, "camphor-pool-1"), (answer.status, answer.headers["x-upstream"]))
        for member_id in ("router-3", "camphor-pool-2"):
            await self.run_json("drain", member_id, "--end")

    @on_loop
    async def test_order_is_carried_out(self) -> None:
        size = ("--size-bytes", "1000")
        order = ("order", "load-model", "camphor-pool-1", "chorale", "2026-11", *size)
        index = (await self.run_json(*order))["order_index"]

        async def done() -> bool:
            orders = await self.run_json("order", "list")
            return any(entry["index"] == index and entry["state"] == "done" for entry in orders)

        await self.until(done, "the order is done")
        url = f"{self.fleet.members['camphor-pool-1'].url}/v1/state"
        self.assertIn("2026-11", (await self.fleet.client.get(url)).text)

    @on_loop
    async def test_explain_and_burn(self) -> None:
        body = {"model": "chorale", "prompt": "p", "max_tokens": 2}
        answer = await self.call("router-1", "/v1/completions", "schedule-draft", body=body)
        trace = await self.run_json("explain", "request", answer.headers["x-request-id"])
        self.assertEqual(("answered", 1), (trace["outcome"], trace["attempt"]))
        path = f"{SERVICE_PATH}?service_ms=1500"
        for _ in range(12):
            answer = await self.call(
                "router-2", path, "slot-confirmation", body={}, x_deferred="true"
            )
            self.assertEqual(202, answer.status)

        async def state(expected: str) -> Any:
            trace = await self.run_json("explain", "request", answer.json()["id"])
            return trace if trace.get("state") == expected else None

        trace = await self.until(lambda: state("waiting"), "the last request waits")
        self.assertEqual("a slot of pool booking-desk", trace["waits_for"])
        self.assertGreater(trace["ahead_count"], 0)
        team = await self.run_json("explain", "team", "fremantle")
        self.assertEqual(self.fleet.member_ids("router"), team["routers"])
        self.assertEqual({"router-2"}, {request["router"] for request in team["oldest_open"]})
        oldest = await self.run_json("explain", "request", team["oldest_open"][0]["request_id"])
        self.assertIn(oldest["state"], ("waiting", "running"))
        pool = next(entry for entry in team["pools"] if entry["pool"] == "booking-desk")
        self.assertGreater(pool["waiting_count"], 0)
        self.assertEqual(1, len(pool["schedulers"]))
        trace = await self.until(lambda: state("running"), "the last request runs", 15)
        self.assertEqual("the answer of booking-desk-1", trace["waits_for"])
        for router_id in ("router-1", "router-3"):
            await self.call(router_id, "/v1/completions", "schedule-draft", body=body)
        report = await self.run_json("burn")
        drafts = next(entry for entry in report["series"] if entry["kind"] == "schedule-draft")
        self.assertEqual(self.fleet.member_ids("router"), sorted(report["routers"]))
        self.assertGreaterEqual(drafts["windows"][0]["good_count"], 2)

    @on_loop
    async def test_wrong_token_is_refused(self) -> None:
        revision = await self.revision()
        with mock.patch.dict(os.environ, {"CAMPHORVALVE_TOKEN": "another-token"}):
            for argv in (("status",), ("burn",), ("drain", "router-1"), ("order", "list")):
                code, output, errors = await self.run_command(*argv)
                self.assertEqual((ExitCode.FAILED, ""), (code, output))
                self.assertIn("unauthorised", errors)
        self.assertEqual(revision, await self.revision())

    @on_loop
    async def test_link_without_the_key_is_not_admitted(self) -> None:
        settings = json.loads((self.fleet.folder / "router-1.json").read_text())
        fleet_pair = KeyPair(**settings["keys"])
        cases = [
            ("router-open", None),
            ("router-other", generate_key_pair()),
            ("router-right", fleet_pair),
        ]
        links = [self._link(name, pair) for name, pair in cases]
        end_s = time.monotonic() + 10
        listed_ids: set[str] = set()
        # Once the link with the right key is listed, the others have had time to be listed too.
        while "router-right" not in listed_ids and time.monotonic() < end_s:
            for link in links:
                for controller_id in self.fleet.member_ids("controller"):
                    link.send(controller_id, a_config_poll())
            await asyncio.sleep(0.3)
            listed_ids = {row["id"] for row in await self.run_json("status")}
        self.assertEqual({"router-right"}, listed_ids & {name for name, _ in cases})

    @on_loop
    async def test_stop_under_signal(self) -> None:
        controller_id = await self.leader()
        for member_id in ("router-3", controller_id):
            process = self.fleet.members[member_id].process
            self.fleet.send_signal(member_id, signal.SIGTERM)
            assert process is not None
            self.assertEqual(0, await asyncio.wait_for(process.wait(), 20))

    def _link(self, host_id: str, pair: KeyPair | None) -> Link:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        link = Link(host_id, 1, f"ipc://{folder.name}/link", MESSAGES, pair)
        link.open()
        self.addCleanup(link.close)
        members = (
            self.fleet.members[controller_id]
            for controller_id in self.fleet.member_ids("controller")
        )
        link.set_peers(
            {member.member_id: f"tcp://127.0.0.1:{member.peer_port}" for member in members}
        )
        return link


if __name__ == "__main__":
    unittest.main()
