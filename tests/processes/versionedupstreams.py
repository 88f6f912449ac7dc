"""Trials of a joined fleet whose workers have several software versions, beside faults."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from itertools import cycle
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from tools.joinedfleet import JoinedFleet, RetryBudgetSettings
from tools.standins.serving import serve_app
from tools.standins.versioned import VersionedWorkers, VersionShares

from tests.processes.joinedcase import CONTROLLERS, start_fleet
from tests.processes.resumingcallers import Habits, ResumingCallers, run_resuming_callers
from tests.processes.secondresponses import CODE_FOLDER, keep_logs, own_ends
from tests.processes.versionchecks import Outage, Streams, version_findings, version_summary
from tests.routebuilders import a_document_of_two_teams

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence


OLD, NEW = "v1.1", "v1.2"
FIRST_VERSION = 5
DOWN_S = 0.5
"""Time for which killed processes are down."""
RESTART_TIMEOUT_S = 15.0
UNLIST_S = (0.3, 1.5)
"""Shortest and longest time for which a worker that has crashed stays on the list."""


@dataclass(frozen=True, slots=True)
class RouterKills:
    """All routers are killed at once, and started again."""

    at_s: tuple[float, ...] = (4.0, 9.0)


@dataclass(frozen=True, slots=True)
class FleetKills:
    """All routers and all controllers are killed at once, and started again."""

    at_s: tuple[float, ...] = (6.0,)


@dataclass(frozen=True, slots=True)
class CoreKills:
    """All controllers are killed at once, and started again."""

    at_s: tuple[float, ...] = (5.0,)


@dataclass(frozen=True, slots=True)
class RouterFreezes:
    """Each router in turn stands still for a while and goes on with an old list of workers."""

    at_s: float = 3.5
    freeze_s: float = 3.0


@dataclass(frozen=True, slots=True)
class ControllerKills:
    """One controller after another is killed, and started again."""

    pause_s: float = 2.0


@dataclass(frozen=True, slots=True)
class VersionGone:
    """All workers of each version in turn end at once, and start again with new ids."""

    pause_s: float = 3.0
    gone_s: float = 1.0


@dataclass(frozen=True, slots=True)
class VersionLeaves:
    """All workers of the old version end at once and leave the list."""

    at_s: float = 6.0


@dataclass(frozen=True, slots=True)
class Replacements:
    """One worker after another crashes and comes back, with its version or the other one."""

    pause_s: float = 1.5
    same_id: bool = False
    """Whether a worker may keep its id."""
    same_address: bool = False
    """Whether a worker may keep its address."""


@dataclass(frozen=True, slots=True)
class Release:
    """Workers of the new version are listed, and those of the old one leave after that."""

    listed_s: float = 3.0
    leaves_s: float = 4.0
    draining_s: float = 2.0
    """Time for which leaving workers still serve."""


Fault = (
    RouterKills
    | FleetKills
    | CoreKills
    | RouterFreezes
    | ControllerKills
    | VersionGone
    | VersionLeaves
    | Replacements
    | Release
)


class Trial(NamedTuple):
    """Size of a trial, its workers and callers, and the faults beside them."""

    seed: int
    versions: tuple[str, ...] = (OLD, OLD, OLD, NEW, NEW, NEW)
    """Software version of each worker at the beginning."""
    slots_count: int = 8
    shares: VersionShares = VersionShares()
    habits: Habits = Habits()
    faults: tuple[Fault, ...] = ()
    list_lags_s: tuple[float, ...] = (0.2,)
    """Time by which the list is late; the controllers take turns at the values."""
    router_lags_s: tuple[float, ...] = ()
    """The same for routers, which have to read the list themselves: controllers get none."""
    retry_budget: RetryBudgetSettings = RetryBudgetSettings()
    attempts_count: int = 3
    """Attempts that each route allows."""
    routers_count: int = 2
    callers_count: int = 24
    duration_s: float = 14.0


class TrialResult(NamedTuple):
    """What a trial found."""

    findings: tuple[str, ...]
    counts: dict[str, int]
    events: tuple[str, ...]
    """Faults in their order, with the time from the beginning and the monotonic time in seconds."""


async def run_trial(trial: Trial) -> TrialResult:
    """Start a fleet, run callers beside the faults of a trial, and check what they received."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        workers = VersionedWorkers("engines", trial.seed, trial.shares, trial.slots_count)
        stack.push_async_callback(workers.close)
        list_urls = [
            await stack.enter_async_context(serve_app(workers.list_app(lag_s)))
            for lag_s in trial.list_lags_s
        ]
        for number, version in enumerate(trial.versions):
            await workers.start(f"i-{number + 1}", version)
        fleet = JoinedFleet(folder, list_urls[0], CODE_FOLDER)
        fleet.retry_budget = trial.retry_budget
        stack.push_async_callback(fleet.close)
        routers = [f"router-{number + 1}" for number in range(trial.routers_count)]
        for number, name in enumerate(CONTROLLERS):
            fleet.list_urls[name] = list_urls[number % len(list_urls)]
        if trial.router_lags_s:
            no_list_url = await stack.enter_async_context(serve_app(workers.refuse_list))
            fleet.list_urls = dict.fromkeys(CONTROLLERS, no_list_url)
            for name, lag_s in zip(routers, cycle(trial.router_lags_s), strict=False):
                app = workers.list_app(lag_s)
                fleet.list_urls[name] = await stack.enter_async_context(serve_app(app))
        document = a_document_of_two_teams(FIRST_VERSION, maxAttempts=trial.attempts_count)
        try:
            await start_fleet(fleet, routers, document)
        except TimeoutError:
            return _result(trial, folder, ["RECOVER: the fleet did not start in time"], {}, ())
        callers = ResumingCallers(
            lambda name: (fleet.ip(name), fleet.ports.front), routers, trial.habits, trial.seed
        )
        faults = VersionFaults(trial, fleet, workers, routers)
        await faults.play_beside(callers)
        streams = Streams(callers.texts, workers.record, faults.outages, trial.attempts_count)
        ended = own_ends(fleet, [*routers, *CONTROLLERS])
        lines = [*faults.findings, *ended, *version_findings(streams)]
        return _result(trial, folder, lines, version_summary(streams), tuple(faults.events))


def _result(
    trial: Trial, folder: Path, lines: list[str], counts: dict[str, int], events: tuple[str, ...]
) -> TrialResult:
    result = TrialResult(tuple(lines), counts, events)
    if lines and (kept := os.environ.get("CAMPHORVALVE_KEEP_LOGS")):
        target = Path(kept) / f"seed-{trial.seed}"
        keep_logs(folder, target, list(result_lines(trial, result)))
    return result


class VersionFaults:
    """Plays the faults of a trial beside its callers."""

    def __init__(
        self, trial: Trial, fleet: JoinedFleet, workers: VersionedWorkers, routers: list[str]
    ) -> None:
        """
        Prepare the faults.

        :param trial: the trial, whose seed the faults follow from
        :param fleet: the processes
        :param workers: the workers
        :param routers: names of the routers
        """
        self.events: list[str] = []
        self.findings: list[str] = []
        self.outages: list[Outage] = []
        self._trial = trial
        self._fleet = fleet
        self._workers = workers
        self._routers = routers
        self._workers_started = len(trial.versions)
        self._restarting = asyncio.Lock()
        self._changing_workers = asyncio.Lock()
        self._first_s = 0.0

    async def play_beside(self, callers: ResumingCallers) -> None:
        """Run the callers until the time of the trial is over, and let each fault end."""
        trial = self._trial
        self._first_s = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            calling = tasks.create_task(
                run_resuming_callers(callers, trial.callers_count, trial.duration_s)
            )
            for fault in trial.faults:
                tasks.create_task(self._play(fault, calling))

    async def _play(self, fault: Fault, calling: asyncio.Task[None]) -> None:
        draw = random.Random(f"{self._trial.seed} {type(fault).__name__}")
        match fault:
            case RouterKills(at_s):
                for moment_s in at_s:
                    await self._wait_until(moment_s)
                    await self._kill(self._routers)
            case FleetKills(at_s):
                for moment_s in at_s:
                    await self._wait_until(moment_s)
                    await self._kill([*self._routers, *CONTROLLERS])
            case CoreKills(at_s):
                for moment_s in at_s:
                    await self._wait_until(moment_s)
                    await self._kill(CONTROLLERS)
            case RouterFreezes(at_s, freeze_s):
                await self._wait_until(at_s)
                for router in self._routers:
                    await self._freeze(router, freeze_s)
            case ControllerKills(pause_s):
                while not calling.done():
                    await asyncio.sleep(pause_s)
                    await self._kill([draw.choice(CONTROLLERS)])
            case VersionGone(pause_s, gone_s):
                while not calling.done():
                    for version in sorted(set(self._trial.versions)):
                        await asyncio.sleep(pause_s)
                        async with self._changing_workers:
                            await self._remove_version(version, gone_s)
            case VersionLeaves(at_s):
                await self._wait_until(at_s)
                async with self._changing_workers:
                    await self._retire(self._workers.running_ids(OLD), 0.0)
            case Replacements(pause_s):
                while not calling.done():
                    await asyncio.sleep(pause_s)
                    async with self._changing_workers:
                        await self._replace_worker(fault, draw)
            case Release(listed_s, leaves_s, draining_s):
                await self._wait_until(listed_s)
                for _ in self._workers.running_ids(OLD):
                    await self._start_worker(NEW)
                await self._wait_until(leaves_s)
                async with self._changing_workers:
                    await self._retire(self._workers.running_ids(OLD), draining_s)

    async def _wait_until(self, moment_s: float) -> None:
        await asyncio.sleep(self._first_s + moment_s - time.monotonic())

    def _log(self, text: str) -> None:
        now_s = time.monotonic()
        self.events.append(f"{now_s - self._first_s:.2f} ({now_s:.3f}) {text}")

    async def _kill(self, names: Sequence[str]) -> None:
        """Kill processes at once, and start them again after a while."""
        async with self._restarting:
            self._log(f"SIGKILL {', '.join(names)}")
            outages = self._add_outages(names)
            await asyncio.gather(*(self._fleet.stop(name, signal.SIGKILL) for name in names))
            await asyncio.sleep(DOWN_S)
            for name in names:
                await self._fleet.start(name)
            self._log(f"started {', '.join(names)}")
            for name in names:
                await self._wait_until_ready(name)
            self._log(f"ready {', '.join(names)}")
            for number in outages:
                self.outages[number] = self.outages[number]._replace(until_s=time.monotonic())

    async def _freeze(self, router: str, freeze_s: float) -> None:
        async with self._restarting:
            self._log(f"SIGSTOP {router}")
            (number,) = self._add_outages([router])
            process = self._fleet.process(router)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(freeze_s)
            process.send_signal(signal.SIGCONT)
            self._log(f"SIGCONT {router}")
            self.outages[number] = self.outages[number]._replace(until_s=time.monotonic())

    def _add_outages(self, names: Sequence[str]) -> list[int]:
        """Add an outage for each router, and one for all controllers; return their numbers."""
        outage_names = {name if name in self._routers else "" for name in names}
        first = len(self.outages)
        self.outages += [Outage(name, time.monotonic()) for name in sorted(outage_names)]
        return list(range(first, len(self.outages)))

    async def _wait_until_ready(self, name: str) -> None:
        async def answers() -> bool:
            if name in self._routers:
                return await self._fleet.is_ready(name)
            return await self._fleet.read_manifest(name) is not None

        try:
            await self._fleet.wait_until(answers, RESTART_TIMEOUT_S)
        except TimeoutError:
            self.findings.append(f"RECOVER: {name} not ready after {RESTART_TIMEOUT_S} s")

    async def _start_worker(self, version: str, worker_id: str = "", port: int = 0) -> None:
        if not worker_id:
            self._workers_started += 1
            worker_id = f"i-{self._workers_started}"
        port = await self._workers.start(worker_id, version, port)
        self._log(f"{worker_id} starts with {version} at port {port}")

    async def _remove_version(self, version: str, gone_s: float) -> None:
        ids = self._workers.running_ids(version)
        self._log(f"{', '.join(ids)} of {version} end")
        for worker_id in ids:
            await self._workers.end(worker_id)
        await asyncio.sleep(gone_s)
        for worker_id in ids:
            self._workers.unlist(worker_id)
            await self._start_worker(version)

    async def _replace_worker(self, fault: Replacements, draw: random.Random) -> None:
        running_ids = self._workers.running_ids()
        if not running_ids:
            return
        old_id = draw.choice(running_ids)
        old_version = self._workers.version(old_id)
        versions = sorted(set(self._trial.versions))
        version = draw.choice([one for one in versions if one != old_version] or versions)
        if draw.random() < 0.25:
            version = old_version
        keeps_id = fault.same_id and draw.random() < 0.7
        keeps_address = fault.same_address and draw.random() < 0.7
        self._log(f"{old_id} of {old_version} crashes")
        port = await self._workers.end(old_id)
        await asyncio.sleep(draw.choice((0.0, 0.3)))
        await self._start_worker(version, old_id if keeps_id else "", port if keeps_address else 0)
        if not keeps_id:
            await asyncio.sleep(draw.uniform(*UNLIST_S))
            self._workers.unlist(old_id)

    async def _retire(self, worker_ids: Sequence[str], draining_s: float) -> None:
        self._log(f"{', '.join(worker_ids)} are draining")
        for worker_id in worker_ids:
            self._workers.announce_end(worker_id)
        await asyncio.sleep(draining_s)
        for worker_id in worker_ids:
            await self._workers.end(worker_id)
            self._workers.unlist(worker_id)
        self._log(f"{', '.join(worker_ids)} have ended")


def result_lines(trial: Trial, result: TrialResult) -> Iterator[str]:
    """Yield the lines that repeat and explain a trial with findings."""
    yield f"{trial}"
    yield f"faults: {'; '.join(result.events)}"
    yield f"counts: {result.counts}"
    yield from result.findings


__all__ = [
    "NEW",
    "OLD",
    "ControllerKills",
    "CoreKills",
    "Fault",
    "FleetKills",
    "Release",
    "Replacements",
    "RouterFreezes",
    "RouterKills",
    "Trial",
    "TrialResult",
    "VersionFaults",
    "VersionGone",
    "VersionLeaves",
    "result_lines",
    "run_trial",
]
