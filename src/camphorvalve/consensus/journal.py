"""The log file: one record for each batch of entries that was synced together."""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING

import msgspec
import structlog
from crc32c import crc32c

from camphorvalve.consensus.files import DamagedError, sync_folder
from camphorvalve.consensus.messages import Entry

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence
    from pathlib import Path

_LENGTHS = struct.Struct("<II")
"""Size and checksum of the payload; the checksum of these 8 bytes follows."""
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _LENGTHS.size + _CHECKSUM.size
REWRITE_COUNT = 256
"""Entries in one record of a rewritten log."""

_log = structlog.get_logger(__name__)
_decoder = msgspec.msgpack.Decoder(tuple[Entry, ...])


class Journal:
    """An open log file."""

    def __init__(self, path: Path) -> None:
        """
        Open a log file for appending.

        :param path: the file
        """
        self._path = path
        self._file = path.open("ab", buffering=0)
        self._waiting: list[Entry] = []

    @property
    def unsynced(self) -> bool:
        """:return: whether entries wait for ``sync``"""
        return bool(self._waiting)

    def append(self, entries: Sequence[Entry]) -> None:
        """
        Buffer entries that replace all from the first one's index on.

        :param entries: consecutive entries
        """
        first_index = entries[0].index
        if self._waiting and self._waiting[-1].index >= first_index:
            self._waiting = [one for one in self._waiting if one.index < first_index]
        self._waiting.extend(entries)

    def sync(self) -> None:
        """Write all buffered entries as one record and sync it."""
        if not self._waiting:
            return
        _write(self._file.fileno(), _record(self._waiting))
        os.fsync(self._file.fileno())
        self._waiting = []

    def rewrite(self, entries: Sequence[Entry]) -> None:
        """
        Replace the file by one that holds exactly these entries.

        :param entries: consecutive entries
        """
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            for start in range(0, len(entries), REWRITE_COUNT):
                file.write(_record(entries[start : start + REWRITE_COUNT]))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        sync_folder(self._path.parent)
        self._file.close()
        self._file = self._path.open("ab", buffering=0)
        self._waiting = []

    def close(self) -> None:
        """Close the file; buffered entries are dropped."""
        self._file.close()


def read_journal(path: Path, snapshot_index: int) -> tuple[Entry, ...]:
    """
    Read the entries after a snapshot; a torn tail is cut off.

    :param path: the file
    :param snapshot_index: index of the last entry that the snapshot covers
    :return: consecutive entries from ``snapshot_index + 1`` on
    :raises DamagedError: a record other than a torn last one is damaged or missing
    """
    if not path.exists():
        raise DamagedError(path, 0, "the file is missing")
    entries: list[Entry] = []
    for offset, batch in _batches(path):
        last_index = entries[-1].index if entries else snapshot_index
        if batch[0].index > last_index + 1:
            reason = f"index {last_index + 1} is missing before index {batch[0].index}"
            raise DamagedError(path, offset, reason)
        if entries and batch[0].index <= last_index:
            del entries[max(0, batch[0].index - entries[0].index) :]
        entries.extend(one for one in batch if one.index > snapshot_index)
    return tuple(entries)


def _batches(path: Path) -> Iterator[tuple[int, tuple[Entry, ...]]]:
    content = path.read_bytes()
    offset = 0
    while offset < len(content):
        size_bytes = _payload_bytes(path, content, offset)
        end = offset + HEADER_BYTES + (size_bytes or 0)
        if size_bytes is None or end > len(content):
            _cut(path, offset, len(content))
            return
        payload = content[offset + HEADER_BYTES : end]
        if _LENGTHS.unpack_from(content, offset)[1] != crc32c(payload):
            # A torn record is shorter than its header says; a whole one was damaged later.
            raise DamagedError(path, offset, "the checksum of the record is wrong")
        try:
            batch = _decoder.decode(payload)
        except msgspec.MsgspecError as error:
            raise DamagedError(path, offset, f"the record is not readable: {error}") from error
        yield offset, batch
        offset = end


def _payload_bytes(path: Path, content: bytes, offset: int) -> int | None:
    """Read a record's size; ``None`` for a torn header."""
    header = content[offset : offset + HEADER_BYTES]
    if len(header) < HEADER_BYTES or not any(content[offset:]):
        return None
    if _CHECKSUM.unpack_from(header, _LENGTHS.size)[0] != crc32c(header[: _LENGTHS.size]):
        raise DamagedError(path, offset, "the checksum of the record's header is wrong")
    return _LENGTHS.unpack_from(header)[0]


def _cut(path: Path, offset: int, size_bytes: int) -> None:
    _log.warning("torn tail cut off", file=str(path), offset=offset, size_bytes=size_bytes - offset)
    with path.open("r+b") as file:
        file.truncate(offset)
        os.fsync(file.fileno())


def _record(entries: Sequence[Entry]) -> bytes:
    payload = msgspec.msgpack.encode(tuple(entries))
    lengths = _LENGTHS.pack(len(payload), crc32c(payload))
    return lengths + _CHECKSUM.pack(crc32c(lengths)) + payload


def _write(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


__all__ = ["HEADER_BYTES", "Journal", "read_journal"]
