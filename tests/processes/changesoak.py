"""Searches for requests that changes of the manifest lose in random trials; run by hand.

``python -m tests.processes.changesoak FIRST LAST`` prints the seeds with findings. Set
``CAMPHORVALVE_KEEP_LOGS`` to a folder that takes the logs of the processes of these seeds, and
``CAMPHORVALVE_CODE`` to another checkout to run its code.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter

from tests.processes.silentupstreams import result_lines, run_trial
from tests.silencebuilders import a_change_trial


def main(first: int, last: int) -> None:
    """Run the trials of the seeds from the first to the last, exclusive."""
    failed_seeds: list[int] = []
    counts: Counter[str] = Counter()
    for seed in range(first, last):
        trial = a_change_trial(seed)
        result = asyncio.run(run_trial(trial))
        counts.update(result.counts)
        works = ", ".join(type(work).__name__ for work in trial.works)
        calls_count = sum(result.counts.values())
        print(f"seed {seed}: {calls_count} calls, {len(result.findings)} findings, {works}")
        if result.findings:
            failed_seeds.append(seed)
            print("\n".join(result_lines(trial, result)))
        sys.stdout.flush()
    print("\n".join(f"{count:6} {outcome}" for outcome, count in sorted(counts.items())))
    print(f"{len(failed_seeds)} of {last - first} seeds with findings: {failed_seeds}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
