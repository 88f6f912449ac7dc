"""Tests that replicas never disagree under random sequences of faults."""

from __future__ import annotations

import random
import unittest

from tests.consensus.cluster import Cluster, Faults, patch_retained_count

setUpModule, tearDownModule = patch_retained_count()
SEEDS = range(1, 41)
STEPS = 60


def inject_fault(cluster: Cluster, source: random.Random) -> None:
    """Apply one random fault or repair, then propose commands while time passes."""
    host = source.choice(list(cluster.nodes))
    node = cluster.nodes[host]
    others_are_members = all(
        other.driver is not None and other.replica.state.is_member
        for other in cluster.nodes.values()
        if other is not node
    )
    match source.randrange(9):
        case 0:
            cluster.restart(host)
        case 1 | 2:
            node.isolated = not node.isolated
        case 3:
            node.frozen = True
        case 4:
            if node.frozen:
                cluster.unfreeze(host)
        case 5:
            link = (host, source.choice(list(cluster.nodes)))
            cluster.blocked_links ^= {link}
        case 6 if others_are_members and _membership_complete(cluster):
            cluster.lose_disk(host)
        case _:
            cluster.faults = Faults(source.random() * 0.3, source.random() * 0.3, source.random())
    for _ in range(source.randrange(12)):
        cluster.propose(f"command-{source.random()}")
        cluster.run(source.random() * 0.3)


def _membership_complete(cluster: Cluster) -> bool:
    """Check that every log lists exactly the live replicas; a lost disk then leaves a majority."""
    live = {node.replica.state.identity for node in cluster.nodes.values()}
    return all(
        set(node.replica.state.log.members) == live and node.replica.state.is_member
        for node in cluster.nodes.values()
    )


def end_faults(cluster: Cluster) -> None:
    """Repair the network and resume all frozen hosts."""
    cluster.faults = Faults()
    cluster.blocked_links = set()
    for host, node in cluster.nodes.items():
        node.isolated = False
        if node.frozen:
            cluster.unfreeze(host)


class ScheduleTest(unittest.TestCase):
    def test_random_faults_leave_one_history(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                source = random.Random(seed)
                hosts = ("a", "b", "c") if seed % 2 else ("a", "b", "c", "d", "e")
                cluster = Cluster(hosts, seed=seed, snapshot_every_count=source.choice((5, 1000)))
                for _ in range(STEPS):
                    inject_fault(cluster, source)
                    cluster.check_applied_commands()
                end_faults(cluster)
                cluster.run(10)
                cluster.propose("last")
                cluster.run(2)
                cluster.check_applied_commands()
                applied = {len(node.state_machine.commands) for node in cluster.nodes.values()}
                self.assertEqual(applied, {len(cluster.committed)})
                self.assertIn(b"last", [payload for _, payload in cluster.committed.values()])
