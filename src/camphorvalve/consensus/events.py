"""Events that a replica processes, and effects that it requests in response."""

from __future__ import annotations

from dataclasses import dataclass

from camphorvalve.consensus.messages import Entry, Message, Snapshot


@dataclass(frozen=True, slots=True)
class Received:
    """A message from another replica has arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event; deadlines are checked."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Request to append a command, which only a leader accepts."""

    proposal_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConfirmLeadership:
    """Send heartbeats at once to confirm that this replica still leads, as a read requires."""


@dataclass(frozen=True, slots=True)
class Flush:
    """The current batch of events is complete; the leader sends the new entries."""


@dataclass(frozen=True, slots=True)
class Synced:
    """Entries up to ``index`` are durable in the log file."""

    index: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """A snapshot of the applied state is durable; entries that it covers may be discarded."""

    snapshot: Snapshot


Event = Received | Tick | Propose | ConfirmLeadership | Flush | Synced | Compacted


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Store term and vote durably before any message is sent."""

    term: int
    voted_for: str | None


@dataclass(frozen=True, slots=True)
class StoreEntries:
    """Write entries to the log, replacing all existing ones from the first index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replace the applied state with a snapshot, and the log with the entries after it."""

    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; with ``after_sync``, only once all earlier writes are durable."""

    message: Message
    after_sync: bool = True


@dataclass(frozen=True, slots=True)
class Commit:
    """Apply entries that are committed and can no longer change."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A proposal was appended at an index; until it is committed it may be overwritten."""

    proposal_id: str
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A proposal was rejected by a non-leader; ``leader`` is the leader's identity, if known."""

    proposal_id: str
    leader: str | None


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The known leader has changed; ``leader`` is ``None`` when there is none."""

    term: int
    leader: str | None


Effect = (
    SaveVote | StoreEntries | InstallSnapshot | Send | Commit | Accepted | Rejected | LeaderChanged
)

__all__ = [
    "Accepted",
    "Commit",
    "Compacted",
    "ConfirmLeadership",
    "Effect",
    "Event",
    "Flush",
    "InstallSnapshot",
    "LeaderChanged",
    "Propose",
    "Received",
    "Rejected",
    "SaveVote",
    "Send",
    "StoreEntries",
    "Synced",
    "Tick",
]
