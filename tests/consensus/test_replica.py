"""Guards against two leaders, lost commands and voters without state, one fault at a time."""

from __future__ import annotations

import itertools
import random
import tempfile
import unittest
from pathlib import Path

from camphorvalve.consensus.events import (
    Commit,
    Flush,
    Propose,
    Received,
    Refused,
    Send,
    Synced,
    Tick,
)
from camphorvalve.consensus.messages import (
    Append,
    Appended,
    Entry,
    Snapshot,
    SnapshotChunk,
    Vote,
)
from camphorvalve.consensus.replica import Committed, PersistentState, Replica
from camphorvalve.consensus.storage import bootstrap
from tests.consensus.pump import TIMING, DiskFiles, Faults, Pump, few_kept_entries

# Few entries stay in memory, so that replicas that lag need snapshots.
setUpModule, tearDownModule = few_kept_entries()
FIVE = ("a", "b", "c", "d", "e")


def followers(pump: Pump) -> list[str]:
    leader = pump.settle().host_id
    return [host for host in pump.nodes if host != leader]


def fill(pump: Pump, count: int, label: str = "x", size_bytes: int = 0) -> None:
    pump.settle()
    for number in range(count):
        pump.propose(f"{label}{number}" + "." * size_bytes)
        pump.run(0.02)
    pump.run(0.5)


class MessageFaultsTest(unittest.TestCase):
    def test_every_accepted_command_of_a_stable_leader_is_applied_once(self) -> None:
        cases = {
            "none": Faults(),
            "lost": Faults(loss_ratio=0.2),
            "repeated": Faults(repeat_ratio=0.9),
            "reordered": Faults(delay_s=0.3),
            "all": Faults(0.1, 0.5, 0.2),
        }
        for name, faults in cases.items():
            for snapshot_every_count in (5, 1000):
                with self.subTest(name, snapshot_every_count=snapshot_every_count):
                    pump = Pump(snapshot_every_count=snapshot_every_count)
                    pump.settle()
                    pump.faults = faults
                    fill(pump, 100)
                    pump.faults = Faults()
                    pump.run(4)
                    pump.check()
                    texts = [payload for _, payload in pump.committed.values()]
                    proposed = [text for text in texts if text != b"open"]
                    self.assertEqual(len(proposed), len(set(proposed)))
                    if len(pump.leaders) == 1:
                        self.assertEqual(len(texts), 101)
                    applied = [node.machine.commands for node in pump.nodes.values()]
                    self.assertEqual(applied[0], applied[1])
                    self.assertEqual(applied[0], applied[2])

    def test_commands_of_one_batch_travel_in_one_message(self) -> None:
        pump = Pump()
        leader = pump.settle()
        assert leader.driver is not None
        for number in range(50):
            reports = list(leader.driver.step(Propose(str(number), b"x"), pump.now_s))
            self.assertFalse([one for one in reports if isinstance(one, Send)])
        sent = [one.message for one in leader.driver.flush(pump.now_s) if isinstance(one, Send)]
        self.assertEqual([len(one.entries) for one in sent if isinstance(one, Append)], [50, 50])

    def test_answers_wait_for_the_sync(self) -> None:
        pump = Pump()
        leader, host = pump.settle(), followers(pump)[0]
        driver, state = pump.nodes[host].driver, pump.nodes[host].replica.state
        assert driver is not None
        entry = Entry(state.log.last_index + 1, state.term, None, b"x")
        append = Append(
            leader.replica.state.identity,
            state.identity,
            state.term,
            pump.now_s,
            entry.index - 1,
            state.log.last_term,
            0,
            (entry,),
        )
        early = list(driver.step(Received(append), pump.now_s))
        self.assertEqual(early, [])
        self.assertNotIn(entry, pump.nodes[host].files.stored.entries)
        (late,) = driver.flush(pump.now_s)
        self.assertTrue(late.message.accepted)
        self.assertIn(entry, pump.nodes[host].files.stored.entries)


class LeaderTest(unittest.TestCase):
    def test_a_leader_that_is_away_is_replaced_and_its_tail_is_dropped(self) -> None:
        for how in ("cut", "frozen", "crashed"):
            with self.subTest(how):
                pump = Pump()
                old = pump.settle()
                pump.propose("before")
                pump.run(0.5)
                if how == "cut":
                    old.cut = True
                    pump.propose("stray", old.host_id)
                elif how == "frozen":
                    old.frozen = True
                else:
                    pump.crash(old.host_id)
                pump.run(4)
                others = [node for node in pump.nodes.values() if node is not old]
                self.assertTrue(any(node.replica.lease_valid(pump.now_s) for node in others))
                if how == "frozen":
                    self.assertFalse(old.replica.lease_valid(pump.now_s))
                    assert old.driver is not None
                    late = list(old.driver.step(Propose("late", b"late"), pump.now_s))
                    self.assertTrue(any(isinstance(one, Refused) for one in late))
                    pump.resume(old.host_id)
                elif how == "crashed":
                    pump.start(old.host_id)
                old.cut = False
                pump.propose("after")
                pump.run(2)
                pump.check()
                texts = [payload for _, payload in pump.committed.values()]
                self.assertIn(b"after", texts)
                self.assertNotIn(b"stray", texts)
                self.assertEqual(len(old.machine.commands), len(texts))

    def test_a_follower_that_was_cut_off_does_not_depose_the_leader(self) -> None:
        pump = Pump()
        leader = pump.settle()
        term = leader.replica.state.term
        away = pump.nodes[followers(pump)[0]]
        away.cut = True
        pump.run(10)
        away.cut = False
        pump.run(5)
        self.assertEqual(pump.leader(), leader)
        self.assertEqual(leader.replica.state.term, term)

    def test_no_vote_is_given_while_a_lease_may_hold(self) -> None:
        pump = Pump()
        leader = pump.settle().replica.state.identity
        for host in followers(pump):
            with self.subTest(host):
                self.assertEqual(pump.ask(host, leader), [])
                pump.restart(host)
                self.assertEqual(pump.ask(host, leader), [])

    def test_a_vote_survives_a_restart(self) -> None:
        pump = Pump()
        answers = []
        pump.nodes["b"].frozen = pump.nodes["c"].frozen = True
        for candidate in ("b", "c"):
            pump.restart("a")
            pump.now_s += TIMING.election_timeout_s
            pump.nodes["a"].replica.state.role.deadline_s = pump.now_s + 1
            sender = pump.nodes[candidate].replica.state.identity
            answers += pump.ask("a", sender, term=5)
        self.assertEqual(answers, [True, False])

    def test_two_of_five_may_be_away(self) -> None:
        pump = Pump(FIVE)
        pump.settle()
        for host in followers(pump)[:2]:
            pump.crash(host)
        pump.propose("with three")
        pump.run(1)
        self.assertIn(b"with three", [payload for _, payload in pump.committed.values()])


class CommitTest(unittest.TestCase):
    def test_a_leader_counts_its_own_copy_only_once_it_is_synced(self) -> None:
        pump = Pump()
        replica = pump.settle().replica
        follower = pump.nodes[followers(pump)[0]].replica.state.identity
        now_s, state = pump.now_s, replica.state
        effects = [*replica.step(Propose("x", b"x"), now_s), *replica.step(Flush(), now_s)]
        index = state.log.last_index
        answer = Appended(follower, state.identity, state.term, now_s, True, index)
        effects += replica.step(Received(answer), now_s)
        self.assertFalse([one for one in effects if isinstance(one, Commit)])
        effects = list(replica.step(Synced(index), now_s))
        self.assertTrue([one for one in effects if isinstance(one, Commit)])

    def test_an_entry_of_an_older_term_commits_only_with_one_of_this_term(self) -> None:
        members = ("a#1", "b#1", "c#1")
        old = Entry(1, 2, None, b"old")
        stored = PersistentState("a#1", 2, None, Snapshot(0, 0, members, b""), (old,))
        replica = Replica(stored, TIMING, random.Random(1), 0.0, b"open")
        effects = list(replica.step(Tick(), 5.0))
        effects += replica.step(Received(Vote("b#1", "a#1", 3, True, True)), 5.0)
        effects += replica.step(Received(Vote("b#1", "a#1", 3, True, False)), 5.0)
        self.assertEqual((replica.state.leader, replica.state.term), ("a#1", 3))
        effects += replica.step(Synced(2), 5.0)
        effects += replica.step(Received(Appended("b#1", "a#1", 3, 5.0, True, 1)), 5.0)
        self.assertFalse([one for one in effects if isinstance(one, Commit)])
        effects = list(replica.step(Received(Appended("b#1", "a#1", 3, 5.0, True, 2)), 5.0))
        (commit,) = (one for one in effects if isinstance(one, Commit))
        self.assertEqual([one.index for one in commit.entries], [1, 2])


class CommittedTest(unittest.TestCase):
    def test_what_was_committed_is_applied_before_a_leader_is_elected(self) -> None:
        pump = Pump(("a", "b", "c"))
        fill(pump, 5)
        pump.run(1.0)
        for host in pump.nodes:
            pump.restart(host)
        for node in pump.nodes.values():
            self.assertIsNone(node.replica.state.leader)
            self.assertIn(b"x4", [payload for _, payload in node.machine.commands])
        pump.check()
        fill(pump, 5, "y")
        pump.check()

    def test_an_entry_that_was_replaced_is_not_taken_for_the_committed_one(self) -> None:
        members = ("a#1", "b#1", "c#1")
        held = (Entry(1, 1, None, b"one"), Entry(2, 2, None, b"two"))
        empty = Snapshot(0, 0, members, b"")
        cases = {
            "held": (Committed(2, 2), 2),
            "other term": (Committed(2, 1), 0),
            "beyond the log": (Committed(3, 2), 0),
            "nothing known": (Committed(0, 0), 0),
        }
        for name, (committed, expected) in cases.items():
            with self.subTest(name):
                stored = PersistentState("a#1", 2, None, empty, held, committed)
                replica = Replica(stored, TIMING, random.Random(1), 0.0)
                self.assertEqual(replica.state.commit_index, expected)


class MembersTest(unittest.TestCase):
    def test_the_state_survives_a_second_loss_after_the_repair(self) -> None:
        for snapshot_every_count in (5, 1000):
            for hosts in (("a", "b", "c"), FIVE):
                with self.subTest(hosts=hosts, snapshot_every_count=snapshot_every_count):
                    pump = Pump(hosts, snapshot_every_count=snapshot_every_count)
                    fill(pump, 30)
                    first, second = followers(pump)[:2]
                    new = pump.lose_disk(first)
                    pump.run(5)
                    members = pump.settle().replica.state.log.members
                    self.assertEqual(len(members), len(hosts))
                    self.assertIn(new, members)
                    pump.crash(second)
                    fill(pump, 5, "after")
                    pump.check()
                    self.assertIn(b"after4", [payload for _, payload in pump.committed.values()])
                    newest = pump.lose_disk(second)
                    pump.run(5)
                    self.assertIn(newest, pump.settle().replica.state.log.members)
                    pump.check()

    def test_a_replica_without_state_neither_votes_nor_counts(self) -> None:
        pump = Pump()
        fill(pump, 5)
        first, second = followers(pump)
        leader = pump.settle()
        leader.cut = True
        new = pump.lose_disk(first)
        pump.run(20)
        self.assertEqual(pump.leaders.keys() - {leader.replica.state.term}, set())
        self.assertFalse(pump.nodes[first].replica.state.is_member)
        self.assertNotIn(new, pump.nodes[second].replica.state.log.members)
        sender = pump.nodes[second].replica.state.identity
        self.assertEqual(pump.ask(first, sender), [])

    def test_a_change_of_members_that_its_leader_could_not_commit_is_repaired(self) -> None:
        # Who else than the leader got the entry that adds the new replica.
        cases = ((), ("old",), ("new",), ("old", "new"))
        for holders, all_hosts in itertools.product(cases, (FIVE[:3], FIVE)):
            with self.subTest(holders=holders, hosts=all_hosts):
                pump = Pump(all_hosts)
                fill(pump, 5)
                lost, other = followers(pump)[:2]
                leader = pump.settle()
                new = pump.lose_disk(lost)
                while new not in leader.replica.state.log.members:
                    pump.run(0.02)
                hosts = {"old": other, "new": lost}
                kept = {hosts[holder] for holder in holders}
                pump.sent = [one for one in pump.sent if one[3] in kept]
                for host in pump.nodes:
                    pump.nodes[host].cut = host not in kept and host != leader.host_id
                pump.run(0.06)
                for node in pump.nodes.values():
                    node.cut = node is leader
                pump.run(5)
                leader.cut = False
                pump.run(10)
                self.assertEqual(
                    {node.replica.state.identity for node in pump.nodes.values()},
                    set(pump.settle().replica.state.log.members),
                )
                pump.check()

    def test_a_lost_identity_is_never_answered_for(self) -> None:
        pump = Pump()
        fill(pump, 5)
        host = followers(pump)[0]
        lost = pump.nodes[host].replica.state.identity
        pump.lose_disk(host)
        pump.run(5)
        leader = pump.settle()
        for node in pump.nodes.values():
            node.frozen = node.host_id != host
        pump.run(5)
        self.assertEqual(pump.ask(host, leader.replica.state.identity, lost), [])

    def test_a_learner_is_added_only_with_the_whole_state(self) -> None:
        pump = Pump()
        fill(pump, 5)
        host = followers(pump)[0]
        new = pump.lose_disk(host)
        leader = pump.settle()
        for _ in range(300):
            pump.run(0.02)
            if new in leader.replica.state.log.members:
                break
        index = leader.replica.state.log.members_index
        state = pump.nodes[host].replica.state
        self.assertGreaterEqual(state.log.last_index, index - 1)

    def test_a_large_snapshot_arrives_in_chunks(self) -> None:
        pump = Pump(snapshot_every_count=20)
        fill(pump, 40, size_bytes=50_000)
        host = followers(pump)[0]
        pump.lose_disk(host)
        pump.faults = Faults(loss_ratio=0.1, repeat_ratio=0.2)
        chunks = set()
        for _ in range(500):
            pump.run(0.02)
            chunks |= {one[2].offset for one in pump.sent if isinstance(one[2], SnapshotChunk)}
        self.assertGreater(len(chunks), 5)
        pump.check()
        self.assertTrue(pump.nodes[host].replica.state.is_member)

    def test_a_fleet_grows_from_one_host(self) -> None:
        pump = Pump(("a",))
        fill(pump, 3)
        pump.add("b")
        pump.add("c")
        pump.run(5)
        self.assertEqual(len(pump.settle().replica.state.log.members), 3)
        pump.check()


class RestartTest(unittest.TestCase):
    def test_a_fleet_restarts_from_its_files(self) -> None:
        hosts = ("a", "b", "c")
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            for host in hosts:
                bootstrap(root / host, host, hosts, "first-fleet")
            pump = Pump(
                hosts,
                snapshot_every_count=100,
                open_files=lambda host: DiskFiles(root / host, host),
            )
            fill(pump, 250)
            before = [node.machine.commands for node in pump.nodes.values()]
            for host in hosts:
                pump.crash(host)
            with (root / "a" / "log").open("ab") as log:
                log.write(b"\x10torn")
            for host in hosts:
                pump.restart(host)
            self.assertLess(len(pump.nodes["a"].machine.commands), 251)
            pump.settle()
            pump.run(1)
            after = [node.machine.commands[:251] for node in pump.nodes.values()]
            self.assertEqual(after, before)
            pump.check()
            for host in hosts:
                pump.nodes[host].files.close()

    def test_a_tick_without_members_does_nothing(self) -> None:
        pump = Pump(("a",))
        pump.lose_disk("a")
        pump.now_s += 99
        self.assertEqual(list(pump.nodes["a"].replica.step(Tick(), pump.now_s)), [])
