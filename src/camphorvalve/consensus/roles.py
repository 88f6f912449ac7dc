"""In-memory state of a replica, its role in the current term, and transitions to follower."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.consensus.events import LeaderChanged, SaveVote, StoreEntries
from camphorvalve.consensus.log import Log
from camphorvalve.consensus.messages import Entry

if TYPE_CHECKING:
    from collections.abc import Generator, Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.messages import Appended, ChunkStored

NEVER_S = float("-inf")


class Timing(NamedTuple):
    """Timing parameters of the protocol."""

    election_timeout_s: float
    """Lower bound of the randomized election timeout; the upper bound is twice this value."""
    heartbeat_s: float
    member_lost_s: float | None = None
    """Silence after which the leader removes a member; ``None`` disables removal. A removed member
    that becomes reachable again rejoins with its existing log."""
    member_replaced_s: float | None = None
    """The same, shorter, for a member whose successor has joined; ``None`` applies
    ``member_lost_s`` to all."""


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot of which chunks are still being received."""

    index: int
    term: int
    data: bytearray


@dataclass(slots=True)
class Follower:
    """Receives entries from the leader, if one is known."""

    leader: str | None
    deadline_s: float
    incoming: IncomingSnapshot | None = None


@dataclass(slots=True)
class Candidate:
    """Collects votes; ``pre`` marks a pre-vote, which leaves the term unchanged."""

    pre: bool
    votes: set[str]
    deadline_s: float


@dataclass(slots=True)
class Progress:
    """Replication progress of another replica, as known to the leader."""

    next_index: int
    since_s: float
    earlier_silence_s: float = 0.0
    """Silence before ``since_s``, as reported by other replicas; void after an acknowledgement."""
    match_index: int = 0
    acked_s: float = NEVER_S
    """Leader's time when it sent the newest message that was acknowledged."""
    reset_s: float = NEVER_S
    """Leader's time when a rejection last reset ``next_index``."""
    offset: int = 0
    """Offset of the next snapshot chunk to send."""


@dataclass(slots=True)
class Leader:
    """Replicates its log to the other members and to learners."""

    term_start_index: int
    """Index of the first entry of the term; nothing is committed in the term before this entry."""
    since_s: float
    heartbeat_due_s: float
    progress: dict[str, Progress] = field(default_factory=dict)
    report_until_s: float = NEVER_S
    """When the reports of silent members end."""


Role = Follower | Candidate | Leader


@dataclass(slots=True)
class ReportedSilences:
    """Silent members as known to a replica that does not lead, with the time of the report."""

    received_s: float = NEVER_S
    silent_s: dict[str, float] = field(default_factory=dict)
    """Silence by member; the time since the report is not part of it."""


@dataclass(slots=True)
class ReplicaState:
    """Persistent and volatile state of one replica."""

    identity: str
    timing: Timing
    random: Random
    term_start_command: bytes
    """Command that this replica appends first whenever it becomes leader."""
    term: int
    voted_for: str | None
    log: Log
    commit_index: int
    synced_index: int
    heard_s: float
    """When a leader was last heard from; within an election timeout of it no vote is granted."""
    role: Role
    known_members: tuple[str, ...]
    """Members when ``record_growth`` was last called."""
    grown_s: float = NEVER_S
    """When a member was last added; not known after a restart."""
    reported: ReportedSilences = field(default_factory=ReportedSilences)

    @property
    def leader(self) -> str | None:
        """:return: identity of the leader, ``None`` if unknown"""
        match self.role:
            case Leader():
                return self.identity
            case Follower(leader=leader):
                return leader
            case _:
                return None

    @property
    def is_member(self) -> bool:
        """:return: whether this replica may vote"""
        return self.identity in self.log.members

    @property
    def wants_to_join(self) -> bool:
        """:return: whether to announce this replica to the leader"""
        # A member without a leader announces itself too: if the entry that added it was
        # overwritten, the leader does not know it.
        return not self.is_member or self.leader is None

    def other_members(self) -> tuple[str, ...]:
        """:return: identities of the other members"""
        return tuple(member for member in self.log.members if member != self.identity)

    def record_growth(self, now_s: float) -> None:
        """
        Record whether a member has been added since the last call.

        :param now_s: current time
        """
        if self.log.members != self.known_members:
            if not set(self.log.members) <= set(self.known_members):
                self.grown_s = now_s
            self.known_members = self.log.members

    def next_deadline_s(self, now_s: float) -> float:
        """
        Pick a randomized time for the next election unless a leader is heard from before then.

        :param now_s: current time
        :return: the time
        """
        return now_s + self.timing.election_timeout_s * (1 + self.random.random())


def record_ack(
    state: ReplicaState, response: Appended | ChunkStored, now_s: float
) -> Generator[Effect, None, Progress | None]:
    """
    Record that a replica has acknowledged a message of this leader; follow in a later term.

    :param state: the replica
    :param response: the response
    :param now_s: current time
    :return: effects; then the sender's progress, ``None`` unless this replica leads in that term
    """
    if response.term > state.term:
        yield from become_follower(state, response.term, None, now_s)
        return None
    match state.role:
        case Leader(progress=progress) if (
            response.term == state.term and response.sender in progress
        ):
            sender_progress = progress[response.sender]
            sender_progress.acked_s = max(sender_progress.acked_s, response.sent_s)
            return sender_progress
        case _:
            return None


def append_entry(
    state: ReplicaState, members: tuple[str, ...] | None, payload: bytes
) -> Iterator[Effect]:
    """
    Append an entry of the current term to the log of the leader.

    :param state: the leader
    :param members: the voting members from this entry on; ``None`` for a command
    :param payload: the encoded command
    :return: effects
    """
    entry = Entry(state.log.last_index + 1, state.term, members, payload)
    state.log.extend((entry,))
    yield StoreEntries((entry,))


def become_follower(
    state: ReplicaState, term: int, leader: str | None, now_s: float
) -> Iterator[Effect]:
    """
    Become a follower, or stay one.

    :param state: the replica
    :param term: term to enter, not below the current one
    :param leader: identity of the leader, if known
    :param now_s: current time
    :return: effects
    """
    previous_leader = state.leader
    if term > state.term:
        state.term = term
        state.voted_for = None
        yield SaveVote(term, None)
    if leader is not None:
        state.heard_s = now_s
    match state.role:
        case Follower(leader=known) as role if leader is not None and known in (None, leader):
            role.leader = leader
            role.deadline_s = state.next_deadline_s(now_s)
        case _:
            state.role = Follower(leader, state.next_deadline_s(now_s))
    if previous_leader != leader:
        yield LeaderChanged(state.term, leader)


__all__ = [
    "NEVER_S",
    "Candidate",
    "Follower",
    "IncomingSnapshot",
    "Leader",
    "Progress",
    "ReplicaState",
    "ReportedSilences",
    "Role",
    "Timing",
    "append_entry",
    "become_follower",
    "record_ack",
]
