"""Adapts the registry state to the replicated log, whose entries are bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.registry.commands import COMMAND_CODEC, Invalid
from camphorvalve.registry.state import RegistryState
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from camphorvalve.registry.commands import Outcome


class RegistryMachine:
    """State machine to which the consensus driver applies committed commands."""

    def __init__(self) -> None:
        """Start with an empty state."""
        self.state = RegistryState()

    def apply(self, index: int, payload: bytes) -> Outcome:
        """
        Decode and apply a committed command.

        :param index: log index of the command
        :param payload: the command, encoded by ``COMMAND_CODEC``
        :return: outcome of the command; ``Invalid`` if it cannot be decoded
        """
        try:
            command = COMMAND_CODEC.decode(payload)
        except DecodeError as error:
            return Invalid(str(error))
        return self.state.apply(index, command)

    def snapshot(self) -> bytes:
        """:return: the encoded state"""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """
        Replace the state with a snapshot.

        :param data: bytes from ``snapshot``; empty for the state before the first command
        """
        self.state.restore(data)


__all__ = ["RegistryMachine"]
