"""Refuses requests on new connections at a small part of the cost of serving one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from camphorvalve.http.sending import LINGER_S
from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from camphorvalve.sharing.intake import Intake

    ProtocolFactory = Callable[[], asyncio.Protocol]

HEAD_END = b"\r\n\r\n"
MOST_HEAD_BYTES = 64 << 10
"""Longest head that is decided about; a longer one is left to the server."""


class ConnectionGuard:
    """Lets the intake decide about new connections, and answers the requests on refused ones."""

    def __init__(
        self,
        intake: Intake,
        request_id_name: str,
        team_of: Callable[[str | None], str | None],
        key_name: str,
        log: Callable[[str | None], None],
    ) -> None:
        """
        Prepare the answer.

        :param intake: decides
        :param request_id_name: header that carries the id of a request
        :param team_of: finds the team that holds a key
        :param key_name: header that carries the key
        :param log: takes the id of each request that was refused
        """
        self._intake = intake
        self._request_id_name = request_id_name
        self._team_of = team_of
        self._key_name = key_name
        self._log = log

    def admit(
        self, connection: socket.socket, protocol_factory: ProtocolFactory
    ) -> asyncio.Protocol | None:
        """
        Decide about a connection, at once if its request has arrived.

        :param connection: accepted and non-blocking
        :param protocol_factory: makes the server's protocol
        :return: the protocol that takes the connection over; ``None`` where it was refused and
            closed
        """
        if self._intake.takes_unseen():
            return protocol_factory()
        protocol = DecidingProtocol(self, protocol_factory)
        try:
            data = connection.recv(MOST_HEAD_BYTES)
        except BlockingIOError:
            return protocol
        except OSError:
            # The caller has left.
            connection.close()
            return None
        try:
            answer = protocol.take(data)
            if answer:
                connection.send(answer)
        except OSError:
            connection.close()
            return None
        if data and not protocol.complete:
            return protocol
        connection.close()
        return None

    def decide(self, head: bytes) -> bytes | None:
        """
        Decide about a request.

        :param head: its request line and headers
        :return: ``None`` if it is served, otherwise a whole answer that closes the connection
        """
        team = self._team_of(_field(head, self._key_name))
        if self._intake.takes(team):
            return None
        request_id = _field(head, self._request_id_name)
        self._log(request_id)
        retry_after_s = self._intake.retry_after_s(team)
        message = "this router is short of processor time"
        error = RequestError("overloaded", message, retry_after_s=round(retry_after_s, 3))
        content = msgspec.json.encode(error.body(request_id))
        lines = [
            f"HTTP/1.1 {error.status} ",
            "content-type: application/json",
            f"content-length: {len(content)}",
            "connection: close",
            f"retry-after: {retry_after_s:.3f}",
        ]
        if request_id is not None:
            lines.append(f"{self._request_id_name}: {request_id}")
        return "\r\n".join(lines).encode("latin-1") + HEAD_END + content


class DecidingProtocol(asyncio.Protocol):
    """Reads the head of the first request; then hands the connection over, or answers and ends."""

    def __init__(self, guard: ConnectionGuard, protocol_factory: ProtocolFactory) -> None:
        """
        Wait for a request.

        :param guard: decides about it
        :param protocol_factory: makes the server's protocol
        """
        self._guard = guard
        self._protocol_factory = protocol_factory
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._admitted = False
        self._answered = False
        self._unread_bytes: int | None = None
        """Bytes of a refused body that are to come, ``None`` if its length is not known."""
        self._timer: asyncio.TimerHandle | None = None

    @property
    def complete(self) -> bool:
        """:return: whether the request was refused and read to its end"""
        return self._answered and self._unread_bytes is not None and self._unread_bytes <= 0

    def take(self, data: bytes) -> bytes:
        """
        Read a part of the request.

        :param data: what arrived
        :return: the answer once the head is complete and refused, empty otherwise
        """
        if self._answered:
            self._read_body(len(data))
            return b""
        self._received += data
        end = self._received.find(HEAD_END)
        if end < 0:
            self._admitted = len(self._received) > MOST_HEAD_BYTES
            return b""
        head = bytes(self._received[:end])
        answer = self._guard.decide(head)
        if answer is None:
            self._admitted = True
            return b""
        self._answered = True
        self._unread_bytes = _body_bytes(head)
        self._read_body(len(self._received) - end - len(HEAD_END))
        return answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Go on, or wait for the rest of the request for a bounded time.

        :param transport: the loop's side of the connection
        """
        self._transport = transport  # type: ignore[assignment]
        if self._admitted:
            self._hand_over()
        else:
            self._timer = asyncio.get_running_loop().call_later(LINGER_S, self._end_waiting)

    def data_received(self, data: bytes) -> None:
        """
        Decide once the head is complete; close once the body of a refused request is.

        :param data: what the caller sent
        """
        answer = self.take(data)
        if self._admitted:
            self._hand_over()
            return
        if answer:
            self._transport.write(answer)
        # Closing with unread bytes resets the connection, and the caller may lose the answer.
        if self.complete:
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

    def _end_waiting(self) -> None:
        if self._answered:
            self._transport.close()
        else:
            # The server knows what to do with a caller that is slow.
            self._hand_over()

    def _hand_over(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        successor = self._protocol_factory()
        self._transport.set_protocol(successor)
        successor.connection_made(self._transport)
        if self._received:
            successor.data_received(bytes(self._received))

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


__all__ = ["ConnectionGuard", "DecidingProtocol"]
