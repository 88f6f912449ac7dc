"""One deployment under one policy through all phases; prints its figures as one JSON line."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path  # noqa: TC003 -- defopt resolves the annotation
from typing import TYPE_CHECKING, Any

import defopt

from tools.fleet import Fleet
from tools.measuring import control, fairness, flood, logs
from tools.measuring.backlogs import Backlogs
from tools.measuring.load import Load
from tools.measuring.plans import FULL, QUICK, WORKS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.measuring.fairness import Run, Window
    from tools.measuring.plans import Kind, Plan, Work

SEED = 11
RESTART_FROM_COUNT = 100
"""Changes from which on a router restarts empty behind them."""
TIMED_EVERY_COUNT = 25
"""Of many changes only some are followed to every router, which takes most of a second."""
DRAIN_S = 3.0
STOP_S = 3.0


class Trial:
    """The phases of one trial."""

    def __init__(
        self,
        work: Work,
        plan: Plan,
        policy: str,
        deadline_s: float,
        trace_path: Path | None = None,
    ) -> None:
        """
        Prepare a trial.

        :param work: the deployment and its kinds
        :param plan: durations
        :param policy: name of the policy
        :param deadline_s: monotonic time by which the trial has to end
        :param trace_path: where the results of the floods go
        """
        self._trace_path = trace_path
        self._work = work
        self._plan = plan
        self._fleet_fair = policy == "fleet_fair"
        self._deadline_s = deadline_s
        self._fleet = Fleet(work.shape._replace(policy=policy))
        teams = self._fleet.configuration()["teams"]
        templates = {one["name"]: one for one in self._fleet.configuration()["templates"]}
        self._shares: dict[str, float] = {
            one["name"]: one.get("share", templates[one["template"]]["share"]) for one in teams
        }
        self._figures: dict[str, Any] = {}

    async def run(self) -> dict[str, Any]:
        """
        Run all phases.

        :return: the figures
        """
        started_s = time.monotonic()
        async with self._fleet:
            await self._fleet.apply_configuration()
            await self._fleet.wait_configured(await self._add_backlog_kind())
            self._figures["start_s"] = round(time.monotonic() - started_s, 1)
            self._plan = self._plan.scaled(self._deadline_s - STOP_S - time.monotonic())
            self._figures["plan"] = self._plan._asdict()
            self._load = Load(self._fleet, SEED)
            router_ids = self._fleet.ids("router")
            self._backlogs = Backlogs(self._work, self._shares, self._load, router_ids)
            try:
                await self._run_phases()
            finally:
                await self._load.close()
        return self._figures

    async def _add_backlog_kind(self) -> int:
        kind = self._work.service_backlog
        parameters = {"pool": kind.pool, "urgency": "deferrable", "objective_s": kind.objective_s}
        revision = 0
        for template in self._fleet.configuration()["templates"]:
            template["kinds"][kind.name] = parameters
            answer = await self._fleet.change({"type": "put_template", "template": template})
            revision = answer["revision"]
        return revision

    async def _run_phases(self) -> None:
        self._backlogs.hold(self._plan.hold_s + 0.5)
        await asyncio.sleep(0.5)
        self._backlogs.keep_models()
        await self._measure_idle_control()
        self._backlogs.keep_services()
        await asyncio.sleep(self._plan.settle_s + 0.5)
        await self._measure_fairness()
        await self._drain()
        await self._measure_floods()
        if self._fleet_fair:
            if not self._few_changes:
                await self._measure_changes()
            self._figures["rss_mb"] = self._memory()

    async def _measure_idle_control(self) -> None:
        """Measure while every slot is held and work waits: nothing but control goes on."""
        await asyncio.sleep(min(1.0, self._plan.hold_s / 4))
        before = await control.sample(self._fleet)
        await asyncio.sleep(self._plan.hold_s - min(1.0, self._plan.hold_s / 4) - 0.5)
        rates = control.rates(before, await control.sample(self._fleet))
        worst = max(rates, key=lambda one: rates[one].processor_fraction)
        self._figures["control_cpu_fraction"] = round(rates[worst].processor_fraction, 4)
        self._figures["control_cpu_worst"] = worst
        self._figures["control_held"] = _rounded(rates)

    async def _measure_fairness(self) -> None:
        before, start_s = await control.sample(self._fleet), time.time()
        await asyncio.sleep(self._plan.fairness_s)
        after, window = await control.sample(self._fleet), fairness.Window(start_s, time.time())
        rates = control.rates(before, after)
        self._figures["control_bytes_per_s"] = round(max(r.bytes_per_s for r in rates.values()))
        self._figures["control_busy"] = _rounded(rates)
        await self._compare_models(window)
        await self._compare_services(window)

    async def _compare_models(self, window: Window) -> None:
        teams = {one.request_id: one.call.team for one in self._load.results if one.request_id}
        runs = await logs.model_runs(self._fleet, teams)
        backlogged = self._backlogged(self._work.least_urgent.pool, runs, window)
        gap = self._gap(list(runs.values()), backlogged, window, self._work.model_rate)
        self._figures["fairness_gap_s"] = round(gap.gap_s, 3)
        self._figures["fairness_gap_detail"] = _detail(gap)
        self._figures["backlogged_teams_count"] = len(backlogged)
        used = fairness.utilisation(runs.values(), self._slots("engine"), window)
        self._figures["utilisation_models"] = round(used, 4)

    async def _compare_services(self, window: Window) -> None:
        runs = await logs.service_runs(self._fleet)
        pool = self._work.service.pool
        backlogged = self._backlogged(pool, runs, window)
        rate = self._work.service_slots_count * 1000.0
        gap = self._gap(list(runs.values()), backlogged, window, rate)
        self._figures["fairness_gap_services_s"] = round(gap.gap_s, 3)
        self._figures["fairness_gap_services_detail"] = _detail(gap)
        self._figures["backlogged_teams_services_count"] = len(backlogged)
        used = fairness.utilisation(runs.values(), self._slots("service"), window)
        self._figures["utilisation_services"] = round(used, 4)

    def _gap(
        self, runs: list[Run], backlogged: Mapping[str, float], window: Window, rate: float
    ) -> fairness.Gap:
        mean_share = sum(self._shares.values()) / len(self._shares)
        return fairness.worst_gap(runs, backlogged, window, rate, mean_share)

    def _backlogged(self, pool: str, runs: Mapping[str, Run], window: Window) -> dict[str, float]:
        waits: dict[str, list[tuple[float, float]]] = {team: [] for team in self._shares}
        for one in self._load.results:
            if one.call.kind.pool == pool:
                run = runs.get(one.request_id)
                until_s = run.start_s if run else (one.end_s or window.end_s)
                waits[one.call.team].append((one.sent_s, until_s))
        return {
            team: share
            for team, share in self._shares.items()
            if fairness.backlogged_ratio(waits[team], window) >= fairness.BACKLOGGED_RATIO
        }

    def _slots(self, role: str) -> dict[str, int]:
        return {one: self._fleet.members[one].entry["slots"] for one in self._fleet.ids(role)}

    async def _drain(self) -> None:
        """Leave all requests and wait until no upstream is busy with them."""
        await self._load.leave()
        self._load.results.clear()
        deadline_s = time.monotonic() + DRAIN_S
        while time.monotonic() < deadline_s:
            urls = [self._fleet.members[one].url for one in self._fleet.ids("engine")]
            loads = [(await self._fleet.client.get(f"{url}/v1/load")).json() for url in urls]
            if not any(one["running"] + one["waiting"] for one in loads):
                return
            await asyncio.sleep(0.1)

    async def _measure_floods(self) -> None:
        if self._fleet_fair and self._few_changes:
            without, _ = await asyncio.gather(self._serve_others(None), self._measure_changes())
        else:
            without = await self._serve_others(None)
        self._figures["other_on_time_counts"] = without
        for name, kind in (
            ("least_urgent", self._work.least_urgent),
            ("most_urgent", self._work.most_urgent),
        ):
            counts = await self._serve_others(kind)
            self._figures[f"flood_{name}_counts"] = counts
            self._figures[f"flood_kept_{name}"] = round(flood.kept_ratio(counts, without), 4)

    async def _serve_others(self, kind: Kind | None) -> dict[str, int]:
        router_ids = self._fleet.ids("router")
        window_s, grace_s = self._plan.window_s, self._plan.grace_s
        all_s = window_s + grace_s
        others = flood.other_work(self._work, self._shares, router_ids, all_s, SEED)
        following = [asyncio.create_task(self._load.follow(others))]
        if kind is not None:
            flooding = flood.flood(self._work, kind, router_ids, all_s, SEED)
            following.append(asyncio.create_task(self._load.follow(flooding)))
        until_s = time.time() + window_s
        await asyncio.sleep(all_s)
        for task in following:
            task.cancel()
        counted = [one for one in self._load.results if one.sent_s <= until_s]
        counts = flood.on_time_counts(counted, self._work.flooding_team)
        self._trace(kind)
        await self._drain()
        return counts

    @property
    def _few_changes(self) -> bool:
        """Whether the changes load the fleet too little to disturb another phase."""
        return self._plan.changes_count < RESTART_FROM_COUNT

    async def _measure_changes(self) -> None:
        times = []
        for number in range(self._plan.changes_count):
            if self._few_changes or number % TIMED_EVERY_COUNT == 0:
                times.append(await control.change_in_force_s(self._fleet, f"probe-{number}"))
            else:
                await control.change(self._fleet, f"probe-{number}")
        self._figures["config_changes_count"] = self._plan.changes_count
        if not self._few_changes:
            restarted = self._fleet.ids("router")[-1]
            times.append(await control.restart_in_force_s(self._fleet, restarted))
            self._figures["config_restart_s"] = round(times[-1], 2)
        self._figures["config_in_force_s"] = round(max(times), 2)

    def _trace(self, kind: Kind | None) -> None:
        """Append the results of a phase to the trace file, to find what was late and where."""
        if self._trace_path is None:
            return
        phase = "without" if kind is None else kind.name
        with self._trace_path.open("a") as file:
            for one in self._load.results:
                call = [one.call.team, one.call.kind.name, one.call.router_id, one.call.cost]
                times = [one.sent_s, one.first_s, one.end_s]
                file.write(json.dumps([phase, *call, *times, one.status, one.request_id]) + "\n")

    def _memory(self) -> float:
        members = (self._fleet.members[one] for one in control.own_ids(self._fleet))
        return round(max(control.rss_mb(one.pid) for one in members), 1)


def _rounded(rates: Mapping[str, control.Rates]) -> dict[str, list[float]]:
    return {
        member_id: [round(one.processor_fraction, 4), round(one.bytes_per_s), one.messages_per_s]
        for member_id, one in rates.items()
    }


def _detail(gap: fairness.Gap) -> str:
    return f"{gap.ahead} ahead of {gap.behind} from {gap.from_s:.1f} s to {gap.to_s:.1f} s"


def main(
    *,
    deployment: str,
    policy: str,
    quick: bool = False,
    budget_s: float = 1e6,
    trace: Path | None = None,
) -> None:
    """
    Run one trial.

    :param deployment: ``perth`` or ``khomas``
    :param policy: name of the policy
    :param quick: short phases
    :param budget_s: time for all of it; phases are shortened when the start took long
    :param trace: file to which the results of the floods are appended
    """
    deadline_s = time.monotonic() + budget_s
    trial = Trial(WORKS[deployment], QUICK if quick else FULL, policy, deadline_s, trace)
    figures = asyncio.run(trial.run())
    sys.stdout.write(json.dumps(figures) + "\n")


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["Trial", "main"]
