"""One replica of the log: processes events and yields effects, without any I/O of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.consensus import (
    election,
    following,
    memberchanges,
    replication,
    silence,
    transfer,
)
from camphorvalve.consensus.events import (
    Compacted,
    ConfirmLeadership,
    Flush,
    Propose,
    Received,
    Synced,
    Tick,
)
from camphorvalve.consensus.log import Log
from camphorvalve.consensus.messages import (
    Append,
    Appended,
    ChunkStored,
    Entry,
    Join,
    SilenceReport,
    Snapshot,
    SnapshotChunk,
    Vote,
    VoteRequest,
)
from camphorvalve.consensus.roles import Follower, ReplicaState, Role, Timing

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from camphorvalve.consensus.events import Effect, Event
    from camphorvalve.consensus.messages import Message


class Committed(NamedTuple):
    """Index and term of the newest entry that a replica knows to be committed."""

    index: int
    term: int


class PersistentState(NamedTuple):
    """What a replica restores from its storage when it starts."""

    identity: str
    term: int
    voted_for: str | None
    snapshot: Snapshot
    entries: tuple[Entry, ...]
    committed: Committed = Committed(0, 0)
    """Lower bound: all earlier entries are committed, and later ones may be."""


class Replica:
    """Raft with pre-vote, check-quorum, leader lease, snapshots and single-step member changes."""

    def __init__(
        self,
        stored: PersistentState,
        timing: Timing,
        random: Random,
        now_s: float,
        term_start_command: bytes = b"",
    ) -> None:
        """
        Create a replica from its persistent state.

        :param stored: identity, term, vote, snapshot and entries
        :param timing: timing parameters of the protocol
        :param random: source of randomness for the election timeouts
        :param now_s: current time
        :param term_start_command: command that this replica appends first whenever it becomes
            leader
        """
        log = Log(stored.snapshot, stored.entries)
        self.state = ReplicaState(
            identity=stored.identity,
            timing=timing,
            random=random,
            term_start_command=term_start_command,
            term=stored.term,
            voted_for=stored.voted_for,
            log=log,
            commit_index=_commit_index(log, stored),
            synced_index=log.last_index,
            # Delays votes: a lease that this replica renewed before the restart may still hold.
            heard_s=now_s,
            role=Follower(None, 0.0),
            known_members=log.members,
        )
        self.state.role = Follower(None, self.state.next_deadline_s(now_s))

    def step(self, event: Event, now_s: float) -> Iterator[Effect]:
        """
        Process one event.

        :param event: the event
        :param now_s: monotonic time
        :return: effects in the order in which to execute them; has to be exhausted
        """
        state = self.state
        state.record_growth(now_s)
        yield from replication.check_quorum(state, now_s)
        match event:
            case Received(message):
                yield from self._receive(message, now_s)
            case Tick():
                yield from replication.send_heartbeats(state, now_s)
                yield from memberchanges.remove_silent_member(state, now_s)
                yield from election.check_election_timeout(state, now_s)
            case Propose():
                yield from replication.propose(state, event)
            case ConfirmLeadership():
                yield from replication.send_heartbeats(state, now_s, at_once=True)
            case Flush():
                yield from replication.send_pending(state, now_s, heartbeat=False)
            case Synced(index):
                state.synced_index = max(state.synced_index, index)
                yield from replication.advance_commit_index(state, now_s)
            case Compacted(snapshot):
                state.log.compact(snapshot)

    def lease_valid(self, now_s: float) -> bool:
        """
        Check whether this replica leads and no other replica can have become leader.

        :param now_s: monotonic time
        :return: whether the lease is valid
        """
        until_s = self.lease_until_s(now_s)
        return until_s is not None and now_s < until_s

    def lease_until_s(self, now_s: float) -> float | None:
        """
        Get the time at which the lease expires unless it is renewed.

        :param now_s: monotonic time
        :return: monotonic time, ``None`` unless this replica leads
        """
        return replication.lease_until_s(self.state, now_s)

    def majority_acked_s(self, now_s: float) -> float | None:
        """
        Get the latest time at which a majority is known to have accepted this leader.

        :param now_s: monotonic time
        :return: monotonic time, ``None`` unless this replica leads
        """
        return replication.majority_acked_s(self.state, now_s)

    def committed(self) -> Committed:
        """:return: the newest entry that is known to be committed"""
        index = self.state.commit_index
        return Committed(index, self.state.log.term(index) or 0)

    def _receive(self, message: Message, now_s: float) -> Iterator[Effect]:
        state = self.state
        if isinstance(message, Join):
            memberchanges.on_join(state, message.sender, now_s)
            return
        # Sent to another identity of this host, such as one whose disk was lost.
        if message.receiver != state.identity:
            return
        match message:
            case VoteRequest():
                yield from election.on_vote_request(state, message, now_s)
            case Vote():
                yield from election.on_vote(state, message, now_s)
            case Append():
                yield from following.on_append(state, message, now_s)
            case Appended():
                yield from replication.on_appended(state, message, now_s)
            case SnapshotChunk():
                yield from transfer.on_chunk(state, message, now_s)
            case ChunkStored():
                yield from transfer.on_chunk_stored(state, message, now_s)
            case SilenceReport():
                silence.on_report(state, message, now_s)


def _commit_index(log: Log, stored: PersistentState) -> int:
    """
    Determine the commit index after a restart.

    Logs that contain the same entry are identical up to it, so an entry with the stored index and
    term proves that all entries before it are the committed ones.
    """
    index, term = stored.committed
    known = index > stored.snapshot.index and log.term(index) == term
    return index if known else stored.snapshot.index


__all__ = ["Committed", "PersistentState", "Replica", "Role", "Timing"]
