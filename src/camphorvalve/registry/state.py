"""The replicated state machine: the same commands lead to the same state everywhere."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from camphorvalve.registry.commands import (
    AbortRun,
    AcceptWork,
    AssignWork,
    ChangeConfiguration,
    Command,
    ExpireRecords,
    FinishRun,
    LoseRun,
    Outcome,
    PutManifest,
    SettleOrder,
    StartRun,
    SubmitOrder,
    TakeLeadership,
)
from camphorvalve.registry.configuration import Configuration
from camphorvalve.registry.history import History, Operation
from camphorvalve.registry.orders import Leadership, Order, Orders
from camphorvalve.registry.records import Records
from camphorvalve.registry.runs import Record


class _Image(NamedTuple):
    """Content of a snapshot."""

    configuration: Configuration
    changes: tuple[bytes, ...]
    operations: tuple[Operation, ...]
    records: tuple[Record, ...]
    latest_s: float
    orders: tuple[Order, ...]
    leadership: Leadership


# A sorted order of sets makes the snapshots of equal states equal.
_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(_Image)


class RegistryState:
    """Configuration, records of work, and orders."""

    def __init__(self) -> None:
        """Start empty."""
        self.history = History()
        self.records = Records()
        self.orders = Orders()

    @property
    def configuration(self) -> Configuration:
        """:return: the configuration in force"""
        return self.history.configuration

    def apply(self, index: int, command: Command) -> Outcome:
        """
        Apply a committed command.

        :param index: its log index
        :param command: the command
        :return: its outcome
        """
        revision = self.configuration.revision
        match command:
            case ChangeConfiguration():
                return self.history.change(index, command)
            case PutManifest():
                return self.history.put_manifest(index, command)
            case (
                AcceptWork()
                | AssignWork()
                | StartRun()
                | AbortRun()
                | FinishRun()
                | LoseRun()
                | ExpireRecords()
            ):
                return self.records.apply(index, command, revision)
            case SubmitOrder() | SettleOrder() | TakeLeadership():
                return self.orders.apply(index, command, revision)

    def snapshot(self) -> bytes:
        """:return: the encoded state"""
        return _encoder.encode(
            _Image(
                self.configuration,
                self.history.changes(),
                self.history.operations(),
                tuple(self.records.all()),
                self.records.latest_s,
                self.orders.all(),
                self.orders.leadership,
            )
        )

    def restore(self, data: bytes) -> None:
        """
        Replace the state.

        :param data: bytes from ``snapshot``; empty for the state before the first command
        :raises msgspec.ValidationError: the bytes are not a snapshot; names the field
        """
        if not data:
            self.__init__()  # type: ignore[misc]
            return
        image = _decoder.decode(data)
        self.history.load(image.configuration, image.changes, image.operations)
        self.records.load(image.records, image.latest_s)
        self.orders.load(image.orders, image.leadership)


__all__ = ["RegistryState"]
