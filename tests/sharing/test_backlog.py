"""Guards the order in which the requests of one team are granted, and the sizes of the queues."""

from __future__ import annotations

import unittest

from camphorvalve.model.teams import Urgency
from camphorvalve.sharing.affinity import HINT_LIFETIME_S, HINTS_COUNT, PrefixAffinity
from camphorvalve.sharing.backlog import AFFINITY_WINDOW_COUNT, OLDEST_EVERY_COUNT, Backlog, Waiter
from camphorvalve.sharing.ledger import TeamKey
from tests.builders import POOL, a_waiter

KEY = TeamKey(POOL, "perth-youth")
LIVE = frozenset({"engine-1", "engine-2"})


def _pick(backlog: Backlog, upstream_id: str = "engine-1") -> Waiter:
    waiter = backlog.pick(KEY, upstream_id, LIVE)
    assert waiter is not None
    return waiter


class BacklogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.backlog = Backlog()

    def _add(self, **fields: object) -> Waiter:
        waiter = a_waiter(**fields)
        self.backlog.add(waiter)
        return waiter

    def test_the_most_urgent_and_then_the_oldest_goes_first(self) -> None:
        deferrable = self._add(urgency=Urgency.DEFERRABLE)
        first, second = self._add(urgency=Urgency.URGENT), self._add(urgency=Urgency.URGENT)
        self.assertEqual([_pick(self.backlog) for _ in range(3)], [first, second, deferrable])

    def test_the_least_urgent_kind_keeps_a_floor_in_a_flood_of_urgent_work(self) -> None:
        deferrable = self._add(urgency=Urgency.DEFERRABLE)
        for _ in range(2 * OLDEST_EVERY_COUNT):
            self._add(urgency=Urgency.URGENT)
        picked = [_pick(self.backlog) for _ in range(OLDEST_EVERY_COUNT)]
        self.assertIn(deferrable, picked)

    def test_a_cached_prefix_decides_among_the_first_few_only(self) -> None:
        waiters = [self._add() for _ in range(AFFINITY_WINDOW_COUNT + 1)]
        waiters[-1].affine_upstream = "engine-1"
        waiters[2].affine_upstream = "engine-1"
        self.assertIs(_pick(self.backlog), waiters[2])
        self.assertIs(_pick(self.backlog, "engine-2"), waiters[0])

    def test_a_request_avoids_upstreams_that_failed_it_unless_all_did(self) -> None:
        cases = {
            # name: (upstreams that failed, live ones, whether a grant of engine-1 is used)
            "another upstream is left": ({"engine-1"}, LIVE, False),
            "only upstream": ({"engine-1"}, {"engine-1"}, True),
            "all have failed": (LIVE, LIVE, True),
            "nothing failed": ((), {"engine-1"}, True),
        }
        for name, (excluded, live, used) in cases.items():
            with self.subTest(name):
                self.backlog = Backlog()
                self._add(excluded_upstreams=frozenset(excluded))
                picked = self.backlog.pick(KEY, "engine-1", frozenset(live))
                self.assertEqual(picked is not None, used)

    def test_sizes_follow_every_change(self) -> None:
        first, _ = self._add(size_bytes=3), self._add(size_bytes=4)
        self.assertEqual(self.backlog.total, (2, 7))
        self.backlog.remove(first)
        self.backlog.remove(first)
        self.assertEqual(self.backlog.team_size("perth-youth"), (1, 4))
        _pick(self.backlog)
        self.assertEqual(self.backlog.total, (0, 0))

    def test_accepted_work_is_never_shed(self) -> None:
        self._add(accepted=True)
        self.assertIsNone(self.backlog.newest("perth-youth", "draft"))


class AffinityTest(unittest.TestCase):
    def test_hints_age_and_are_bounded(self) -> None:
        affinity = PrefixAffinity()
        affinity.note("p", "engine-1", 0.0)
        self.assertEqual(affinity.upstream_of("p", 1.0), "engine-1")
        self.assertIsNone(affinity.upstream_of("p", HINT_LIFETIME_S + 1.0))
        for number in range(HINTS_COUNT):
            affinity.note(f"p{number}", "engine-1", 2.0)
        self.assertIsNone(affinity.upstream_of("p", 2.0))
