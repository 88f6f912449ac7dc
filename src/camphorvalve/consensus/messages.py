"""Messages between controllers, and what they replicate."""

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
    """State after all entries up to an index."""

    index: int
    term: int
    members: tuple[str, ...]
    data: bytes


class VoteRequest(NamedTuple):
    """A candidate asks for a vote; ``pre`` only asks whether a vote would be given."""

    sender: str
    receiver: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class Vote(NamedTuple):
    """Answer to a ``VoteRequest``."""

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
    """Leader's clock; only the leader interprets it, when the answer brings it back."""
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


class Appended(NamedTuple):
    """Answer to an ``Append``, and to the last chunk of a snapshot."""

    sender: str
    receiver: str
    term: int
    sent_s: float
    accepted: bool
    match_index: int
    """Last index known to equal the leader's log; after a refusal, where to try next."""


class SnapshotChunk(NamedTuple):
    """Part of a snapshot, for a replica that needs entries that the leader has dropped."""

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
    """Answer to a ``SnapshotChunk`` that leaves the snapshot incomplete."""

    sender: str
    receiver: str
    term: int
    sent_s: float
    index: int
    held_bytes: int


class Join(NamedTuple):
    """A replica that no leader knows asks to be brought up to date and added."""

    sender: str


Message = VoteRequest | Vote | Append | Appended | SnapshotChunk | ChunkStored | Join
MESSAGES: tuple[type, ...] = (
    VoteRequest,
    Vote,
    Append,
    Appended,
    SnapshotChunk,
    ChunkStored,
    Join,
)

__all__ = [
    "MESSAGES",
    "Append",
    "Appended",
    "ChunkStored",
    "Entry",
    "Join",
    "Message",
    "Snapshot",
    "SnapshotChunk",
    "Vote",
    "VoteRequest",
]
