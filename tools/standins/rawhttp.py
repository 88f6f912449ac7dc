"""HTTP on raw sockets for simulated workers, which may break the protocol on purpose."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
import struct
from typing import Any, NamedTuple

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a timeout of 0 s."""


class ReceivedRequest(NamedTuple):
    """Request as a worker received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """:return: the request's id, empty if it has none"""
        return self.headers.get("attempt-id", "")


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    """
    Read the next request of a connection.

    :param reader: the connection
    :return: the request, ``None`` when the caller has closed the connection
    :raises asyncio.IncompleteReadError: the connection ended inside the request
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = line.split(" ")
    pairs = (re.split(r":\s*", line, maxsplit=1) for line in lines if line)
    headers = {name.lower(): value for name, value in pairs}
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, target, headers, body)


def report_response(**fields: Any) -> bytes:
    """
    Encode the response to a call for a worker's report.

    :param fields: fields of the report that differ from those of an idle worker
    :return: the response
    """
    report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
    counts = {"busy": False, "sequence": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1}
    content = json.dumps({**report, **counts, "handles": 0, **fields}).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % len(content) + content


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """
    Close a connection so that the other side sees a reset.

    :param writer: the connection
    """
    sock: socket.socket | None = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


__all__ = ["ReceivedRequest", "read_request", "report_response", "reset_connection"]
