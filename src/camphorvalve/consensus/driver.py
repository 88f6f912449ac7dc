"""Carries out the effects of a replica on its storage and on its state machine."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from camphorvalve.consensus.events import (
    Accepted,
    Commit,
    Compacted,
    Flush,
    Install,
    LeaderChanged,
    Refused,
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

SNAPSHOT_BYTES = 8 << 20
"""Bytes of commands after which a snapshot is taken, whatever their count."""
KEEP_COMMITTED_S = 0.5
"""Least time between two writes of what is committed, so that they add few syncs under load."""


class Machine(Protocol):
    """The replicated state machine; deterministic."""

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


class Files(Protocol):
    """The part of ``Storage`` that a driver needs."""

    @property
    def unsynced(self) -> bool:
        """:return: whether entries wait for ``sync``"""

    def save_vote(self, term: int, voted_for: str | None) -> None:
        """See ``Storage``."""

    def append(self, entries: Sequence[Entry]) -> None:
        """See ``Storage``."""

    def sync(self) -> None:
        """See ``Storage``."""

    def install(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """See ``Storage``."""

    def keep_committed(self, committed: Committed) -> None:
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


Report = Send | Applied | Restored | Accepted | Refused | LeaderChanged


class Driver:
    """One replica with its files and its state machine."""

    def __init__(
        self, replica: Replica, files: Files, machine: Machine, snapshot_every_count: int
    ) -> None:
        """
        Join the parts; the state machine is restored from the replica's snapshot and what is known
        to be committed after it, so that it can be read before a leader is elected.

        :param replica: the replica
        :param files: its storage
        :param machine: the state machine
        :param snapshot_every_count: entries after which a snapshot is taken
        """
        self.replica = replica
        self.applied_index = replica.state.log.snapshot.index
        self._files = files
        self._machine = machine
        self._snapshot_every_count = snapshot_every_count
        self._since_snapshot_bytes = 0
        self._held: list[Send] = []
        self._kept = replica.committed()
        self._keep_due_s = float("-inf")
        machine.restore(replica.state.log.snapshot.data)
        for entry in replica.state.log.between(self.applied_index + 1, self._kept.index):
            # Nobody waits for the outcome.
            list(self._apply(entry))

    @property
    def unflushed(self) -> bool:
        """:return: whether ``flush`` has something to make durable or to send"""
        return bool(self._held) or self._files.unsynced

    @property
    def since_snapshot_bytes(self) -> int:
        """:return: size of the commands applied since the newest snapshot"""
        return self._since_snapshot_bytes

    def step(self, event: Event, now_s: float) -> Iterator[Report]:
        """
        Take one event; what has to be durable first is held until ``flush``.

        :param event: the event
        :param now_s: monotonic time
        :return: messages to send and reports; has to be exhausted
        """
        for effect in self.replica.step(event, now_s):
            yield from self._carry_out(effect)

    def flush(self, now_s: float) -> Iterator[Report]:
        """
        Sync the entries of all events since the last call at once, then send what was held.

        :param now_s: monotonic time
        :return: messages to send and reports; has to be exhausted
        """
        while self.unflushed:
            yield from self.step(Flush(), now_s)
            synced_index = self.replica.state.log.last_index
            self._files.sync()
            held, self._held = self._held, []
            yield from held
            yield from self.step(Synced(synced_index), now_s)
        yield from self._compact(now_s)
        self._keep_committed(now_s)

    def _keep_committed(self, now_s: float) -> None:
        committed = self.replica.committed()
        if committed == self._kept or now_s < self._keep_due_s:
            return
        self._kept = committed
        self._keep_due_s = now_s + KEEP_COMMITTED_S
        self._files.keep_committed(committed)

    def _carry_out(self, effect: Effect) -> Iterator[Report]:
        match effect:
            case SaveVote(term, voted_for):
                self._files.save_vote(term, voted_for)
            case StoreEntries(entries):
                self._files.append(entries)
            case Install(snapshot, entries):
                self._files.install(snapshot, entries)
                self._machine.restore(snapshot.data)
                self.applied_index = snapshot.index
                self._since_snapshot_bytes = 0
                yield Restored(snapshot.index)
            case Send(after_sync=True):
                self._held.append(effect)
            case Commit(entries):
                for entry in entries:
                    yield from self._apply(entry)
            case Send() | Accepted() | Refused() | LeaderChanged():
                yield effect

    def _apply(self, entry: Entry) -> Iterator[Report]:
        self.applied_index = entry.index
        self._since_snapshot_bytes += len(entry.payload)
        if entry.members is None:
            outcome = self._machine.apply(entry.index, entry.payload)
            yield Applied(entry.index, entry.term, outcome)

    def _compact(self, now_s: float) -> Iterator[Report]:
        state = self.replica.state
        since_count = self.applied_index - state.log.snapshot.index
        if since_count < self._snapshot_every_count and self._since_snapshot_bytes < SNAPSHOT_BYTES:
            return
        index = self.applied_index
        snapshot = Snapshot(
            index, state.log.term(index) or 0, state.log.members_at(index), self._machine.snapshot()
        )
        self._files.install(snapshot, state.log.between(index + 1, state.log.last_index))
        self._since_snapshot_bytes = 0
        yield from self.step(Compacted(snapshot), now_s)


__all__ = ["Applied", "Driver", "Files", "Machine", "Report", "Restored"]
