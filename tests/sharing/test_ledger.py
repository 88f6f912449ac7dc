"""Guards against dropping the lag of a large team because of estimates of running work."""

from __future__ import annotations

import unittest

from camphorvalve.model.policies import FleetFair
from camphorvalve.sharing.ledger import Ledger, TeamKey
from camphorvalve.wire.messages import TotalEntry
from tests.builders import POOL

LARGE = TeamKey(POOL, "large")
SMALL = TeamKey(POOL, "small")


def _ledger(*, large_units: float, small_units: float) -> Ledger:
    ledger = Ledger(FleetFair())
    for key, share, units in ((LARGE, 10.0, large_units), (SMALL, 1.0, small_units)):
        ledger.set_waiting(key, share, 0.0)
        ledger.merge(TotalEntry(key.pool, key.team, units, 0.0, 3))
    return ledger


class LedgerTest(unittest.TestCase):
    def test_running_work_of_a_small_team_drops_no_lag_of_a_large_one(self) -> None:
        ledger = _ledger(large_units=1000.0, small_units=100.0)
        ledger.account(SMALL).pending_units = 400.0
        ledger.cap_debt(POOL, 300.0)
        self.assertEqual(ledger.account(LARGE).lift_units, 0.0)

    def test_debt_beyond_the_cap_is_dropped(self) -> None:
        ledger = _ledger(large_units=1000.0, small_units=900.0)
        ledger.cap_debt(POOL, 300.0)
        self.assertAlmostEqual(ledger.account(LARGE).lift_units, 5000.0)

    def test_lift_depends_on_service_elsewhere_while_nothing_waited_here(self) -> None:
        cases = {
            "served elsewhere meanwhile": (3000.0, 0.0),
            "idle in the whole fleet": (1000.0, 4000.0),
        }
        for name, (total_units, expected_units) in cases.items():
            with self.subTest(name):
                ledger = _ledger(large_units=1000.0, small_units=500.0)
                ledger.set_idle(LARGE, 1.0)
                ledger.set_waiting(LARGE, 10.0, 9.0)
                ledger.merge(TotalEntry(LARGE.pool, LARGE.team, total_units, 0.0, 3))
                self.assertAlmostEqual(ledger.account(LARGE).lift_units, expected_units)
