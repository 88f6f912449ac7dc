"""Checksummed small files that are replaced atomically."""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING

from crc32c import crc32c

if TYPE_CHECKING:
    from pathlib import Path

_CHECKSUM = struct.Struct("<I")


class DamagedError(Exception):
    """A file is missing or corrupt."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        """
        Describe the damage.

        :param path: the file
        :param offset: first byte that is known to be wrong
        :param reason: what is wrong
        """
        super().__init__(f"{path}: offset {offset}: {reason}")
        self.path = path
        self.offset = offset


def write_checksummed(path: Path, data: bytes) -> None:
    """
    Replace a file atomically and durably: after a crash it holds the old content or the new one.

    :param path: the file
    :param data: its content
    """
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(_CHECKSUM.pack(crc32c(data)))
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def create_empty(path: Path) -> None:
    """
    Create an empty file durably; without its own sync, a power loss may remove a new file.

    :param path: the file
    """
    with path.open("wb") as file:
        os.fsync(file.fileno())
    sync_folder(path.parent)


def read_checksummed(path: Path) -> bytes:
    """
    Read a file written by ``write_checksummed`` and verify its checksum.

    :param path: the file
    :return: its content
    :raises DamagedError: it is missing or its checksum is wrong
    """
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        raise DamagedError(path, 0, "the file is missing") from None
    if len(content) < _CHECKSUM.size:
        raise DamagedError(path, len(content), "the checksum is missing")
    data = content[_CHECKSUM.size :]
    if _CHECKSUM.unpack_from(content)[0] != crc32c(data):
        raise DamagedError(path, _CHECKSUM.size, "the checksum is wrong")
    return data


def sync_folder(folder: Path) -> None:
    """
    Make the directory entries of a folder durable.

    :param folder: the folder
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


__all__ = ["DamagedError", "create_empty", "read_checksummed", "sync_folder", "write_checksummed"]
