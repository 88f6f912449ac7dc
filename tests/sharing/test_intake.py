"""Guards against a router that takes more new connections than it has time to serve (RECOVER)."""

from __future__ import annotations

import unittest
from typing import NamedTuple

from camphorvalve.sharing.intake import (
    EASY_LAG_S,
    LEAST_LEVEL_COUNT,
    LEAST_RETRY_AFTER_S,
    MOST_RETRY_AFTER_S,
    MOST_TAKEN_COUNT,
    TARGET_LAG_S,
    Intake,
)

SERVE_S = 0.004
"""Processor time of a served request at half a core."""
REFUSE_S = 0.0002
QUEUE_COUNT = 512
"""Connections that wait for the next turn at most; further ones are lost."""
MEASURE_S = 0.05
OTHER_PAUSE_S = 0.3
"""Time between two connections of a team that asks for little."""


class Flood(NamedTuple):
    """What became of a flood in its last seconds."""

    longest_turn_s: float
    served_per_s: float
    other_refused_count: int
    """Refused connections of a team that asks for little."""


def flooded(intake: Intake | None, offered_per_s: float, duration_s: float = 20.0) -> Flood:
    """Play a router whose turns take as long as the work that came during the last one."""
    now_s = measured_s = turn_s = 0.0
    served_count = late_served_count = other_refused_count = 0
    longest_turn_s = 0.0
    other_due_s = duration_s / 2
    while now_s < duration_s:
        offered_count = min(QUEUE_COUNT, int(offered_per_s * max(turn_s, 0.005)))
        taken_now_count = sum(
            intake is None or intake.takes_unseen() or intake.takes("flooding")
            for _ in range(offered_count)
        )
        if intake is not None and now_s > other_due_s:
            other_due_s += OTHER_PAUSE_S
            other_refused_count += not (intake.takes_unseen() or intake.takes("other"))
        turn_s = SERVE_S * taken_now_count + REFUSE_S * (offered_count - taken_now_count)
        now_s += max(turn_s, 0.005)
        served_count += taken_now_count
        if now_s - measured_s >= MEASURE_S and intake is not None:
            intake.measure(max(0.0, now_s - measured_s - MEASURE_S), served_count)
            measured_s = now_s
        if now_s > duration_s / 2:
            late_served_count += taken_now_count
            longest_turn_s = max(longest_turn_s, turn_s)
    return Flood(longest_turn_s, late_served_count / (duration_s / 2), other_refused_count)


def late_intake(lag_s: float) -> Intake:
    """Build an intake whose loop was late twice in a row, after it was on time."""
    intake = Intake()
    intake.measure(lag_s)
    intake.measure(lag_s)
    return intake


def taken_count(intake: Intake, offered_count: int = 100, team: str | None = "a") -> int:
    return sum(intake.takes_unseen() or intake.takes(team) for _ in range(offered_count))


class IntakeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.intake = Intake()

    def test_all_are_taken_while_the_loop_is_on_time(self) -> None:
        for _ in range(10):
            self.intake.measure(TARGET_LAG_S)
            self.assertEqual(taken_count(self.intake, 10), 10)
        self.assertFalse(self.intake.is_short())

    def test_a_late_loop_takes_fewer_in_proportion(self) -> None:
        for lag_ratio, expected_count in ((1.25, 12), (2.0, 8), (100.0, 8)):
            with self.subTest(lag_ratio):
                intake = late_intake(lag_ratio * TARGET_LAG_S)
                self.assertEqual(taken_count(intake), expected_count)
                self.assertEqual(intake.refused_count, 100 - expected_count)
                self.assertTrue(intake.is_short())

    def test_some_are_taken_however_late_the_loop_is(self) -> None:
        """Guards against an intake that stays closed as nothing shows that there is time again."""
        for _ in range(100):
            self.intake.measure(10.0)
        taken = 0
        for _ in range(20):
            taken += taken_count(self.intake)
            self.intake.measure(10.0)
        self.assertAlmostEqual(taken, 20 * LEAST_LEVEL_COUNT, delta=1)

    def test_only_teams_above_the_level_are_refused(self) -> None:
        """Guards against a team that asks for little and is refused for another one's flood."""
        intake = late_intake(2 * TARGET_LAG_S)
        self.assertLess(taken_count(intake, 100, "flooding"), 100)
        self.assertEqual(taken_count(intake, 5, "other"), 5)
        self.assertEqual(taken_count(intake, 5, None), 5)

    def test_a_burst_is_not_taken_whole(self) -> None:
        """Guards against all that waited for a frozen router being served in one turn."""
        self.assertLessEqual(taken_count(self.intake, 500), MOST_TAKEN_COUNT)
        self.intake.measure(0.0)
        self.assertEqual(taken_count(self.intake, 10), 10)

    def test_a_burst_of_one_team_leaves_room_for_others(self) -> None:
        self.assertLess(taken_count(self.intake, 500, "flooding"), 500)
        self.assertEqual(taken_count(self.intake, 1, "other"), 1)

    def test_all_are_taken_again_once_the_loop_is_on_time(self) -> None:
        for _ in range(20):
            self.intake.measure(1.0)
        for _ in range(60):
            self.intake.measure(0.0)
        self.assertFalse(self.intake.is_short())

    def test_one_long_turn_refuses_nobody(self) -> None:
        """Guards against routers that refuse callers for a second after each start."""
        for lag_s in (0.0, 1.0, 0.0, 1.0):
            self.intake.measure(lag_s)
            self.assertEqual(taken_count(self.intake, 10), 10)

    def test_fewer_are_taken_while_most_are_refused_later(self) -> None:
        """Guards against time that goes into refusing at ten times the cost."""
        level_count = late_intake(2 * TARGET_LAG_S).level_count
        cases = {
            "served": (EASY_LAG_S * 2, 10, 2, True),
            "refused later": (EASY_LAG_S * 2, 2, 10, False),
            "refused later with time to spare": (EASY_LAG_S / 2, 2, 10, True),
        }
        for name, (lag_s, served_count, wasted_count, grows) in cases.items():
            with self.subTest(name):
                intake = late_intake(2 * TARGET_LAG_S)
                for number in range(1, 4):
                    intake.measure(lag_s, number * served_count, number * wasted_count)
                self.assertEqual(intake.level_count > level_count, grows)

    def test_callers_come_back_when_there_may_be_room(self) -> None:
        """Guards against callers who come back at a time when they are refused again."""
        intake = late_intake(2 * TARGET_LAG_S)
        self.assertEqual(intake.retry_after_s("calm"), LEAST_RETRY_AFTER_S)
        for _ in range(40):
            taken_count(intake, 80, "flooding")
            taken_count(intake, 1, "calm")
            intake.measure(2 * TARGET_LAG_S)
        # Of 1,600 a second 4 are taken.
        self.assertEqual(intake.retry_after_s("flooding"), MOST_RETRY_AFTER_S)
        for _ in range(200):
            intake.measure(0.0)
        self.assertEqual(intake.retry_after_s("flooding"), LEAST_RETRY_AFTER_S)

    def test_turns_stay_short_and_time_is_used_in_a_flood(self) -> None:
        """Guards against a router that takes all connections and is late for all of them."""
        self.assertGreater(flooded(None, 900.0).longest_turn_s, 1.0)
        for offered_per_s in (300.0, 900.0, 2000.0):
            with self.subTest(offered_per_s):
                flood = flooded(Intake(), offered_per_s)
                self.assertLess(flood.longest_turn_s, 4 * TARGET_LAG_S)
                affordable_per_s = (1.0 - REFUSE_S * offered_per_s) / SERVE_S
                self.assertGreater(flood.served_per_s, 0.7 * affordable_per_s)
                self.assertEqual(flood.other_refused_count, 0)


if __name__ == "__main__":
    unittest.main()
