"""State of a replica, and its role in the current term."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.consensus.events import LeaderChanged, SaveVote
from camphorvalve.consensus.log import Log

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect

NEVER_S = float("-inf")


class Timing(NamedTuple):
    """Intervals of the protocol."""

    election_timeout_s: float
    """Shortest silence of a leader after which an election starts; the longest is twice that."""
    heartbeat_s: float
    member_lost_s: float | None = None
    """Silence after which the leader removes a member; ``None`` keeps silent members. A member
    that comes back joins again with the log that it holds."""


@dataclass(slots=True)
class Incoming:
    """A snapshot that is being received."""

    index: int
    term: int
    data: bytearray


@dataclass(slots=True)
class Follower:
    """Takes entries from the leader, if one is known."""

    leader: str | None
    deadline_s: float
    incoming: Incoming | None = None


@dataclass(slots=True)
class Candidate:
    """Collects votes; ``pre`` only asks whether an election could be won."""

    pre: bool
    votes: set[str]
    deadline_s: float


@dataclass(slots=True)
class Progress:
    """What the leader knows of another replica."""

    next_index: int
    since_s: float
    match_index: int = 0
    acked_s: float = NEVER_S
    """Leader's clock when it sent the newest message that was answered."""
    reset_s: float = NEVER_S
    """Leader's clock at the last step back of ``next_index``."""
    offset: int = 0
    """Next byte of the snapshot to send."""


@dataclass(slots=True)
class Leader:
    """Replicates its log to the members and to learners."""

    opening_index: int
    """Index of the first entry of the term; nothing is committed before it is."""
    since_s: float
    heartbeat_due_s: float
    progress: dict[str, Progress] = field(default_factory=dict)


Role = Follower | Candidate | Leader


@dataclass(slots=True)
class ReplicaState:
    """All state of one replica."""

    identity: str
    timing: Timing
    random: Random
    opening: bytes
    """Command that each leader appends first."""
    term: int
    voted_for: str | None
    log: Log
    commit_index: int
    synced_index: int
    heard_s: float
    """When a leader was last heard; no vote is given within an election timeout of it."""
    role: Role

    @property
    def leader(self) -> str | None:
        """:return: identity of the known leader"""
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
        # The entry that made it a member may have been replaced, so that no leader knows of it.
        return not self.is_member or self.leader is None

    def others(self) -> tuple[str, ...]:
        """:return: the other members"""
        return tuple(member for member in self.log.members if member != self.identity)

    def next_deadline_s(self, now_s: float) -> float:
        """
        Draw when the next election starts, unless a leader is heard.

        :param now_s: current time
        :return: the time
        """
        return now_s + self.timing.election_timeout_s * (1 + self.random.random())


def answering(state: ReplicaState, sender: str, term: int, sent_s: float) -> Progress | None:
    """
    Note that a replica has answered this leader.

    :param state: the leader
    :param sender: the answering replica
    :param term: term of the answer
    :param sent_s: when the answered message was sent
    :return: what is known of the replica, ``None`` unless this replica leads in that term
    """
    match state.role:
        case Leader(progress=progress) if term == state.term and sender in progress:
            one = progress[sender]
            one.acked_s = max(one.acked_s, sent_s)
            return one
        case _:
            return None


def follow(state: ReplicaState, term: int, leader: str | None, now_s: float) -> Iterator[Effect]:
    """
    Become a follower, or stay one.

    :param state: the replica
    :param term: term to be in, not below the current one
    :param leader: identity of the leader, if known
    :param now_s: current time
    :return: effects
    """
    before = state.leader
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
    if before != leader:
        yield LeaderChanged(state.term, leader)


__all__ = [
    "answering",
    "NEVER_S",
    "Candidate",
    "Follower",
    "Incoming",
    "Leader",
    "Progress",
    "ReplicaState",
    "Role",
    "Timing",
    "follow",
]
