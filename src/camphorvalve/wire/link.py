"""ZeroMQ sockets of a process: one receives from all peers, and one per peer sends to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import structlog
import zmq
import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from camphorvalve.wire.codec import DecodeError, Envelope, EnvelopeCodec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable, Mapping
    from typing import Any

    from camphorvalve.wire.keys import KeyPair

SEND_QUEUE_COUNT = 4096
"""Messages that may be queued for a slow peer; further ones are dropped."""
RECONNECT_MS = 100
RECONNECT_MAX_MS = 500
CONNECT_TIMEOUT_MS = 500
"""During a network partition the kernel repeats its SYN packet after 1, 3 and 7 s. A new attempt
connects sooner once the partition ends, and a configuration has to arrive within 2 s."""
HANDSHAKE_TIMEOUT_MS = 1500
HEARTBEAT_MS = 500
"""A connection is closed when it has been silent for three heartbeat intervals."""
MAX_FRAME_BYTES = 16 << 20

_log = structlog.get_logger(__name__)


class Traffic(NamedTuple):
    """Messages and bytes that a link has carried since its start."""

    sent_count: int
    sent_bytes: int
    received_count: int
    received_bytes: int
    dropped_count: int


class Link:
    """Sends messages to peers by id and receives from all; drops messages instead of blocking."""

    def __init__(
        self,
        host_id: str,
        incarnation: int,
        bind_address: str,
        types: Iterable[type],
        keys: KeyPair | None,
        *,
        ids_are_addresses: bool = False,
    ) -> None:
        """
        Prepare the link; ``open`` binds its receiving socket.

        :param host_id: id of this process
        :param incarnation: start time of this process in microseconds
        :param bind_address: address to receive on, such as ``tcp://127.0.0.1:7000``
        :param types: message types that are supported
        :param keys: the fleet's CURVE keys; ``None`` disables authentication and encryption
        :param ids_are_addresses: whether the id of a peer is its IP address and port
        """
        self.host_id = host_id
        self.incarnation = incarnation
        self._bind_address = bind_address
        self._codec = EnvelopeCodec(types)
        self._keys = keys
        self._ids_are_addresses = ids_are_addresses
        self._context = zmq.asyncio.Context()
        self._plain_context = zmq.Context(self._context)
        self._receiver = self._context.socket(zmq.PULL)
        self._senders: dict[str, zmq.Socket] = {}
        self._addresses: dict[str, str] = {}
        self._authenticator: AsyncioAuthenticator | None = None
        self._counts = [0, 0, 0, 0, 0]

    def open(self) -> None:
        """Bind the receiving socket; has to be called on the event loop."""
        if self._keys is not None:
            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                credentials_provider=_FleetKeyCredentials(self._keys.public)
            )
            self._receiver.curve_server = True
            self._receiver.curve_secretkey = self._keys.secret.encode()
            self._receiver.curve_publickey = self._keys.public.encode()
        self._receiver.linger = 0
        self._receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._receiver.bind(self._bind_address)

    def close(self) -> None:
        """Close all sockets; queued messages are dropped."""
        for sender in self._senders.values():
            sender.close(0)
        self._senders.clear()
        self._receiver.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def set_peers(self, addresses: Mapping[str, str]) -> None:
        """
        Replace the peer addresses; connections to removed or changed addresses are closed.

        :param addresses: peer address by host id
        """
        for host_id in [id_ for id_, old in self._addresses.items() if addresses.get(id_) != old]:
            self._addresses.pop(host_id)
            if sender := self._senders.pop(host_id, None):
                sender.close(0)
        for host_id, address in addresses.items():
            if host_id != self.host_id and host_id not in self._addresses:
                self._addresses[host_id] = address

    def disconnect_except(self, peer_ids: Iterable[str]) -> None:
        """
        Close the connections to all other peers.

        :param peer_ids: ids of the peers whose connections are kept
        """
        for peer_id in self._senders.keys() - set(peer_ids):
            self._senders.pop(peer_id).close(0)

    def send(self, peer_id: str, message: Any) -> bool:
        """
        Send a message, or drop it when the peer is unknown, disconnected or slow.

        :param peer_id: id of the receiving process
        :param message: value of one of the link's message types
        :return: whether the message was passed to the socket
        """
        sender = self._senders.get(peer_id)
        if sender is None:
            sender = self._open_sender(peer_id)
        if sender is None:
            self._counts[4] += 1
            return False
        frame = self._codec.encode(Envelope(self.host_id, self.incarnation, message))
        try:
            sender.send(frame, zmq.NOBLOCK)
        except zmq.Again:
            self._counts[4] += 1
            return False
        self._counts[0] += 1
        self._counts[1] += len(frame)
        return True

    async def receive(self) -> AsyncIterator[Envelope]:
        """
        Yield received messages; malformed frames are logged and dropped.

        :return: messages with their senders, in order of arrival
        """
        while True:
            try:
                frame = await self._receiver.recv()
            except zmq.Again:
                # pyzmq 27 reports a frame as readable that a closing connection has withdrawn.
                continue
            self._counts[2] += 1
            self._counts[3] += len(frame)
            try:
                yield self._codec.decode(frame)
            except DecodeError as error:
                _log.warning("frame dropped", reason=str(error), size_bytes=len(frame))

    def traffic(self) -> Traffic:
        """:return: messages and bytes carried since the start"""
        return Traffic(*self._counts)

    def _open_sender(self, peer_id: str) -> zmq.Socket | None:
        address = f"tcp://{peer_id}" if self._ids_are_addresses else self._addresses.get(peer_id)
        if address is None:
            return None
        # A plain socket suffices as sends never block; an asyncio one creates a future per send.
        sender = self._plain_context.socket(zmq.PUSH)
        sender.linger = 0
        sender.sndhwm = SEND_QUEUE_COUNT
        # Messages are dropped while disconnected; queued ones would be stale after a partition.
        sender.immediate = 1
        sender.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        sender.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        sender.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        sender.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        sender.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        sender.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3 * HEARTBEAT_MS)
        if self._keys is not None:
            sender.curve_serverkey = self._keys.public.encode()
            sender.curve_publickey = self._keys.public.encode()
            sender.curve_secretkey = self._keys.secret.encode()
        sender.connect(address)
        self._senders[peer_id] = sender
        return sender


class _FleetKeyCredentials:
    """Credentials provider that admits peers with the fleet's public key only."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """
        Decide whether a connecting peer is admitted.

        :param domain: ZAP domain, unused
        :param key: public key of the peer in Z85
        :return: whether it is the fleet's key
        """
        return key == self._public


__all__ = ["Link", "Traffic"]
