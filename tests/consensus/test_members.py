"""Tests that entries and availability survive when members are replaced or become unreachable."""

from __future__ import annotations

import random
import unittest

from camphorvalve.consensus.events import ConfirmLeadership
from camphorvalve.consensus.members import host_of, is_quorum
from tests.consensus.cluster import TIMING, Cluster, Faults, voters

REMOVAL_TIMING = TIMING._replace(member_lost_s=5.0)
FIVE_HOSTS = ("a", "b", "c", "d", "e")


class LostMemberTest(unittest.TestCase):
    def test_silent_member_is_removed(self) -> None:
        """Guards against members of replaced hosts that stay voters until no majority is left."""
        cluster = Cluster(FIVE_HOSTS, timing=REMOVAL_TIMING)
        silent = next(host for host in FIVE_HOSTS if host != cluster.wait_for_leader().host_id)
        cluster.crash(silent)
        cluster.run(4.0)
        self.assertEqual(voters(cluster), set(FIVE_HOSTS))
        cluster.run(3.0)
        self.assertEqual(voters(cluster), set(FIVE_HOSTS) - {silent})

    def test_repeated_replacements(self) -> None:
        """Guards against a cluster that stops after more replacements than it has members."""
        cluster = Cluster(FIVE_HOSTS, timing=REMOVAL_TIMING)
        for number in range(8):
            cluster.wait_for_leader()
            cluster.propose(f"before {number}")
            cluster.run(0.5)
            removed = sorted(voters(cluster))[0]
            cluster.crash(removed)
            cluster.add(f"new{number}")
            cluster.run(10.0)
            self.assertNotIn(removed, voters(cluster))
            self.assertIn(f"new{number}", voters(cluster))
        cluster.check_applied_commands()

    def test_removed_member_rejoins(self) -> None:
        """Guards against an isolated member that never rejoins after its removal."""
        cluster = Cluster(FIVE_HOSTS, timing=REMOVAL_TIMING)
        isolated = next(host for host in FIVE_HOSTS if host != cluster.wait_for_leader().host_id)
        cluster.nodes[isolated].isolated = True
        cluster.run(8.0)
        self.assertNotIn(isolated, voters(cluster))
        identity = cluster.nodes[isolated].replica.state.identity
        cluster.nodes[isolated].isolated = False
        cluster.run(4.0)
        self.assertIn(identity, cluster.wait_for_leader().replica.state.log.members)
        cluster.check_applied_commands()

    def test_small_group_keeps_members(self) -> None:
        """Guards against removal down to two members, where one more failure ends the majority."""
        cluster = Cluster(timing=REMOVAL_TIMING)
        silent = next(host for host in cluster.nodes if host != cluster.wait_for_leader().host_id)
        cluster.crash(silent)
        cluster.run(20.0)
        self.assertEqual(voters(cluster), {"a", "b", "c"})

    def test_minority_removes_nobody(self) -> None:
        """Guards against a minority partition that removes the members of the majority."""
        cluster = Cluster(FIVE_HOSTS, timing=REMOVAL_TIMING)
        leader = cluster.wait_for_leader().host_id
        other = next(host for host in FIVE_HOSTS if host != leader)
        majority = set(FIVE_HOSTS) - {leader, other}
        for host in majority:
            cluster.blocked_links |= {(host, leader), (leader, host), (host, other), (other, host)}
        cluster.run(12.0)
        minority_state = cluster.nodes[leader].replica.state
        self.assertEqual(
            {host_of(member) for member in minority_state.log.members}, set(FIVE_HOSTS)
        )
        cluster.blocked_links.clear()
        cluster.run(6.0)
        self.assertEqual(voters(cluster), set(FIVE_HOSTS))
        cluster.check_applied_commands()

    def test_random_losses(self) -> None:
        """Guards against committed entries that are lost while members are removed and rejoin."""
        for seed in range(25):
            with self.subTest(seed=seed):
                source = random.Random(seed)
                cluster = Cluster(FIVE_HOSTS, seed=seed, timing=REMOVAL_TIMING)
                cluster.faults = Faults(loss_ratio=0.02, duplicate_ratio=0.02)
                cluster.wait_for_leader()
                for number in range(12):
                    cluster.propose(f"entry {number}")
                    host = source.choice(sorted(cluster.nodes))
                    match source.randrange(4):
                        case 0:
                            cluster.nodes[host].isolated = not cluster.nodes[host].isolated
                        case 1:
                            cluster.restart(host)
                        case 2 if cluster.nodes[host].isolated:
                            cluster.lose_disk(host) if self._may_lose_disk(cluster, host) else None
                        case _:
                            pass
                    cluster.run(source.uniform(0.1, 3.0))
                    cluster.check_applied_commands()
                for node in cluster.nodes.values():
                    node.isolated = False
                cluster.wait_for_leader()
                cluster.run(5.0)
                cluster.check_applied_commands()

    def _may_lose_disk(self, cluster: Cluster, host: str) -> bool:
        """Check that a majority holds every committed entry even without this disk."""
        leader = cluster.leader()
        if leader is None:
            return False
        log = leader.replica.state.log
        holders = [
            node.replica.state.identity
            for node in cluster.nodes.values()
            if node.host_id != host
            and node.replica.state.synced_index >= leader.replica.state.commit_index
        ]
        return is_quorum(log.members, holders)


class ConfirmTest(unittest.TestCase):
    def test_replaced_leader_confirms_nothing(self) -> None:
        """Guards against a stale read: a replaced leader resumes and confirms its leadership."""
        cluster = Cluster(FIVE_HOSTS)
        old = cluster.wait_for_leader()
        old.frozen = True
        cluster.run(6.0)
        cluster.propose("newer")
        cluster.run(0.5)
        old.frozen = False
        read_s = cluster.now_s
        driver = old.driver
        self.assertIsNotNone(driver)
        list(driver.step(ConfirmLeadership(), read_s))
        majority_acked_s = old.replica.majority_acked_s(read_s)
        self.assertTrue(majority_acked_s is None or majority_acked_s <= read_s)
        cluster.unfreeze(old.host_id)
        cluster.run(1.0)
        self.assertIsNone(old.replica.majority_acked_s(cluster.now_s))

    def test_leader_confirms_at_once(self) -> None:
        """Guards against reads that are delayed until the next heartbeat."""
        cluster = Cluster(FIVE_HOSTS)
        leader = cluster.wait_for_leader()
        read_s = cluster.now_s
        for output in leader.driver.step(ConfirmLeadership(), read_s):
            cluster._send(output.message, host_of(output.message.receiver))
        cluster.run(0.06)
        self.assertGreaterEqual(leader.replica.majority_acked_s(cluster.now_s), read_s)


if __name__ == "__main__":
    unittest.main()
