"""Guards against routers that together exceed the engines or the retry budget of the fleet."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.parts import (
    MAX_PART_FACTOR,
    MIN_ROUTERS_COUNT,
    SPARE_LAG_S,
    SPARE_PART_FACTOR,
    STARTUP_S,
    limit_engine_part,
    retry_floor_count,
)


class EnginePartTest(unittest.TestCase):
    def test_engine_part(self) -> None:
        """Guards against a router that accepts more streams than it has processor time for (a small
        fleet under light load), against one that uses whole engines right after its start because
        it does not know the other routers yet, and against one that refuses callers of its data
        centre while it has time and the engines have room."""
        busy, just_started = SPARE_LAG_S, STARTUP_S / 2
        middle = (MAX_PART_FACTOR + SPARE_PART_FACTOR) / 2
        rows = [
            ("even", 1 / 8, 8, 60.0, busy, 1 / 8),
            ("all callers of a team", 0.6, 8, 60.0, busy, MAX_PART_FACTOR / 8),
            ("all callers of a team, very busy", 0.6, 8, 60.0, 5 * busy, MAX_PART_FACTOR / 8),
            ("many callers of a data centre", 0.3, 8, 60.0, 0.0, 0.3),
            ("all callers of a team, idle", 0.6, 8, 60.0, 0.0, SPARE_PART_FACTOR / 8),
            ("all callers of a team, half busy", 0.6, 8, 60.0, busy / 2, middle / 8),
            ("alone", 1.0, 1, 60.0, 0.0, 1.0),
            ("knows no other router", 1.0, 1, just_started, 0.0, MAX_PART_FACTOR / 8),
            ("just started, knows many", 1.0, 60, just_started, 0.0, MAX_PART_FACTOR / 60),
            ("quiet", 0.01, 8, 60.0, 0.0, 0.01),
        ]
        self.assertEqual(MIN_ROUTERS_COUNT, 8)
        for name, demand_part, routers_count, age_s, lag_s, expected in rows:
            with self.subTest(name):
                part = limit_engine_part(demand_part, routers_count, age_s, lag_s)
                self.assertAlmostEqual(part, expected)


class RetryFloorTest(unittest.TestCase):
    def test_fleet_budget(self) -> None:
        """Guards against routers whose separate budgets add up to more than the fleet's budget."""
        ratio, fleet_count, first_count = 0.14, 39, 10
        for routers_count in (1, 3, 8, 67):
            with self.subTest(routers_count=routers_count):
                floor = retry_floor_count(fleet_count, routers_count)
                retries = 0
                for _ in range(routers_count):
                    budget = RetryBudget(ratio=ratio, floor_count=lambda floor=floor: floor)
                    for _ in range(first_count):
                        budget.record_first_attempt("engines", 1.0)
                    retries += sum(budget.allow("engines", 2.0) for _ in range(1000))
                allowed = ratio * first_count * routers_count + fleet_count
                self.assertLessEqual(retries, allowed)


if __name__ == "__main__":
    unittest.main()
