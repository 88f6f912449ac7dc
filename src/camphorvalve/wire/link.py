"""Sockets between the processes of the fleet: one that receives, one to each peer that sends."""

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
"""Messages that may wait for a slow peer before further ones are dropped."""
RECONNECT_MS = 100
RECONNECT_MAX_MS = 500
CONNECT_TIMEOUT_MS = 500
"""Behind a cut the kernel repeats its opening packet after 1, 3, 7 s; a new try is sooner there
once the cut has healed, and a configuration has to arrive within 2 s."""
HANDSHAKE_TIMEOUT_MS = 1500
HEARTBEAT_MS = 500
"""A connection that fell silent is given up after three of them."""
MAX_FRAME_BYTES = 16 << 20

_log = structlog.get_logger(__name__)


class Traffic(NamedTuple):
    """What a link has carried since it started."""

    sent_count: int
    sent_bytes: int
    received_count: int
    received_bytes: int
    dropped_count: int


class Link:
    """Sends to peers by id and receives from all of them; drops rather than waits."""

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
        Prepare the link; nothing is bound yet.

        :param host_id: id of this process
        :param incarnation: start time of this process in microseconds
        :param bind_address: address to receive on, such as ``tcp://127.0.0.1:7000``
        :param types: message types that are understood
        :param keys: the fleet's CURVE keys; ``None`` leaves the link open
        :param ids_are_addresses: whether the id of a peer is its IP number and port
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
        """Bind the receiving socket; has to run on the loop."""
        if self._keys is not None:
            self._authenticator = AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback(
                credentials_provider=_OnlyKey(self._keys.public)
            )
            self._receiver.curve_server = True
            self._receiver.curve_secretkey = self._keys.secret.encode()
            self._receiver.curve_publickey = self._keys.public.encode()
        self._receiver.linger = 0
        self._receiver.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._receiver.bind(self._bind_address)

    def close(self) -> None:
        """Close every socket; messages that wait are dropped."""
        for sender in self._senders.values():
            sender.close(0)
        self._senders.clear()
        self._receiver.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    def connect(self, addresses: Mapping[str, str]) -> None:
        """
        Set the peers; connections to peers that are gone or have moved are closed.

        :param addresses: peer address by host id
        """
        for host_id in [h for h, a in self._addresses.items() if addresses.get(h) != a]:
            self._addresses.pop(host_id)
            if sender := self._senders.pop(host_id, None):
                sender.close(0)
        for host_id, address in addresses.items():
            if host_id != self.host_id and host_id not in self._addresses:
                self._addresses[host_id] = address

    def keep_only(self, peer_ids: Iterable[str]) -> None:
        """
        Close the connections to all other peers.

        :param peer_ids: ids of the peers that messages may still go to
        """
        for peer_id in self._senders.keys() - set(peer_ids):
            self._senders.pop(peer_id).close(0)

    def send(self, peer_id: str, message: Any) -> bool:
        """
        Send one message, or drop it when the peer is unknown, away or slow.

        :param peer_id: id of the receiving process
        :param message: value of one of the link's types
        :return: whether the message was handed to the socket
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
        Yield what arrives; a malformed frame is logged and dropped.

        :return: envelopes in order of arrival
        """
        while True:
            try:
                frame = await self._receiver.recv()
            except zmq.Again:
                # pyzmq 27 reports a frame as readable that a closing connection has taken back.
                continue
            self._counts[2] += 1
            self._counts[3] += len(frame)
            try:
                yield self._codec.decode(frame)
            except DecodeError as error:
                _log.warning("frame dropped", reason=str(error), size_bytes=len(frame))

    def traffic(self) -> Traffic:
        """:return: what was carried since the start"""
        return Traffic(*self._counts)

    def _open_sender(self, peer_id: str) -> zmq.Socket | None:
        address = f"tcp://{peer_id}" if self._ids_are_addresses else self._addresses.get(peer_id)
        if address is None:
            return None
        # A plain socket: sends never wait, so that no future has to be made for each.
        sender = self._plain_context.socket(zmq.PUSH)
        sender.linger = 0
        sender.sndhwm = SEND_QUEUE_COUNT
        # Without a connection messages are dropped; queued ones would arrive stale after a cut.
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


class _OnlyKey:
    """Accepts exactly one public key."""

    def __init__(self, public: str) -> None:
        self._public = public.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """
        Decide whether a connecting peer may speak.

        :param domain: ZAP domain, unused
        :param key: raw public key of the peer in Z85
        :return: whether it is the fleet's key
        """
        return key == self._public


__all__ = ["Link", "Traffic"]
