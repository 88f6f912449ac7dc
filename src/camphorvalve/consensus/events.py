"""What happens to a replica, and what a replica wants to be done."""

from __future__ import annotations

from dataclasses import dataclass

from camphorvalve.consensus.messages import Entry, Message, Snapshot


@dataclass(frozen=True, slots=True)
class Received:
    """A message of another replica has arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Append a command, if this replica leads."""

    proposal_id: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class Confirm:
    """Ask the members at once whether this replica still leads; answers a read."""


@dataclass(frozen=True, slots=True)
class Flush:
    """The current batch of events is complete; new entries are sent."""


@dataclass(frozen=True, slots=True)
class Synced:
    """The log file holds the entries up to ``index`` durably."""

    index: int


@dataclass(frozen=True, slots=True)
class Compacted:
    """A snapshot of the applied state is stored; older entries may be dropped."""

    snapshot: Snapshot


Event = Received | Tick | Propose | Confirm | Flush | Synced | Compacted


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Store term and vote durably before anything is sent."""

    term: int
    voted_for: str | None


@dataclass(frozen=True, slots=True)
class StoreEntries:
    """Write entries to the log; they replace all entries from the first one's index on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Install:
    """Replace the applied state by a snapshot, and the log by the entries after it."""

    snapshot: Snapshot
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; ``after_sync`` holds it until all that was stored before is durable."""

    message: Message
    after_sync: bool = True


@dataclass(frozen=True, slots=True)
class Commit:
    """Apply entries, which will never change."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A proposal got an index; it is not committed yet and may still be replaced."""

    proposal_id: str
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal was not appended; ``leader`` is the leader's identity, if known."""

    proposal_id: str
    leader: str | None


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Another leader is known, or none."""

    term: int
    leader: str | None


Effect = SaveVote | StoreEntries | Install | Send | Commit | Accepted | Refused | LeaderChanged

__all__ = [
    "Accepted",
    "Commit",
    "Compacted",
    "Confirm",
    "Effect",
    "Event",
    "Flush",
    "Install",
    "LeaderChanged",
    "Propose",
    "Received",
    "Refused",
    "SaveVote",
    "Send",
    "StoreEntries",
    "Synced",
    "Tick",
]
