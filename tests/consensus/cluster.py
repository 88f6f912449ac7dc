"""Simulated cluster of replicas with in-memory messages, injected faults and invariant checks."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import mock

import msgspec

from camphorvalve.consensus.driver import Applied, Driver
from camphorvalve.consensus.events import LeaderChanged, Propose, Received, Send, Tick
from camphorvalve.consensus.members import host_of, identity
from camphorvalve.consensus.messages import Entry, Join, Message, Snapshot, Vote, VoteRequest
from camphorvalve.consensus.replica import PersistentState, Replica, Timing
from camphorvalve.consensus.storage import first_identities, open_storage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from pathlib import Path

    from camphorvalve.consensus.replica import Committed

TIMING = Timing(election_timeout_s=1.0, heartbeat_s=0.2)
STEP_S = 0.02


class RecordingStateMachine:
    """State machine that records every applied command."""

    def __init__(self) -> None:
        self.commands: list[tuple[int, bytes]] = []

    def apply(self, index: int, payload: bytes) -> bytes:
        self.commands.append((index, payload))
        return payload

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]]) if data else []


class MemoryStorage:
    """In-memory replacement for ``Storage``; a crash loses entries that were not synced."""

    def __init__(self, replica: str, members: tuple[str, ...]) -> None:
        self.stored = PersistentState(replica, 0, None, Snapshot(0, 0, members, b""), ())
        self._unsynced_entries: list[Entry] = []

    @property
    def unsynced(self) -> bool:
        return bool(self._unsynced_entries)

    def save_vote(self, term: int, voted_for: str | None) -> None:
        self.stored = self.stored._replace(term=term, voted_for=voted_for)

    def append(self, entries: Sequence[Entry]) -> None:
        self._unsynced_entries = [
            entry for entry in self._unsynced_entries if entry.index < entries[0].index
        ]
        self._unsynced_entries.extend(entries)

    def sync(self) -> None:
        if self._unsynced_entries:
            first_index = self._unsynced_entries[0].index
            kept = (entry for entry in self.stored.entries if entry.index < first_index)
            self.stored = self.stored._replace(entries=(*kept, *self._unsynced_entries))
            self._unsynced_entries = []

    def install(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.stored = self.stored._replace(snapshot=snapshot, entries=tuple(entries))
        self._unsynced_entries = []

    def save_committed(self, committed: Committed) -> None:
        self.stored = self.stored._replace(committed=committed)

    def crash(self) -> None:
        self._unsynced_entries = []


class DiskStorage:
    """``Storage`` on disk; a crash closes the files and opens them again."""

    def __init__(self, folder: Path, host_id: str) -> None:
        self._open = lambda: open_storage(folder, host_id)
        self._storage = self._open()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._storage, name)

    def crash(self) -> None:
        self._storage.close()
        self._storage = self._open()


class Faults(NamedTuple):
    """Faults of the simulated network."""

    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_s: float = 0.01
    """Upper bound of the random delay, which reorders messages."""


class Node:
    """One host with its replica."""

    def __init__(self, host_id: str, storage: MemoryStorage | DiskStorage) -> None:
        self.host_id = host_id
        self.storage = storage
        self.state_machine = RecordingStateMachine()
        self.driver: Driver | None = None
        self.frozen = False
        self.isolated = False
        self.pending_messages: list[Message] = []

    @property
    def replica(self) -> Replica:
        assert self.driver is not None
        return self.driver.replica


class Cluster:
    """Simulated hosts and network; checks for conflicting commits, leaders and leases."""

    def __init__(
        self,
        hosts: Sequence[str] = ("a", "b", "c"),
        *,
        seed: int = 1,
        snapshot_every_count: int = 1000,
        storage_factory: Callable[[str], DiskStorage] | None = None,
        timing: Timing = TIMING,
    ) -> None:
        self.random = random.Random(seed)
        self.faults = Faults()
        self._timing = timing
        self.now_s = 0.0
        self.in_flight: list[tuple[float, int, Message, str]] = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.blocked_links: set[tuple[str, str]] = set()
        self._count = 0
        self._snapshot_every_count = snapshot_every_count
        members = first_identities(hosts, "test")
        create_storage = storage_factory or (
            lambda host: MemoryStorage(_member_on(members, host), members)
        )
        self.nodes = {host: Node(host, create_storage(host)) for host in hosts}
        for host in hosts:
            self.start(host)

    def start(self, host: str) -> None:
        """Start a host's replica from its stored state."""
        node = self.nodes[host]
        source = random.Random(self.random.random())
        replica = Replica(node.storage.stored, self._timing, source, self.now_s, b"open")
        node.state_machine = RecordingStateMachine()
        node.driver = Driver(replica, node.storage, node.state_machine, self._snapshot_every_count)
        node.frozen = False
        node.pending_messages = []

    def add(self, host: str) -> None:
        """Start an additional host with empty storage."""
        self.nodes[host] = Node(host, MemoryStorage(identity(host, "first"), ()))
        self.start(host)

    def crash(self, host: str) -> None:
        """Stop a host's process; entries that are not synced are lost."""
        self.nodes[host].driver = None
        self.nodes[host].storage.crash()

    def restart(self, host: str) -> None:
        """Crash and start a host's process."""
        self.crash(host)
        self.start(host)

    def lose_disk(self, host: str) -> str:
        """Replace a host's storage with an empty one; return the new identity."""
        self._count += 1
        replica = identity(host, f"new{self._count}")
        self.crash(host)
        self.nodes[host].storage = MemoryStorage(replica, ())
        self.start(host)
        return replica

    def unfreeze(self, host: str) -> None:
        """Resume a frozen host; it first processes the messages that arrived meanwhile."""
        node = self.nodes[host]
        node.frozen = False
        pending, node.pending_messages = node.pending_messages, []
        for message in pending:
            self._step(node, Received(message))

    def leader(self) -> Node | None:
        """Find the leader with the highest term among the hosts that are not isolated."""
        leaders = [
            node
            for node in self._running()
            if not node.isolated and node.replica.state.leader == node.replica.state.identity
        ]
        return max(leaders, key=lambda node: node.replica.state.term, default=None)

    def propose(self, text: str, host: str | None = None) -> None:
        """Propose a command on a host, by default on the leader."""
        node = self.nodes[host] if host else self.leader()
        if node is not None and node.driver is not None and not node.frozen:
            self._step(node, Propose(text, text.encode()))

    def request_vote(
        self, host: str, candidate: str, receiver: str | None = None, term: int = 50
    ) -> list[bool]:
        """Deliver a vote request of a later term at once; return what each response granted."""
        addressed = receiver or self.nodes[host].replica.state.identity
        request = VoteRequest(candidate, addressed, term, 999, 999, False)
        self.in_flight = [(0.0, 0, request, host)]
        self.run(STEP_S)
        return [message.granted for _, _, message, _ in self.in_flight if isinstance(message, Vote)]

    def run(self, duration_s: float) -> None:
        """Advance the simulated time."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            due = [item for item in self.in_flight if item[0] <= self.now_s]
            self.in_flight = [item for item in self.in_flight if item[0] > self.now_s]
            for _, _, message, host in sorted(due, key=lambda item: item[:2]):
                self._deliver(message, host)
            for node in self._running():
                if not node.frozen:
                    self._tick(node)
            self._check_leases()

    def wait_for_leader(self, limit_s: float = 20.0) -> Node:
        """Run until a leader holds a valid lease, and so has committed an entry of its term."""
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            self.run(0.1)
            node = self.leader()
            if node is not None and node.replica.lease_valid(self.now_s):
                return node
        raise AssertionError(f"no leader within {limit_s} s")

    def check_applied_commands(self) -> None:
        """Compare the commands that each replica has applied with the committed ones."""
        for node in self._running():
            for index, payload in node.state_machine.commands:
                assert self.committed[index][1] == payload, (node.host_id, index)
            indexes = [index for index, _ in node.state_machine.commands]
            limit = node.driver.applied_index if node.driver else 0
            expected = sorted(index for index in self.committed if index <= limit)
            assert indexes == expected, (node.host_id, indexes[-3:], expected[-3:])

    def _check_leases(self) -> None:
        holders = [node.host_id for node in self._running() if node.replica.lease_valid(self.now_s)]
        assert len(holders) <= 1, f"leases of {holders} overlap at {self.now_s}"

    def _running(self) -> Iterable[Node]:
        return [node for node in self.nodes.values() if node.driver is not None]

    def _tick(self, node: Node) -> None:
        self._step(node, Tick())
        if node.replica.state.wants_to_join and self.random.random() < 0.1:
            for host in self.nodes:
                self._send(Join(node.replica.state.identity), host)

    def _deliver(self, message: Message, host: str) -> None:
        node = self.nodes[host]
        sender = self.nodes[host_of(message.sender)]
        if node.driver is None or node.isolated or sender.isolated:
            return
        if (sender.host_id, host) in self.blocked_links:
            return
        if node.frozen:
            node.pending_messages.append(message)
            return
        self._step(node, Received(message))

    def _step(self, node: Node, event: Tick | Received | Propose) -> None:
        driver = node.driver
        assert driver is not None
        for output in [*driver.step(event, self.now_s), *driver.flush(self.now_s)]:
            match output:
                case Send(message=message):
                    self._send(message, host_of(message.receiver))
                case Applied(index, term, payload):
                    known = self.committed.setdefault(index, (term, payload))
                    assert known == (term, payload), f"index {index} changed from {known}"
                case LeaderChanged(term, leader) if leader == driver.replica.state.identity:
                    assert self.leaders.setdefault(term, leader) == leader, f"term {term}"

    def _send(self, message: Message, host: str) -> None:
        copies = 1 + (self.random.random() < self.faults.duplicate_ratio)
        for _ in range(copies):
            if self.random.random() >= self.faults.loss_ratio:
                self._count += 1
                due_s = self.now_s + self.random.random() * self.faults.delay_s
                self.in_flight.append((due_s, self._count, message, host))


def first_hosts(count: int) -> tuple[str, ...]:
    """Name the first hosts of a cluster."""
    return tuple("abcdefghi"[:count])


def voters(cluster: Cluster) -> set[str]:
    """Wait for a leader, and return the hosts of the members in its log."""
    return {host_of(member) for member in cluster.wait_for_leader().replica.state.log.members}


def patch_retained_count() -> tuple[Callable[[], Any], Callable[[], Any]]:
    """Build module fixtures that retain few entries, so that lagging replicas need snapshots."""
    patch = mock.patch("camphorvalve.consensus.log.RETAINED_COUNT", 2)
    return patch.start, patch.stop


def _member_on(members: Sequence[str], host: str) -> str:
    return next(member for member in members if host_of(member) == host)


__all__ = [
    "TIMING",
    "Cluster",
    "DiskStorage",
    "Faults",
    "MemoryStorage",
    "Node",
    "RecordingStateMachine",
    "first_hosts",
    "patch_retained_count",
    "voters",
]
