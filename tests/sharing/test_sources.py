"""Guards against using totals that cover few routers, or none although some exist."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.sources import FAILOVER_S, MAX_AGE_S, TotalsSource


class TotalsSourceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.source = TotalsSource()
        self.source.accepts("c-1", 60, 67, 10.0)

    def test_accepted_totals(self) -> None:
        rows = [
            # Controller, routers in its totals, time; whether the totals are used.
            ("c-1", 60, 10.5, True),
            ("c-1", 50, 10.5, True),
            ("c-2", 60, 10.5, False),
            ("c-2", 61, 10.5, True),
            ("c-2", 60, 10.1 + FAILOVER_S, True),
            ("c-2", 40, 10.1 + FAILOVER_S, True),
            ("c-2", 3, 10.1 + FAILOVER_S, False),
            ("c-1", 1, 10.5, False),
            ("c-1", 1, 10.1 + MAX_AGE_S, True),
        ]
        for controller_id, reports_count, now_s, expected in rows:
            with self.subTest(controller_id=controller_id, reports_count=reports_count):
                self.setUp()
                accepted = self.source.accepts(controller_id, reports_count, 67, now_s)
                self.assertEqual(accepted, expected)

    def test_the_first_totals(self) -> None:
        """Guards against a starting fleet that rejects all totals until they cover half of it."""
        source = TotalsSource()
        self.assertFalse(source.is_current(0.0))
        self.assertEqual(
            [source.accepts("c-1", count, 67, 0.1 * count) for count in (1, 2, 20)], [True] * 3
        )

    def test_age(self) -> None:
        self.source.accepts("c-2", 1, 67, 12.0)
        self.assertEqual(self.source.age_s(12.5), 2.5)
        self.assertTrue(self.source.is_current(10.0 + MAX_AGE_S))
        self.assertFalse(self.source.is_current(10.1 + MAX_AGE_S))


if __name__ == "__main__":
    unittest.main()
