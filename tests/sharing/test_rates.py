"""Guards against a predicted wait that depends on the team's demand and not on the pool's rate."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.sharing.rates import GrantRates

KEY = TeamKey("pool", "team")


def _observe_grants(rates: GrantRates, *, wait_s: float, every_s: float, count: int) -> float:
    """Observe requests that are granted after a wait; returns the time after the last one."""
    now_s = 0.0
    for _ in range(count):
        rates.observe(KEY, now_s, waits=True)
        rates.observe(KEY, now_s + wait_s, waits=False, granted_count=1)
        now_s += every_s
    return now_s


class GrantRatesTest(unittest.TestCase):
    """Guards against rejecting work although slots are free."""

    def test_predicted_wait(self) -> None:
        """Each case: wait, interval and count of requests, and the predicted wait behind four."""
        cases = (
            ("low demand, free slots", 0.005, 1.0, 40, 0.02),
            ("always waiting", 1.0, 1.0, 40, 4.0),
            ("too few grants", 1.0, 1.0, 3, None),
        )
        for name, wait_s, every_s, count, expected_s in cases:
            with self.subTest(name):
                rates = GrantRates()
                now_s = _observe_grants(rates, wait_s=wait_s, every_s=every_s, count=count)
                predicted_s = rates.predicted_wait_s(KEY, 4, now_s)
                if expected_s is None:
                    self.assertIsNone(predicted_s)
                else:
                    self.assertAlmostEqual(expected_s, predicted_s, delta=0.2 * expected_s)

    def test_recovers(self) -> None:
        """Guards against rejecting the first burst after an outage by a rate from the outage."""
        rates = GrantRates()
        now_s = _observe_grants(rates, wait_s=2.0, every_s=2.0, count=6)
        self.assertIsNone(rates.predicted_wait_s(KEY, 4, now_s + 10.0))


if __name__ == "__main__":
    unittest.main()
