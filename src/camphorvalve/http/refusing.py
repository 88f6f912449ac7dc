"""Refuses requests on new connections at a small part of the cost of serving one."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from camphorvalve.http.sending import LINGER_S
from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Mapping

    from camphorvalve.sharing.intake import Intake

    ProtocolFactory = Callable[[], asyncio.Protocol]

HEAD_END = b"\r\n\r\n"
MOST_HEAD_BYTES = 64 << 10
"""Longest head that is decided about; a longer one is left to the server."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The head of the request is not complete."""


@dataclass(frozen=True, slots=True)
class Taken:
    """The server takes the connection over, with all that has arrived."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is answered here, and the connection closed."""

    answer: bytes
    unread_bytes: int | None
    """Bytes of the body that are to come, ``None`` if its length is not known."""

    def is_read(self) -> bool:
        """:return: whether the request was read to its end"""
        return self.unread_bytes is not None and self.unread_bytes <= 0

    def after(self, size_bytes: int) -> Refused:
        """
        Count what has arrived of the body.

        :param size_bytes: bytes that have arrived
        :return: the request with less to come
        """
        if self.unread_bytes is None:
            return self
        return replace(self, unread_bytes=self.unread_bytes - size_bytes)


Decision = Undecided | Taken | Refused


class RefusedRequest(NamedTuple):
    """What the head of a request on a refused connection says."""

    request_id: str | None
    team: str | None
    cost_tokens: float
    """What the request would cost an engine; 0 for one without a prompt."""


class ConnectionGuard:
    """Lets the intake decide about new connections, and answers the requests on refused ones."""

    def __init__(
        self,
        intake: Intake,
        request_id_name: str,
        team_of: Callable[[str | None], str | None],
        key_name: str,
        cost_tokens: Callable[[Mapping[str, str]], float],
        on_refused: Callable[[RefusedRequest], None],
    ) -> None:
        """
        Prepare the answer.

        :param intake: decides
        :param request_id_name: header that carries the id of a request
        :param team_of: finds the team that holds a key
        :param key_name: header that carries the key
        :param cost_tokens: estimates what a request costs an engine, from its headers
        :param on_refused: takes each request that was refused
        """
        self._intake = intake
        self._request_id_name = request_id_name
        self._team_of = team_of
        self._key_name = key_name
        self._cost_tokens = cost_tokens
        self._on_refused = on_refused

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
            data = b""
        answer = protocol.take(data)
        if answer:
            # The caller may have left meanwhile.
            with contextlib.suppress(OSError):
                connection.send(answer)
        if data and not protocol.has_ended():
            return protocol
        connection.close()
        return None

    def decide(self, head: bytes) -> Taken | Refused:
        """
        Decide about a request.

        :param head: its request line and headers
        :return: the decision; a refusal has a whole answer that asks to close the connection
        """
        fields = _fields(head)
        team = self._team_of(fields.get(self._key_name))
        if self._intake.takes(team):
            return Taken()
        request_id = fields.get(self._request_id_name)
        self._on_refused(RefusedRequest(request_id, team, self._cost_tokens(fields)))
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
        answer = "\r\n".join(lines).encode("latin-1") + HEAD_END + content
        return Refused(answer, _body_bytes(fields))


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
        self._decision: Decision = Undecided()
        self._timer: asyncio.TimerHandle | None = None

    def has_ended(self) -> bool:
        """:return: whether the request was refused and read to its end"""
        match self._decision:
            case Refused() as refused:
                return refused.is_read()
            case _:
                return False

    def take(self, data: bytes) -> bytes:
        """
        Read a part of the request.

        :param data: what arrived
        :return: the answer once the head is complete and refused, empty otherwise
        """
        match self._decision:
            case Refused() as refused:
                self._decision = refused.after(len(data))
                return b""
        self._received += data
        end = self._received.find(HEAD_END)
        if end < 0:
            if len(self._received) > MOST_HEAD_BYTES:
                self._decision = Taken()
            return b""
        match self._guard.decide(bytes(self._received[:end])):
            case Refused(answer) as refused:
                self._decision = refused.after(len(self._received) - end - len(HEAD_END))
                return answer
            case taken:
                self._decision = taken
                return b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Go on, or wait for the rest of the request for a bounded time.

        :param transport: the loop's side of the connection
        """
        self._transport = transport  # type: ignore[assignment]
        match self._decision:
            case Taken():
                self._hand_over()
            case _:
                self._timer = asyncio.get_running_loop().call_later(LINGER_S, self._end_waiting)

    def data_received(self, data: bytes) -> None:
        """
        Decide once the head is complete; close once the body of a refused request is.

        :param data: what the caller sent
        """
        answer = self.take(data)
        if answer:
            self._transport.write(answer)
        match self._decision:
            case Taken():
                self._hand_over()
            case Refused() as refused if refused.is_read():
                # With unread bytes the close would be a reset, and the caller may lose the answer.
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
        match self._decision:
            case Refused():
                self._transport.close()
            case _:
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


def _fields(head: bytes) -> dict[str, str]:
    """Read the headers by lower-case name: the first of each, without those that cannot be sent."""
    fields: dict[str, str] = {}
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        fields.setdefault(key.lower().decode("latin-1"), value.strip().decode("latin-1"))
    return {name: value for name, value in fields.items() if value.isprintable()}


def _body_bytes(fields: dict[str, str]) -> int | None:
    if "transfer-encoding" in fields:
        return None
    length = fields.get("content-length", "0")
    return int(length) if length.isdecimal() else None


__all__ = [
    "ConnectionGuard",
    "DecidingProtocol",
    "Refused",
    "RefusedRequest",
    "Taken",
    "Undecided",
]
