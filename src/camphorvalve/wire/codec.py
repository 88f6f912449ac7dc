"""MessagePack encoding of tagged unions: each value is preceded by the name of its type."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Generic, NamedTuple, TypeVar

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Errors that msgspec raises for invalid input."""


class DecodeError(Exception):
    """Bytes do not encode a value of the expected types; the message names the field."""


class TaggedCodec(Generic[T]):
    """Encodes and decodes values of a closed set of types."""

    def __init__(self, types: Iterable[type[T]]) -> None:
        """
        Prepare a decoder for each type.

        :param types: ``NamedTuple`` types or data classes with distinct names
        """
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders = {type_.__name__: msgspec.msgpack.Decoder(type_) for type_ in types}
        self._tagged_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])

    def encode(self, value: T) -> bytes:
        """
        Encode a value together with the name of its type.

        :param value: value of one of the codec's types
        :return: the encoded bytes
        """
        return self._encoder.encode((type(value).__name__, value))

    def decode(self, data: bytes) -> T:
        """
        Decode a value.

        :param data: bytes from ``encode``
        :return: the value
        :raises DecodeError: the type is unknown or a field is invalid
        """
        try:
            tag, payload = self._tagged_decoder.decode(data)
            return self._decoders[tag].decode(payload)
        except KeyError as error:
            raise DecodeError(f"unknown type {error.args[0]!r}") from None
        except DECODING_ERRORS as error:
            raise DecodeError(str(error)) from error


class Envelope(NamedTuple):
    """Content of a frame between processes: a message and its sender."""

    sender_id: str
    incarnation: int
    """Start time of the sender in microseconds; each restart has a higher one."""
    message: Any


class EnvelopeCodec:
    """Encodes messages together with their sender as frames, and decodes frames."""

    def __init__(self, types: Iterable[type]) -> None:
        """
        Prepare the codec.

        :param types: message types that are supported
        """
        self._messages: TaggedCodec[Any] = TaggedCodec(types)
        self._encoder = msgspec.msgpack.Encoder()
        self._frame_decoder = msgspec.msgpack.Decoder(tuple[str, int, bytes])

    def encode(self, envelope: Envelope) -> bytes:
        """
        Encode a message and its sender.

        :param envelope: sender and message
        :return: the frame
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
            sender_id, incarnation, payload = self._frame_decoder.decode(frame)
        except DECODING_ERRORS as error:
            raise DecodeError(str(error)) from error
        return Envelope(sender_id, incarnation, self._messages.decode(payload))


__all__ = ["DecodeError", "Envelope", "EnvelopeCodec", "TaggedCodec"]
