"""Guards the bound of the fairness gap in a simulation of the schedulers."""

from __future__ import annotations

import unittest

from camphorvalve.model.policies import LocalFair
from tests.sharing.pooltrial import UNITS_PER_S, PoolTrial, TrialTeam

GAP_S = 2.0
"""Target of the design page, in seconds at the pool's whole rate."""
LARGEST_UNITS = 3000.0
"""Far above the 99.99th percentile of the trial's costs (90 x e^(3.7 x 0.8))."""
SEED = 7


def _equal(count: int = 16) -> list[TrialTeam]:
    return [TrialTeam(f"team-{number}") for number in range(count)]


def _unequal() -> list[TrialTeam]:
    return [TrialTeam(f"team-{n}", share=(8.0, 4.0, 1.0, 1.0)[n % 4]) for n in range(16)]


class FairnessTest(unittest.TestCase):
    def _check(self, trial: PoolTrial, after_s: float = 5.0) -> None:
        bound_s = GAP_S + LARGEST_UNITS / trial.pool_rate
        self.assertLess(trial.worst_gap_s(after_s=after_s), bound_s, f"seed {SEED}")

    def test_gap_is_bounded_for_each_shape(self) -> None:
        cases = {
            "equal shares": PoolTrial(_equal(), seed=SEED),
            "unequal shares": PoolTrial(_unequal(), seed=SEED),
            "exchange every 4 s": PoolTrial(_equal(), exchange_s=4.0, seed=SEED),
            "32 schedulers": PoolTrial(_equal(64), schedulers_count=32, seed=SEED),
        }
        for name, trial in cases.items():
            with self.subTest(name):
                trial.run(40.0)
                self._check(trial)

    def test_gap_without_exchange_exceeds_the_bound(self) -> None:
        trial = PoolTrial(_equal(), policy=LocalFair(), seed=SEED)
        trial.run(120.0)
        self.assertGreater(trial.worst_gap_s(after_s=5.0), GAP_S)

    def test_gap_stays_bounded_when_a_scheduler_restarts_empty(self) -> None:
        trial = PoolTrial(_unequal(), seed=SEED)
        trial.run(20.0)
        for scheduler_id in trial.ids[:3]:
            trial.restart(scheduler_id)
            trial.run(5.0)
        self._check(trial)

    def test_gap_stays_bounded_when_the_aggregator_is_lost(self) -> None:
        trial = PoolTrial(_unequal(), seed=SEED)
        for _ in range(3):
            trial.run(12.0)
            trial.replace_aggregator()
        trial.run(10.0)
        self._check(trial)

    def test_no_team_starves_while_a_cut_heals(self) -> None:
        trial = PoolTrial(_unequal(), seed=SEED)
        trial.run(10.0)
        trial.run(30.0, partitioned=frozenset(trial.ids[:4]))
        healed_s = trial.now_s
        before = dict(trial.served_units)
        trial.run(10.0)
        total_share = sum(team.share for team in trial.teams.values())
        for team in trial.teams.values():
            served = trial.served_units[team.name] - before[team.name]
            due = 10.0 * trial.pool_rate * team.share / total_share
            # The lag is capped at 1.5 s of the pool's rate, out of 10 s.
            self.assertGreater(served, 0.3 * due, f"{team.name} after {healed_s:.0f} s")
        self._check(trial, after_s=healed_s + 5.0)

    def test_a_team_that_comes_back_earns_no_credit_for_idleness(self) -> None:
        teams = [*_equal(15), TrialTeam("late", start_s=30.0)]
        trial = PoolTrial(teams, seed=SEED)
        trial.run(30.0)
        before = dict(trial.served_units)
        trial.run(10.0)
        served = trial.served_units["late"] - before["late"]
        self.assertLess(served, 10.0 * trial.pool_rate / 16 + (GAP_S * trial.pool_rate))
        self._check(trial, after_s=32.0)

    def test_urgent_flood_falls_back_to_its_share(self) -> None:
        teams = [*_equal(15), TrialTeam("flood", urgent=True)]
        trial = PoolTrial(teams, seed=SEED)
        trial.run(60.0)
        self._check(trial)
        self.assertLess(
            trial.served_units["flood"],
            60.0 * 8 * 16 * UNITS_PER_S / 16 * 1.25,
        )
