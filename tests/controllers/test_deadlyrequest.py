"""Guards against a request that comes again and again and crashes engine after engine."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tests.controllers.deadlyrequests import ROUTES, drawn_setup, play_deadly_request
from tests.controllers.enginefleet import DEADLY

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.controllers.enginefleet import EngineFleet, Outcome

CONTACT_S = 3.0
DEADLY_FROM_S = 4.0
DURATION_S = 30.0
POWER_CUT_S = 22.0
RESTART_S = 4.0
"""Time after a crash in which an engine is away, or not yet known to be back."""
LONGEST_ANSWER_S = 2.5
LATE_RUNS_COUNT = 3
"""Runs of the request that may begin later than ``CONTACT_S`` after its third crash."""
LONG_RETRY_S = 10.0
"""Refusals with a longer delay are for requests that are found to crash engines."""
ENGINES_COUNTS = (3, 6)
SEEDS = range(6)


def sound_outcomes(fleet: EngineFleet, from_s: float, until_s: float) -> list[Outcome]:
    """Return how the other requests ended, by the time at which they came."""
    return [
        outcome
        for outcome in fleet.outcomes
        if DEADLY not in outcome.parts and from_s <= outcome.at_s < until_s
    ]


def first_attempt_ratio(outcomes: list[Outcome]) -> float:
    """Return the part of the requests that were served at the first attempt."""
    return sum(x.code is None and x.attempts_count == 1 for x in outcomes) / len(outcomes)


class DeadlyRequestTest(unittest.TestCase):
    def check(
        self, prepare: Callable[[EngineFleet], None], *, undisturbed_until_s: float = DURATION_S
    ) -> None:
        """Play a deadly request at services of two sizes and on all kinds of routes."""
        for engines_count in ENGINES_COUNTS:
            for name, route in ROUTES.items():
                with self.subTest(route=name, engines=engines_count):
                    for seed in SEEDS:
                        setup = drawn_setup(seed, engines_count, route)
                        fleet = play_deadly_request(seed, setup, DURATION_S, DEADLY_FROM_S, prepare)
                        self.assert_budget(fleet, seed)
                        self.assert_no_sound_request_refused_for_long(fleet, seed)
                        self.assert_sound_requests_served(fleet, undisturbed_until_s, seed)

    def assert_budget(self, fleet: EngineFleet, seed: int) -> None:
        self.assertGreaterEqual(len(fleet.crashes_s), 3, f"seed {seed}")
        late_s = fleet.crashes_s[2] + CONTACT_S
        late = [run for run in fleet.runs if DEADLY in run.parts and run.at_s > late_s]
        self.assertLessEqual(len(late), LATE_RUNS_COUNT, f"seed {seed}")

    def assert_no_sound_request_refused_for_long(self, fleet: EngineFleet, seed: int) -> None:
        refused = [
            outcome
            for outcome in sound_outcomes(fleet, 0.0, float("inf"))
            if outcome.code == "quarantined" and outcome.retry_after_s > LONG_RETRY_S
        ]
        self.assertEqual(refused, [], f"seed {seed}")

    def assert_sound_requests_served(self, fleet: EngineFleet, until_s: float, seed: int) -> None:
        settled_s = fleet.crashes_s[-1] + RESTART_S
        before = sound_outcomes(fleet, fleet.start_s, fleet.deadly_from_s)
        after = sound_outcomes(fleet, settled_s, fleet.start_s + until_s)
        self.assertGreater(min(len(before), len(after)), 20, f"seed {seed}")
        ratios = first_attempt_ratio(after), first_attempt_ratio(before)
        self.assertGreater(ratios[0], 0.5 * ratios[1], f"seed {seed}")

    def test_comes_again(self) -> None:
        """Guards against running a request without end that crashes each engine."""
        self.check(lambda fleet: None)

    def test_lost_messages(self) -> None:
        """Guards against routers that miss the verdict: a third of the messages is lost, the others
        overtake each other."""

        def prepare(fleet: EngineFleet) -> None:
            fleet.loss_ratio, fleet.delay_factor = 0.3, 50.0

        self.check(prepare)

    def test_restarted_processes(self) -> None:
        """Guards against verdicts that are lost with routers and controllers that restart."""

        def prepare(fleet: EngineFleet) -> None:
            for number in range(10):
                controller_id = fleet.controller_ids[number % 3]
                router_id = fleet.router_ids[number % len(fleet.router_ids)]
                fleet.at(4.5 + 2 * number, lambda host_id=controller_id: fleet.start(host_id))
                fleet.at(8.0 + 1.7 * number, lambda host_id=router_id: fleet.start(host_id))

        self.check(prepare)

    def test_other_ends_beside_it(self) -> None:
        """Guards against verdicts on sound requests while engines end for other reasons too."""
        self.check(_end_engines, undisturbed_until_s=POWER_CUT_S - LONGEST_ANSWER_S)

    def test_ends_for_other_reasons(self) -> None:
        """Guards against refusing sound requests for long because their engines crashed."""
        for engines_count in ENGINES_COUNTS:
            for name, route in ROUTES.items():
                with self.subTest(route=name, engines=engines_count):
                    for seed in SEEDS:
                        setup = drawn_setup(seed, engines_count, route)
                        fleet = play_deadly_request(
                            seed, setup, DURATION_S, float("inf"), _end_engines
                        )
                        self.assert_no_sound_request_refused_for_long(fleet, seed)


def _end_engines(fleet: EngineFleet) -> None:
    """Let some engines crash at several times, and all of them lose power twice."""
    engines = fleet.engines
    for after_s in (5.0, 8.5, 13.0):
        for engine in engines[: max(1, len(engines) // 4)]:
            fleet.at(after_s, engine.crash)
    for number, engine in enumerate(engines):
        fleet.at(POWER_CUT_S + 0.02 * number, engine.crash)
        fleet.at(POWER_CUT_S + 3.5 + 0.02 * number, engine.crash)
