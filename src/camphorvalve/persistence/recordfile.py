"""A file of records that holds soft state: a fault of the disk costs the state, not the process."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

import structlog

from camphorvalve.consensus.files import sync_folder
from camphorvalve.persistence.frames import HEADER_BYTES, encode_frame, sound_payloads, write_all

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path

SYNC_RATIO = 0.02
"""Greatest share of the time that is spent in syncs, during which the process stands still."""
RETRY_S = 1.0
"""Time after a failed write until the next one."""
MIN_REWRITE_BYTES = 1 << 18
REWRITE_RATIO = 4
"""The file is rewritten when it is this many times as large as after it was rewritten last."""

_OPEN_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
_OPEN_MODE = 0o644

_log = structlog.get_logger(__name__)


class RecordFile:
    """
    Appends records to a file, and rewrites it when most of them are outdated.

    The content survives the process at once, and a loss of power once it has been synced.
    """

    def __init__(self, path: Path, clock: Callable[[], float] = time.monotonic) -> None:
        """
        Use a file; it is opened with the first write, which rewrites it.

        :param path: the file, in an existing folder
        :param clock: monotonic time
        """
        self._path = path
        self._clock = clock
        self._descriptor: int | None = None
        self._size_bytes = self._rewritten_bytes = 0
        self._is_synced = True
        self._next_sync_s = self._retry_s = float("-inf")
        self._failure = ""

    def read(self) -> list[bytes]:
        """:return: the records that a former process has written, up to the first damaged one"""
        try:
            content = self._path.read_bytes()
        except FileNotFoundError:
            return []
        except OSError as error:
            self._fail(error)
            return []
        payloads = list(sound_payloads(content))
        sound_bytes = sum(HEADER_BYTES + len(payload) for payload in payloads)
        if sound_bytes < len(content):
            # A loss of power cuts the last record off; anything else is a damaged disk.
            _log.warning(
                "end of the file ignored",
                file=str(self._path),
                offset=sound_bytes,
                size_bytes=len(content),
            )
        return payloads

    @property
    def must_rewrite(self) -> bool:
        """:return: whether ``rewrite`` has to be called in place of ``append``"""
        if self._descriptor is None:
            return True
        limit_bytes = max(MIN_REWRITE_BYTES, REWRITE_RATIO * self._rewritten_bytes)
        return self._size_bytes > limit_bytes and self._clock() >= self._next_sync_s

    @property
    def is_usable(self) -> bool:
        """:return: whether no write has failed in the last second"""
        return self._clock() >= self._retry_s

    @property
    def is_synced(self) -> bool:
        """:return: whether no record waits for ``sync``"""
        return self._is_synced

    def append(self, payload: bytes) -> None:
        """
        Write a record behind the others.

        :param payload: the record
        """
        if self._descriptor is None:
            return
        try:
            frame = encode_frame(payload)
            write_all(self._descriptor, frame)
            self._size_bytes += len(frame)
            self._is_synced = False
        except OSError as error:
            self._fail(error)

    def rewrite(self, payloads: Iterable[bytes]) -> None:
        """
        Replace all records durably; after a failure, the file holds the former ones.

        :param payloads: the new records
        """
        self.close()
        started_s = self._clock()
        temporary = self._path.with_suffix(".new")
        try:
            descriptor = os.open(temporary, _OPEN_FLAGS, _OPEN_MODE)
            # From here on, a failure closes it.
            self._descriptor = descriptor
            content = b"".join(map(encode_frame, payloads))
            write_all(descriptor, content)
            os.fsync(descriptor)
            temporary.replace(self._path)
            sync_folder(self._path.parent)
        except OSError as error:
            self._fail(error)
            return
        self._size_bytes = self._rewritten_bytes = len(content)
        self._record_sync(started_s)
        if self._failure:
            self._failure = ""
            _log.info("file can be used again", file=str(self._path))

    def sync(self) -> None:
        """Make the records durable, unless the last sync took long and is not long ago."""
        started_s = self._clock()
        if self._descriptor is None or self._is_synced or started_s < self._next_sync_s:
            return
        try:
            os.fdatasync(self._descriptor)
        except OSError as error:
            self._fail(error)
            return
        self._record_sync(started_s)

    def close(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _record_sync(self, started_s: float) -> None:
        self._is_synced = True
        ended_s = self._clock()
        self._next_sync_s = ended_s + (ended_s - started_s) / SYNC_RATIO

    def _fail(self, error: OSError) -> None:
        # What a failed write has left behind may hide the records that would follow.
        self.close()
        self._is_synced = True
        self._retry_s = self._clock() + RETRY_S
        if str(error) != self._failure:
            self._failure = str(error)
            _log.warning("file can't be used", file=str(self._path), reason=self._failure)


__all__ = ["RecordFile"]
