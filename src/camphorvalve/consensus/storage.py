"""Files of one replica: identity, term and vote, log, snapshot, and commit index."""

from __future__ import annotations

import os
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import structlog
import xxhash

from camphorvalve.consensus.files import (
    DamagedError,
    create_empty,
    read_checksummed,
    sync_folder,
    write_checksummed,
)
from camphorvalve.consensus.journal import Journal, read_journal
from camphorvalve.consensus.members import host_of, identity
from camphorvalve.consensus.messages import Entry, Snapshot
from camphorvalve.consensus.replica import Committed, PersistentState

if TYPE_CHECKING:
    from collections.abc import Sequence

IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
COMMITTED_FILE = "committed"

MIN_SEED_LENGTH = 8

_log = structlog.get_logger(__name__)


class _TermAndVote(NamedTuple):
    term: int
    voted_for: str | None


class SyncStats(NamedTuple):
    """Number of log syncs since the last reading, and the longest of them."""

    count: int = 0
    longest_s: float = 0.0


class Storage:
    """Durable storage of one replica; entries are buffered until ``sync``."""

    def __init__(self, folder: Path, stored: PersistentState, journal: Journal) -> None:
        """
        Wrap files that are already open; callers use ``open_storage``.

        :param folder: data folder
        :param stored: the state read from the files
        :param journal: the open log file
        """
        self.stored = stored
        self._folder = folder
        self._journal = journal
        self._sync_stats = SyncStats()

    @property
    def unsynced(self) -> bool:
        """:return: whether appended entries have not been synced yet"""
        return self._journal.unsynced

    def save_vote(self, term: int, voted_for: str | None) -> None:
        """
        Store term and vote durably.

        :param term: current term
        :param voted_for: identity that got this replica's vote in the term
        """
        data = msgspec.msgpack.encode(_TermAndVote(term, voted_for))
        write_checksummed(self._folder / VOTE_FILE, data)

    def append(self, entries: Sequence[Entry]) -> None:
        """
        Buffer entries, replacing all existing ones from the first index on.

        :param entries: the entries
        """
        self._journal.append(entries)

    def sync(self) -> None:
        """Make all appended entries durable with one write and one sync."""
        if not self._journal.unsynced:
            return
        started_s = time.perf_counter()
        self._journal.sync()
        longest_s = max(self._sync_stats.longest_s, time.perf_counter() - started_s)
        self._sync_stats = SyncStats(self._sync_stats.count + 1, longest_s)

    def take_sync_stats(self) -> SyncStats:
        """:return: statistics of the syncs since the last call"""
        stats, self._sync_stats = self._sync_stats, SyncStats()
        return stats

    def install(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """
        Store a snapshot durably, then discard the entries that it covers.

        :param snapshot: the snapshot
        :param entries: all entries after it
        """
        write_checksummed(self._folder / SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot))
        self._journal.rewrite(entries)

    def save_committed(self, committed: Committed) -> None:
        """
        Store the commit index durably; after a restart, entries up to it are applied at once.

        :param committed: the newest committed entry, which is in the log file
        """
        write_checksummed(self._folder / COMMITTED_FILE, msgspec.msgpack.encode(committed))

    def close(self) -> None:
        """Close the log file without syncing it."""
        self._journal.close()


def open_storage(folder: str | Path, host_id: str) -> Storage:
    """
    Open the files of a replica; an empty folder is initialized for a new replica.

    :param folder: data folder
    :param host_id: id of this host
    :return: the open storage
    :raises DamagedError: a file is missing or corrupt, or the folder belongs to another host
    """
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    if not (path / IDENTITY_FILE).exists():
        _create_files(path, identity(host_id, uuid.uuid4().hex[:12]), ())
    replica = read_checksummed(path / IDENTITY_FILE).decode()
    if host_of(replica) != host_id:
        raise DamagedError(
            path / IDENTITY_FILE, 0, f"folder belongs to {replica!r}, not to {host_id!r}"
        )
    vote = msgspec.msgpack.decode(read_checksummed(path / VOTE_FILE), type=_TermAndVote)
    snapshot = msgspec.msgpack.decode(read_checksummed(path / SNAPSHOT_FILE), type=Snapshot)
    entries = read_journal(path / LOG_FILE, snapshot.index)
    if entries and entries[0].term < snapshot.term:
        # The process stopped after storing a leader's snapshot but before discarding the entries
        # of its own log, which may conflict with that snapshot.
        entries = ()
    committed = _read_committed(path / COMMITTED_FILE)
    stored = PersistentState(replica, vote.term, vote.voted_for, snapshot, entries, committed)
    return Storage(path, stored, Journal(path / LOG_FILE))


def first_identities(host_ids: Sequence[str], seed: str) -> tuple[str, ...]:
    """
    Derive the identities of the first members of a new fleet.

    :param host_ids: hosts of all first controllers
    :param seed: random text chosen once for this fleet
    :return: identities, which depend only on the hosts and the seed
    """
    return tuple(
        identity(host_id, xxhash.xxh64_hexdigest(f"{seed}/{host_id}".encode())[:12])
        for host_id in sorted(host_ids)
    )


def bootstrap(folder: str | Path, host_id: str, members: Sequence[str], seed: str) -> str:
    """
    Initialize the folder of a first member of a new fleet; never to be repeated on a lost disk.

    The members may be this host alone; other controllers then start with empty folders and join.

    :param folder: data folder, which has to be empty or absent
    :param host_id: id of this host
    :param members: hosts of all first members, this one included
    :param seed: random text chosen once for this fleet; a repeated bootstrap needs a new one
    :return: identity of the new replica
    :raises FileExistsError: the folder already contains a replica
    :raises ValueError: this host is not among the members, or the seed is too short to be random
    """
    if len(seed) < MIN_SEED_LENGTH:
        # A second bootstrap with the same seed would reuse the identity of a lost disk.
        raise ValueError(f"seed: expected at least {MIN_SEED_LENGTH} random characters")
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    if (path / IDENTITY_FILE).exists():
        raise FileExistsError(f"{path}: already contains a replica; bootstrap is done only once")
    identities = first_identities(members, seed)
    own = [replica for replica in identities if host_of(replica) == host_id]
    if not own:
        raise ValueError(f"host {host_id!r} is not among the first members {sorted(members)}")
    _create_files(path, own[0], identities)
    return own[0]


def _create_files(path: Path, replica: str, members: tuple[str, ...]) -> None:
    nonempty = [name for name in (LOG_FILE, SNAPSHOT_FILE) if _contains_data(path / name)]
    if nonempty:
        raise DamagedError(path / IDENTITY_FILE, 0, f"file is missing, but {nonempty} contain data")
    sync_folder(path.parent)
    write_checksummed(path / VOTE_FILE, msgspec.msgpack.encode(_TermAndVote(0, None)))
    snapshot = Snapshot(0, 0, members, b"")
    write_checksummed(path / SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot))
    create_empty(path / LOG_FILE)
    # Written last, so that a folder without an identity has never been used.
    write_checksummed(path / IDENTITY_FILE, replica.encode())


def _read_committed(path: Path) -> Committed:
    if not path.exists():
        return Committed(0, 0)
    try:
        return msgspec.msgpack.decode(read_checksummed(path), type=Committed)
    except (DamagedError, msgspec.MsgspecError) as error:
        # The commit index is only a hint; the next leader sends it again.
        _log.warning("unreadable commit index file ignored", reason=str(error))
        return Committed(0, 0)


def _contains_data(path: Path) -> bool:
    if path.name == LOG_FILE:
        return path.exists() and os.path.getsize(path) > 0
    if not path.exists():
        return False
    return msgspec.msgpack.decode(read_checksummed(path), type=Snapshot).index > 0


__all__ = ["Storage", "SyncStats", "bootstrap", "first_identities", "open_storage"]
