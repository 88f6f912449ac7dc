"""Trials of a joined fleet whose sound workers fall silent for a while, beside planned work."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from tools.joinedfleet import JoinedFleet
from tools.standins.serving import serve_app
from tools.standins.stutter import Shares, StutteringWorkers

from tests.processes.joinedcase import CONTROLLERS, start_fleet
from tests.processes.keptcallers import CallerFleet, run_callers
from tests.processes.secondresponses import CODE_FOLDER, keep_logs, own_ends
from tests.processes.silencechecks import Bounds, Stop, silence_findings, silence_summary
from tests.routebuilders import a_document_of_all_kinds

if TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_VERSION = 5
RESTART_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Manifests:
    """A new version of the manifest is sent again and again."""

    pause_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Stops:
    """Each router in turn is stopped and started once."""

    pause_s: float = 1.5
    """Time before each stop."""


Work = Manifests | Stops


class Trial(NamedTuple):
    """Size of a trial, its silences and the planned work beside them."""

    seed: int
    workers_count: int
    callers_count: int
    attempts_count: int
    """Attempts that each route allows."""
    shares: Shares
    works: tuple[Work, ...]
    routers_count: int = 2
    duration_s: float = 10.0
    """Time for which callers send requests; longer if the planned work is."""
    deadline_ms: int = 6000
    timeout_ms: int = 8000
    grace_s: int = 8


class TrialResult(NamedTuple):
    """What a trial found."""

    findings: tuple[str, ...]
    counts: dict[str, int]
    """Responses by kind of request, silence and outcome."""
    events: tuple[str, ...]
    """Planned work in its order, with the time from its beginning in seconds."""


async def run_trial(trial: Trial) -> TrialResult:
    """Start a fleet, run callers beside the planned work, and check what they received."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        workers = StutteringWorkers("engines", trial.seed, trial.shares)
        stack.push_async_callback(workers.close)
        list_url = await stack.enter_async_context(serve_app(workers.listed.serve_list))
        for number in range(trial.workers_count):
            await workers.start(f"i-{number + 1}")
        fleet = JoinedFleet(folder, list_url, CODE_FOLDER)
        fleet.grace_s = trial.grace_s
        stack.push_async_callback(fleet.close)
        routers = [f"router-{number + 1}" for number in range(trial.routers_count)]
        planned = PlannedWork(trial, fleet, routers)
        try:
            await start_fleet(fleet, routers, planned.document(FIRST_VERSION))
        except TimeoutError:
            return _result(trial, folder, ["RECOVER: the fleet did not start in time"], {}, ())
        callers = CallerFleet(
            lambda name: (fleet.ip(name), fleet.ports.front), routers, trial.deadline_ms
        )
        await planned.play_beside(callers)
        bounds = Bounds(trial.timeout_ms / 1000, trial.attempts_count, tuple(planned.stops))
        ended = own_ends(fleet, [*routers, *CONTROLLERS])
        found = silence_findings(callers.received, workers.record, bounds)
        lines = [*planned.findings, *ended, *found]
        counts = silence_summary(callers.received, workers.record)
        return _result(trial, folder, lines, counts, tuple(planned.events))


def _result(
    trial: Trial, folder: Path, lines: list[str], counts: dict[str, int], events: tuple[str, ...]
) -> TrialResult:
    result = TrialResult(tuple(lines), counts, events)
    if lines and (kept := os.environ.get("CAMPHORVALVE_KEEP_LOGS")):
        target = Path(kept) / f"seed-{trial.seed}"
        keep_logs(folder, target, list(result_lines(trial, result)))
    return result


class PlannedWork:
    """Plays the planned work of a trial beside its callers."""

    def __init__(self, trial: Trial, fleet: JoinedFleet, routers: list[str]) -> None:
        """
        Prepare the work.

        :param trial: the trial
        :param fleet: the processes
        :param routers: names of the routers
        """
        self.events: list[str] = []
        self.findings: list[str] = []
        self.stops: list[Stop] = []
        self._trial = trial
        self._fleet = fleet
        self._routers = routers
        self._version = FIRST_VERSION
        self._first_s = 0.0

    def document(self, version: int) -> bytes:
        """Build the manifest of a version."""
        return a_document_of_all_kinds(
            version, timeoutMs=self._trial.timeout_ms, maxAttempts=self._trial.attempts_count
        )

    async def play_beside(self, callers: CallerFleet) -> None:
        """Run the callers until the time of the trial is over and each router has stopped once."""
        trial = self._trial
        self._first_s = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as tasks:
            calling = tasks.create_task(
                run_callers(callers, trial.callers_count, trial.seed, self._duration_s())
            )
            playing = [tasks.create_task(self._play(work, calling)) for work in trial.works]
        for task in playing:
            task.result()

    def _duration_s(self) -> float:
        stops = [work for work in self._trial.works if isinstance(work, Stops)]
        stops_s = sum(work.pause_s + self._trial.grace_s for work in stops)
        return max(self._trial.duration_s, stops_s * len(self._routers))

    async def _play(self, work: Work, calling: asyncio.Task[None]) -> None:
        match work:
            case Manifests(pause_s):
                draw = random.Random(f"{self._trial.seed} manifests")
                while not calling.done():
                    await asyncio.sleep(pause_s)
                    await self._put_manifest(draw)
            case Stops(pause_s):
                for router in self._routers:
                    await asyncio.sleep(pause_s)
                    await self._restart(router)

    def _log(self, text: str) -> None:
        past_s = asyncio.get_running_loop().time() - self._first_s
        self.events.append(f"{past_s:.2f} {text}")

    async def _put_manifest(self, draw: random.Random) -> None:
        self._version += draw.randint(1, 5)
        document = self.document(self._version)
        status = await self._fleet.put_manifest(draw.choice(CONTROLLERS), document)
        self._log(f"manifest {self._version}: {status}")

    async def _restart(self, router: str) -> None:
        signalled_s = asyncio.get_running_loop().time()
        self.stops.append(Stop(router, signalled_s, self._trial.grace_s))
        self._log(f"SIGTERM {router}")
        code = await self._fleet.stop(router, signal.SIGTERM)
        took_s = asyncio.get_running_loop().time() - signalled_s
        if code != 0 or took_s > self._trial.grace_s:
            self.findings.append(f"LOST: {router} ended with code {code} after {took_s:.2f} s")
        await self._fleet.start(router)
        self._log(f"started {router}")
        try:
            await self._fleet.wait_until(lambda: self._fleet.is_ready(router), RESTART_TIMEOUT_S)
        except TimeoutError:
            self.findings.append(f"RECOVER: {router} not ready after {RESTART_TIMEOUT_S} s")


def result_lines(trial: Trial, result: TrialResult) -> Iterator[str]:
    """Yield the lines that repeat and explain a trial with findings."""
    yield f"{trial}"
    yield f"planned work: {'; '.join(result.events)}"
    yield f"responses: {result.counts}"
    yield from result.findings


__all__ = [
    "Manifests",
    "PlannedWork",
    "Stops",
    "Trial",
    "TrialResult",
    "Work",
    "result_lines",
    "run_trial",
]
