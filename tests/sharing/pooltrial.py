"""Simulates the schedulers, ledgers and aggregator of one pool with its own clock."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.policies import FleetFair
from camphorvalve.sharing import placement
from camphorvalve.sharing.aggregate import Aggregator
from camphorvalve.sharing.ledger import Ledger
from camphorvalve.sharing.scheduler import Scheduler
from camphorvalve.wire.messages import Demand, GrantProgress
from tests.builders import POOL, an_upstream

if TYPE_CHECKING:
    from camphorvalve.model.policies import Policy
    from camphorvalve.wire.messages import Grant

STEP_S = 0.1
UNITS_PER_S = 100.0
"""Rate of one slot."""


class TrialTeam(NamedTuple):
    """A team with constant backlog from ``start_s`` on."""

    name: str
    share: float = 1.0
    start_s: float = 0.0
    urgent: bool = False


class _Job(NamedTuple):
    end_s: float
    grant: Grant
    scheduler_id: str
    start_s: float
    cost_units: float


class PoolTrial:
    """Schedulers that exchange service counters; costs of jobs are unknown until they end."""

    def __init__(
        self,
        teams: list[TrialTeam],
        *,
        policy: Policy | None = None,
        schedulers_count: int = 8,
        slots_count: int = 16,
        exchange_s: float = 1.0,
        seed: int = 1,
    ) -> None:
        """
        Create a trial.

        :param teams: the teams
        :param policy: ``FleetFair`` by default
        :param schedulers_count: number of schedulers, each with one upstream
        :param slots_count: number of slots of each upstream
        :param exchange_s: interval of the exchange
        :param seed: seed of costs and grant ids
        """
        self.rng = random.Random(seed)
        self.policy = policy or FleetFair()
        self.teams = {team.name: team for team in teams}
        self.ids = [f"router-{number}" for number in range(schedulers_count)]
        self.slots_count = slots_count
        self.exchange_s = exchange_s
        self.now_s = 0.0
        self.served_units: dict[str, float] = {team.name: 0.0 for team in teams}
        self.history: list[tuple[float, dict[str, float]]] = []
        self.busy_slot_s = 0.0
        self._jobs: list[tuple[float, int, _Job]] = []
        self._incarnations = dict.fromkeys(self.ids, 1)
        self._aggregator = Aggregator()
        self._schedulers = {
            scheduler_id: self._new_scheduler(scheduler_id) for scheduler_id in self.ids
        }
        total_share = sum(team.share for team in teams)
        slots = dict.fromkeys(self.ids, slots_count)
        self._schedulers_of = {
            team.name: placement.spread(POOL, team.name, team.share / total_share, slots)
            for team in teams
        }

    @property
    def pool_rate(self) -> float:
        return len(self.ids) * self.slots_count * UNITS_PER_S

    def restart(self, scheduler_id: str) -> None:
        """Replace a scheduler by a new incarnation with empty state."""
        self._incarnations[scheduler_id] += 1
        self._schedulers[scheduler_id] = self._new_scheduler(scheduler_id)
        self._jobs = [item for item in self._jobs if item[2].scheduler_id != scheduler_id]
        heapq.heapify(self._jobs)

    def replace_aggregator(self) -> None:
        """Lose the totals, as when an aggregator fails and another one takes over."""
        self._aggregator = Aggregator()

    def run(self, duration_s: float, *, partitioned: frozenset[str] = frozenset()) -> None:
        """Advance the clock; schedulers in ``partitioned`` exchange nothing meanwhile."""
        end_s = self.now_s + duration_s
        next_exchange_s = self.now_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._finish_jobs()
            for scheduler_id in self.ids:
                self._schedule(scheduler_id)
            if self.now_s >= next_exchange_s:
                next_exchange_s += self.exchange_s
                self._report_progress()
                for scheduler_id in self.ids:
                    if scheduler_id not in partitioned:
                        self._exchange(scheduler_id)
            self.history.append((self.now_s, dict(self.served_units)))

    def worst_gap_s(self, *, after_s: float = 0.0) -> float:
        """Return the largest gap of two teams over any interval, in seconds at the pool's rate."""
        mean_share = sum(team.share for team in self.teams.values()) / len(self.teams)
        history = [served for at_s, served in self.history if at_s > after_s]
        worst_units = 0.0
        names = sorted(self.teams)
        for position, name in enumerate(names):
            for other in names[position + 1 :]:
                low = high = 0.0
                start = history[0]
                for served in history:
                    ahead = (served[name] - start[name]) / self.teams[name].share
                    behind = (served[other] - start[other]) / self.teams[other].share
                    low, high = min(low, ahead - behind), max(high, ahead - behind)
                worst_units = max(worst_units, (high - low) * mean_share)
        return worst_units / self.pool_rate

    def _new_scheduler(self, scheduler_id: str) -> Scheduler:
        scheduler = Scheduler(self.policy, Ledger(self.policy), self.rng)
        upstream = an_upstream(f"engine-{scheduler_id}", slots_count=self.slots_count)
        pool_slots = {POOL: self.slots_count * len(self.ids)}
        scheduler.set_upstreams({upstream.upstream_id: upstream}, pool_slots)
        return scheduler

    def _schedule(self, scheduler_id: str) -> None:
        scheduler = self._schedulers[scheduler_id]
        for team in self.teams.values():
            if scheduler_id not in self._schedulers_of[team.name] or team.start_s > self.now_s:
                continue
            demand = Demand(POOL, team.name, team.share, 1000, 1000 * team.urgent, 1.0, 150.0)
            scheduler.announce("entry", demand, self.now_s)
        scheduler.expire(self.now_s)
        for _, grant in scheduler.choose(self.now_s):
            cost_units = self.rng.lognormvariate(4.5, 0.8)
            end_s = self.now_s + cost_units / UNITS_PER_S
            job = _Job(end_s, grant, scheduler_id, self.now_s, cost_units)
            heapq.heappush(self._jobs, (end_s, grant.grant_id, job))
        self.busy_slot_s += scheduler.running_count() * STEP_S

    def _progress(self, job: _Job, units: float, *, done: bool) -> None:
        grant = job.grant
        report = GrantProgress(
            grant.grant_id, grant.upstream_id, grant.pool, grant.team, units, done
        )
        self._schedulers[job.scheduler_id].progress("entry", report, self.now_s)

    def _report_progress(self) -> None:
        for _, _, job in self._jobs:
            self._progress(job, (self.now_s - job.start_s) * UNITS_PER_S, done=False)

    def _finish_jobs(self) -> None:
        while self._jobs and self._jobs[0][0] <= self.now_s:
            job = heapq.heappop(self._jobs)[2]
            self._progress(job, job.cost_units, done=True)
            self.served_units[job.grant.team] += job.cost_units

    def _exchange(self, scheduler_id: str) -> None:
        if not isinstance(self.policy, FleetFair):
            return
        ledger = self._schedulers[scheduler_id].ledger
        incarnation = self._incarnations[scheduler_id]
        for entry in list(ledger.report(list(ledger.changed()))):
            total = self._aggregator.merge(scheduler_id, incarnation, entry, self.now_s)
            ledger.merge(total)


__all__ = ["UNITS_PER_S", "PoolTrial", "TrialTeam"]
