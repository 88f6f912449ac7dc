"""Guards against grants for unreachable upstreams, and against blocking one for all because a
single router cannot reach it."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.health import (
    BLOCK_S,
    FAILED_REPORTS_COUNT,
    REPORT_LIFETIME_S,
    UpstreamHealth,
)
from camphorvalve.upstreams.reports import LoadReport

FULL = LoadReport(running_count=4, waiting_count=3, slots_count=4, age_s=1.0)
FREE = LoadReport(running_count=4, waiting_count=0, slots_count=4, age_s=1.0)


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = UpstreamHealth()

    def _usable(self, entry_id: str, now_s: float) -> bool:
        return self.health.may_use(entry_id, "engine-1", now_s)

    def test_one_router_is_blocked_and_two_block_for_all(self) -> None:
        self.health.block("router-1", "engine-1", 0.0)
        self.assertEqual(
            (self._usable("router-1", 1.0), self._usable("router-2", 1.0)), (False, True)
        )
        self.health.block("router-2", "engine-1", 1.0)
        self.assertFalse(self._usable("router-3", 2.0))
        self.assertTrue(self._usable("router-3", BLOCK_S))

    def test_missing_load_reports_block_until_one_arrives(self) -> None:
        for _ in range(FAILED_REPORTS_COUNT - 1):
            self.health.report_failed("engine-1")
        self.assertTrue(self._usable("router-1", 0.0))
        self.health.report_failed("engine-1")
        self.assertFalse(self._usable("router-1", 0.0))
        self.health.report_load("engine-1", FREE, 1.0)
        self.assertTrue(self._usable("router-1", 1.0))

    def test_an_overfull_engine_gets_nothing_while_its_report_is_fresh(self) -> None:
        self.health.report_load("engine-1", FULL, 1.0)
        self.assertFalse(self._usable("router-1", 1.0))
        self.assertTrue(self._usable("router-1", REPORT_LIFETIME_S))
