"""Runs all phases of one trial, one deployment under one policy, and prints its figures as JSON."""

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
from tools.measuring.plans import FULL, QUICK, WORKLOADS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.measuring.fairness import Run, Window
    from tools.measuring.plans import Kind, Plan, Workload

SEED = 11
RESTART_MIN_CHANGES_COUNT = 100
"""Least number of changes after which a router is restarted with empty state."""
TIMED_CHANGE_INTERVAL = 25
"""With many changes, one in this many is timed on every router, which takes most of a second."""
DRAIN_TIMEOUT_S = 3.0
STOP_S = 3.0
"""Time reserved for stopping the fleet."""


class Trial:
    """A deployment under one policy, and the figures measured on it."""

    def __init__(
        self,
        workload: Workload,
        plan: Plan,
        policy: str,
        deadline_s: float,
        trace_path: Path | None = None,
    ) -> None:
        """
        Prepare a trial.

        :param workload: the deployment and its kinds
        :param plan: durations of the phases
        :param policy: name of the policy
        :param deadline_s: monotonic time by which the trial has to end
        :param trace_path: file to which the results of the floods are appended
        """
        self._trace_path = trace_path
        self._workload = workload
        self._plan = plan
        self._fleet_fair = policy == "fleet_fair"
        self._deadline_s = deadline_s
        self._fleet = Fleet(workload.deployment._replace(policy=policy))
        teams = self._fleet.configuration()["teams"]
        templates = {
            template["name"]: template for template in self._fleet.configuration()["templates"]
        }
        self._shares: dict[str, float] = {
            team["name"]: team.get("share", templates[team["template"]]["share"]) for team in teams
        }
        self._figures: dict[str, Any] = {}

    async def run(self) -> dict[str, Any]:
        """
        Run all phases.

        :return: figures by name
        """
        started_s = time.monotonic()
        async with self._fleet:
            await self._fleet.apply_configuration()
            await self._fleet.wait_configured(await self._add_service_backlog_kind())
            self._figures["start_s"] = round(time.monotonic() - started_s, 1)
            self._plan = self._plan.scaled(self._deadline_s - STOP_S - time.monotonic())
            self._figures["plan"] = self._plan._asdict()
            self._load = Load(self._fleet, SEED)
            router_ids = self._fleet.member_ids("router")
            self._backlogs = Backlogs(self._workload, self._shares, self._load, router_ids)
            try:
                await self._run_phases()
            finally:
                await self._load.close()
        return self._figures

    async def _add_service_backlog_kind(self) -> int:
        kind = self._workload.service_backlog
        parameters = {"pool": kind.pool, "urgency": "deferrable", "objective_s": kind.objective_s}
        revision = 0
        for template in self._fleet.configuration()["templates"]:
            template["kinds"][kind.name] = parameters
            answer = await self._fleet.change({"type": "put_template", "template": template})
            revision = answer["revision"]
        return revision

    async def _run_phases(self) -> None:
        self._backlogs.occupy_engines(self._plan.hold_s + 0.5)
        await asyncio.sleep(0.5)
        self._backlogs.maintain_models()
        await self._measure_control_plane()
        self._backlogs.maintain_services()
        await asyncio.sleep(self._plan.settle_s + 0.5)
        await self._measure_fairness()
        await self._drain()
        await self._measure_floods()
        if self._fleet_fair:
            if not self._has_few_changes:
                await self._measure_changes()
            self._figures["rss_mb"] = self._greatest_rss_mb()

    async def _measure_control_plane(self) -> None:
        """Measure the control plane alone: requests occupy every engine slot, and others wait."""
        await asyncio.sleep(min(1.0, self._plan.hold_s / 4))
        before = await control.sample(self._fleet)
        await asyncio.sleep(self._plan.hold_s - min(1.0, self._plan.hold_s / 4) - 0.5)
        rates = control.rates(before, await control.sample(self._fleet))
        worst = max(rates, key=lambda member_id: rates[member_id].processor_fraction)
        self._figures["control_cpu_fraction"] = round(rates[worst].processor_fraction, 4)
        self._figures["control_cpu_worst"] = worst
        self._figures["control_held"] = _rounded(rates)

    async def _measure_fairness(self) -> None:
        before, start_s = await control.sample(self._fleet), time.time()
        await asyncio.sleep(self._plan.fairness_s)
        after, window = await control.sample(self._fleet), fairness.Window(start_s, time.time())
        rates = control.rates(before, after)
        self._figures["control_bytes_per_s"] = round(
            max(rate.bytes_per_s for rate in rates.values())
        )
        self._figures["control_busy"] = _rounded(rates)
        await self._measure_model_fairness(window)
        await self._measure_service_fairness(window)

    async def _measure_model_fairness(self, window: Window) -> None:
        teams = {
            result.request_id: result.call.team
            for result in self._load.results
            if result.request_id
        }
        runs = await logs.model_runs(self._fleet, teams)
        backlogged = self._backlogged_shares(self._workload.least_urgent.pool, runs, window)
        gap = self._worst_gap(list(runs.values()), backlogged, window, self._workload.model_rate)
        self._figures["fairness_gap_s"] = round(gap.gap_s, 3)
        self._figures["fairness_gap_detail"] = _describe_gap(gap)
        self._figures["backlogged_teams_count"] = len(backlogged)
        used = fairness.utilisation(runs.values(), self._slots("engine"), window)
        self._figures["utilisation_models"] = round(used, 4)

    async def _measure_service_fairness(self, window: Window) -> None:
        runs = await logs.service_runs(self._fleet)
        pool = self._workload.service.pool
        backlogged = self._backlogged_shares(pool, runs, window)
        rate = self._workload.service_slots_count * 1000.0
        gap = self._worst_gap(list(runs.values()), backlogged, window, rate)
        self._figures["fairness_gap_services_s"] = round(gap.gap_s, 3)
        self._figures["fairness_gap_services_detail"] = _describe_gap(gap)
        self._figures["backlogged_teams_services_count"] = len(backlogged)
        used = fairness.utilisation(runs.values(), self._slots("service"), window)
        self._figures["utilisation_services"] = round(used, 4)

    def _worst_gap(
        self, runs: list[Run], backlogged: Mapping[str, float], window: Window, rate: float
    ) -> fairness.Gap:
        mean_share = sum(self._shares.values()) / len(self._shares)
        return fairness.worst_gap(runs, backlogged, window, rate, mean_share)

    def _backlogged_shares(
        self, pool: str, runs: Mapping[str, Run], window: Window
    ) -> dict[str, float]:
        waits: dict[str, list[tuple[float, float]]] = {team: [] for team in self._shares}
        for result in self._load.results:
            if result.call.kind.pool == pool:
                run = runs.get(result.request_id)
                until_s = run.start_s if run else (result.end_s or window.end_s)
                waits[result.call.team].append((result.sent_s, until_s))
        return {
            team: share
            for team, share in self._shares.items()
            if fairness.backlogged_ratio(waits[team], window) >= fairness.BACKLOGGED_RATIO
        }

    def _slots(self, role: str) -> dict[str, int]:
        return {
            upstream_id: self._fleet.members[upstream_id].entry["slots"]
            for upstream_id in self._fleet.member_ids(role)
        }

    async def _drain(self) -> None:
        """Cancel all requests and wait until no engine runs or queues any."""
        await self._load.cancel_requests()
        self._load.results.clear()
        deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        while time.monotonic() < deadline_s:
            urls = [
                self._fleet.members[engine_id].url for engine_id in self._fleet.member_ids("engine")
            ]
            loads = [(await self._fleet.client.get(f"{url}/v1/load")).json() for url in urls]
            if not any(load["running"] + load["waiting"] for load in loads):
                return
            await asyncio.sleep(0.1)

    async def _measure_floods(self) -> None:
        if self._fleet_fair and self._has_few_changes:
            without, _ = await asyncio.gather(
                self._measure_other_teams(None), self._measure_changes()
            )
        else:
            without = await self._measure_other_teams(None)
        self._figures["other_on_time_counts"] = without
        for name, kind in (
            ("least_urgent", self._workload.least_urgent),
            ("most_urgent", self._workload.most_urgent),
        ):
            counts = await self._measure_other_teams(kind)
            self._figures[f"flood_{name}_counts"] = counts
            self._figures[f"flood_kept_{name}"] = round(flood.kept_ratio(counts, without), 4)

    async def _measure_other_teams(self, kind: Kind | None) -> dict[str, int]:
        router_ids = self._fleet.member_ids("router")
        window_s, grace_s = self._plan.window_s, self._plan.grace_s
        total_s = window_s + grace_s
        others = flood.schedule_others(self._workload, self._shares, router_ids, total_s, SEED)
        sending = [asyncio.create_task(self._load.send_schedule(others))]
        if kind is not None:
            flooding = flood.schedule_flood(self._workload, kind, router_ids, total_s, SEED)
            sending.append(asyncio.create_task(self._load.send_schedule(flooding)))
        until_s = time.time() + window_s
        await asyncio.sleep(total_s)
        for task in sending:
            task.cancel()
        counted = [result for result in self._load.results if result.sent_s <= until_s]
        counts = flood.on_time_counts(counted, self._workload.flooding_team)
        self._append_trace(kind)
        await self._drain()
        return counts

    @property
    def _has_few_changes(self) -> bool:
        """Whether there are too few changes for their load to disturb another phase."""
        return self._plan.changes_count < RESTART_MIN_CHANGES_COUNT

    async def _measure_changes(self) -> None:
        times = []
        for number in range(self._plan.changes_count):
            if self._has_few_changes or number % TIMED_CHANGE_INTERVAL == 0:
                times.append(await control.change_in_force_s(self._fleet, f"probe-{number}"))
            else:
                await control.add_team(self._fleet, f"probe-{number}")
        self._figures["config_changes_count"] = self._plan.changes_count
        if not self._has_few_changes:
            restarted = self._fleet.member_ids("router")[-1]
            times.append(await control.restart_in_force_s(self._fleet, restarted))
            self._figures["config_restart_s"] = round(times[-1], 2)
        self._figures["config_in_force_s"] = round(max(times), 2)

    def _append_trace(self, kind: Kind | None) -> None:
        """Append the results of a phase to the trace file, to locate late requests."""
        if self._trace_path is None:
            return
        phase = "without" if kind is None else kind.name
        with self._trace_path.open("a") as file:
            for result in self._load.results:
                call = [
                    result.call.team,
                    result.call.kind.name,
                    result.call.router_id,
                    result.call.cost,
                ]
                times = [result.sent_s, result.first_s, result.end_s]
                file.write(
                    json.dumps([phase, *call, *times, result.status, result.request_id]) + "\n"
                )

    def _greatest_rss_mb(self) -> float:
        members = (self._fleet.members[host_id] for host_id in control.host_ids(self._fleet))
        return round(max(control.rss_mb(member.pid) for member in members), 1)


def _rounded(rates: Mapping[str, control.Rates]) -> dict[str, list[float]]:
    return {
        member_id: [round(rate.processor_fraction, 4), round(rate.bytes_per_s), rate.messages_per_s]
        for member_id, rate in rates.items()
    }


def _describe_gap(gap: fairness.Gap) -> str:
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
    :param quick: shorten the phases
    :param budget_s: time limit of the trial; phases are shortened further after a slow start
    :param trace: file to which the results of the floods are appended
    """
    deadline_s = time.monotonic() + budget_s
    trial = Trial(WORKLOADS[deployment], QUICK if quick else FULL, policy, deadline_s, trace)
    figures = asyncio.run(trial.run())
    sys.stdout.write(json.dumps(figures) + "\n")


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["Trial", "main"]
