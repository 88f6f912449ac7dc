"""
Load shedding on new connections.

While processor time is short, requests are refused before the HTTP server parses them, at a small
part of the cost of serving one.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from camphorvalve.http.sending import LINGERING_CLOSE_S
from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Mapping

    from camphorvalve.sharing.intake import Intake

    ProtocolFactory = Callable[[], asyncio.Protocol]

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 64 << 10
"""Maximum size of a request head that is parsed here; the HTTP server handles longer ones."""


@dataclass(frozen=True, slots=True)
class Undecided:
    """The head of the request is not complete yet."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The HTTP server takes over the connection and the bytes received so far."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request gets an error response and the connection is closed."""

    answer: bytes
    """The complete HTTP response."""
    unread_bytes: int | None
    """Bytes of the request body that have not arrived, ``None`` if the length is unknown."""

    def is_fully_read(self) -> bool:
        """:return: whether the whole request has been received"""
        return self.unread_bytes is not None and self.unread_bytes <= 0

    def after_receiving(self, size_bytes: int) -> Refused:
        """
        Subtract received bytes from the unread part of the body.

        :param size_bytes: number of received bytes
        :return: the decision with the smaller unread part
        """
        if self.unread_bytes is None:
            return self
        return replace(self, unread_bytes=self.unread_bytes - size_bytes)


Decision = Undecided | Accepted | Refused


class RefusedRequest(NamedTuple):
    """Data from the head of a refused request, for logs and accounting of demand."""

    request_id: str | None
    team: str | None
    cost_tokens: float
    """Estimated cost for an engine; 0 for a request without a prompt."""


def lack_of_time(retry_after_s: float) -> RequestError:
    """
    Build the error of a request that was refused while processor time was short.

    :param retry_after_s: time after which the caller may retry
    :return: the error
    """
    message = "the router has too little processor time for this request"
    return RequestError("overloaded", message, retry_after_s=round(retry_after_s, 3))


class ConnectionGuard:
    """Applies the intake's decisions to new connections, and builds the responses of refusals."""

    def __init__(
        self,
        intake: Intake,
        request_id_header: str,
        find_team: Callable[[str | None], str | None],
        key_header: str,
        estimate_cost_tokens: Callable[[Mapping[str, str]], float],
        on_refused: Callable[[RefusedRequest], None],
    ) -> None:
        """
        Create the guard.

        :param intake: decides which connections are accepted
        :param request_id_header: lower-case name of the header with the request id
        :param find_team: returns the team that a key belongs to
        :param key_header: lower-case name of the header with the team's key
        :param estimate_cost_tokens: estimates the cost of a request for an engine from its headers
        :param on_refused: called with each refused request
        """
        self._intake = intake
        self._request_id_header = request_id_header
        self._find_team = find_team
        self._key_header = key_header
        self._estimate_cost_tokens = estimate_cost_tokens
        self._on_refused = on_refused

    def admit(
        self, connection: socket.socket, protocol_factory: ProtocolFactory
    ) -> asyncio.Protocol | None:
        """
        Choose the protocol of a new connection; decide at once if the request has arrived.

        :param connection: accepted socket in non-blocking mode
        :param protocol_factory: creates the protocol of the HTTP server
        :return: the protocol for the connection, or ``None`` if the connection was refused and
            closed
        """
        if self._intake.accepts_unparsed():
            return protocol_factory()
        protocol = AdmissionProtocol(self, protocol_factory)
        try:
            data = connection.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return protocol
        except OSError:
            data = b""
        response = protocol.feed(data)
        if response:
            # The caller may have disconnected in the meantime.
            with contextlib.suppress(OSError):
                connection.send(response)
        if data and not protocol.is_finished():
            return protocol
        connection.close()
        return None

    def decide(self, head: bytes) -> Accepted | Refused:
        """
        Accept or refuse a request.

        :param head: request line and headers
        :return: the decision; a refusal contains a complete response with ``connection: close``
        """
        headers = _parse_headers(head)
        team = self._find_team(headers.get(self._key_header))
        if self._intake.accepts(team):
            return Accepted()
        request_id = headers.get(self._request_id_header)
        self._on_refused(RefusedRequest(request_id, team, self._estimate_cost_tokens(headers)))
        retry_after_s = self._intake.retry_after_s(team)
        error = lack_of_time(retry_after_s)
        content = msgspec.json.encode(error.body(request_id))
        lines = [
            f"HTTP/1.1 {error.status} ",
            "content-type: application/json",
            f"content-length: {len(content)}",
            "connection: close",
            f"retry-after: {retry_after_s:.3f}",
        ]
        if request_id is not None:
            lines.append(f"{self._request_id_header}: {request_id}")
        response = "\r\n".join(lines).encode("latin-1") + HEAD_END
        if not head.startswith(b"HEAD "):
            response += content
        return Refused(response, _declared_body_bytes(headers))


class AdmissionProtocol(asyncio.Protocol):
    """
    Protocol of a connection until it is accepted or refused.

    Reads the head of the first request, and then either hands the connection over to the HTTP
    server, or sends an error response and closes the connection.
    """

    def __init__(self, guard: ConnectionGuard, protocol_factory: ProtocolFactory) -> None:
        """
        Create the protocol.

        :param guard: accepts or refuses the request
        :param protocol_factory: creates the protocol of the HTTP server
        """
        self._guard = guard
        self._protocol_factory = protocol_factory
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._decision: Decision = Undecided()
        self._timer: asyncio.TimerHandle | None = None

    def is_finished(self) -> bool:
        """:return: whether the request was refused and has been received completely"""
        match self._decision:
            case Refused() as refused:
                return refused.is_fully_read()
            case _:
                return False

    def feed(self, data: bytes) -> bytes:
        """
        Process received bytes.

        :param data: received bytes
        :return: the response if these bytes complete the head of a refused request, else empty
        """
        match self._decision:
            case Refused() as refused:
                self._decision = refused.after_receiving(len(data))
                return b""
        self._received += data
        end = self._received.find(HEAD_END)
        if end < 0:
            if len(self._received) > MAX_HEAD_BYTES:
                self._decision = Accepted()
            return b""
        match self._guard.decide(bytes(self._received[:end])):
            case Refused(response) as refused:
                self._decision = refused.after_receiving(len(self._received) - end - len(HEAD_END))
                return response
            case accepted:
                self._decision = accepted
                return b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """
        Hand the connection over if it is accepted, else start the timeout for the request.

        :param transport: transport of the connection
        """
        self._transport = transport  # type: ignore[assignment]
        match self._decision:
            case Accepted():
                self._hand_over()
            case _:
                self._timer = asyncio.get_running_loop().call_later(
                    LINGERING_CLOSE_S, self._on_timeout
                )

    def data_received(self, data: bytes) -> None:
        """
        Decide when the head is complete; close when a refused request has been received.

        :param data: received bytes
        """
        response = self.feed(data)
        if response:
            self._transport.write(response)
        match self._decision:
            case Accepted():
                self._hand_over()
            case Refused() as refused if refused.is_fully_read():
                # Closing a socket with unread bytes resets the connection, and the caller may lose
                # the response.
                self._transport.close()

    def eof_received(self) -> bool:
        """:return: false, so that the transport is closed when the caller closes its side"""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """
        Cancel the timeout.

        :param exc: the connection error, ``None`` after a regular close
        """
        if self._timer is not None:
            self._timer.cancel()

    def _on_timeout(self) -> None:
        match self._decision:
            case Refused():
                self._transport.close()
            case _:
                # The HTTP server has its own timeouts for slow callers.
                self._hand_over()

    def _hand_over(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        successor = self._protocol_factory()
        self._transport.set_protocol(successor)
        successor.connection_made(self._transport)
        if self._received:
            successor.data_received(bytes(self._received))


def _parse_headers(head: bytes) -> dict[str, str]:
    """
    Parse the headers of a request into values by lower-case name.

    The first of several headers with the same name is used. Values with unprintable characters
    are dropped, since they can't be copied into the response.
    """
    headers: dict[str, str] = {}
    for line in head.split(b"\r\n")[1:]:
        key, _, value = line.partition(b":")
        headers.setdefault(key.lower().decode("latin-1"), value.strip().decode("latin-1"))
    return {name: value for name, value in headers.items() if value.isprintable()}


def _declared_body_bytes(headers: dict[str, str]) -> int | None:
    if "transfer-encoding" in headers:
        return None
    length = headers.get("content-length", "0")
    return int(length) if length.isdecimal() else None


__all__ = [
    "Accepted",
    "AdmissionProtocol",
    "ConnectionGuard",
    "Refused",
    "RefusedRequest",
    "Undecided",
    "lack_of_time",
]
