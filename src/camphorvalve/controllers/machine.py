"""Joins the replicated log, which carries bytes, to the replicated state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.registry.commands import COMMAND_CODEC, Invalid
from camphorvalve.registry.state import RegistryState
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from camphorvalve.registry.commands import Outcome


class RegistryMachine:
    """The state machine that a driver applies committed commands to."""

    def __init__(self) -> None:
        """Start with an empty state."""
        self.state = RegistryState()

    def apply(self, index: int, payload: bytes) -> Outcome:
        """
        Apply a committed command.

        :param index: its log index
        :param payload: the command, encoded by ``COMMAND_CODEC``
        :return: its outcome
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
        Replace the state.

        :param data: bytes from ``snapshot``; empty for the state before the first command
        """
        self.state.restore(data)


__all__ = ["RegistryMachine"]
