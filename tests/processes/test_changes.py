"""Guards against requests that are lost, or wrongly denied, because the manifest changes."""

from __future__ import annotations

import asyncio
import os
import unittest

from tests.manifestterms import CHANGES, Terms, a_document_of_terms
from tests.processes.joinedcase import JoinedFleetCase
from tests.processes.keptcallers import KeptConnection
from tests.processes.silentupstreams import (
    Changes,
    ControllerStops,
    Hangups,
    Replacements,
    result_lines,
    run_trial,
)
from tests.silencebuilders import a_change_trial

SEED = int(os.environ.get("CAMPHORVALVE_SEED", "20261206"))
MIN_WHOLE_COUNT = 50
"""Fewer whole responses would prove too little."""
SHORT_S = 4.0
"""Idle timeout of the first manifest; the second one is in force long before it ends."""
LONG_S = 15.0
SPREAD_S = 0.03
CONNECTIONS_COUNT = 40


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    def shortDescription(self) -> str | None:  # noqa: N802
        return f"{self.id()} CAMPHORVALVE_SEED={SEED}"

    async def test_changes_beside_planned_work(self) -> None:
        """Guards against a request under way that a manifest ends, beside SIGHUP, workers that are
        replaced, and controllers that stop."""
        works = (Changes(CHANGES, 0.5), Hangups(), ControllerStops(), Replacements())
        trial = a_change_trial(SEED, works=works, callers_count=16)
        result = await run_trial(trial)
        self.assertEqual((), result.findings, "\n".join(result_lines(trial, result)))
        whole_count = sum(
            count for outcome, count in result.counts.items() if outcome.endswith(" whole")
        )
        self.assertGreater(whole_count, MIN_WHOLE_COUNT, result.counts)


class IdleTimeoutTest(JoinedFleetCase):
    def document(self, version: int, idle_timeout_s: float = SHORT_S) -> bytes:
        return a_document_of_terms(version, Terms(idle_timeout_s=idle_timeout_s))

    async def in_force(self, version: int) -> bool:
        lines = self.logged("router-1", "manifest in force")
        return any(line["version"] == version for line in lines)

    async def test_connections_are_kept_after_the_idle_timeout_has_grown(self) -> None:
        """Guards against a request on a kept connection that gets neither a response nor a refusal,
        because the connection is closed by the idle timeout of an older manifest."""
        address = self.fleet.ip("router-1"), self.fleet.ports.front
        connections = [await KeptConnection.open(address) for _ in range(CONNECTIONS_COUNT)]
        for connection in connections:
            self.addCleanup(connection.writer.transport.abort)
        firsts = [
            await connection.call(f"first-{number}")
            for number, connection in enumerate(connections)
        ]
        self.assertEqual({entry.status for entry in firsts}, {200})
        status = await self.fleet.put_manifest("controller-4", self.document(7, LONG_S))
        self.assertEqual(status, 200)
        await self.fleet.wait_until(lambda: self.in_force(7))
        step_s = 2 * SPREAD_S / CONNECTIONS_COUNT
        seconds = [
            connection.call(
                f"second-{number}", first.ended_s + SHORT_S - SPREAD_S + number * step_s
            )
            for number, (connection, first) in enumerate(zip(connections, firsts, strict=True))
        ]
        received = await asyncio.gather(*seconds)
        self.assertEqual([entry for entry in received if entry.status != 200], [])


if __name__ == "__main__":
    unittest.main()
