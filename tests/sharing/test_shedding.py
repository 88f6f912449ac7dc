"""Guards against a flood that displaces other waiting work, and against needless rejections."""

from __future__ import annotations

import unittest
from collections import Counter

from camphorvalve.model.teams import Limits, Urgency
from camphorvalve.sharing.shedding import Admit, Reject, Shed, decide
from tests.builders import a_backlog, an_incoming_request, queue_bounds, sheddable_requests

URGENCIES = {"chat": Urgency.URGENT, "draft": Urgency.NORMAL, "summary": Urgency.DEFERRABLE}


def _sheddable(team: str, kind: str, count: int, **fields):
    return sheddable_requests(team=team, kind=kind, urgency=URGENCIES[kind], count=count, **fields)


def _incoming(team: str, kind: str, **fields):
    return an_incoming_request(team=team, kind=kind, urgency=URGENCIES[kind], **fields)


class DecideTest(unittest.TestCase):
    def test_decisions(self) -> None:
        full_a = [_sheddable("a", "summary", 20)]
        single = _sheddable("other-8", "draft", 1)
        most_of_a = _sheddable("a", "draft", 19)
        crowd = [_sheddable(f"other-{number}", "draft", 10) for number in range(8)]
        flood = [_sheddable("a", "chat", 18), _sheddable("a", "summary", 2)]
        small = sheddable_requests(team="small", share=0.02, count=1)
        cases = [
            ("room for all", _incoming("a", "draft"), [], None, Admit()),
            ("body too large", _incoming("a", "draft", size_bytes=51), [], None, "too_large"),
            ("predicted wait at the objective", _incoming("a", "draft"), [], 10.0, Admit()),
            (
                "predicted wait above the objective",
                _incoming("a", "draft"),
                [],
                10.1,
                "wait_too_long",
            ),
            ("deferred work may wait", _incoming("a", "draft", objective_s=None), [], 99, Admit()),
            ("team full, same kind", _incoming("a", "summary"), full_a, None, "queue_full"),
            ("team full, more urgent", _incoming("a", "chat"), full_a, None, Shed("a", "summary")),
            ("team full, other team", _incoming("b", "summary"), full_a, None, Admit()),
            ("urgent flood", _incoming("a", "chat"), flood, None, "queue_full"),
            (
                "least urgent kind above its floor",
                _incoming("a", "summary"),
                flood,
                None,
                "queue_full",
            ),
            (
                "less urgent kinds below their floor",
                _incoming("a", "draft"),
                flood,
                None,
                Shed("a", "chat"),
            ),
            ("router full", _incoming("b", "draft"), full_a + crowd, None, Shed("a", "summary")),
            (
                "incoming request floods",
                _incoming("a", "draft"),
                [most_of_a, *crowd, single],
                None,
                "queue_full",
            ),
            (
                "small team within its share",
                _incoming("other-0", "draft"),
                [*full_a, small, *crowd],
                None,
                Shed("a", "summary"),
            ),
            (
                "router full by bytes",
                _incoming("b", "draft"),
                [
                    _sheddable("a", "draft", 5, size_bytes=995),
                    _sheddable("b", "draft", 6, size_bytes=0),
                ],
                None,
                Shed("a", "draft"),
            ),
        ]
        for name, incoming, sheddable, wait_s, expected in cases:
            with self.subTest(name):
                backlog = a_backlog(*sheddable, team=incoming.team, wait_s=wait_s)
                decision = decide(incoming, backlog, queue_bounds())
                if isinstance(expected, str):
                    self.assertIsInstance(decision, Reject)
                    self.assertEqual(decision.code, expected)
                    expected_retry = None if expected == "too_large" else 1.0
                    self.assertEqual(decision.retry_after_s, expected_retry)
                else:
                    self.assertEqual(decision, expected)

    def test_a_flood_takes_no_room_from_other_work(self) -> None:
        """Guards against rejecting others' work during a flood: of 50 requests, 49 are the flooding
        team's of one kind, the other one is of each team and kind in turn."""
        for flooding_kind in URGENCIES:
            with self.subTest(flooding_kind):
                waiting, rejected = Counter(), Counter()
                bounds = queue_bounds(limits=Limits(100, 10_000, 50))
                for number in range(2000):
                    if number % 50:
                        team, kind = "flood", flooding_kind
                    else:
                        team = ("flood", "other-1", "other-2")[number // 50 % 3]
                        kind = list(URGENCIES)[number // 150 % 3]
                    self._offer(team, kind, waiting, rejected, bounds)
                rejected_others = {
                    key: count for key, count in rejected.items() if key != ("flood", flooding_kind)
                }
                self.assertEqual(rejected_others, {})
                self.assertEqual(waiting.total(), 100)

    def _offer(self, team, kind, waiting, rejected, bounds) -> None:
        for _ in range(10):
            sheddable = [_sheddable(*key, count) for key, count in waiting.items()]
            backlog = a_backlog(*sheddable, team=team)
            match decide(_incoming(team, kind), backlog, bounds):
                case Admit():
                    waiting[team, kind] += 1
                    return
                case Shed(other_team, other_kind):
                    waiting[other_team, other_kind] -= 1
                    rejected[other_team, other_kind] += 1
                case Reject():
                    rejected[team, kind] += 1
                    return
        self.fail("no final decision after ten shed requests")
