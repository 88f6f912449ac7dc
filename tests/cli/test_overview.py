"""Guards against a status that hides a lost process, or trusts a leader that was replaced."""

from __future__ import annotations

import unittest
from typing import Any

from camphorvalve.cli.overview import members, processes
from camphorvalve.cli.replies import Reply, no_answer
from tests.builders import a_controller_status, a_router_status

NAMES = ("id", "role", "revision", "lag", "heard_s", "cut_off")


def _lost(url: str) -> Reply:
    return Reply(url, 0, no_answer(ConnectionError("refused")), sent=False)


def _shown(rows: Any) -> list[tuple[Any, ...]]:
    return [tuple(row[name] for name in NAMES) for row in rows]


class OverviewTest(unittest.TestCase):
    def test_every_process_has_a_row(self) -> None:
        leader = a_controller_status("controller-1", leads=True, silent={"router-2": 9.04})
        replies = [
            Reply("http://controller-1", 200, leader),
            _lost("http://controller-2/"),
            Reply("http://router-1", 200, a_router_status("router-1", revision=5)),
            _lost("http://unknown"),
        ]
        expected = [
            ("controller-1", "leader", 7, 0, 0.0, False),
            ("controller-2", "controller", None, None, 0.2, True),
            ("router-1", "router", 5, 2, 0.5, False),
            (None, None, None, None, None, True),
            ("router-2", "router", 6, 1, 9.0, True),
        ]
        self.assertEqual(_shown(processes(replies)), expected)

    def test_the_newest_leader_is_believed(self) -> None:
        old = a_controller_status("controller-2", leads=True, term=3, silent={"router-1": 60.0})
        new = a_controller_status("controller-1", leads=True, term=4)
        follower = a_controller_status("controller-2", leads=False, term=5)
        router = Reply("http://router-1", 200, a_router_status("router-1"))
        for bodies, heard_s in (((old, new), 0.5), ((new, follower), 0.5), ((follower,), None)):
            replies = [Reply(f"http://{one['host_id']}", 200, one) for one in bodies]
            row = processes([*replies, router])[len(bodies)]
            self.assertEqual((row["heard_s"], row["cut_off"]), (heard_s, False))
        roles = [(row["host"], row["role"]) for row in members(replies)]
        self.assertEqual(roles, [("controller-1", "voter"), ("controller-2", "learner")])
