"""Guards against groups that lose entries or stop when members are replaced or fall silent."""

from __future__ import annotations

import random
import unittest

from camphorvalve.consensus.events import Confirm
from camphorvalve.consensus.members import host_of, is_quorum
from tests.consensus.pump import TIMING, Faults, Pump

LOST = TIMING._replace(member_lost_s=5.0)
FIVE = ("a", "b", "c", "d", "e")


def members(pump: Pump) -> set[str]:
    return {host_of(one) for one in pump.settle().replica.state.log.members}


class LostMemberTest(unittest.TestCase):
    def test_silent_member_leaves(self) -> None:
        """Guards against replaced machines that keep their votes until no majority is left."""
        pump = Pump(FIVE, timing=LOST)
        silent = next(host for host in FIVE if host != pump.settle().host_id)
        pump.crash(silent)
        pump.run(4.0)
        self.assertEqual(members(pump), set(FIVE))
        pump.run(3.0)
        self.assertEqual(members(pump), set(FIVE) - {silent})

    def test_replaced_again_and_again(self) -> None:
        """Guards against a group that stops after more replacements than it has members."""
        pump = Pump(FIVE, timing=LOST)
        for number in range(8):
            pump.settle()
            pump.propose(f"before {number}")
            pump.run(0.5)
            gone = sorted(members(pump))[0]
            pump.crash(gone)
            pump.add(f"new{number}")
            pump.run(10.0)
            self.assertNotIn(gone, members(pump))
            self.assertIn(f"new{number}", members(pump))
        pump.check()

    def test_back_again(self) -> None:
        """Guards against a member that was only cut off and stays out of the group."""
        pump = Pump(FIVE, timing=LOST)
        cut = next(host for host in FIVE if host != pump.settle().host_id)
        pump.nodes[cut].cut = True
        pump.run(8.0)
        self.assertNotIn(cut, members(pump))
        identity = pump.nodes[cut].replica.state.identity
        pump.nodes[cut].cut = False
        pump.run(4.0)
        self.assertIn(identity, pump.settle().replica.state.log.members)
        pump.check()

    def test_small_group_keeps_members(self) -> None:
        """Guards against a group of two, in which one more loss stops everything."""
        pump = Pump(timing=LOST)
        silent = next(host for host in pump.nodes if host != pump.settle().host_id)
        pump.crash(silent)
        pump.run(20.0)
        self.assertEqual(members(pump), {"a", "b", "c"})

    def test_minority_removes_nobody(self) -> None:
        """Guards against the smaller side of a cut that shrinks the group to itself."""
        pump = Pump(FIVE, timing=LOST)
        leader = pump.settle().host_id
        other = next(host for host in FIVE if host != leader)
        majority = set(FIVE) - {leader, other}
        for host in majority:
            pump.blocked |= {(host, leader), (leader, host), (host, other), (other, host)}
        pump.run(12.0)
        small = pump.nodes[leader].replica.state
        self.assertEqual({host_of(one) for one in small.log.members}, set(FIVE))
        pump.blocked.clear()
        pump.run(6.0)
        self.assertEqual(members(pump), set(FIVE))
        pump.check()

    def test_random_losses(self) -> None:
        """Guards against committed entries that are lost while members leave and come back."""
        for seed in range(25):
            with self.subTest(seed=seed):
                source = random.Random(seed)
                pump = Pump(FIVE, seed=seed, timing=LOST)
                pump.faults = Faults(loss_ratio=0.02, repeat_ratio=0.02)
                pump.settle()
                for number in range(12):
                    pump.propose(f"entry {number}")
                    host = source.choice(sorted(pump.nodes))
                    match source.randrange(4):
                        case 0:
                            pump.nodes[host].cut = not pump.nodes[host].cut
                        case 1:
                            pump.restart(host)
                        case 2 if pump.nodes[host].cut:
                            pump.lose_disk(host) if self._may_lose(pump, host) else None
                        case _:
                            pass
                    pump.run(source.uniform(0.1, 3.0))
                    pump.check()
                for node in pump.nodes.values():
                    node.cut = False
                pump.settle()
                pump.run(5.0)
                pump.check()

    def _may_lose(self, pump: Pump, host: str) -> bool:
        """Tell whether every committed entry stays on a majority without this disk."""
        leader = pump.leader()
        if leader is None:
            return False
        log = leader.replica.state.log
        holding = [
            node.replica.state.identity
            for node in pump.nodes.values()
            if node.host_id != host
            and node.replica.state.synced_index >= leader.replica.state.commit_index
        ]
        return is_quorum(log.members, holding)


class ConfirmTest(unittest.TestCase):
    def test_replaced_leader_confirms_nothing(self) -> None:
        """Guards against an old leader that answers a read after it was frozen."""
        pump = Pump(FIVE)
        old = pump.settle()
        old.frozen = True
        pump.run(6.0)
        pump.propose("newer")
        pump.run(0.5)
        old.frozen = False
        read_s = pump.now_s
        driver = old.driver
        self.assertIsNotNone(driver)
        list(driver.step(Confirm(), read_s))
        confirmed_s = old.replica.confirmed_s(read_s)
        self.assertTrue(confirmed_s is None or confirmed_s <= read_s)
        pump.resume(old.host_id)
        pump.run(1.0)
        self.assertIsNone(old.replica.confirmed_s(pump.now_s))

    def test_leader_confirms_at_once(self) -> None:
        """Guards against reads that wait for the next heartbeat."""
        pump = Pump(FIVE)
        leader = pump.settle()
        read_s = pump.now_s
        for report in leader.driver.step(Confirm(), read_s):
            pump._send(report.message, host_of(report.message.receiver))
        pump.run(0.06)
        self.assertGreaterEqual(leader.replica.confirmed_s(pump.now_s), read_s)


if __name__ == "__main__":
    unittest.main()
