"""Guards against responses of sound upstreams that are lost because the upstream is silent."""

from __future__ import annotations

import os
import unittest

from tests.processes.silentupstreams import Trial, result_lines, run_trial
from tests.silencebuilders import BESIDE, a_silence_trial

SEED = int(os.environ.get("CAMPHORVALVE_SEED", "20261206"))
MIN_SILENT_COUNT = 20
"""Fewer responses that stood still and came whole would prove too little."""


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    def shortDescription(self) -> str | None:  # noqa: N802
        return f"{self.id()} CAMPHORVALVE_SEED={SEED}"

    async def check(self, trial: Trial) -> None:
        result = await run_trial(trial)
        self.assertEqual((), result.findings, "\n".join(result_lines(trial, result)))
        silent_count = sum(
            count
            for outcome, count in result.counts.items()
            if " silent " in outcome and outcome.endswith(" whole")
        )
        self.assertGreater(silent_count, MIN_SILENT_COUNT, result.counts)

    async def test_silence(self) -> None:
        """Guards against an upstream's silence taken for a failure, with nothing else wrong."""
        await self.check(
            a_silence_trial(SEED, workers_count=3, attempts_count=2, works=BESIDE["nothing"])
        )

    async def test_silence_beside_planned_work(self) -> None:
        """Guards against the same while the manifest changes and routers stop in turn."""
        await self.check(
            a_silence_trial(SEED + 1, workers_count=4, attempts_count=2, works=BESIDE["both"])
        )


if __name__ == "__main__":
    unittest.main()
