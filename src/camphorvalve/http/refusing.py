"""Refuses requests on new connections at a small part of the cost of serving one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from camphorvalve.http.sending import LINGER_S
from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.intake import RETRY_AFTER_S

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from camphorvalve.sharing.intake import Intake

HEAD_END = b"\r\n\r\n"
MOST_HEAD_BYTES = 64 << 10
"""A longer head gets no answer: the connection is closed."""


class ConnectionGuard:
    """Lets the intake decide about new connections, and answers the requests on the others."""

    def __init__(
        self, intake: Intake, request_id_name: str, log: Callable[[str | None], None]
    ) -> None:
        """
        Prepare the answer.

        :param intake: decides
        :param request_id_name: header that carries the id of a request
        :param log: takes the id of each request that was refused
        """
        self._intake = intake
        self._request_id_name = request_id_name
        self._log = log
        self._error = RequestError(
            "overloaded", "this router is short of processor time", retry_after_s=RETRY_AFTER_S
        )

    def admits(self) -> bool:
        """:return: whether the next connection is served"""
        return self._intake.takes()

    def refuse(self, connection: socket.socket) -> RefusingProtocol | None:
        """
        Refuse the request on a connection that is not served.

        :param connection: accepted and non-blocking
        :return: the protocol that takes the connection over; ``None`` where all had arrived, so
            that the connection is answered and closed
        """
        protocol = RefusingProtocol(self.answer)
        try:
            data = connection.recv(MOST_HEAD_BYTES)
        except BlockingIOError:
            return protocol
        except OSError:
            # The caller has left.
            connection.close()
            return None
        answer = protocol.take(data)
        try:
            if answer:
                connection.send(answer)
        except OSError:
            connection.close()
            return None
        if data and not protocol.complete:
            return protocol
        connection.close()
        return None

    def answer(self, head: bytes) -> bytes:
        """
        Build the answer to a request.

        :param head: its request line and headers
        :return: a whole HTTP answer that asks to close the connection
        """
        request_id = _field(head, self._request_id_name)
        self._log(request_id)
        content = msgspec.json.encode(self._error.body(request_id))
        lines = [
            f"HTTP/1.1 {self._error.status} ",
            "content-type: application/json",
            f"content-length: {len(content)}",
            "connection: close",
            f"retry-after: {RETRY_AFTER_S:.3f}",
        ]
        if request_id is not None:
            lines.append(f"{self._request_id_name}: {request_id}")
        return "\r\n".join(lines).encode("latin-1") + HEAD_END + content


class RefusingProtocol(asyncio.Protocol):
    """Answers the first request on a connection, and closes the connection once it is read."""

    def __init__(self, answer: Callable[[bytes], bytes]) -> None:
        """
        Wait for a request.

        :param answer: builds the answer to the head of a request
        """
        self._answer = answer
        self._transport: asyncio.Transport
        self._head = bytearray()
        self._answered = False
        self._unread_bytes: int | None = None
        """Bytes of the body that are still to come, ``None`` if its length is not known."""
        self._timer: asyncio.TimerHandle | None = None

    @property
    def complete(self) -> bool:
        """:return: whether the request was answered and read to its end"""
        return self._answered and self._unread_bytes is not None and self._unread_bytes <= 0

    def take(self, data: bytes) -> bytes:
        """
        Read a part of the request.

        :param data: what arrived
        :return: the answer once the head is complete, empty before and after
        """
        if self._answered:
            self._read_body(len(data))
            return b""
        self._head += data
        end = self._head.find(HEAD_END)
        if end < 0:
            return b""
        head = bytes(self._head[:end])
        self._answered = True
        self._unread_bytes = _body_bytes(head)
        self._read_body(len(self._head) - end - len(HEAD_END))
        return self._answer(head)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Wait for the rest of the request for a bounded time.

        :param transport: the loop's side of the connection
        """
        self._transport = transport  # type: ignore[assignment]
        self._timer = asyncio.get_running_loop().call_later(LINGER_S, transport.close)

    def data_received(self, data: bytes) -> None:
        """
        Answer once the head is complete; close once the body is.

        :param data: what the caller sent
        """
        answer = self.take(data)
        if answer:
            self._transport.write(answer)
        # Closing with unread bytes resets the connection, and the caller may lose the answer.
        if self.complete or (not self._answered and len(self._head) > MOST_HEAD_BYTES):
            self._transport.close()

    def eof_received(self) -> bool:
        """:return: false, so that the connection is closed when the caller has left"""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Forget the timer.

        :param exc: why the connection broke, ``None`` after an orderly end
        """
        if self._timer is not None:
            self._timer.cancel()

    def _read_body(self, size_bytes: int) -> None:
        if self._unread_bytes is not None:
            self._unread_bytes -= size_bytes


def _field(head: bytes, name: str) -> str | None:
    wanted = name.encode()
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        if key.lower() == wanted:
            text = value.strip().decode("latin-1")
            return text if text.isprintable() else None
    return None


def _body_bytes(head: bytes) -> int | None:
    if _field(head, "transfer-encoding") is not None:
        return None
    length = _field(head, "content-length")
    if length is None:
        return 0
    return int(length) if length.isdecimal() else None


__all__ = ["ConnectionGuard", "RefusingProtocol"]
