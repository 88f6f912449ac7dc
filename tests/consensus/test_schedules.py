"""Guards against schedules of faults in which replicas disagree."""

from __future__ import annotations

import random
import unittest

from tests.consensus.pump import Faults, Pump, few_kept_entries

setUpModule, tearDownModule = few_kept_entries()
SEEDS = range(1, 41)
STEPS = 60


def disturb(pump: Pump, source: random.Random) -> None:
    """Apply one random fault or repair, then let time pass."""
    host = source.choice(list(pump.nodes))
    node = pump.nodes[host]
    others_whole = all(
        one.driver is not None and one.replica.state.is_member
        for one in pump.nodes.values()
        if one is not node
    )
    match source.randrange(9):
        case 0:
            pump.restart(host)
        case 1 | 2:
            node.cut = not node.cut
        case 3:
            node.frozen = True
        case 4:
            if node.frozen:
                pump.resume(host)
        case 5:
            link = (host, source.choice(list(pump.nodes)))
            pump.blocked ^= {link}
        case 6 if others_whole and _members_settled(pump):
            pump.lose_disk(host)
        case _:
            pump.faults = Faults(source.random() * 0.3, source.random() * 0.3, source.random())
    for _ in range(source.randrange(12)):
        pump.propose(f"command-{source.random()}")
        pump.run(source.random() * 0.3)


def _members_settled(pump: Pump) -> bool:
    """Tell whether a lost disk leaves a majority; the design survives no more than that."""
    live = {node.replica.state.identity for node in pump.nodes.values()}
    return all(
        set(node.replica.state.log.members) == live and node.replica.state.is_member
        for node in pump.nodes.values()
    )


def heal(pump: Pump) -> None:
    """End all faults."""
    pump.faults = Faults()
    pump.blocked = set()
    for host, node in pump.nodes.items():
        node.cut = False
        if node.frozen:
            pump.resume(host)


class ScheduleTest(unittest.TestCase):
    def test_random_faults_leave_one_history(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                source = random.Random(seed)
                hosts = ("a", "b", "c") if seed % 2 else ("a", "b", "c", "d", "e")
                pump = Pump(hosts, seed=seed, snapshot_every_count=source.choice((5, 1000)))
                for _ in range(STEPS):
                    disturb(pump, source)
                    pump.check()
                heal(pump)
                pump.run(10)
                pump.propose("last")
                pump.run(2)
                pump.check()
                applied = {len(node.machine.commands) for node in pump.nodes.values()}
                self.assertEqual(applied, {len(pump.committed)})
                self.assertIn(b"last", [payload for _, payload in pump.committed.values()])
