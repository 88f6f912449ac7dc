"""Searches for responses that are another caller's or not whole in random trials; run by hand.

``python -m tests.processes.secondresponsesoak FIRST LAST`` prints the seeds with findings. Set
``CAMPHORVALVE_KEEP_LOGS`` to a folder that takes the logs of the processes of these seeds.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter

from tests.processes.secondresponses import a_trial, result_lines, run_trial


def main(first: int, last: int) -> None:
    """Run the trials of the seeds from the first to the last, exclusive."""
    failed_seeds: list[int] = []
    counts: Counter[str] = Counter()
    whole_count = 0
    for seed in range(first, last):
        trial = a_trial(seed)
        result = asyncio.run(run_trial(trial))
        whole_count += result.whole_count
        counts.update(result.counts)
        print(f"seed {seed}: {result.whole_count} whole, {len(result.findings)} findings")
        if result.findings:
            failed_seeds.append(seed)
            print("\n".join(result_lines(trial, result)))
        sys.stdout.flush()
    print(f"responses: {dict(sorted(counts.items()))}")
    print(f"whole responses of workers: {whole_count}")
    print(f"{len(failed_seeds)} of {last - first} seeds with findings: {failed_seeds}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
