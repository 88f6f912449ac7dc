"""Small files that are replaced as a whole and carry a checksum."""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING

from crc32c import crc32c

if TYPE_CHECKING:
    from pathlib import Path

_SEAL = struct.Struct("<I")


class DamagedError(Exception):
    """A file does not hold what was written to it."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        """
        Name the damage.

        :param path: the file
        :param offset: first byte that is known to be wrong
        :param reason: what is wrong
        """
        super().__init__(f"{path}: offset {offset}: {reason}")
        self.path = path
        self.offset = offset


def write_sealed(path: Path, data: bytes) -> None:
    """
    Replace a file durably: after a crash it holds the old content or the new one.

    :param path: the file
    :param data: its content
    """
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(_SEAL.pack(crc32c(data)))
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


def create_empty(path: Path) -> None:
    """
    Create an empty file durably; a power loss may drop a new file that was not synced itself.

    :param path: the file
    """
    with path.open("wb") as file:
        os.fsync(file.fileno())
    sync_folder(path.parent)


def read_sealed(path: Path) -> bytes:
    """
    Read a file from ``write_sealed``.

    :param path: the file
    :return: its content
    :raises DamagedError: it is missing or its checksum is wrong
    """
    try:
        content = path.read_bytes()
    except FileNotFoundError:
        raise DamagedError(path, 0, "the file is missing") from None
    if len(content) < _SEAL.size:
        raise DamagedError(path, len(content), "the checksum is missing")
    data = content[_SEAL.size :]
    if _SEAL.unpack_from(content)[0] != crc32c(data):
        raise DamagedError(path, _SEAL.size, "the checksum is wrong")
    return data


def sync_folder(folder: Path) -> None:
    """
    Make the names in a folder durable.

    :param folder: the folder
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


__all__ = ["DamagedError", "create_empty", "read_sealed", "sync_folder", "write_sealed"]
