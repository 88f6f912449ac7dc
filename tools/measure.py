"""Measures a deployment on loopback under the policy and its two baselines."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any, Literal

import defopt

from tools.measuring import table
from tools.measuring.plans import FULL, POLICIES, QUICK, WORKS

ROOT = Path(__file__).resolve().parent.parent
QUICK_BUDGET_S = 45.0
"""For each trial; the interpreter's start and the table take the rest of 50 s."""
FULL_TIMEOUT_S = 900.0
STOP_TIMEOUT_S = 15.0


async def run_trial(deployment: str, policy: str, *, quick: bool) -> dict[str, Any]:
    """
    Run one trial in a process of its own, as the load generator needs most of a core.

    :param deployment: ``perth`` or ``khomas``
    :param policy: name of the policy
    :param quick: short phases
    :return: its figures; empty when the trial failed
    """
    arguments = ["--deployment", deployment, "--policy", policy]
    if quick:
        arguments += ["--quick", "--budget-s", str(QUICK_BUDGET_S)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "tools.measuring.trial", *arguments,
        cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"},
    )  # fmt: skip
    try:
        output, _ = await asyncio.wait_for(process.communicate(), FULL_TIMEOUT_S)
    finally:
        await _end(process)
    if process.returncode != 0:
        sys.stderr.write(f"trial of {policy} failed with status {process.returncode}\n")
        return {}
    return json.loads(output.splitlines()[-1])


async def _end(process: asyncio.subprocess.Process) -> None:
    """Interrupt a trial that still runs, so that it ends the processes that it started."""
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGINT)
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()


async def measure(deployment: str, *, quick: bool) -> dict[str, Any]:
    """
    Run the trials of all policies.

    :param deployment: ``perth`` or ``khomas``
    :param quick: short phases, the three policies at the same time
    :return: joined figures
    """
    started_s, load_before = time.monotonic(), os.getloadavg()[0]
    if (QUICK if quick else FULL).together:
        running = (run_trial(deployment, policy, quick=quick) for policy in POLICIES)
        found = await asyncio.gather(*running)
    else:
        found = [await run_trial(deployment, policy, quick=quick) for policy in POLICIES]
    trials = dict(zip(POLICIES, found, strict=True))
    return {
        "deployment": deployment,
        "quick": quick,
        **table.join(WORKS[deployment], trials),
        "took_s": round(time.monotonic() - started_s, 1),
        "load_before": round(load_before, 2),
        "load_after": round(os.getloadavg()[0], 2),
        "trials": trials,
    }


def main(
    deployment: Literal["perth", "khomas"] = "perth",
    /,
    *,
    quick: bool = False,
    slopes: bool = False,
) -> None:
    """
    Measure a deployment; prints a table and, as the last line, one JSON object.

    :param deployment: which of the two current deployments
    :param quick: at most 50 s in all
    :param slopes: cost by size of the fleet instead, in one process
    """
    if slopes:
        from tools.measuring import capacity

        capacity.print_all()
        return
    joined = asyncio.run(measure(deployment, quick=quick))
    for line in table.lines(WORKS[deployment], joined):
        print(line)
    print(f"took {joined['took_s']} s, load {joined['load_before']} to {joined['load_after']}")
    print(json.dumps(joined))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["main", "measure"]
