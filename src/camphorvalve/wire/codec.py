"""Tagged MessagePack: a type's name travels with its value."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, NamedTuple, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")


class DecodeError(Exception):
    """Bytes are not a value of the expected types; the text names the field."""


class TaggedCodec(Generic[T]):
    """Encodes values of a closed set of types."""

    def __init__(self, types: Iterable[type[T]]) -> None:
        """
        Prepare a decoder for each type.

        :param types: ``NamedTuple`` types or data classes with distinct names
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {kind.__name__: msgspec.msgpack.Decoder(kind) for kind in types}
        self._outer = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])

    def encode(self, value: T) -> bytes:
        """
        Encode a value.

        :param value: value of one of the codec's types
        :return: the bytes
        """
        return self._encoder.encode((type(value).__name__, value))

    def decode(self, data: bytes) -> T:
        """
        Decode a value.

        :param data: bytes from ``encode``
        :return: the value
        :raises DecodeError: unknown tag or wrong field
        """
        try:
            tag, payload = self._outer.decode(data)
            return self._decoders[tag].decode(payload)
        except KeyError as error:
            raise DecodeError(f"unknown type {error.args[0]!r}") from None
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise DecodeError(str(error)) from error


class Envelope(NamedTuple):
    """What every frame between processes carries."""

    sender_id: str
    incarnation: int
    """Start time of the sender in microseconds; a restart has a higher one."""
    message: Any


class EnvelopeCodec:
    """Encodes messages with their sender."""

    def __init__(self, types: Iterable[type]) -> None:
        """
        Prepare the codec.

        :param types: message types
        """
        self._messages: TaggedCodec[Any] = TaggedCodec(types)
        self._encoder = msgspec.msgpack.Encoder()
        self._outer = msgspec.msgpack.Decoder(tuple[str, int, bytes])

    def encode(self, envelope: Envelope) -> bytes:
        """
        Encode an envelope.

        :param envelope: sender and message
        :return: one frame
        """
        payload = self._messages.encode(envelope.message)
        return self._encoder.encode((envelope.sender_id, envelope.incarnation, payload))

    def decode(self, frame: bytes) -> Envelope:
        """
        Decode a frame.

        :param frame: bytes from ``encode``
        :return: sender and message
        :raises DecodeError: the frame or its message is malformed
        """
        try:
            sender_id, incarnation, payload = self._outer.decode(frame)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise DecodeError(str(error)) from error
        return Envelope(sender_id, incarnation, self._messages.decode(payload))


__all__ = ["DecodeError", "Envelope", "EnvelopeCodec", "TaggedCodec"]
