"""Guards against rates of teams that let more or less than their share pass at one router."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from camphorvalve.sharing.allowances import BURST_COUNT, BURST_S, Allowances

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

WINDOW_S = 2.0
REPORT_S = 0.5


def build_allowances(
    demands: Mapping[str, float],
    capacity: float,
    own: Mapping[str, float] | None = None,
    served: Mapping[str, float] | None = None,
    seed: int = 1,
) -> Allowances:
    """Build the allowances of a router, by default of one that receives all demand."""
    allowances = Allowances(WINDOW_S, random.Random(seed))
    allowances.set_shares(demands, own or demands, capacity, served or {}, 0.0)
    return allowances


def allowed_per_s(
    allowances: Allowances,
    team: str,
    sizes: Iterable[float],
    per_s: float,
    *,
    start_s: float = 0.0,
    is_retry: bool = False,
) -> float:
    """Request at a steady rate; returns the allowed tokens per second after the initial burst."""
    allowed, now_s, measured_from_s = 0.0, start_s, start_s + 2 * BURST_S
    for tokens in sizes:
        now_s += tokens / per_s
        if allowances.allows(team, tokens, now_s, is_retry=is_retry) and now_s > measured_from_s:
            allowed += tokens
    return allowed / (now_s - measured_from_s)


class AllowancesTest(unittest.TestCase):
    def test_allowed_part_of_the_demand(self) -> None:
        """Guards against allowing more or less than the share of a team."""
        allowances = build_allowances({"large": 300.0, "small": 10.0}, 110.0)
        source = random.Random(4)
        sizes = [source.lognormvariate(0.0, 1.0) for _ in range(10_000)]
        allowed = allowed_per_s(allowances, "large", sizes, 150.0)
        self.assertAlmostEqual(allowed / 50.0, 1.0, delta=0.03)
        self.assertAlmostEqual(allowed_per_s(allowances, "small", sizes, 5.0), 5.0, delta=0.1)

    def test_division_among_routers(self) -> None:
        """Guards against a share that depends on which routers the team's callers connect to."""
        for router_part in (1.0, 0.5, 1 / 67):
            demands = {"a": 300.0, "b": 900.0}
            own = {team: router_part * tokens for team, tokens in demands.items()}
            allowances = build_allowances(demands, 200.0, own)
            allowed = allowed_per_s(allowances, "a", [0.1] * 20_000, 150.0 * router_part)
            self.assertAlmostEqual(allowed / (50.0 * router_part), 1.0, delta=0.03)

    def test_rising_and_falling_demand(self) -> None:
        """Guards against a team that gets several times its share when its demand rises, or almost
        nothing after it has fallen, until the next totals arrive."""
        demands = {"bursting": 50.0, "large": 300.0, "small": 1.0}
        allowances = build_allowances(demands, 121.0)
        allowed = allowed_per_s(allowances, "bursting", [1.0] * 2000, 300.0)
        self.assertAlmostEqual(allowed, 35.0, delta=1.0)
        self.assertAlmostEqual(
            allowed_per_s(allowances, "bursting", [1.0] * 200, 25.0, start_s=20.0), 25.0, delta=0.5
        )

    def test_a_burst_is_bounded(self) -> None:
        """Guards against idle teams that accumulate tokens without a limit."""
        allowances = build_allowances({"a": 200.0, "b": 200.0}, 200.0)
        allowances.allows("a", 1.0, 0.0)
        allowed = sum(allowances.allows("a", 1.0, 1000.0) for _ in range(1000))
        self.assertLessEqual(allowed, 50.0 * BURST_S + 1)

    def test_few_requests_at_each_of_many_routers(self) -> None:
        """Guards against refusing a team within its share because its requests arrive unevenly."""
        demands = {"spread": 670.0, "large": 9000.0}
        own = {"spread": 0.0, "large": 100.0}
        allowances = build_allowances(demands, 4000.0, own)
        for _ in range(BURST_COUNT):
            self.assertTrue(allowances.allows("spread", 10.0, 0.1))

    def test_small_rates_at_many_routers(self) -> None:
        """Guards against a team over its share that gets too much at first, as each of many routers
        allows a burst, and then nothing until its rate has made up for that."""
        demands = {"spread": 600.0, "other": 600.0}
        own = {"spread": 10.0, "other": 10.0}
        routers = [build_allowances(demands, 240.0, own, seed=seed) for seed in range(60)]
        source, allowed = random.Random(7), [0.0] * 10
        for step in range(3000):
            if source.choice(routers).allows("spread", 17.0, step / 300):
                allowed[step // 300] += 17.0
        # The rate is 60 tokens/s in total, 1 token/s at each router; a request costs 17 tokens.
        self.assertLess(sum(allowed[:3]), 3 * 60.0 + 0.6 * 60 * 17.0)
        self.assertGreater(sum(allowed[3:]), 0.5 * 7 * 60.0)

    def test_a_team_whose_demand_rises_above_its_share(self) -> None:
        """Guards against a team that gets twice its share for seconds after its demand rose, as
        many routers still have the tokens saved at the lower demand."""
        before, after = {"spread": 200.0, "other": 600.0}, {"spread": 6000.0, "other": 600.0}
        routers = [
            build_allowances(before, 600.0, {"spread": 3.0}, seed=seed) for seed in range(60)
        ]
        for router in routers:
            router.allows("spread", 1.0, 0.0)
        allowed = 0.0
        for router in routers:
            router.allows("spread", 17.0, 9.0)
            router.set_shares(after, {"spread": 100.0}, 600.0, {}, 10.0)
            allowed += sum(17.0 * router.allows("spread", 17.0, 10.0) for _ in range(10))
        self.assertLess(allowed, 0.6 * 60 * 17.0)

    def test_a_team_within_its_share_beside_one_over_its_share(self) -> None:
        """Guards against a team within its share that gets more than twice the service of a team
        over its share whose only router cannot serve more."""
        demands = {"single": 4000.0, "within": 190.0}
        served = {"single": 60.0, "within": 190.0}
        allowances = Allowances(WINDOW_S, random.Random(1))
        allowances.set_shares(demands, demands, 400.0, served, 0.0, usual_capacity=240.0)
        self.assertTrue(allowances.is_over_share("within"))
        allowed = allowed_per_s(allowances, "within", [1.0] * 4000, 95.0)
        self.assertLess(allowed, 2 * served["single"])

    def test_equal_service(self) -> None:
        """Guards against two teams over their share of which one gets less for long."""
        demands = {"busy": 900.0, "free": 900.0, "small": 10.0}
        # The busy router can serve half of the requests within the share.
        served = {"busy": 100.0, "free": 200.0, "small": 10.0}
        allowances, now_s = Allowances(WINDOW_S, random.Random(1)), 0.0
        allowed = dict.fromkeys(demands, 0.0)
        for _ in range(40):
            allowances.set_shares(demands, demands, 410.0, served, now_s)
            allowed = dict.fromkeys(demands, 0.0)
            for step in range(200):
                for team, tokens in demands.items():
                    if allowances.allows(team, tokens / 200, now_s + step * WINDOW_S / 200):
                        allowed[team] += tokens / 200
            now_s += WINDOW_S
            served = {**allowed, "busy": allowed["busy"] / 2}
        self.assertLess(abs(served["busy"] - served["free"]), 0.1 * served["free"])
        self.assertAlmostEqual(allowed["small"], 10.0, delta=0.1)

    def test_a_team_limited_by_its_only_router(self) -> None:
        """Guards against a team that gets more than twice the service of another team over its
        share whose only router cannot serve more."""
        demands = {"single": 900.0, "spread": 900.0}
        for capacity in (400.0, 600.0):
            served = {"single": 120.0, "spread": 300.0}
            allowances, now_s = Allowances(WINDOW_S, random.Random(1)), 0.0
            for _ in range(40):
                now_s += REPORT_S
                allowances.set_shares(demands, demands, capacity, served, now_s, usual_capacity=400)
                _, share_per_s, _ = next(
                    entry for entry in allowances.over_share() if entry[0] == "spread"
                )
                served["spread"] = share_per_s * WINDOW_S
            self.assertLess(served["spread"], 2 * served["single"])

    def test_first_requests_go_first(self) -> None:
        """Guards against spending the share on retries, whose answers are too late anyway."""
        rows = [
            # Tokens/s: first attempts, retries, share; allowed first attempts, allowed retries.
            (50.0, 100.0, 25.0, 25.0, 0.0),
            (50.0, 100.0, 50.0, 50.0, 0.0),
            (50.0, 100.0, 75.0, 50.0, 25.0),
            (0.0, 150.0, 75.0, 0.0, 75.0),
        ]
        for first_per_s, retries_per_s, share_per_s, expected_first, expected_retries in rows:
            with self.subTest(first_per_s=first_per_s, share_per_s=share_per_s):
                demand = WINDOW_S * (first_per_s + retries_per_s)
                allowances = build_allowances({"a": demand, "b": 1e6}, 4 * share_per_s)
                first = retries = 0.0
                for step in range(4000):
                    now_s = step / 200
                    counts = now_s > 2 * BURST_S
                    first += (
                        counts
                        * (first_per_s / 200)
                        * allowances.allows("a", first_per_s / 200, now_s)
                    )
                    retries += (
                        counts
                        * (retries_per_s / 200)
                        * allowances.allows("a", retries_per_s / 200, now_s, is_retry=True)
                    )
                self.assertAlmostEqual(first / 18, expected_first, delta=1.0)
                self.assertAlmostEqual(retries / 18, expected_retries, delta=1.5)

    def test_large_requests(self) -> None:
        """Guards against small requests that use up the share before large ones can pass."""
        allowances = build_allowances({"a": 200.0, "b": 200.0}, 200.0)
        source = random.Random(5)
        now_s, offered_count, allowed_count = 0.0, 0, 0
        for _ in range(4000):
            tokens = source.choice([1.0, 1.0, 1.0, 10.0])
            now_s += tokens / 100.0
            within = allowances.allows("a", tokens, now_s)
            if tokens == 10.0:
                offered_count, allowed_count = offered_count + 1, allowed_count + within
        self.assertGreater(allowed_count / offered_count, 0.3)

    def test_nothing_is_refused_before_shares_are_known(self) -> None:
        allowances = Allowances(WINDOW_S, random.Random(1))
        self.assertTrue(all(allowances.allows("a", 1e6, 0.0) for _ in range(10)))


if __name__ == "__main__":
    unittest.main()
