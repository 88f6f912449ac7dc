"""Tests of single faults: they must not cause two leaders, lost commands or votes without state."""

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
    Rejected,
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
from tests.consensus.cluster import TIMING, Cluster, DiskStorage, Faults, patch_retained_count

# Few entries are retained in memory, so that lagging replicas need snapshots.
setUpModule, tearDownModule = patch_retained_count()
FIVE_HOSTS = ("a", "b", "c", "d", "e")


def followers(cluster: Cluster) -> list[str]:
    leader = cluster.wait_for_leader().host_id
    return [host for host in cluster.nodes if host != leader]


def propose_commands(cluster: Cluster, count: int, label: str = "x", size_bytes: int = 0) -> None:
    cluster.wait_for_leader()
    for number in range(count):
        cluster.propose(f"{label}{number}" + "." * size_bytes)
        cluster.run(0.02)
    cluster.run(0.5)


class MessageFaultsTest(unittest.TestCase):
    def test_every_accepted_command_of_a_stable_leader_is_applied_once(self) -> None:
        cases = {
            "none": Faults(),
            "lost": Faults(loss_ratio=0.2),
            "duplicated": Faults(duplicate_ratio=0.9),
            "reordered": Faults(delay_s=0.3),
            "all": Faults(0.1, 0.5, 0.2),
        }
        for name, faults in cases.items():
            for snapshot_every_count in (5, 1000):
                with self.subTest(name, snapshot_every_count=snapshot_every_count):
                    cluster = Cluster(snapshot_every_count=snapshot_every_count)
                    cluster.wait_for_leader()
                    cluster.faults = faults
                    propose_commands(cluster, 100)
                    cluster.faults = Faults()
                    cluster.run(4)
                    cluster.check_applied_commands()
                    texts = [payload for _, payload in cluster.committed.values()]
                    proposed = [text for text in texts if text != b"open"]
                    self.assertEqual(len(proposed), len(set(proposed)))
                    if len(cluster.leaders) == 1:
                        self.assertEqual(len(texts), 101)
                    applied = [node.state_machine.commands for node in cluster.nodes.values()]
                    self.assertEqual(applied[0], applied[1])
                    self.assertEqual(applied[0], applied[2])

    def test_commands_of_one_batch_are_sent_in_one_message(self) -> None:
        cluster = Cluster()
        leader = cluster.wait_for_leader()
        assert leader.driver is not None
        for number in range(50):
            outputs = list(leader.driver.step(Propose(str(number), b"x"), cluster.now_s))
            self.assertFalse([output for output in outputs if isinstance(output, Send)])
        messages = [
            output.message
            for output in leader.driver.flush(cluster.now_s)
            if isinstance(output, Send)
        ]
        self.assertEqual(
            [len(message.entries) for message in messages if isinstance(message, Append)], [50, 50]
        )

    def test_responses_wait_for_the_sync(self) -> None:
        cluster = Cluster()
        leader, host = cluster.wait_for_leader(), followers(cluster)[0]
        driver, state = cluster.nodes[host].driver, cluster.nodes[host].replica.state
        assert driver is not None
        entry = Entry(state.log.last_index + 1, state.term, None, b"x")
        append = Append(
            leader.replica.state.identity,
            state.identity,
            state.term,
            cluster.now_s,
            entry.index - 1,
            state.log.last_term,
            0,
            (entry,),
        )
        early = list(driver.step(Received(append), cluster.now_s))
        self.assertEqual(early, [])
        self.assertNotIn(entry, cluster.nodes[host].storage.stored.entries)
        (late,) = driver.flush(cluster.now_s)
        self.assertTrue(late.message.accepted)
        self.assertIn(entry, cluster.nodes[host].storage.stored.entries)


class LeaderTest(unittest.TestCase):
    def test_a_lost_leader_is_replaced_and_its_uncommitted_entries_are_discarded(self) -> None:
        for fault in ("isolated", "frozen", "crashed"):
            with self.subTest(fault):
                cluster = Cluster()
                old = cluster.wait_for_leader()
                cluster.propose("before")
                cluster.run(0.5)
                if fault == "isolated":
                    old.isolated = True
                    cluster.propose("stray", old.host_id)
                elif fault == "frozen":
                    old.frozen = True
                else:
                    cluster.crash(old.host_id)
                cluster.run(4)
                others = [node for node in cluster.nodes.values() if node is not old]
                self.assertTrue(any(node.replica.lease_valid(cluster.now_s) for node in others))
                if fault == "frozen":
                    self.assertFalse(old.replica.lease_valid(cluster.now_s))
                    assert old.driver is not None
                    late = list(old.driver.step(Propose("late", b"late"), cluster.now_s))
                    self.assertTrue(any(isinstance(output, Rejected) for output in late))
                    cluster.unfreeze(old.host_id)
                elif fault == "crashed":
                    cluster.start(old.host_id)
                old.isolated = False
                cluster.propose("after")
                cluster.run(2)
                cluster.check_applied_commands()
                texts = [payload for _, payload in cluster.committed.values()]
                self.assertIn(b"after", texts)
                self.assertNotIn(b"stray", texts)
                self.assertEqual(len(old.state_machine.commands), len(texts))

    def test_a_follower_that_was_isolated_does_not_depose_the_leader(self) -> None:
        cluster = Cluster()
        leader = cluster.wait_for_leader()
        term = leader.replica.state.term
        isolated_node = cluster.nodes[followers(cluster)[0]]
        isolated_node.isolated = True
        cluster.run(10)
        isolated_node.isolated = False
        cluster.run(5)
        self.assertEqual(cluster.leader(), leader)
        self.assertEqual(leader.replica.state.term, term)

    def test_no_vote_is_given_while_a_lease_may_hold(self) -> None:
        cluster = Cluster()
        leader = cluster.wait_for_leader().replica.state.identity
        for host in followers(cluster):
            with self.subTest(host):
                self.assertEqual(cluster.request_vote(host, leader), [])
                cluster.restart(host)
                self.assertEqual(cluster.request_vote(host, leader), [])

    def test_a_vote_survives_a_restart(self) -> None:
        cluster = Cluster()
        answers = []
        cluster.nodes["b"].frozen = cluster.nodes["c"].frozen = True
        for candidate in ("b", "c"):
            cluster.restart("a")
            cluster.now_s += TIMING.election_timeout_s
            cluster.nodes["a"].replica.state.role.deadline_s = cluster.now_s + 1
            sender = cluster.nodes[candidate].replica.state.identity
            answers += cluster.request_vote("a", sender, term=5)
        self.assertEqual(answers, [True, False])

    def test_commits_continue_with_two_of_five_hosts_down(self) -> None:
        cluster = Cluster(FIVE_HOSTS)
        cluster.wait_for_leader()
        for host in followers(cluster)[:2]:
            cluster.crash(host)
        cluster.propose("with three")
        cluster.run(1)
        self.assertIn(b"with three", [payload for _, payload in cluster.committed.values()])


class CommitTest(unittest.TestCase):
    def test_a_leader_counts_its_own_copy_only_once_it_is_synced(self) -> None:
        cluster = Cluster()
        replica = cluster.wait_for_leader().replica
        follower = cluster.nodes[followers(cluster)[0]].replica.state.identity
        now_s, state = cluster.now_s, replica.state
        effects = [*replica.step(Propose("x", b"x"), now_s), *replica.step(Flush(), now_s)]
        index = state.log.last_index
        answer = Appended(follower, state.identity, state.term, now_s, True, index)
        effects += replica.step(Received(answer), now_s)
        self.assertFalse([effect for effect in effects if isinstance(effect, Commit)])
        effects = list(replica.step(Synced(index), now_s))
        self.assertTrue([effect for effect in effects if isinstance(effect, Commit)])

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
        self.assertFalse([effect for effect in effects if isinstance(effect, Commit)])
        effects = list(replica.step(Received(Appended("b#1", "a#1", 3, 5.0, True, 2)), 5.0))
        (commit,) = (effect for effect in effects if isinstance(effect, Commit))
        self.assertEqual([entry.index for entry in commit.entries], [1, 2])


class CommittedTest(unittest.TestCase):
    def test_what_was_committed_is_applied_before_a_leader_is_elected(self) -> None:
        cluster = Cluster(("a", "b", "c"))
        propose_commands(cluster, 5)
        cluster.run(1.0)
        for host in cluster.nodes:
            cluster.restart(host)
        for node in cluster.nodes.values():
            self.assertIsNone(node.replica.state.leader)
            self.assertIn(b"x4", [payload for _, payload in node.state_machine.commands])
        cluster.check_applied_commands()
        propose_commands(cluster, 5, "y")
        cluster.check_applied_commands()

    def test_an_entry_that_was_replaced_is_not_taken_for_the_committed_one(self) -> None:
        members = ("a#1", "b#1", "c#1")
        entries = (Entry(1, 1, None, b"one"), Entry(2, 2, None, b"two"))
        empty = Snapshot(0, 0, members, b"")
        cases = {
            "in the log": (Committed(2, 2), 2),
            "other term": (Committed(2, 1), 0),
            "beyond the log": (Committed(3, 2), 0),
            "nothing known": (Committed(0, 0), 0),
        }
        for name, (committed, expected) in cases.items():
            with self.subTest(name):
                stored = PersistentState("a#1", 2, None, empty, entries, committed)
                replica = Replica(stored, TIMING, random.Random(1), 0.0)
                self.assertEqual(replica.state.commit_index, expected)


class MembersTest(unittest.TestCase):
    def test_the_state_survives_a_second_loss_after_the_repair(self) -> None:
        for snapshot_every_count in (5, 1000):
            for hosts in (("a", "b", "c"), FIVE_HOSTS):
                with self.subTest(hosts=hosts, snapshot_every_count=snapshot_every_count):
                    cluster = Cluster(hosts, snapshot_every_count=snapshot_every_count)
                    propose_commands(cluster, 30)
                    first, second = followers(cluster)[:2]
                    new = cluster.lose_disk(first)
                    cluster.run(5)
                    members = cluster.wait_for_leader().replica.state.log.members
                    self.assertEqual(len(members), len(hosts))
                    self.assertIn(new, members)
                    cluster.crash(second)
                    propose_commands(cluster, 5, "after")
                    cluster.check_applied_commands()
                    self.assertIn(b"after4", [payload for _, payload in cluster.committed.values()])
                    newest = cluster.lose_disk(second)
                    cluster.run(5)
                    self.assertIn(newest, cluster.wait_for_leader().replica.state.log.members)
                    cluster.check_applied_commands()

    def test_a_replica_without_state_neither_votes_nor_counts(self) -> None:
        cluster = Cluster()
        propose_commands(cluster, 5)
        first, second = followers(cluster)
        leader = cluster.wait_for_leader()
        leader.isolated = True
        new = cluster.lose_disk(first)
        cluster.run(20)
        self.assertEqual(cluster.leaders.keys() - {leader.replica.state.term}, set())
        self.assertFalse(cluster.nodes[first].replica.state.is_member)
        self.assertNotIn(new, cluster.nodes[second].replica.state.log.members)
        sender = cluster.nodes[second].replica.state.identity
        self.assertEqual(cluster.request_vote(first, sender), [])

    def test_a_change_of_members_that_its_leader_could_not_commit_is_repaired(self) -> None:
        # Which replicas besides the leader received the entry that adds the new replica.
        cases = ((), ("old",), ("new",), ("old", "new"))
        for holders, all_hosts in itertools.product(cases, (FIVE_HOSTS[:3], FIVE_HOSTS)):
            with self.subTest(holders=holders, hosts=all_hosts):
                cluster = Cluster(all_hosts)
                propose_commands(cluster, 5)
                lost, other = followers(cluster)[:2]
                leader = cluster.wait_for_leader()
                new = cluster.lose_disk(lost)
                while new not in leader.replica.state.log.members:
                    cluster.run(0.02)
                hosts = {"old": other, "new": lost}
                receivers = {hosts[holder] for holder in holders}
                cluster.in_flight = [item for item in cluster.in_flight if item[3] in receivers]
                for host in cluster.nodes:
                    cluster.nodes[host].isolated = host not in receivers and host != leader.host_id
                cluster.run(0.06)
                for node in cluster.nodes.values():
                    node.isolated = node is leader
                cluster.run(5)
                leader.isolated = False
                cluster.run(10)
                self.assertEqual(
                    {node.replica.state.identity for node in cluster.nodes.values()},
                    set(cluster.wait_for_leader().replica.state.log.members),
                )
                cluster.check_applied_commands()

    def test_requests_to_a_lost_identity_get_no_response(self) -> None:
        cluster = Cluster()
        propose_commands(cluster, 5)
        host = followers(cluster)[0]
        lost = cluster.nodes[host].replica.state.identity
        cluster.lose_disk(host)
        cluster.run(5)
        leader = cluster.wait_for_leader()
        for node in cluster.nodes.values():
            node.frozen = node.host_id != host
        cluster.run(5)
        self.assertEqual(cluster.request_vote(host, leader.replica.state.identity, lost), [])

    def test_a_learner_is_added_only_with_the_whole_state(self) -> None:
        cluster = Cluster()
        propose_commands(cluster, 5)
        host = followers(cluster)[0]
        new = cluster.lose_disk(host)
        leader = cluster.wait_for_leader()
        for _ in range(300):
            cluster.run(0.02)
            if new in leader.replica.state.log.members:
                break
        index = leader.replica.state.log.members_index
        state = cluster.nodes[host].replica.state
        self.assertGreaterEqual(state.log.last_index, index - 1)

    def test_a_large_snapshot_arrives_in_chunks(self) -> None:
        cluster = Cluster(snapshot_every_count=20)
        propose_commands(cluster, 40, size_bytes=50_000)
        host = followers(cluster)[0]
        cluster.lose_disk(host)
        cluster.faults = Faults(loss_ratio=0.1, duplicate_ratio=0.2)
        chunks = set()
        for _ in range(500):
            cluster.run(0.02)
            chunks |= {
                item[2].offset for item in cluster.in_flight if isinstance(item[2], SnapshotChunk)
            }
        self.assertGreater(len(chunks), 5)
        cluster.check_applied_commands()
        self.assertTrue(cluster.nodes[host].replica.state.is_member)

    def test_a_fleet_grows_from_one_host(self) -> None:
        cluster = Cluster(("a",))
        propose_commands(cluster, 3)
        cluster.add("b")
        cluster.add("c")
        cluster.run(5)
        self.assertEqual(len(cluster.wait_for_leader().replica.state.log.members), 3)
        cluster.check_applied_commands()


class RestartTest(unittest.TestCase):
    def test_a_fleet_restarts_from_its_files(self) -> None:
        hosts = ("a", "b", "c")
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            for host in hosts:
                bootstrap(root / host, host, hosts, "first-fleet")
            cluster = Cluster(
                hosts,
                snapshot_every_count=100,
                storage_factory=lambda host: DiskStorage(root / host, host),
            )
            propose_commands(cluster, 250)
            before = [node.state_machine.commands for node in cluster.nodes.values()]
            for host in hosts:
                cluster.crash(host)
            with (root / "a" / "log").open("ab") as log:
                log.write(b"\x10torn")
            for host in hosts:
                cluster.restart(host)
            self.assertLess(len(cluster.nodes["a"].state_machine.commands), 251)
            cluster.wait_for_leader()
            cluster.run(1)
            after = [node.state_machine.commands[:251] for node in cluster.nodes.values()]
            self.assertEqual(after, before)
            cluster.check_applied_commands()
            for host in hosts:
                cluster.nodes[host].storage.close()

    def test_a_tick_without_members_does_nothing(self) -> None:
        cluster = Cluster(("a",))
        cluster.lose_disk("a")
        cluster.now_s += 99
        self.assertEqual(list(cluster.nodes["a"].replica.step(Tick(), cluster.now_s)), [])
