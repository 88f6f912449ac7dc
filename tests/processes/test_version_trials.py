"""Guards against streams that two software versions wrote."""

from __future__ import annotations

import os
import unittest

from tests.processes.versionedupstreams import Trial, result_lines, run_trial
from tests.versionbuilders import a_version_trial

SEED = int(os.environ.get("CAMPHORVALVE_SEED", "20261206"))
DURATION_S = 6.0
RELEASE_DURATION_S = 8.0
"""Long enough for all processes to come back and be asked for the streams of the old version."""
MIN_RESUMPTIONS_COUNT = 12
"""Fewer streams that were resumed would prove too little."""


class VersionTrialsTest(unittest.IsolatedAsyncioTestCase):
    def shortDescription(self) -> str | None:  # noqa: N802
        return f"{self.id()} CAMPHORVALVE_SEED={SEED}"

    async def check(self, trial: Trial) -> None:
        result = await run_trial(trial)
        self.assertEqual((), result.findings, "\n".join(result_lines(trial, result)))
        made = sum(
            count for name, count in result.counts.items() if name.startswith("resumptions: ")
        )
        self.assertGreaterEqual(made, MIN_RESUMPTIONS_COUNT, result.counts)

    async def test_stream_joined_from_two_versions_inside_one_answer(self) -> None:
        """Guards against a stream that goes on at the other version after its worker resets it."""
        await self.check(a_version_trial(SEED, "resets", duration_s=DURATION_S))

    async def test_stream_joined_from_two_versions_by_its_caller(self) -> None:
        """Guards against the same when the caller goes on at another router."""
        await self.check(a_version_trial(SEED, "drops", duration_s=DURATION_S))

    async def test_stream_joined_after_a_release_and_the_loss_of_all_processes(self) -> None:
        """Guards against the same where no process that saw the stream begin is left."""
        await self.check(a_version_trial(SEED, "release of a fleet", duration_s=RELEASE_DURATION_S))


if __name__ == "__main__":
    unittest.main()
