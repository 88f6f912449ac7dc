"""Guards against routers that do not learn which parts crash upstreams, and costly exchange."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.runtime import Sender
from camphorvalve.controllers.suspects import (
    MAX_REPEATS_COUNT,
    POLL_LIFETIME_S,
    SuspectsFollower,
    SuspectsPublisher,
)
from camphorvalve.model.requests import REQUEST_KEY_PREFIX
from camphorvalve.sharing.suspectends import LIFETIME_S
from camphorvalve.sharing.suspects import (
    MAX_PARTS_COUNT,
    TRIM_COUNT,
    Condemned,
    Sound,
    Suspected,
)
from camphorvalve.wire.codec import Envelope, EnvelopeCodec
from camphorvalve.wire.messages import MESSAGES, SuspectPoll, SuspectReport, SuspectUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

    from camphorvalve.controllers.runtime import Outgoing

REQUEST = REQUEST_KEY_PREFIX + "r"
CODEC = EnvelopeCodec(MESSAGES)
CONTROLLER_IDS = ("10.1.0.17:7140", "10.2.0.20:7140", "10.3.0.27:7140")


class SuspectsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        self.controllers = {host_id: SuspectsPublisher() for host_id in CONTROLLER_IDS}
        self.routers = {f"r-{number}": self.new_router() for number in range(3)}
        self.sent: list[Any] = []

    def new_router(self) -> SuspectsFollower:
        return SuspectsFollower(lambda: CONTROLLER_IDS)

    def deliver(self, sender_id: str, outgoing: Iterable[Outgoing]) -> None:
        """Deliver messages and the replies to them, encoded as on the wire."""
        for peer_id, message in outgoing:
            frame = CODEC.encode(Envelope(sender_id, 1, message))
            self.sent.append(message)
            peer = self.controllers.get(peer_id) or self.routers[peer_id]
            received = CODEC.decode(frame).message
            self.deliver(peer_id, list(peer.handle(Sender(sender_id, 1), received, self.now_s)))

    def tick(self, after_s: float = 1.0) -> None:
        self.now_s += after_s
        for host_id, process in {**self.controllers, **self.routers}.items():
            self.deliver(host_id, list(process.tick(self.now_s)))

    def end(self, router_id: str, upstream: str, *part_ids: str, after_s: float = 1.0) -> None:
        self.now_s += after_s
        outgoing = self.routers[router_id].record_end(part_ids, upstream, self.now_s)
        self.deliver(router_id, list(outgoing))

    def condemn(self) -> None:
        self.tick()
        for number, router_id in enumerate(self.routers):
            self.end(router_id, f"up-{number}", "first", "deadly")
            for answering in self.routers.values():
                outgoing = answering.record_answer(("first",), "up-9", self.now_s + 0.1, self.now_s)
                self.deliver(router_id, list(outgoing))

    def verdicts(self) -> list[Any]:
        return [router.judge(("first", "deadly")) for router in self.routers.values()]

    def test_routers_see_one_crash_each(self) -> None:
        """Guards against verdicts that need one router to see all the crashes."""
        self.condemn()
        self.assertEqual(self.verdicts(), [Condemned("deadly")] * 3)
        for controller in self.controllers.values():
            self.assertLessEqual(controller.condemned_count(), 1)
        self.assertEqual(self.routers["r-0"].judge(("first",)), Sound())

    def test_a_restarted_router(self) -> None:
        """Guards against a router that starts without the verdict for longer than a poll."""
        self.condemn()
        self.routers["r-1"] = self.new_router()
        self.assertEqual(self.verdicts()[1], Sound())
        self.tick()
        self.assertEqual(self.verdicts()[1], Condemned("deadly"))

    def test_restarted_controllers(self) -> None:
        """Guards against controllers that lose ends that the routers still know."""
        self.tick()
        self.end("r-0", "up-0", "deadly")
        self.end("r-1", "up-1", "deadly")
        for host_id in CONTROLLER_IDS:
            self.controllers[host_id] = SuspectsPublisher()
        self.tick()
        self.tick()
        self.end("r-2", "up-2", "deadly", after_s=0.1)
        self.assertEqual(self.verdicts(), [Condemned("deadly")] * 3)

    def test_a_single_end_survives_a_restart(self) -> None:
        """Guards against forgetting the ends of parts that are not suspected yet."""
        self.tick()
        self.end("r-0", "up-0", "deadly")
        for host_id in CONTROLLER_IDS:
            self.controllers[host_id] = SuspectsPublisher()
        self.tick()
        self.end("r-1", "up-1", "deadly")
        self.end("r-2", "up-2", "deadly")
        self.assertEqual(self.verdicts(), [Condemned("deadly")] * 3)

    def test_an_answer_elsewhere(self) -> None:
        """Guards against a verdict on a part that another router was answered on meanwhile."""
        self.tick()
        self.end("r-0", "up-0", "rare")
        self.now_s += 0.5
        outgoing = self.routers["r-1"].record_answer(("rare",), "up-9", self.now_s, self.now_s)
        self.deliver("r-1", list(outgoing))
        self.end("r-0", "up-1", "rare")
        self.end("r-2", "up-2", "rare")
        for router in self.routers.values():
            self.assertFalse(isinstance(router.judge(("rare",)), Condemned))
        self.assertEqual({c.condemned_count() for c in self.controllers.values()}, {0})

    def test_a_lost_first_answer(self) -> None:
        """Guards against a restarted router that lacks the verdict for a whole poll interval."""
        self.condemn()
        router = self.routers["r-1"] = self.new_router()
        first = list(router.tick(self.now_s))
        self.assertLess(router.tick_s, 0.5)
        for controller_id, poll in first:
            # These answers are lost.
            list(self.controllers[controller_id].handle(Sender("r-1", 2), poll, self.now_s))
        self.deliver("r-1", list(router.tick(self.now_s)))
        self.assertEqual(router.judge(("deadly",)), Condemned("deadly"))
        self.assertEqual(router.tick_s, 1.0)

    def test_lost_reports(self) -> None:
        """Guards against controllers that learn of an end seconds after its report was lost, and
        against a router that asks without end."""
        self.tick()
        router = self.routers["r-0"]
        list(router.record_end(("deadly",), "up-0", self.now_s))
        for _ in range(3):
            # The polls are lost as well.
            self.assertLess(router.tick_s, 0.5)
            list(router.tick(self.now_s))
        for _ in range(2):
            self.assertLess(router.tick_s, 0.5)
            self.deliver("r-0", list(router.tick(self.now_s)))
        self.assertEqual(router.tick_s, 1.0)
        counts = [controller._record.count("deadly") for controller in self.controllers.values()]
        self.assertEqual(sorted(counts), [0, 1, 1])
        list(router.record_end(("deadly",), "up-1", self.now_s))
        for _ in range(MAX_REPEATS_COUNT):
            list(router.tick(self.now_s))
        self.assertEqual(router.tick_s, 1.0)

    def test_a_request_that_is_suspected_elsewhere(self) -> None:
        """Guards against a router that saw one of the ends and runs the request until its next
        poll as any other."""
        self.tick()
        for number in range(3):
            self.end(f"r-{number}", f"up-{number}", REQUEST, after_s=0.1)
        self.assertEqual(self.routers["r-2"].judge((REQUEST,)), Suspected((REQUEST,)))

    def test_answers_that_clear_a_part_elsewhere(self) -> None:
        """Guards against a router that refuses a part which another router has cleared end by end,
        before the controllers had to tell anybody of it."""
        self.tick()
        for number in range(4):
            self.end("r-0", f"up-{number}", "first")
            self.end("r-1", f"up-{number}", "first", after_s=0.0)
            outgoing = self.routers["r-1"].record_answer(
                ("first",), "up-9", self.now_s + 0.1, self.now_s
            )
            self.deliver("r-1", list(outgoing))
        self.tick()
        self.assertEqual(self.routers["r-0"].judge(("first",)), Sound())

    def test_quiet_cost(self) -> None:
        """Guards against control traffic that grows while nothing ends."""
        self.tick()
        self.sent.clear()
        self.tick()
        self.assertEqual({type(message) for message in self.sent}, {SuspectPoll})
        self.assertEqual(len(self.sent), 2 * len(self.routers))
        frame = CODEC.encode(Envelope("10.1.0.14:7140", 1775018912515277, self.sent[0]))
        self.assertLess(len(frame), 64)

    def test_cost_after_a_verdict(self) -> None:
        """Guards against sending what all sides know with each poll."""
        self.condemn()
        for _ in range(3):
            self.tick()
        self.sent.clear()
        self.tick()
        self.assertEqual({type(message) for message in self.sent}, {SuspectPoll})

    def test_cost_of_a_crash(self) -> None:
        """Guards against reports of what is known, and updates on parts that are not suspected."""
        self.tick()
        self.sent.clear()
        for _ in range(20):
            self.end("r-0", "up-0", "first", "rare", after_s=0.0)
        self.assertEqual([type(message) for message in self.sent], [SuspectReport] * 2)

    def test_parts_that_the_bound_drops(self) -> None:
        """Guards against a record of verdicts that grows with the names that callers choose."""
        router = self.routers["r-0"]
        for number in range(2 * MAX_PARTS_COUNT):
            for upstream in range(2):
                list(router.record_end((f"a-{number}",), f"up-{upstream}", 100.0 + upstream))
        list(router.tick(102.0))
        self.assertLessEqual(len(router._levels._verdicts), MAX_PARTS_COUNT + TRIM_COUNT)
        list(router.tick(102.0 + LIFETIME_S))
        self.assertEqual(router._levels._verdicts, {})

    def test_a_deadly_request(self) -> None:
        """Guards against routers that learn late that a request is condemned."""
        self.tick()
        for number in range(3):
            self.end(f"r-{number}", f"up-{number}", REQUEST, after_s=0.1)
        self.tick()
        judged = [router.judge((REQUEST,)) for router in self.routers.values()]
        self.assertEqual(judged, [Suspected((REQUEST,))] * 3)
        self.end("r-0", "up-3", REQUEST)
        judged = [router.judge((REQUEST,)) for router in self.routers.values()]
        self.assertEqual(judged, [Condemned(REQUEST)] * 3)

    def test_cost_of_suspected_requests(self) -> None:
        """Guards against a message to each router for each request that waited while the upstreams
        lost power."""
        self.tick()
        self.sent.clear()
        for number in range(20):
            for upstream in range(3):
                self.end("r-0", f"up-{upstream}", f"{REQUEST}-{number}", after_s=0.0)
        self.assertEqual({type(message) for message in self.sent}, {SuspectReport})

    def test_routers_that_left(self) -> None:
        """Guards against messages to routers that have stopped."""
        self.tick()
        self.now_s += POLL_LIFETIME_S + 1.0
        for controller in self.controllers.values():
            list(controller.tick(self.now_s))
        self.sent.clear()
        for number in range(3):
            self.end("r-0", f"up-{number}", "deadly")
        self.assertFalse(any(isinstance(message, SuspectUpdate) for message in self.sent))
