"""The log file on disk: one checksummed record per batch of entries that was synced together."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec
import structlog
from crc32c import crc32c

from camphorvalve.consensus.files import DamagedError, sync_folder
from camphorvalve.consensus.messages import Entry
from camphorvalve.persistence.frames import (
    CHECKSUM,
    HEADER_BYTES,
    SIZE_AND_CHECKSUM,
    encode_frame,
    write_all,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

REWRITE_BATCH_COUNT = 256
"""Entries in one record of a rewritten log."""

_log = structlog.get_logger(__name__)
_decoder = msgspec.msgpack.Decoder(tuple[Entry, ...])


class Journal:
    """Append-only log file, opened for writing; entries are buffered until ``sync``."""

    def __init__(self, path: Path) -> None:
        """
        Open a log file for appending.

        :param path: the file
        """
        self._path = path
        self._file = path.open("ab", buffering=0)
        self._buffered: list[Entry] = []

    @property
    def unsynced(self) -> bool:
        """:return: whether buffered entries have not been synced yet"""
        return bool(self._buffered)

    def append(self, entries: Sequence[Entry]) -> None:
        """
        Buffer entries, replacing all existing ones from the first index on.

        :param entries: consecutive entries
        """
        first_index = entries[0].index
        if self._buffered and self._buffered[-1].index >= first_index:
            self._buffered = [entry for entry in self._buffered if entry.index < first_index]
        self._buffered.extend(entries)

    def sync(self) -> None:
        """Write all buffered entries as one record and sync it."""
        if not self._buffered:
            return
        write_all(self._file.fileno(), _encode_record(self._buffered))
        os.fsync(self._file.fileno())
        self._buffered = []

    def rewrite(self, entries: Sequence[Entry]) -> None:
        """
        Replace the file atomically with one that holds exactly these entries.

        :param entries: consecutive entries
        """
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            for start in range(0, len(entries), REWRITE_BATCH_COUNT):
                file.write(_encode_record(entries[start : start + REWRITE_BATCH_COUNT]))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        sync_folder(self._path.parent)
        self._file.close()
        self._file = self._path.open("ab", buffering=0)
        self._buffered = []

    def close(self) -> None:
        """Close the file; buffered entries are discarded."""
        self._file.close()


def read_journal(path: Path, snapshot_index: int) -> tuple[Entry, ...]:
    """
    Read the entries after a snapshot; an incomplete record at the end is truncated.

    :param path: the file
    :param snapshot_index: index of the last entry that the snapshot covers
    :return: consecutive entries from ``snapshot_index + 1`` on
    :raises DamagedError: a record is corrupt or missing; an incomplete last one is no error
    """
    if not path.exists():
        raise DamagedError(path, 0, "the file is missing")
    entries: list[Entry] = []
    for offset, batch in _read_batches(path):
        last_index = entries[-1].index if entries else snapshot_index
        if batch[0].index > last_index + 1:
            reason = f"index {last_index + 1} is missing before index {batch[0].index}"
            raise DamagedError(path, offset, reason)
        if entries and batch[0].index <= last_index:
            del entries[max(0, batch[0].index - entries[0].index) :]
        entries.extend(entry for entry in batch if entry.index > snapshot_index)
    return tuple(entries)


def _read_batches(path: Path) -> Iterator[tuple[int, tuple[Entry, ...]]]:
    content = path.read_bytes()
    offset = 0
    while offset < len(content):
        size_bytes = _payload_size_bytes(path, content, offset)
        end = offset + HEADER_BYTES + (size_bytes or 0)
        if size_bytes is None or end > len(content):
            _truncate_tail(path, offset, len(content))
            return
        payload = content[offset + HEADER_BYTES : end]
        if SIZE_AND_CHECKSUM.unpack_from(content, offset)[1] != crc32c(payload):
            # An interrupted write leaves fewer bytes than the header says, so this record was
            # complete and has been corrupted since.
            raise DamagedError(path, offset, "the checksum of the record is wrong")
        try:
            batch = _decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise DamagedError(path, offset, f"the record cannot be decoded: {error}") from error
        yield offset, batch
        offset = end


def _payload_size_bytes(path: Path, content: bytes, offset: int) -> int | None:
    """Read a payload's size; ``None`` if the header is incomplete or only zeros are left."""
    header = content[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES or not any(content[offset:]):
        return None
    if CHECKSUM.unpack_from(header, SIZE_AND_CHECKSUM.size)[0] != crc32c(
        header[: SIZE_AND_CHECKSUM.size]
    ):
        raise DamagedError(path, offset, "the checksum of the record's header is wrong")
    return SIZE_AND_CHECKSUM.unpack_from(header)[0]


def _truncate_tail(path: Path, offset: int, size_bytes: int) -> None:
    _log.warning(
        "incomplete record at end of log truncated",
        file=str(path),
        offset=offset,
        size_bytes=size_bytes - offset,
    )
    with path.open("r+b") as file:
        file.truncate(offset)
        os.fsync(file.fileno())


def _encode_record(entries: Sequence[Entry]) -> bytes:
    return encode_frame(msgspec.msgpack.encode(tuple(entries)))


__all__ = ["HEADER_BYTES", "Journal", "read_journal"]
