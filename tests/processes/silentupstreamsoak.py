"""Searches for responses that silent upstreams lose in random trials; run by hand.

``python -m tests.processes.silentupstreamsoak FIRST LAST [BESIDE]`` prints the seeds with findings;
``BESIDE`` sets the planned work of all trials: ``nothing``, ``manifests``, ``stops`` or ``both``.
Set ``CAMPHORVALVE_KEEP_LOGS`` to a folder that takes the logs of the processes of these seeds.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter

from tests.processes.silentupstreams import result_lines, run_trial
from tests.silencebuilders import BESIDE, a_silence_trial


def main(first: int, last: int, beside: str = "") -> None:
    """Run the trials of the seeds from the first to the last, exclusive."""
    failed_seeds: list[int] = []
    counts: Counter[str] = Counter()
    fields = {"works": BESIDE[beside]} if beside else {}
    for seed in range(first, last):
        trial = a_silence_trial(seed, **fields)
        result = asyncio.run(run_trial(trial))
        counts.update(result.counts)
        print(f"seed {seed}: {sum(result.counts.values())} calls, {len(result.findings)} findings")
        if result.findings:
            failed_seeds.append(seed)
            print("\n".join(result_lines(trial, result)))
        sys.stdout.flush()
    print("\n".join(f"{count:6} {outcome}" for outcome, count in sorted(counts.items())))
    print(f"{len(failed_seeds)} of {last - first} seeds with findings: {failed_seeds}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:4])
