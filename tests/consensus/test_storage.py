"""Tests that entries, votes and snapshots survive a restart, and that corruption is detected."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import mock

from camphorvalve.consensus.files import DamagedError
from camphorvalve.consensus.members import host_of
from camphorvalve.consensus.messages import Entry, Snapshot
from camphorvalve.consensus.replica import Committed
from camphorvalve.consensus.storage import bootstrap, first_identities, open_storage

if TYPE_CHECKING:
    from camphorvalve.consensus.replica import PersistentState

HOSTS = ("a", "b", "c")


def entries(first_index: int, count: int, term: int = 1) -> tuple[Entry, ...]:
    return tuple(
        Entry(index, term, None, f"payload-{index}".encode())
        for index in range(first_index, first_index + count)
    )


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"

    def stored(self) -> PersistentState:
        storage = open_storage(self.folder, "a")
        storage.close()
        return storage.stored

    def write(self, *batches: tuple[Entry, ...]) -> bytes:
        """Write batches to an empty folder, and return the content of the log file."""
        for path in self.folder.glob("*"):
            path.unlink()
        storage = open_storage(self.folder, "a")
        for batch in batches:
            storage.append(batch)
            storage.sync()
        storage.close()
        return (self.folder / "log").read_bytes()

    def test_an_empty_folder_gets_a_new_identity_without_members(self) -> None:
        first = self.stored()
        self.assertEqual(self.stored(), first)
        self.assertEqual((host_of(first.identity), first.snapshot.members), ("a", ()))
        self.write()
        self.assertNotEqual(self.stored().identity, first.identity)

    def test_bootstrap_is_done_once_and_agrees_on_the_members(self) -> None:
        own = bootstrap(self.folder, "a", HOSTS, "first-fleet")
        stored = self.stored()
        self.assertEqual(stored.identity, own)
        self.assertEqual(stored.snapshot.members, first_identities(HOSTS, "first-fleet"))
        self.assertFalse(
            set(first_identities(HOSTS, "first-fleet")) & set(first_identities(HOSTS, "other"))
        )
        with self.assertRaisesRegex(FileExistsError, "only once"):
            bootstrap(self.folder, "a", HOSTS, "first-fleet")
        with self.assertRaisesRegex(ValueError, "'z' is not among"):
            bootstrap(self.folder / "z", "z", HOSTS, "first-fleet")

    def test_only_syncs_of_entries_are_counted(self) -> None:
        storage = open_storage(self.folder, "a")
        self.addCleanup(storage.close)
        for batch in (entries(1, 2), entries(3, 1)):
            storage.append(batch)
            storage.sync()
            storage.sync()
        stats = storage.take_sync_stats()
        self.assertEqual((stats.count, stats.longest_s > 0), (2, True))
        self.assertEqual(storage.take_sync_stats().count, 0)

    def test_what_was_synced_is_read_back(self) -> None:
        cases = {
            "nothing": ((), ()),
            "one batch": ((entries(1, 3),), entries(1, 3)),
            "replaced tail": (
                (entries(1, 5), entries(3, 2, term=2)),
                (*entries(1, 2), *entries(3, 2, 2)),
            ),
            "replaced whole": ((entries(1, 5), entries(1, 1, term=2)), entries(1, 1, 2)),
        }
        for name, (batches, expected) in cases.items():
            with self.subTest(name):
                self.write(*batches)
                self.assertEqual(self.stored().entries, expected)

    def test_buffered_entries_share_one_sync(self) -> None:
        storage = open_storage(self.folder, "a")
        storage.append(entries(1, 5))
        storage.append(entries(6, 5))
        storage.append(entries(9, 1, term=2))
        with mock.patch("os.fsync", wraps=os.fsync) as fsync:
            storage.sync()
            storage.sync()
        self.assertEqual(fsync.call_count, 1)
        storage.close()
        self.assertEqual(self.stored().entries, (*entries(1, 8), *entries(9, 1, 2)))

    def test_the_vote_is_stored(self) -> None:
        storage = open_storage(self.folder, "a")
        storage.save_vote(7, "b#1")
        storage.close()
        self.assertEqual(self.stored()[1:3], (7, "b#1"))

    def test_a_snapshot_replaces_what_it_covers(self) -> None:
        storage = open_storage(self.folder, "a")
        storage.append(entries(1, 9))
        storage.sync()
        before = (self.folder / "log").read_bytes()
        snapshot = Snapshot(6, 1, ("a#1",), b"state")
        storage.install(snapshot, entries(7, 3))
        storage.append(entries(10, 1))
        storage.sync()
        storage.close()
        self.assertEqual(self.stored()[3:], (snapshot, entries(7, 4), Committed(0, 0)))
        (self.folder / "log").write_bytes(before)
        self.assertEqual(
            self.stored()[3:],
            (snapshot, entries(7, 3), Committed(0, 0)),
            "crash before the rewrite",
        )
        storage.install(snapshot._replace(term=2), ())
        (self.folder / "log").write_bytes(before)
        self.assertEqual(self.stored().entries, (), "entries of an older history")

    def test_an_incomplete_record_is_truncated_at_any_length(self) -> None:
        whole = self.write(entries(1, 2))
        content = self.write(entries(1, 2), entries(3, 2))
        for length in range(len(whole), len(content)):
            for tail in (b"", bytes(40)):
                with self.subTest(length=length, zeros=len(tail)):
                    if tail and length > len(whole):
                        continue
                    (self.folder / "log").write_bytes(content[:length] + tail)
                    self.assertEqual(self.stored().entries, entries(1, 2))
                    self.assertEqual((self.folder / "log").read_bytes(), whole)

    def test_any_other_corruption_is_reported_with_file_and_offset(self) -> None:
        record_bytes = len(self.write(entries(1, 2)))
        content = self.write(entries(1, 2), entries(3, 2))
        for offset in range(len(content)):
            with self.subTest(offset=offset):
                damaged = bytearray(content)
                damaged[offset] ^= 0x40
                (self.folder / "log").write_bytes(damaged)
                with self.assertRaises(DamagedError) as caught:
                    self.stored()
                self.assertIn(str(self.folder / "log"), str(caught.exception))
                self.assertEqual(caught.exception.offset, offset // record_bytes * record_bytes)
                self.assertEqual((self.folder / "log").read_bytes(), damaged)

    def test_damaged_or_missing_files_are_named(self) -> None:
        for name in ("identity", "vote", "snapshot", "log"):
            for fault in ("missing", "damaged"):
                with self.subTest(name, fault=fault):
                    self.write(entries(1, 2))
                    path = self.folder / name
                    content = path.read_bytes()
                    if fault == "missing":
                        path.unlink()
                    else:
                        path.write_bytes(content[:-1] + bytes([content[-1] ^ 1]))
                    with self.assertRaisesRegex(DamagedError, f"{path}: offset"):
                        open_storage(self.folder, "a")

    def test_the_commit_index_is_stored_and_only_a_hint(self) -> None:
        self.write(entries(1, 2))
        storage = open_storage(self.folder, "a")
        storage.save_committed(Committed(2, 1))
        storage.close()
        self.assertEqual(self.stored().committed, Committed(2, 1))
        path = self.folder / "committed"
        for fault, content in (("damaged", path.read_bytes()[:-1]), ("not a record", b"")):
            with self.subTest(fault):
                path.write_bytes(content)
                self.assertEqual(self.stored().committed, Committed(0, 0))

    def test_the_files_of_another_host_are_refused(self) -> None:
        self.write()
        with self.assertRaisesRegex(DamagedError, "not to 'b'"):
            open_storage(self.folder, "b")
