"""Guards against teams that get more than their max-min share while others need theirs."""

from __future__ import annotations

import random
import unittest

from camphorvalve.sharing.shares import DemandWindow, max_min_level, max_min_shares, new_team_share


class LevelTest(unittest.TestCase):
    def test_levels(self) -> None:
        """Guards against an even division of the capacity although some teams need less."""
        infinite = float("inf")
        rows = [
            ({}, 10.0, infinite),
            ({"a": 5.0, "b": 5.0}, 10.0, infinite),
            ({"a": 9.0, "b": 9.0}, 10.0, 5.0),
            ({"a": 1.0, "b": 20.0, "c": 20.0}, 11.0, 5.0),
            ({"a": 1.0, "b": 2.0, "c": 90.0}, 13.0, 10.0),
        ]
        for demands, capacity, expected in rows:
            with self.subTest(demands=demands):
                self.assertEqual(max_min_level(demands, capacity), expected)

    def test_whole_capacity_is_divided(self) -> None:
        """Guards against a level that divides more or less than the capacity."""
        source = random.Random(3)
        for _ in range(200):
            demands = {str(n): source.expovariate(0.1) for n in range(source.randrange(1, 20))}
            capacity = source.uniform(1.0, 300.0)
            level = max_min_level(demands, capacity)
            given = sum(min(level, demand) for demand in demands.values())
            self.assertAlmostEqual(given, min(capacity, sum(demands.values())))


class DemandWindowTest(unittest.TestCase):
    def test_window(self) -> None:
        """Guards against demand that counts after it has left the window."""
        demand = DemandWindow(4.0)
        demand.add("a", 10.0, 0.0)
        demand.add("a", 5.0, 2.0)
        demand.add("b", 1.0, 2.0)
        self.assertEqual(demand.totals(3.0), {"a": 15.0, "b": 1.0})
        self.assertEqual(demand.totals(5.0), {"a": 5.0, "b": 1.0})
        self.assertEqual(demand.totals(7.0), {})

    def test_estimate(self) -> None:
        """Guards against underestimating demand that began within the window."""
        demand = DemandWindow(4.0)
        for step in range(100):
            demand.add("a", 1.0, 10.0 + step / 10)
            if step in (10, 20, 60, 99):
                self.assertAlmostEqual(demand.estimate(10.0 + step / 10)["a"], 40.0, delta=5.0)
        demand.add("a", 1.0, 100.0)
        self.assertEqual(demand.estimate(100.1), {"a": 8.0})


class SharesTest(unittest.TestCase):
    def test_shares_by_demand(self) -> None:
        """Guards against a share that falls while the team's own demand rises, and against limiting
        a team below its demand while there is spare capacity."""
        rows = [
            # Demands, capacity, share of "a".
            ({"a": 9.0, "b": 9.0}, 10.0, 5.0),
            ({"a": 1.0, "b": 9.0}, 10.0, 4.5),
            ({"a": 8.0, "b": 1.0}, 10.0, 9.0),
            ({"a": 1.0, "b": 1.0, "c": 1.0}, 9.0, 7.0),
            ({"a": 1.0, "b": 8.0, "c": 8.0}, 11.0, 5.0),
        ]
        for demands, capacity, expected in rows:
            with self.subTest(demands=demands, capacity=capacity):
                self.assertEqual(max_min_shares(demands, capacity)["a"], expected)

    def test_share_of_a_new_team(self) -> None:
        """Guards against a new team that gets nothing or the whole capacity."""
        self.assertEqual(new_team_share({}, 10.0), 10.0)
        self.assertEqual(new_team_share({"a": 2.0, "b": 90.0}, 10.0), 4.0)


if __name__ == "__main__":
    unittest.main()
