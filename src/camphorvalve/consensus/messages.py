"""Messages that replicas exchange, and the entries and snapshots that they carry."""

from __future__ import annotations

from typing import NamedTuple


class Entry(NamedTuple):
    """One entry of the replicated log."""

    index: int
    term: int
    members: tuple[str, ...] | None
    """Identities of the voting members from this entry on; ``None`` for a command."""
    payload: bytes


class Snapshot(NamedTuple):
    """Encoded state after all entries up to an index."""

    index: int
    term: int
    members: tuple[str, ...]
    data: bytes


class VoteRequest(NamedTuple):
    """A candidate's request for a vote; ``pre`` marks a pre-vote, which grants nothing yet."""

    sender: str
    receiver: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class Vote(NamedTuple):
    """Response to a ``VoteRequest``."""

    sender: str
    receiver: str
    term: int
    granted: bool
    pre: bool


class Append(NamedTuple):
    """Entries of the leader's log, or none as a heartbeat."""

    sender: str
    receiver: str
    term: int
    sent_s: float
    """Leader's monotonic time of sending; echoed in the response, meaningful only to the leader."""
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class Appended(NamedTuple):
    """Response to an ``Append``, and to the last chunk of a snapshot."""

    sender: str
    receiver: str
    term: int
    sent_s: float
    accepted: bool
    match_index: int
    """Last index known to match the leader's log; after a rejection, a hint where to retry."""


class SnapshotChunk(NamedTuple):
    """Part of a snapshot, for a replica that needs entries that the leader has discarded."""

    sender: str
    receiver: str
    term: int
    sent_s: float
    index: int
    index_term: int
    members: tuple[str, ...]
    offset: int
    total_bytes: int
    data: bytes


class ChunkStored(NamedTuple):
    """Response to a ``SnapshotChunk`` while the snapshot is still incomplete."""

    sender: str
    receiver: str
    term: int
    sent_s: float
    index: int
    held_bytes: int


class MemberSilence(NamedTuple):
    """How long a member has been silent."""

    member: str
    silent_s: float


class SilenceReport(NamedTuple):
    """
    The silent members, from the leader to its followers, and from a follower to a new leader.

    The monotonic clocks of hosts differ, so the report contains durations.
    """

    sender: str
    receiver: str
    term: int
    silences: tuple[MemberSilence, ...]


class Join(NamedTuple):
    """A replica that is no member, or hears from no leader, asks to be caught up and added."""

    sender: str


Message = (
    VoteRequest | Vote | Append | Appended | SnapshotChunk | ChunkStored | SilenceReport | Join
)
MESSAGES: tuple[type, ...] = (
    VoteRequest,
    Vote,
    Append,
    Appended,
    SnapshotChunk,
    ChunkStored,
    SilenceReport,
    Join,
)

__all__ = [
    "MESSAGES",
    "Append",
    "Appended",
    "ChunkStored",
    "Entry",
    "Join",
    "MemberSilence",
    "Message",
    "SilenceReport",
    "Snapshot",
    "SnapshotChunk",
    "Vote",
    "VoteRequest",
]
