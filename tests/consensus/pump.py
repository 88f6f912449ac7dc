"""Replicas joined by an in-memory message pump, with faults and with checks after every step."""

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


class Recorder:
    """A state machine that keeps every command."""

    def __init__(self) -> None:
        self.commands: list[tuple[int, bytes]] = []

    def apply(self, index: int, payload: bytes) -> bytes:
        self.commands.append((index, payload))
        return payload

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]]) if data else []


class MemoryFiles:
    """Stands in for ``Storage``; a crash loses what was not synced."""

    def __init__(self, replica: str, members: tuple[str, ...]) -> None:
        self.stored = PersistentState(replica, 0, None, Snapshot(0, 0, members, b""), ())
        self._waiting: list[Entry] = []

    @property
    def unsynced(self) -> bool:
        return bool(self._waiting)

    def save_vote(self, term: int, voted_for: str | None) -> None:
        self.stored = self.stored._replace(term=term, voted_for=voted_for)

    def append(self, entries: Sequence[Entry]) -> None:
        self._waiting = [one for one in self._waiting if one.index < entries[0].index]
        self._waiting.extend(entries)

    def sync(self) -> None:
        if self._waiting:
            first_index = self._waiting[0].index
            kept = (one for one in self.stored.entries if one.index < first_index)
            self.stored = self.stored._replace(entries=(*kept, *self._waiting))
            self._waiting = []

    def install(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        self.stored = self.stored._replace(snapshot=snapshot, entries=tuple(entries))
        self._waiting = []

    def save_committed(self, committed: Committed) -> None:
        self.stored = self.stored._replace(committed=committed)

    def crash(self) -> None:
        self._waiting = []


class DiskFiles:
    """Real files of one host; a crash closes and opens them."""

    def __init__(self, folder: Path, host_id: str) -> None:
        self._open = lambda: open_storage(folder, host_id)
        self._storage = self._open()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._storage, name)

    def crash(self) -> None:
        self._storage.close()
        self._storage = self._open()


class Faults(NamedTuple):
    """What happens to messages on their way."""

    loss_ratio: float = 0.0
    repeat_ratio: float = 0.0
    delay_s: float = 0.01
    """Longest delay; messages overtake each other within it."""


class Node:
    """One host with its replica."""

    def __init__(self, host_id: str, files: MemoryFiles | DiskFiles) -> None:
        self.host_id = host_id
        self.files = files
        self.machine = Recorder()
        self.driver: Driver | None = None
        self.frozen = False
        self.cut = False
        self.waiting: list[Message] = []

    @property
    def replica(self) -> Replica:
        assert self.driver is not None
        return self.driver.replica


class Pump:
    """A set of hosts and the messages between them."""

    def __init__(
        self,
        hosts: Sequence[str] = ("a", "b", "c"),
        *,
        seed: int = 1,
        snapshot_every_count: int = 1000,
        open_files: Callable[[str], DiskFiles] | None = None,
        timing: Timing = TIMING,
    ) -> None:
        self.random = random.Random(seed)
        self.faults = Faults()
        self._timing = timing
        self.now_s = 0.0
        self.sent: list[tuple[float, int, Message, str]] = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, tuple[int, bytes]] = {}
        self.blocked: set[tuple[str, str]] = set()
        self._count = 0
        self._snapshot_every_count = snapshot_every_count
        members = first_identities(hosts, "test")
        create = open_files or (lambda host: MemoryFiles(_own(members, host), members))
        self.nodes = {host: Node(host, create(host)) for host in hosts}
        for host in hosts:
            self.start(host)

    def start(self, host: str) -> None:
        """Start a host's replica from its files."""
        node = self.nodes[host]
        source = random.Random(self.random.random())
        replica = Replica(node.files.stored, self._timing, source, self.now_s, b"open")
        node.machine = Recorder()
        node.driver = Driver(replica, node.files, node.machine, self._snapshot_every_count)
        node.frozen = False
        node.waiting = []

    def add(self, host: str) -> None:
        """Start a host with an empty folder."""
        self.nodes[host] = Node(host, MemoryFiles(identity(host, "first"), ()))
        self.start(host)

    def crash(self, host: str) -> None:
        """End a host's process; entries that are not synced are lost."""
        self.nodes[host].driver = None
        self.nodes[host].files.crash()

    def restart(self, host: str) -> None:
        """End and start a host's process."""
        self.crash(host)
        self.start(host)

    def lose_disk(self, host: str) -> str:
        """Replace a host's files by those of an empty folder; return the new identity."""
        self._count += 1
        replica = identity(host, f"new{self._count}")
        self.crash(host)
        self.nodes[host].files = MemoryFiles(replica, ())
        self.start(host)
        return replica

    def resume(self, host: str) -> None:
        """Let a frozen host go on; messages that came meanwhile are taken first."""
        node = self.nodes[host]
        node.frozen = False
        waiting, node.waiting = node.waiting, []
        for message in waiting:
            self._step(node, Received(message))

    def leader(self) -> Node | None:
        """Find the leader with the highest term among the reachable hosts."""
        leading = [
            node
            for node in self._running()
            if not node.cut and node.replica.state.leader == node.replica.state.identity
        ]
        return max(leading, key=lambda node: node.replica.state.term, default=None)

    def propose(self, text: str, host: str | None = None) -> None:
        """Propose a command at a host, by default at the leader."""
        node = self.nodes[host] if host else self.leader()
        if node is not None and node.driver is not None and not node.frozen:
            self._step(node, Propose(text, text.encode()))

    def ask(
        self, host: str, candidate: str, receiver: str | None = None, term: int = 50
    ) -> list[bool]:
        """Deliver a vote request of a later term at once; return the answers to it."""
        addressed = receiver or self.nodes[host].replica.state.identity
        request = VoteRequest(candidate, addressed, term, 999, 999, False)
        self.sent = [(0.0, 0, request, host)]
        self.run(STEP_S)
        return [message.granted for _, _, message, _ in self.sent if isinstance(message, Vote)]

    def run(self, duration_s: float) -> None:
        """Let time pass."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            due = [one for one in self.sent if one[0] <= self.now_s]
            self.sent = [one for one in self.sent if one[0] > self.now_s]
            for _, _, message, host in sorted(due, key=lambda one: one[:2]):
                self._deliver(message, host)
            for node in self._running():
                if not node.frozen:
                    self._tick(node)
            self._check_leases()

    def settle(self, limit_s: float = 20.0) -> Node:
        """Run until some leader has committed an entry of its own term."""
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            self.run(0.1)
            node = self.leader()
            if node is not None and node.replica.lease_valid(self.now_s):
                return node
        raise AssertionError(f"no leader within {limit_s} s")

    def check(self) -> None:
        """Compare the applied commands of all replicas with the committed ones."""
        for node in self._running():
            for index, payload in node.machine.commands:
                assert self.committed[index][1] == payload, (node.host_id, index)
            indexes = [index for index, _ in node.machine.commands]
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
        if node.driver is None or node.cut or sender.cut:
            return
        if (sender.host_id, host) in self.blocked:
            return
        if node.frozen:
            node.waiting.append(message)
            return
        self._step(node, Received(message))

    def _step(self, node: Node, event: Tick | Received | Propose) -> None:
        driver = node.driver
        assert driver is not None
        for report in [*driver.step(event, self.now_s), *driver.flush(self.now_s)]:
            match report:
                case Send(message=message):
                    self._send(message, host_of(message.receiver))
                case Applied(index, term, payload):
                    known = self.committed.setdefault(index, (term, payload))
                    assert known == (term, payload), f"index {index} changed from {known}"
                case LeaderChanged(term, leader) if leader == driver.replica.state.identity:
                    assert self.leaders.setdefault(term, leader) == leader, f"term {term}"

    def _send(self, message: Message, host: str) -> None:
        copies = 1 + (self.random.random() < self.faults.repeat_ratio)
        for _ in range(copies):
            if self.random.random() >= self.faults.loss_ratio:
                self._count += 1
                due_s = self.now_s + self.random.random() * self.faults.delay_s
                self.sent.append((due_s, self._count, message, host))


def few_kept_entries() -> tuple[Callable[[], Any], Callable[[], Any]]:
    """Make the module functions that let lagging replicas need snapshots instead of entries."""
    patch = mock.patch("camphorvalve.consensus.log.RETAINED_COUNT", 2)
    return patch.start, patch.stop


def _own(members: Sequence[str], host: str) -> str:
    return next(one for one in members if host_of(one) == host)


__all__ = [
    "TIMING",
    "DiskFiles",
    "Faults",
    "MemoryFiles",
    "Node",
    "Pump",
    "Recorder",
    "few_kept_entries",
]
