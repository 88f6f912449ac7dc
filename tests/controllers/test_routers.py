"""Guards against slots that stay idle while requests wait, leak, or go to lost members."""

from __future__ import annotations

import unittest

from camphorvalve.model.hosts import HostState
from camphorvalve.wire.messages import Grant, GrantReturn, Progress
from tests.builders import an_upstream
from tests.controllers.routers import RouterGroup, engines

IDS = ("router-1", "router-2", "router-3")


def _others(router_id: str) -> list[str]:
    return [other for other in IDS if other != router_id]


class SlotsTest(unittest.TestCase):
    def test_a_request_gets_a_slot_wherever_it_waits(self) -> None:
        for router_id in IDS:
            with self.subTest(router_id):
                routers = RouterGroup(IDS, engines(1))
                waiter = routers.add(router_id)
                self.assertIsNotNone(waiter.grant)

    def test_runs_never_exceed_slots_and_a_freed_slot_is_reused(self) -> None:
        routers = RouterGroup(IDS, engines(1, slots_count=2))
        waiters = [routers.add(router_id) for router_id in IDS]
        granted = [waiter for waiter in waiters if waiter.grant]
        self.assertEqual(len(granted), 2)
        router_id = IDS[waiters.index(granted[0])]
        routers.end(router_id, routers.begin(router_id, granted[0]))
        routers.run(0.1)
        self.assertTrue(all(waiter.grant for waiter in waiters))

    def test_every_slot_of_the_pool_is_found_by_one_team(self) -> None:
        # The team is announced to few schedulers at first; those with free slots ask for more.
        routers = RouterGroup(IDS, engines(6, slots_count=2))
        waiters = [routers.add("router-1") for _ in range(12)]
        routers.run(2.0)
        self.assertTrue(all(waiter.grant for waiter in waiters))

    def test_lost_messages_cost_a_slot_for_a_bounded_time(self) -> None:
        for message_type in (Grant, GrantReturn, Progress):
            with self.subTest(message_type.__name__):
                routers = RouterGroup(IDS, engines(1, slots_count=1))
                routers.dropped_types = {message_type}
                first = routers.add("router-1")
                if first.grant is not None:
                    routers.end("router-1", routers.begin("router-1", first))
                routers.run(0.5)
                routers.dropped_types = set()
                second = routers.add("router-2")
                routers.run(8.0)
                self.assertIsNotNone(second.grant)

    def test_a_long_run_keeps_its_slot(self) -> None:
        routers = RouterGroup(IDS, engines(1, slots_count=1))
        first = routers.add("router-1")
        routers.begin("router-1", first)
        second = routers.add("router-2")
        routers.run(20.0)
        self.assertIsNone(second.grant)


class FaultTest(unittest.TestCase):
    def test_the_next_router_takes_over_from_a_lost_scheduler(self) -> None:
        routers = RouterGroup(IDS, engines(1, slots_count=2))
        scheduler_id = routers.scheduler_id("engine-1")
        entry_id, other_id = _others(scheduler_id)
        routers.begin(entry_id, routers.add(entry_id))
        routers.disconnected = {scheduler_id}
        waiters = [routers.add(other_id) for _ in range(3)]
        started = {}
        for _ in range(20):
            routers.run(0.5)
            for position, waiter in enumerate(waiters):
                if waiter.grant is not None and position not in started:
                    started[position] = routers.begin(other_id, waiter)
        # The new scheduler may grant both slots before it learns of the run in progress.
        self.assertIn(len(started), (1, 2))
        if len(started) == 2:
            routers.end(other_id, next(iter(started.values())))
            routers.run(1.0)
        # The new scheduler adopts the run of the entry router, which holds one of the two slots.
        self.assertEqual([waiter.grant is not None for waiter in waiters].count(True), len(started))

    def test_slots_of_a_restarted_entry_router_are_free_again(self) -> None:
        routers = RouterGroup(IDS, engines(1, slots_count=1))
        scheduler_id = routers.scheduler_id("engine-1")
        entry_id, other_id = _others(scheduler_id)
        routers.begin(entry_id, routers.add(entry_id))
        waiting = routers.add(other_id)
        routers.run(2.0)
        self.assertIsNone(waiting.grant)
        routers.start(entry_id)
        routers.run(5.0)
        self.assertIsNotNone(waiting.grant)

    def test_leaving_upstreams_get_no_new_requests(self) -> None:
        leaving = an_upstream("engine-1", state=HostState.LEAVING)
        routers = RouterGroup(IDS, engines(2, slots_count=8))
        for parts in routers.parts.values():
            parts.membership.apply_feed([], [leaving])
        waiters = [routers.add("router-1") for _ in range(8)]
        routers.run(1.0)
        used = {waiter.grant.upstream_id for waiter in waiters if waiter.grant}
        self.assertEqual(used, {"engine-2"})

    def test_a_drained_upstream_gets_no_new_requests(self) -> None:
        routers = RouterGroup(IDS, engines(1))
        for parts in routers.parts.values():
            parts.membership.set_draining(frozenset({"engine-1"}))
        waiter = routers.add("router-1")
        routers.run(1.0)
        self.assertIsNone(waiter.grant)

    def test_one_router_alone_does_not_eject_an_upstream(self) -> None:
        routers = RouterGroup(IDS, engines(1, slots_count=4))
        first = routers.add("router-1")
        demand = routers.parts["router-1"].demand
        assert first.grant is not None
        routers.send("router-1", demand.returned(first.grant, first.scheduler_id, True))
        again, other = routers.add("router-1"), routers.add("router-2")
        routers.run(1.0)
        self.assertIsNone(again.grant)
        self.assertIsNotNone(other.grant)

    def test_two_routers_eject_an_upstream_for_a_while(self) -> None:
        routers = RouterGroup(IDS, engines(1, slots_count=4))
        for router_id in IDS[:2]:
            waiter = routers.add(router_id)
            assert waiter.grant is not None
            demand = routers.parts[router_id].demand
            routers.send(router_id, demand.returned(waiter.grant, waiter.scheduler_id, True))
        third = routers.add("router-3")
        routers.run(1.0)
        self.assertIsNone(third.grant)
        routers.run(8.0)
        self.assertIsNotNone(third.grant)

    def test_a_disconnected_router_serves_its_own_callers(self) -> None:
        routers = RouterGroup(IDS, engines(3))
        routers.disconnected = {"router-3"}
        routers.run(12.0)
        waiters = [routers.add(router_id) for router_id in IDS]
        routers.run(3.0)
        self.assertTrue(all(waiter.grant for waiter in waiters))
        routers.disconnected = set()
        routers.run(12.0)
        views = [
            {host.host_id for host in parts.membership.live_routers()}
            for parts in routers.parts.values()
        ]
        self.assertEqual(views, [set(IDS)] * 3)

    def test_a_leaving_router_schedules_nothing_and_still_serves(self) -> None:
        routers = RouterGroup(IDS, engines(2))
        scheduler_id = routers.scheduler_id("engine-1")
        routers.parts[scheduler_id].membership.set_leaving()
        routers.run(2.5)
        waiter = routers.add(scheduler_id)
        routers.run(1.0)
        self.assertIsNotNone(waiter.grant)
        self.assertNotEqual(routers.scheduler_id("engine-1"), scheduler_id)
