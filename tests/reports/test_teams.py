"""Guards against merged reports that count service twice, or a debt where a team does not wait."""

from __future__ import annotations

import unittest

from camphorvalve.reports.teams import merge_teams
from tests.builders import a_team_body


class MergeTeamsTest(unittest.TestCase):
    def test_routers_are_merged(self) -> None:
        idle = {"waits_at_scheduler": False, "debt_s": 9.0, "waiting_here_count": 0}
        bodies = [
            a_team_body(router="router-1"),
            a_team_body(router="router-2", oldest_wait_s=2.5, debt_s=0.4),
            a_team_body(router="router-3", **idle, served_here_units=0.0),
        ]
        merged = merge_teams(bodies)
        pool = merged["pools"][0]
        self.assertEqual((pool["waiting_count"], pool["oldest_wait_s"]), (4, 2.5))
        self.assertEqual(pool["served_units"], {"router-1": 10.0, "router-2": 10.0})
        self.assertEqual(pool["served_fleet_units"], 20.0)
        self.assertEqual(
            [report["router"] for report in pool["schedulers"]], ["router-1", "router-2"]
        )
        self.assertEqual(pool["debt_s"], 0.4)
        request_ids = [
            (request["router"], request["request_id"]) for request in merged["oldest_open"]
        ]
        self.assertEqual(request_ids[1], ("router-2", "router-2-1"))
        self.assertEqual(
            (merged["outcomes"], merged["limits_hit"]["queue_full"]), ({"answered": 9}, 3)
        )

    def test_a_greater_fleet_total_is_kept(self) -> None:
        idle = a_team_body(waits_at_scheduler=False, served_fleet_units=40.0)
        pool = merge_teams([idle])["pools"][0]
        self.assertEqual((pool["served_fleet_units"], pool["debt_s"]), (40.0, None))
