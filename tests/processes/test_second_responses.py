"""Guards against responses that are not the caller's own, or not whole, when workers send two."""

from __future__ import annotations

import os
import unittest

from tests.processes.secondresponses import Trial, result_lines, run_trial

SEED = int(os.environ.get("CAMPHORVALVE_SEED", "20261206"))
MIN_WHOLE_COUNT = 100
"""Fewer whole responses would leave too little to compare."""


class SecondResponseTest(unittest.IsolatedAsyncioTestCase):
    def shortDescription(self) -> str | None:  # noqa: N802
        return f"{self.id()} CAMPHORVALVE_SEED={SEED}"

    async def check(self, trial: Trial) -> None:
        result = await run_trial(trial)
        self.assertEqual((), result.findings, "\n".join(result_lines(trial, result)))
        self.assertGreater(result.whole_count, MIN_WHOLE_COUNT, result.counts)

    async def test_second_responses(self) -> None:
        """Guards against a second response taken for a part of the first one, or for the response
        to another request, on connections that last."""
        await self.check(Trial(SEED, has_process_faults=False))

    async def test_second_responses_beside_restarts(self) -> None:
        """Guards against the same while processes and workers end, freeze and start again."""
        await self.check(Trial(SEED + 1))


if __name__ == "__main__":
    unittest.main()
