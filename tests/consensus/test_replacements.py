"""Tests that a group keeps a majority of running members while its hosts are replaced in turn."""

from __future__ import annotations

import random
import unittest

from tests.consensus.cluster import TIMING, Cluster, Faults, Node, first_hosts, voters

REPLACEMENT_TIMING = TIMING._replace(member_lost_s=15.0, member_replaced_s=2.0)
CATCH_UP_S = 4.0
"""Time after the start of a successor at which the next host may be lost."""
COMMIT_LIMIT_S = 4.0
"""Time in which a command has to be committed then, as the platform's ``ackMs``."""
LONGEST_OUTAGE_S = 12.0
"""Longest silence of a host that comes back."""


def create_cluster(size: int, seed: int = 1) -> Cluster:
    return Cluster(first_hosts(size), seed=seed, timing=REPLACEMENT_TIMING)


def running_hosts(cluster: Cluster) -> list[str]:
    return sorted(host for host, node in cluster.nodes.items() if node.driver is not None)


def other_than(cluster: Cluster, leader: Node) -> str:
    return next(host for host in running_hosts(cluster) if host != leader.host_id)


class ReplacementTest(unittest.TestCase):
    def assert_commits(self, cluster: Cluster, text: str) -> None:
        """Check that a command is committed within the limit, proposed again until it is."""
        end_s = cluster.now_s + COMMIT_LIMIT_S
        while cluster.now_s < end_s:
            cluster.propose(text)
            cluster.run(0.2)
            if text.encode() in [payload for _, payload in cluster.committed.values()]:
                return
        self.fail(f"{text} is not committed within {COMMIT_LIMIT_S} s")

    def test_leaders_replaced_in_turn(self) -> None:
        """Guards against replaced hosts that stay voters until the dead form half of the group."""
        for size in (3, 5, 9):
            for start_delay_s in (1.0, 2.0):
                with self.subTest(size=size, start_delay_s=start_delay_s):
                    cluster = create_cluster(size)
                    for number in range(6):
                        lost = cluster.wait_for_leader().host_id
                        cluster.crash(lost)
                        cluster.run(start_delay_s)
                        cluster.add(f"new{number}")
                        cluster.run(CATCH_UP_S)
                        self.assert_commits(cluster, f"after loss {number}")
                    cluster.run(CATCH_UP_S)
                    self.assertEqual(voters(cluster), set(running_hosts(cluster)))
                    cluster.check_applied_commands()

    def test_followers_replaced_in_turn(self) -> None:
        """Guards against the same while one host leads all the time."""
        cluster = create_cluster(3)
        for number in range(6):
            cluster.crash(other_than(cluster, cluster.wait_for_leader()))
            cluster.run(1.0)
            cluster.add(f"new{number}")
            cluster.run(CATCH_UP_S)
            self.assert_commits(cluster, f"after loss {number}")
        self.assertEqual(voters(cluster), set(running_hosts(cluster)))

    def test_planned_replacements(self) -> None:
        """Guards against a group of three that stops after two planned replacements in 9 s."""
        for of_leader in (False, True):
            with self.subTest(of_leader=of_leader):
                cluster = create_cluster(3)
                for number in range(4):
                    leader = cluster.wait_for_leader()
                    lost = leader.host_id if of_leader else other_than(cluster, leader)
                    cluster.add(f"new{number}")
                    cluster.run(2.0)
                    cluster.crash(lost)
                    cluster.run(7.0)
                    self.assert_commits(cluster, f"after loss {number}")
                self.assertEqual(voters(cluster), set(running_hosts(cluster)))

    def test_silence_survives_elections(self) -> None:
        """Guards against a dead member that each election gives the whole time of removal anew."""
        for restarted in (False, True):
            with self.subTest(restarted=restarted):
                cluster = create_cluster(5)
                dead = other_than(cluster, cluster.wait_for_leader())
                cluster.crash(dead)
                for _ in range(5):
                    cluster.run(4.0)
                    leader = cluster.wait_for_leader().host_id
                    if restarted:
                        cluster.restart(leader)
                    else:
                        cluster.nodes[leader].isolated = True
                        cluster.run(2.0)
                        cluster.nodes[leader].isolated = False
                cluster.wait_for_leader()
                cluster.run(3.0)
                self.assertNotIn(dead, voters(cluster))

    def test_outages_remove_nobody(self) -> None:
        """Guards against the early removal of a host that is cut off, frozen, or restarts."""
        for size in (3, 5, 9):
            for outage in ("isolated", "frozen", "stopped"):
                with self.subTest(size=size, outage=outage):
                    cluster = create_cluster(size)
                    host = other_than(cluster, cluster.wait_for_leader())
                    node = cluster.nodes[host]
                    match outage:
                        case "isolated":
                            node.isolated = True
                        case "frozen":
                            node.frozen = True
                        case _:
                            cluster.crash(host)
                    cluster.run(LONGEST_OUTAGE_S)
                    self.assertIn(host, voters(cluster))
                    match outage:
                        case "isolated":
                            node.isolated = False
                        case "frozen":
                            cluster.unfreeze(host)
                        case _:
                            cluster.start(host)
                    cluster.run(CATCH_UP_S)
                    self.assertEqual(voters(cluster), set(first_hosts(size)))

    def test_leader_that_a_frozen_follower_did_not_hear(self) -> None:
        """Guards against the early removal of a leader that only a frozen follower did not hear."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                cluster = create_cluster(5, seed)
                leader = cluster.wait_for_leader()
                host = other_than(cluster, leader)
                cluster.nodes[host].frozen = True
                cluster.run(8.0)
                # Its timer fires before any message of the leader arrives.
                cluster.nodes[host].pending_messages = []
                cluster.unfreeze(host)
                cluster.run(1.0)
                leader.isolated = True
                cluster.run(LONGEST_OUTAGE_S)
                self.assertIn(leader.host_id, voters(cluster))

    def test_earlier_silence_of_a_returned_member(self) -> None:
        """Guards against a leader that uses an old report of a member that has answered since."""
        cluster = create_cluster(5)
        leader = cluster.wait_for_leader().host_id
        host = other_than(cluster, cluster.nodes[leader])
        cluster.nodes[host].isolated = True
        cluster.run(14.0)
        cluster.nodes[host].isolated = False
        cluster.run(1.0)
        cluster.crash(leader)
        cluster.nodes[host].isolated = True
        cluster.run(8.0)
        self.assertIn(host, voters(cluster))

    def test_random_replacements(self) -> None:
        """Guards against a lost majority under replacements beside elections and short splits."""
        for seed in range(12):
            with self.subTest(seed=seed):
                source = random.Random(seed)
                cluster = create_cluster(source.choice((3, 5, 9)), seed)
                cluster.faults = Faults(loss_ratio=0.02, duplicate_ratio=0.02)
                cluster.wait_for_leader()
                for number in range(6):
                    self._disturb(cluster, source)
                    self._replace(cluster, source, f"new{number}")
                    self.assert_commits(cluster, f"after loss {number}")
                    cluster.check_applied_commands()
                cluster.run(20.0)
                self.assertEqual(voters(cluster), set(running_hosts(cluster)))

    def _replace(self, cluster: Cluster, source: random.Random, successor: str) -> None:
        lost = source.choice(running_hosts(cluster))
        delay_s = source.uniform(0.5, 2.0)
        match source.randrange(4):
            case 0:
                cluster.add(successor)
                cluster.run(delay_s)
                cluster.crash(lost)
                cluster.run(2 * CATCH_UP_S)
            case 1:
                cluster.lose_disk(lost)
                cluster.run(CATCH_UP_S)
            case _:
                cluster.crash(lost)
                cluster.run(delay_s)
                cluster.add(successor)
                cluster.run(CATCH_UP_S + source.uniform(0.0, 4.0))

    def _disturb(self, cluster: Cluster, source: random.Random) -> None:
        """Cause an election, or split the group for a short time, then let all get in touch."""
        hosts = running_hosts(cluster)
        match source.randrange(4):
            case 0:
                cluster.restart(cluster.wait_for_leader().host_id)
            case 1:
                cluster.restart(source.choice(hosts))
            case 2:
                half = source.sample(hosts, len(hosts) // 2)
                cluster.blocked_links = {
                    (one, other)
                    for one in hosts
                    for other in hosts
                    if (one in half) != (other in half)
                }
                cluster.run(source.uniform(0.5, 2.0))
                cluster.blocked_links = set()
            case _:
                pass
        cluster.run(3.0)


if __name__ == "__main__":
    unittest.main()
