"""Files of one replica: identity, term and vote, log, snapshot, and what is committed."""

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
    read_sealed,
    sync_folder,
    write_sealed,
)
from camphorvalve.consensus.journal import Journal, read_journal
from camphorvalve.consensus.members import host_of, identity
from camphorvalve.consensus.messages import Entry, Snapshot
from camphorvalve.consensus.replica import Committed, Stored

if TYPE_CHECKING:
    from collections.abc import Sequence

IDENTITY_FILE = "identity"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
LOG_FILE = "log"
COMMITTED_FILE = "committed"

SEED_LENGTH = 8

_log = structlog.get_logger(__name__)


class _Vote(NamedTuple):
    term: int
    voted_for: str | None


class Syncs(NamedTuple):
    """Syncs of the log over some time."""

    count: int = 0
    longest_s: float = 0.0


class Storage:
    """Open files of one replica; entries are buffered until ``sync``."""

    def __init__(self, folder: Path, stored: Stored, journal: Journal) -> None:
        """
        Keep open files; use ``open_storage``.

        :param folder: data folder
        :param stored: what the files hold
        :param journal: the open log file
        """
        self.stored = stored
        self._folder = folder
        self._journal = journal
        self._syncs = Syncs()

    @property
    def unsynced(self) -> bool:
        """:return: whether entries wait for ``sync``"""
        return self._journal.unsynced

    def save_vote(self, term: int, voted_for: str | None) -> None:
        """
        Store term and vote durably.

        :param term: current term
        :param voted_for: identity that got this replica's vote in the term
        """
        data = msgspec.msgpack.encode(_Vote(term, voted_for))
        write_sealed(self._folder / VOTE_FILE, data)

    def append(self, entries: Sequence[Entry]) -> None:
        """
        Add entries that replace all from the first one's index on.

        :param entries: the entries
        """
        self._journal.append(entries)

    def sync(self) -> None:
        """Make all appended entries durable with one write and one sync."""
        if not self._journal.unsynced:
            return
        started_s = time.perf_counter()
        self._journal.sync()
        longest_s = max(self._syncs.longest_s, time.perf_counter() - started_s)
        self._syncs = Syncs(self._syncs.count + 1, longest_s)

    def take_syncs(self) -> Syncs:
        """:return: the syncs since the last call"""
        syncs, self._syncs = self._syncs, Syncs()
        return syncs

    def install(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """
        Store a snapshot durably, then drop the entries that it covers.

        :param snapshot: the snapshot
        :param entries: all entries after it
        """
        write_sealed(self._folder / SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot))
        self._journal.rewrite(entries)

    def keep_committed(self, committed: Committed) -> None:
        """
        Store durably which entries need no election to be applied after a restart.

        :param committed: the newest committed entry, which the log file holds
        """
        write_sealed(self._folder / COMMITTED_FILE, msgspec.msgpack.encode(committed))

    def close(self) -> None:
        """Close the log file without syncing it."""
        self._journal.close()


def open_storage(folder: str | Path, host_id: str) -> Storage:
    """
    Open the files of a replica; an empty folder becomes that of a new replica.

    :param folder: data folder
    :param host_id: id of this host
    :return: the files
    :raises DamagedError: a file is damaged or belongs to another host
    """
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    if not (path / IDENTITY_FILE).exists():
        _create(path, identity(host_id, uuid.uuid4().hex[:12]), ())
    replica = read_sealed(path / IDENTITY_FILE).decode()
    if host_of(replica) != host_id:
        raise DamagedError(path / IDENTITY_FILE, 0, f"belongs to {replica!r}, not to {host_id!r}")
    vote = msgspec.msgpack.decode(read_sealed(path / VOTE_FILE), type=_Vote)
    snapshot = msgspec.msgpack.decode(read_sealed(path / SNAPSHOT_FILE), type=Snapshot)
    entries = read_journal(path / LOG_FILE, snapshot.index)
    if entries and entries[0].term < snapshot.term:
        # The process ended between storing a leader's snapshot and dropping the entries before it.
        entries = ()
    committed = _read_committed(path / COMMITTED_FILE)
    stored = Stored(replica, vote.term, vote.voted_for, snapshot, entries, committed)
    return Storage(path, stored, Journal(path / LOG_FILE))


def first_identities(host_ids: Sequence[str], seed: str) -> tuple[str, ...]:
    """
    Name the first members of a new fleet.

    :param host_ids: hosts of all first controllers
    :param seed: text drawn once for this fleet
    :return: identities; the same for the same hosts and seed
    """
    return tuple(
        identity(host_id, xxhash.xxh64_hexdigest(f"{seed}/{host_id}".encode())[:12])
        for host_id in sorted(host_ids)
    )


def bootstrap(folder: str | Path, host_id: str, members: Sequence[str], seed: str) -> str:
    """
    Create the folder of a first member of a new fleet; done once, never after a loss of the disk.

    The members may be this host alone: the others then start with empty folders and are added.

    :param folder: data folder, which has to be empty or absent
    :param host_id: id of this host
    :param members: hosts of all first members, this one included
    :param seed: text drawn once for this fleet; a repeated bootstrap has to draw another one
    :return: identity of the new replica
    :raises FileExistsError: the folder holds a replica
    :raises ValueError: this host is not among the members, or the seed is too short to be random
    """
    if len(seed) < SEED_LENGTH:
        # A second bootstrap under the same seed would bring back the identity of a lost disk.
        raise ValueError(f"seed: expected at least {SEED_LENGTH} random characters")
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    if (path / IDENTITY_FILE).exists():
        raise FileExistsError(f"{path}: holds a replica already; bootstrap is done only once")
    identities = first_identities(members, seed)
    own = [one for one in identities if host_of(one) == host_id]
    if not own:
        raise ValueError(f"host {host_id!r} is not among the first members {sorted(members)}")
    _create(path, own[0], identities)
    return own[0]


def _create(path: Path, replica: str, members: tuple[str, ...]) -> None:
    held = [name for name in (LOG_FILE, SNAPSHOT_FILE) if _holds_data(path / name)]
    if held:
        raise DamagedError(path / IDENTITY_FILE, 0, f"is missing, but {held} hold data")
    sync_folder(path.parent)
    write_sealed(path / VOTE_FILE, msgspec.msgpack.encode(_Vote(0, None)))
    snapshot = Snapshot(0, 0, members, b"")
    write_sealed(path / SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot))
    create_empty(path / LOG_FILE)
    # Written last: a folder without an identity was never used.
    write_sealed(path / IDENTITY_FILE, replica.encode())


def _read_committed(path: Path) -> Committed:
    if not path.exists():
        return Committed(0, 0)
    try:
        return msgspec.msgpack.decode(read_sealed(path), type=Committed)
    except (DamagedError, msgspec.MsgspecError) as error:
        # The next leader tells again what is committed.
        _log.warning("file of committed entries ignored", reason=str(error))
        return Committed(0, 0)


def _holds_data(path: Path) -> bool:
    if path.name == LOG_FILE:
        return path.exists() and os.path.getsize(path) > 0
    if not path.exists():
        return False
    return msgspec.msgpack.decode(read_sealed(path), type=Snapshot).index > 0


__all__ = ["Storage", "Syncs", "bootstrap", "first_identities", "open_storage"]
