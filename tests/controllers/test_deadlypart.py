"""Guards against a part of a prompt that crashes engine after engine, in a simulated fleet."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.controllers.enginefleet import DEADLY, EngineFleet, run_simulated

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.controllers.enginefleet import Outcome

CONTACT_S = 3.0
DEADLY_FROM_S = 4.0
DURATION_S = 26.0
POWER_CUT_S = 18.0
LATE_RUNS_COUNT = 3
"""Requests with the part that may reach engines later than ``CONTACT_S`` after the fifth crash."""
LONG_RETRY_S = 10.0
"""Refusals with a longer delay are for parts that are found to crash engines."""
MAX_REFUSED_RATIO = 1 / 20
"""Part of the sound requests that may be asked to come back soon."""
SEEDS = range(8)


def play(seed: int, duration_s: float, prepare: Callable[[EngineFleet], None]) -> EngineFleet:
    """Run a fleet for some time after the preparation."""
    fleets = []

    async def main() -> None:
        fleets.append(EngineFleet(seed))
        prepare(fleets[0])
        await fleets[0].run(duration_s)

    run_simulated(main)
    return fleets[0]


def sound_outcomes(fleet: EngineFleet, from_s: float, until_s: float) -> list[Outcome]:
    """Return how the requests without the deadly part ended, by the time at which they came."""
    return [
        outcome
        for outcome in fleet.outcomes
        if DEADLY not in outcome.parts and from_s <= outcome.at_s < until_s
    ]


def first_attempt_ratio(outcomes: list[Outcome]) -> float:
    """Return the part of the requests that were served at the first attempt."""
    served = [outcome for outcome in outcomes if outcome.code is None]
    return sum(outcome.attempts_count == 1 for outcome in served) / len(outcomes)


class DeadlyPartTest(unittest.TestCase):
    def check(
        self,
        prepare: Callable[[EngineFleet], None],
        *,
        disturbed_s: float = DURATION_S,
        loses_messages: bool = False,
    ) -> None:
        """Play a part that is deadly, and check how often it and sound requests reach engines."""

        def make_deadly(fleet: EngineFleet) -> None:
            fleet.deadly_from_s = fleet.start_s + DEADLY_FROM_S
            prepare(fleet)

        for seed in SEEDS:
            fleet = play(seed, DURATION_S, make_deadly)
            self.assert_budget(fleet, seed)
            self.assert_sound_requests_served(fleet, disturbed_s, seed)
            # Verdicts may be passing ones while the messages that correct them are lost.
            settled_s = fleet.crashes_s[:5][-1] + 2 * CONTACT_S if loses_messages else 0.0
            self.assert_no_sound_part_refused(fleet, seed, settled_s)

    def assert_budget(self, fleet: EngineFleet, seed: int) -> None:
        crashes_s = fleet.crashes_s
        self.assertGreater(len(crashes_s), 1, f"seed {seed}")
        if len(crashes_s) >= 5:
            late_s = crashes_s[4] + CONTACT_S
            late = [run for run in fleet.runs if DEADLY in run.parts and run.at_s > late_s]
            self.assertLessEqual(len(late), LATE_RUNS_COUNT, f"seed {seed}")

    def assert_sound_requests_served(
        self, fleet: EngineFleet, disturbed_s: float, seed: int
    ) -> None:
        last_s = fleet.crashes_s[:5][-1] + 2 * CONTACT_S
        before = sound_outcomes(fleet, fleet.start_s, fleet.deadly_from_s)
        after = sound_outcomes(fleet, last_s, fleet.start_s + disturbed_s)
        self.assertGreater(min(len(before), len(after)), 20, f"seed {seed}")
        ratios = first_attempt_ratio(after), first_attempt_ratio(before)
        self.assertGreater(ratios[0], 0.5 * ratios[1], f"seed {seed}")

    def assert_no_sound_part_refused(
        self, fleet: EngineFleet, seed: int, settled_s: float = 0.0
    ) -> None:
        outcomes = sound_outcomes(fleet, 0.0, float("inf"))
        refused = [outcome for outcome in outcomes if outcome.code == "quarantined"]
        for_long = [
            outcome
            for outcome in refused
            if outcome.retry_after_s > LONG_RETRY_S and outcome.at_s > settled_s
        ]
        self.assertEqual(for_long, [], f"seed {seed}")
        self.assertLess(len(refused), MAX_REFUSED_RATIO * len(outcomes), f"seed {seed}")

    def test_crashes_go_on(self) -> None:
        """Guards against requests with the part that go on crashing engines."""
        self.check(lambda fleet: None)

    def test_few_sound_requests(self) -> None:
        """Guards against refusing all requests with the first part, when most of them have the
        deadly part too and no answer comes between the crashes."""

        def prepare(fleet: EngineFleet) -> None:
            fleet.requests_per_s, fleet.deadly_ratio = 12.0, 0.8

        self.check(prepare)

    def test_all_engines_crash_at_once(self) -> None:
        """Guards against requests with the part that come so often that all engines crash within a
        second, again and again, and beside which few sound requests are answered."""

        def prepare(fleet: EngineFleet) -> None:
            fleet.requests_per_s, fleet.deadly_ratio = 100.0, 0.2

        self.check(prepare)

    def test_lost_messages(self) -> None:
        """Guards against routers that miss the verdict: a third of the messages is lost, the others
        overtake each other."""

        def prepare(fleet: EngineFleet) -> None:
            fleet.loss_ratio, fleet.delay_factor = 0.3, 50.0

        self.check(prepare, loses_messages=True)

    def test_restarted_routers(self) -> None:
        """Guards against a router that starts without the verdict and crashes engines again."""

        def prepare(fleet: EngineFleet) -> None:
            for number, router_id in enumerate(fleet.router_ids):
                fleet.at(8.0 + 2 * number, lambda router_id=router_id: fleet.start(router_id))

        self.check(prepare)

    def test_restarted_controllers(self) -> None:
        """Guards against controllers that lose the ends at their restart."""

        def prepare(fleet: EngineFleet) -> None:
            for number in range(10):
                controller_id = fleet.controller_ids[number % 3]
                fleet.at(4.5 + 2 * number, lambda host_id=controller_id: fleet.start(host_id))

        self.check(prepare)

    def test_other_ends_beside_it(self) -> None:
        """Guards against verdicts on sound parts that wait beside the deadly one while engines end
        for other reasons."""
        self.check(_end_engines, disturbed_s=POWER_CUT_S)

    def test_ends_for_other_reasons(self) -> None:
        """Guards against refusing a sound part because its engines crashed, were drained, closed
        connections or lost power."""
        for seed in SEEDS:
            fleet = play(seed, DURATION_S, _end_engines)
            self.assert_no_sound_part_refused(fleet, seed)


def _end_engines(fleet: EngineFleet) -> None:
    engines = fleet.engines
    for number, engine in enumerate(engines[:3]):
        fleet.at(6.0 + 0.01 * number, engine.crash)
    for number in range(20):
        fleet.at(5.0 + 0.7 * number, engines[8].break_connections)
    for number, engine in enumerate(engines[3:]):
        fleet.at(9.0 + 0.8 * number, engine.crash)
    for number, engine in enumerate(engines):
        fleet.at(POWER_CUT_S + 0.02 * number, engine.crash)
