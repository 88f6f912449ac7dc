"""Records in a file, each with its size and checksums in front."""

from __future__ import annotations

import os
import struct
from typing import TYPE_CHECKING

from crc32c import crc32c

if TYPE_CHECKING:
    from collections.abc import Iterator

SIZE_AND_CHECKSUM = struct.Struct("<II")
"""Size and checksum of the payload; a checksum of these 8 bytes follows them."""
CHECKSUM = struct.Struct("<I")
HEADER_BYTES = SIZE_AND_CHECKSUM.size + CHECKSUM.size


def encode_frame(payload: bytes) -> bytes:
    """
    Put size and checksums in front of a payload.

    :param payload: any bytes
    :return: the record
    """
    size_and_checksum = SIZE_AND_CHECKSUM.pack(len(payload), crc32c(payload))
    return size_and_checksum + CHECKSUM.pack(crc32c(size_and_checksum)) + payload


def sound_payloads(content: bytes) -> Iterator[bytes]:
    """
    Yield the payloads of records up to the first one that is incomplete or damaged.

    :param content: records, one after the other
    :return: their payloads
    """
    offset = 0
    while offset + HEADER_BYTES <= len(content):
        size_bytes, checksum = SIZE_AND_CHECKSUM.unpack_from(content, offset)
        header = content[offset : offset + SIZE_AND_CHECKSUM.size]
        start = offset + HEADER_BYTES
        payload = content[start : start + size_bytes]
        is_sound = CHECKSUM.unpack_from(content, offset + SIZE_AND_CHECKSUM.size)[0] == crc32c(
            header
        )
        if not is_sound or len(payload) < size_bytes or crc32c(payload) != checksum:
            return
        yield payload
        offset = start + size_bytes


def write_all(descriptor: int, data: bytes) -> None:
    """
    Write all bytes to a file.

    :param descriptor: the open file
    :param data: the bytes
    :raises OSError: they could not be written, or not all of them
    """
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


__all__ = [
    "CHECKSUM",
    "HEADER_BYTES",
    "SIZE_AND_CHECKSUM",
    "encode_frame",
    "sound_payloads",
    "write_all",
]
