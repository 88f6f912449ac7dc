"""Trials of a joined fleet whose workers send second responses, beside faults of its processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import tempfile
from collections import defaultdict
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from tools.fleet import ROOT
from tools.joinedfleet import JoinedFleet
from tools.standins.serving import serve_app
from tools.standins.stutter import Shares, StutteringWorkers

from tests.processes.joinedcase import CONTROLLERS, start_fleet
from tests.processes.keptcallers import CallerFleet, run_callers
from tests.processes.responsechecks import findings, summary
from tests.routebuilders import a_document_of_all_kinds

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence

CODE_FOLDER = Path(os.environ.get("CAMPHORVALVE_CODE", ROOT))
"""Checkout whose code the processes of the fleet run."""
FIRST_VERSION = 5
GRACE_S = 3
RESTART_TIMEOUT_S = 15.0
FREEZE_S = (0.1, 0.6)
FAULT_PAUSE_S = (0.1, 1.2)
"""Shortest and longest time before each fault of a series."""
WORKER_PAUSE_S = (0.5, 3.0)
"""The same for workers; routers need some time to use a new one."""
LIST_LAG_S = (0.0, 1.0)
"""Time for which a worker that has ended stays on the list."""


class Trial(NamedTuple):
    """Size and faults of a trial."""

    seed: int
    routers_count: int = 2
    workers_count: int = 3
    callers_count: int = 24
    duration_s: float = 8.0
    shares: Shares = Shares()
    has_process_faults: bool = True
    """Whether processes and workers end, freeze and start again during the trial."""


class TrialResult(NamedTuple):
    """What a trial found."""

    findings: tuple[str, ...]
    counts: dict[str, int]
    """Responses by kind of request and status."""
    faults: tuple[str, ...]
    """Faults of processes and workers in their order, with the time from the first request in
    seconds."""
    whole_count: int
    """Whole responses of workers that callers received."""


def a_trial(seed: int) -> Trial:
    """Draw a trial; one in five has more processes and callers."""
    draw = random.Random(seed)
    framings = draw.choice(
        (*[("length", "chunks", "close")] * 3, ("length",), ("chunks",), ("close",))
    )
    shares = Shares(draw.choice((0.1, 0.3, 0.6)), draw.choice((0.0, 0.04, 0.1)), framings=framings)
    if seed % 5 == 4:
        return Trial(seed, 4, 6, 60, 12.0, shares)
    return Trial(seed, 2, draw.choice((1, 2, 3)), 24, 8.0, shares)


async def run_trial(trial: Trial) -> TrialResult:
    """Start a fleet, run callers beside the faults of the trial, and check what they received."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        workers = StutteringWorkers("engines", trial.seed, trial.shares)
        stack.push_async_callback(workers.close)
        list_url = await stack.enter_async_context(serve_app(workers.listed.serve_list))
        for number in range(trial.workers_count):
            await workers.start(f"i-{number + 1}")
        fleet = JoinedFleet(folder, list_url, CODE_FOLDER)
        fleet.grace_s = GRACE_S
        stack.push_async_callback(fleet.close)
        routers = [f"router-{number + 1}" for number in range(trial.routers_count)]
        await start_fleet(fleet, routers, a_document_of_all_kinds(FIRST_VERSION))
        callers = CallerFleet(lambda name: (fleet.ip(name), fleet.ports.front), routers)
        faults = ProcessFaults(trial, fleet, workers, routers)
        async with faults.played() if trial.has_process_faults else contextlib.nullcontext():
            await run_callers(callers, trial.callers_count, trial.seed, trial.duration_s)
        ended = own_ends(fleet, [*routers, *CONTROLLERS])
        lines = [*faults.findings, *ended, *findings(callers.received, workers.record)]
        if lines and (kept := os.environ.get("CAMPHORVALVE_KEEP_LOGS")):
            keep_logs(folder, Path(kept) / f"seed-{trial.seed}", lines)
        whole_count = sum(
            entry.is_whole and "server-stamp" in entry.headers for entry in callers.received
        )
        return TrialResult(
            tuple(lines), summary(callers.received), tuple(faults.played_lines), whole_count
        )


def own_ends(fleet: JoinedFleet, names: Sequence[str]) -> list[str]:
    """Return a finding for each process that has ended although nobody ended it."""
    return [
        f"LOST: {name} ended by itself with code {fleet.process(name).returncode}"
        for name in names
        if fleet.process(name).returncode is not None
    ]


class ProcessFaults:
    """Series of faults that overlap each other and the load."""

    def __init__(
        self, trial: Trial, fleet: JoinedFleet, workers: StutteringWorkers, routers: list[str]
    ) -> None:
        """
        Prepare the series.

        :param trial: the trial, whose seed the faults follow from
        :param fleet: the processes
        :param workers: the workers
        :param routers: names of the routers
        """
        self.played_lines: list[str] = []
        self.findings: list[str] = []
        self._trial = trial
        self._fleet = fleet
        self._workers = workers
        self._routers = routers
        self._version = FIRST_VERSION
        self._workers_started = trial.workers_count
        self._restarting: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        # Three of five controllers keep their majority.
        self._controllers_down = asyncio.Semaphore(2)
        self._ready = {*routers, *CONTROLLERS}
        """Processes that have been ready since their last start, and handle signals."""
        self._playing = True
        self._first_s = 0.0

    @asynccontextmanager
    async def played(self) -> AsyncIterator[None]:
        """Play the series while the context lasts, and let each fault end after it."""
        self._first_s = asyncio.get_running_loop().time()
        tasks = [
            asyncio.create_task(self._play(name, fault, pause_s))
            for name, fault, pause_s in (
                ("stops", self._stop_router, FAULT_PAUSE_S),
                ("kills of routers", self._kill_router, FAULT_PAUSE_S),
                ("kills of controllers", self._kill_controller, FAULT_PAUSE_S),
                ("freezes", self._freeze, FAULT_PAUSE_S),
                ("more freezes", self._freeze, FAULT_PAUSE_S),
                ("hangups", self._hang_up, FAULT_PAUSE_S),
                ("manifests", self._put_manifest, FAULT_PAUSE_S),
                ("workers", self._replace_worker, WORKER_PAUSE_S),
            )
        ]
        try:
            yield
        finally:
            self._playing = False
            await asyncio.gather(*tasks)

    async def _play(
        self,
        name: str,
        fault: Callable[[random.Random], Awaitable[None]],
        pause_s: tuple[float, float],
    ) -> None:
        draw = random.Random(f"{self._trial.seed} {name}")
        # Some trials lack some of the series.
        if draw.random() < 0.25:
            return
        while True:
            await asyncio.sleep(draw.uniform(*pause_s))
            if not self._playing:
                return
            await fault(draw)

    def _log(self, text: str) -> None:
        past_s = asyncio.get_running_loop().time() - self._first_s
        self.played_lines.append(f"{past_s:.2f} {text}")

    async def _stop_router(self, draw: random.Random) -> None:
        await self._restart(draw.choice(self._routers), signal.SIGTERM)

    async def _kill_router(self, draw: random.Random) -> None:
        await asyncio.sleep(draw.uniform(0, 2))
        await self._restart(draw.choice(self._routers), signal.SIGKILL)

    async def _kill_controller(self, draw: random.Random) -> None:
        async with self._controllers_down:
            await self._restart(draw.choice(CONTROLLERS), signal.SIGKILL)

    async def _restart(self, name: str, signal_number: signal.Signals) -> None:
        async with self._restarting[name]:
            self._log(f"{signal_number.name} {name}")
            self._ready.discard(name)
            code = await self._fleet.stop(name, signal_number)
            if signal_number is signal.SIGTERM and code != 0:
                self.findings.append(f"LOST: {name} ended with code {code} after SIGTERM")
            await self._fleet.start(name)
            self._log(f"started {name}")
            try:
                await self._fleet.wait_until(lambda: self._answers(name), RESTART_TIMEOUT_S)
            except TimeoutError:
                self.findings.append(f"RECOVER: {name} not ready after {RESTART_TIMEOUT_S} s")
            self._ready.add(name)

    async def _answers(self, name: str) -> bool:
        if name in self._routers:
            return await self._fleet.is_ready(name)
        return await self._fleet.read_manifest(name) is not None

    async def _freeze(self, draw: random.Random) -> None:
        name = draw.choice((*self._routers * 3, *CONTROLLERS))
        freeze_s = draw.uniform(*FREEZE_S)
        if name not in self._ready:
            return
        process = self._fleet.process(name)
        self._log(f"SIGSTOP {name} for {freeze_s:.2f} s")
        # The process may be killed, or told to stop, while it is frozen.
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(freeze_s)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGCONT)

    async def _hang_up(self, draw: random.Random) -> None:
        name = draw.choice((*self._routers, *CONTROLLERS))
        if name in self._ready:
            self._log(f"SIGHUP {name}")
            self._fleet.process(name).send_signal(signal.SIGHUP)

    async def _put_manifest(self, draw: random.Random) -> None:
        self._version += draw.randint(1, 5)
        document = a_document_of_all_kinds(self._version)
        status = await self._fleet.put_manifest(draw.choice(CONTROLLERS), document)
        self._log(f"manifest {self._version}: {status}")

    async def _replace_worker(self, draw: random.Random) -> None:
        old_id = draw.choice(self._workers.running_ids)
        self._workers_started += 1
        new_id = f"i-{self._workers_started}"
        same_address, is_announced = draw.random() < 0.5, draw.random() < 0.5
        lag_s = draw.uniform(*LIST_LAG_S)
        self._log(f"{old_id} ends, {new_id} starts, at the same address: {same_address}")
        if is_announced:
            self._workers.announce_end(old_id)
            await asyncio.sleep(lag_s)
        port = await self._workers.end(old_id)
        await self._workers.start(new_id, port if same_address else 0)
        if not is_announced:
            await asyncio.sleep(lag_s)
        self._workers.listed.remove(old_id)


def keep_logs(folder: Path, target: Path, lines: list[str]) -> None:
    """Copy the logs of all processes and the findings of a trial to a folder."""
    target.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        (target / path.name).write_bytes(path.read_bytes())
    (target / "findings.txt").write_text("\n".join(lines) + "\n")


def result_lines(trial: Trial, result: TrialResult) -> Iterator[str]:
    """Yield the lines that repeat and explain a trial with findings."""
    yield f"{trial}"
    yield f"faults: {'; '.join(result.faults)}"
    yield f"responses: {result.counts}"
    yield from result.findings


__all__ = ["Trial", "TrialResult", "a_trial", "keep_logs", "own_ends", "result_lines", "run_trial"]
