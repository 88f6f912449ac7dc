"""Guards against teams that get more than their max-min share while others ask for theirs."""

from __future__ import annotations

import random
import unittest

from camphorvalve.sharing.shares import Demand, Quotas, level


class LevelTest(unittest.TestCase):
    def test_levels(self) -> None:
        """Guards against capacity that is divided evenly where small teams ask for less."""
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
                self.assertEqual(level(demands, capacity), expected)

    def test_nothing_is_left(self) -> None:
        """Guards against a level that gives out more or less than there is."""
        source = random.Random(3)
        for _ in range(200):
            demands = {str(n): source.expovariate(0.1) for n in range(source.randrange(1, 20))}
            capacity = source.uniform(1.0, 300.0)
            found = level(demands, capacity)
            given = sum(min(found, demand) for demand in demands.values())
            self.assertAlmostEqual(given, min(capacity, sum(demands.values())))


class DemandTest(unittest.TestCase):
    def test_window(self) -> None:
        """Guards against demand that counts for ever."""
        demand = Demand(4.0)
        demand.add("a", 10.0, 0.0)
        demand.add("a", 5.0, 2.0)
        demand.add("b", 1.0, 2.0)
        self.assertEqual(demand.totals(3.0), {"a": 15.0, "b": 1.0})
        self.assertEqual(demand.totals(5.0), {"a": 5.0, "b": 1.0})
        self.assertEqual(demand.totals(7.0), {})


class QuotasTest(unittest.TestCase):
    def test_part_within_share(self) -> None:
        """Guards against a team of which more or less than its share is let through."""
        quotas = Quotas()
        quotas.set_shares({"large": 300.0, "small": 10.0}, 110.0)
        source = random.Random(4)
        sizes = [source.lognormvariate(0.0, 1.0) for _ in range(3000)]
        taken = sum(size for size in sizes if quotas.takes("large", size))
        self.assertAlmostEqual(taken / sum(sizes), 1 / 3, delta=0.03)
        self.assertTrue(all(quotas.takes("small", 1.0) for _ in range(100)))

    def test_equal_service(self) -> None:
        """Guards against a team over its share that gets less than another one for long."""
        quotas = Quotas()
        asked = {"busy": 900.0, "free": 900.0, "small": 10.0}
        # Of what is within its share, half of the busy router's requests find a place.
        served = {"busy": 100.0, "free": 200.0, "small": 10.0}
        for _ in range(40):
            quotas.set_shares(asked, 410.0, served)
            parts = {team: sum(quotas.takes(team, 1.0) for _ in range(900)) for team in asked}
            served = {"busy": parts["busy"] / 2, "free": parts["free"], "small": 10.0}
        self.assertLess(abs(served["busy"] - served["free"]), 0.1 * served["free"])
        self.assertEqual(parts["small"], 900)

    def test_first_requests_go_first(self) -> None:
        """Guards against a share that is spent on answers which come late anyway."""
        rows = [
            # Demand, of which returned, capacity; parts of first and returned requests.
            (300.0, 200.0, 50.0, 0.5, 0.0),
            (300.0, 200.0, 100.0, 1.0, 0.0),
            (300.0, 200.0, 150.0, 1.0, 0.25),
            (300.0, 0.0, 150.0, 0.5, 0.5),
            (300.0, 300.0, 150.0, 1.0, 0.5),
        ]
        for demand, returned, capacity, first_part, returned_part in rows:
            with self.subTest(demand=demand, returned=returned, capacity=capacity):
                quotas = Quotas()
                quotas.set_shares({"a": demand}, capacity, returned={"a": returned})
                first = sum(quotas.takes("a", 1.0) for _ in range(200))
                late = sum(quotas.takes("a", 1.0, came_back=True) for _ in range(200))
                self.assertAlmostEqual(first / 200, first_part, delta=0.01)
                self.assertAlmostEqual(late / 200, returned_part, delta=0.01)

    def test_growth(self) -> None:
        """Guards against a team that gets several times its share while its demand rises."""
        quotas = Quotas()
        quotas.set_shares({"rising": 50.0, "large": 300.0, "small": 1.0}, 121.0)
        self.assertTrue(all(quotas.takes("rising", 1.0) for _ in range(100)))
        taken = sum(quotas.takes("rising", 1.0, growth=3.0) for _ in range(300))
        self.assertAlmostEqual(taken / 300, 70.0 / 150.0, delta=0.02)
        self.assertTrue(all(quotas.takes("small", 1.0, growth=3.0) for _ in range(100)))

    def test_large_requests(self) -> None:
        """Guards against a share that is used up by small requests alone."""
        quotas = Quotas()
        quotas.set_shares({"a": 200.0}, 100.0)
        source = random.Random(5)
        sizes = [source.choice([1.0, 1.0, 1.0, 10.0]) for _ in range(2000)]
        taken = [size for size in sizes if quotas.takes("a", size)]
        large_ratio = taken.count(10.0) / sizes.count(10.0)
        self.assertGreater(large_ratio, 0.3)


if __name__ == "__main__":
    unittest.main()
