"""Executes the effects of a replica against its storage and its state machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from camphorvalve.consensus.events import (
    Accepted,
    Commit,
    Compacted,
    Flush,
    InstallSnapshot,
    LeaderChanged,
    Rejected,
    SaveVote,
    Send,
    StoreEntries,
    Synced,
)
from camphorvalve.consensus.messages import Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from camphorvalve.consensus.events import Effect, Event
    from camphorvalve.consensus.messages import Entry
    from camphorvalve.consensus.replica import Committed, Replica

SNAPSHOT_THRESHOLD_BYTES = 8 << 20
"""Size of the commands applied since the last snapshot that triggers one, whatever their count."""
SAVE_COMMITTED_INTERVAL_S = 0.5
"""Shortest time between two writes of the commit index; limits the extra syncs under load."""


class StateMachine(Protocol):
    """The replicated state machine; has to be deterministic."""

    def apply(self, index: int, payload: bytes) -> Any:
        """
        Apply a committed command.

        :param index: its log index
        :param payload: the encoded command
        :return: its outcome
        """

    def snapshot(self) -> bytes:
        """:return: the encoded state"""

    def restore(self, data: bytes) -> None:
        """
        Replace the state.

        :param data: bytes from ``snapshot``; empty for the state before the first command
        """


class ReplicaStorage(Protocol):
    """Durable storage of a replica: the part of ``Storage`` that a driver uses."""

    @property
    def unsynced(self) -> bool:
        """:return: whether appended entries have not been synced yet"""

    def save_vote(self, term: int, voted_for: str | None) -> None:
        """See ``Storage``."""

    def append(self, entries: Sequence[Entry]) -> None:
        """See ``Storage``."""

    def sync(self) -> None:
        """See ``Storage``."""

    def install(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """See ``Storage``."""

    def save_committed(self, committed: Committed) -> None:
        """See ``Storage``."""


@dataclass(frozen=True, slots=True)
class Applied:
    """A committed command was applied."""

    index: int
    term: int
    outcome: Any


@dataclass(frozen=True, slots=True)
class Restored:
    """The state was replaced by a leader's snapshot; outcomes up to ``index`` are not known."""

    index: int


DriverOutput = Send | Applied | Restored | Accepted | Rejected | LeaderChanged
"""Output of a driver: messages to send, and changes that its caller has to react to."""


class Driver:
    """Runs one replica together with its storage and its state machine."""

    def __init__(
        self,
        replica: Replica,
        storage: ReplicaStorage,
        state_machine: StateMachine,
        snapshot_every_count: int,
    ) -> None:
        """
        Restore the state machine from the snapshot and the entries known to be committed after it.

        This makes the state readable before a leader is elected.

        :param replica: the replica
        :param storage: its durable storage
        :param state_machine: the state machine
        :param snapshot_every_count: entries after which a snapshot is taken
        """
        self.replica = replica
        self.applied_index = replica.state.log.snapshot.index
        self._storage = storage
        self._state_machine = state_machine
        self._snapshot_every_count = snapshot_every_count
        self._since_snapshot_bytes = 0
        self._deferred_sends: list[Send] = []
        self._saved_committed = replica.committed()
        self._save_committed_due_s = float("-inf")
        state_machine.restore(replica.state.log.snapshot.data)
        for entry in replica.state.log.between(self.applied_index + 1, self._saved_committed.index):
            # No caller waits for these outcomes.
            list(self._apply(entry))

    @property
    def unflushed(self) -> bool:
        """:return: whether ``flush`` has something to make durable or to send"""
        return bool(self._deferred_sends) or self._storage.unsynced

    @property
    def since_snapshot_bytes(self) -> int:
        """:return: size of the commands applied since the newest snapshot"""
        return self._since_snapshot_bytes

    def step(self, event: Event, now_s: float) -> Iterator[DriverOutput]:
        """
        Process one event; messages that require a sync first are deferred until ``flush``.

        :param event: the event
        :param now_s: monotonic time
        :return: messages to send and changes to react to; has to be exhausted
        """
        for effect in self.replica.step(event, now_s):
            yield from self._execute(effect)

    def flush(self, now_s: float) -> Iterator[DriverOutput]:
        """
        Sync the entries of all events since the last call at once, then send deferred messages.

        :param now_s: monotonic time
        :return: messages to send and changes to react to; has to be exhausted
        """
        while self.unflushed:
            yield from self.step(Flush(), now_s)
            synced_index = self.replica.state.log.last_index
            self._storage.sync()
            deferred_sends, self._deferred_sends = self._deferred_sends, []
            yield from deferred_sends
            yield from self.step(Synced(synced_index), now_s)
        yield from self._snapshot_if_due(now_s)
        self._save_committed(now_s)

    def _save_committed(self, now_s: float) -> None:
        committed = self.replica.committed()
        if committed == self._saved_committed or now_s < self._save_committed_due_s:
            return
        self._saved_committed = committed
        self._save_committed_due_s = now_s + SAVE_COMMITTED_INTERVAL_S
        self._storage.save_committed(committed)

    def _execute(self, effect: Effect) -> Iterator[DriverOutput]:
        match effect:
            case SaveVote(term, voted_for):
                self._storage.save_vote(term, voted_for)
            case StoreEntries(entries):
                self._storage.append(entries)
            case InstallSnapshot(snapshot, entries):
                self._storage.install(snapshot, entries)
                self._state_machine.restore(snapshot.data)
                self.applied_index = snapshot.index
                self._since_snapshot_bytes = 0
                yield Restored(snapshot.index)
            case Send(after_sync=True):
                self._deferred_sends.append(effect)
            case Commit(entries):
                for entry in entries:
                    yield from self._apply(entry)
            case Send() | Accepted() | Rejected() | LeaderChanged():
                yield effect

    def _apply(self, entry: Entry) -> Iterator[DriverOutput]:
        self.applied_index = entry.index
        self._since_snapshot_bytes += len(entry.payload)
        if entry.members is None:
            outcome = self._state_machine.apply(entry.index, entry.payload)
            yield Applied(entry.index, entry.term, outcome)

    def _snapshot_if_due(self, now_s: float) -> Iterator[DriverOutput]:
        state = self.replica.state
        since_snapshot_count = self.applied_index - state.log.snapshot.index
        if (
            since_snapshot_count < self._snapshot_every_count
            and self._since_snapshot_bytes < SNAPSHOT_THRESHOLD_BYTES
        ):
            return
        index = self.applied_index
        snapshot = Snapshot(
            index,
            state.log.term(index) or 0,
            state.log.members_at(index),
            self._state_machine.snapshot(),
        )
        self._storage.install(snapshot, state.log.between(index + 1, state.log.last_index))
        self._since_snapshot_bytes = 0
        yield from self.step(Compacted(snapshot), now_s)


__all__ = ["Applied", "Driver", "DriverOutput", "ReplicaStorage", "Restored", "StateMachine"]
