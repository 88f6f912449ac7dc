"""Guards against sums of the demand that drift from the reports they are made of."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from camphorvalve.controllers.runtime import Sender
from camphorvalve.controllers.totals import REPORT_LIFETIME_S, TotalsController
from camphorvalve.wire.messages import Asked, AskedTotals, TeamTokens


def a_report(source: random.Random) -> Asked:
    teams = source.sample(["a", "b", "c", "d"], source.randrange(5))
    return Asked(tuple(TeamTokens(team, *source.choices(range(9), k=3)) for team in teams))


def ask(totals: TotalsController, router_id: str, report: Asked, now_s: float) -> AskedTotals:
    """Deliver a report; returns the answer."""
    return next(totals.handle(Sender(router_id, 1), report, now_s)).message


class TotalsTest(unittest.TestCase):
    def test_sums(self) -> None:
        """Guards against a report that counts twice, or still counts after its router is gone."""
        source, totals = random.Random(6), TotalsController()
        newest: dict[str, tuple[Asked, float]] = {}
        for step in range(500):
            now_s = 0.1 * step
            router_id = f"r-{source.randrange(8 if step < 250 else 4)}"
            newest[router_id] = (a_report(source), now_s)
            answer = ask(totals, router_id, newest[router_id][0], now_s)
            expected: Counter[str] = Counter()
            for report, _ in newest.values():
                expected.update({one.team: one.tokens for one in report.entries})
            self.assertEqual({one.team: one.tokens for one in answer.entries}, +expected)
            self.assertEqual(answer.reports_count, len(newest))
            list(totals.tick(now_s))
            newest = {
                one: (report, heard_s)
                for one, (report, heard_s) in newest.items()
                if now_s - heard_s <= REPORT_LIFETIME_S
            }
        self.assertEqual(set(newest), {"r-0", "r-1", "r-2", "r-3"})


if __name__ == "__main__":
    unittest.main()
