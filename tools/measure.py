"""Benchmarks a deployment on loopback with the scheduling policy and its two baselines."""

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
from tools.measuring.plans import FULL, POLICIES, QUICK, WORKLOADS

ROOT = Path(__file__).resolve().parent.parent
QUICK_BUDGET_S = 45.0
"""Time limit of each trial; starting the interpreter and printing take the rest of 50 s."""
FULL_TIMEOUT_S = 900.0
STOP_TIMEOUT_S = 15.0


async def run_trial(deployment: str, policy: str, *, quick: bool) -> dict[str, Any]:
    """
    Run one trial in a separate process, as its load generator needs most of a core.

    :param deployment: ``perth`` or ``khomas``
    :param policy: name of the policy
    :param quick: whether to shorten the phases
    :return: the measured figures; empty if the trial failed
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
        await _stop(process)
    if process.returncode != 0:
        sys.stderr.write(f"trial of {policy} failed with exit code {process.returncode}\n")
        return {}
    return json.loads(output.splitlines()[-1])


async def _stop(process: asyncio.subprocess.Process) -> None:
    """Interrupt a trial that is still running, so that it stops the processes it started."""
    if process.returncode is not None:
        return
    process.send_signal(signal.SIGINT)
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()


async def measure(deployment: str, *, quick: bool) -> dict[str, Any]:
    """
    Run one trial for each policy.

    :param deployment: ``perth`` or ``khomas``
    :param quick: whether to shorten the phases and run the trials concurrently
    :return: the figures of all policies
    """
    started_s, load_before = time.monotonic(), os.getloadavg()[0]
    if (QUICK if quick else FULL).together:
        pending = (run_trial(deployment, policy, quick=quick) for policy in POLICIES)
        results = await asyncio.gather(*pending)
    else:
        results = [await run_trial(deployment, policy, quick=quick) for policy in POLICIES]
    trials = dict(zip(POLICIES, results, strict=True))
    return {
        "deployment": deployment,
        "quick": quick,
        **table.merge(WORKLOADS[deployment], trials),
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
    Benchmark a deployment; print a table and, as the last line, one JSON object.

    :param deployment: the deployment to start
    :param quick: finish within 50 s by shortening the phases
    :param slopes: measure how the cost of a router grows with the fleet instead, in one process
    """
    if slopes:
        from tools.measuring import capacity

        capacity.print_all()
        return
    merged = asyncio.run(measure(deployment, quick=quick))
    for line in table.format_lines(WORKLOADS[deployment], merged):
        print(line)
    print(f"took {merged['took_s']} s, load {merged['load_before']} to {merged['load_after']}")
    print(json.dumps(merged))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["main", "measure"]
