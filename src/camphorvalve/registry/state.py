"""The replicated state machine: the same commands lead to the same state on every replica."""

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


class _SnapshotContent(NamedTuple):
    """Content of a snapshot."""

    configuration: Configuration
    changes: tuple[bytes, ...]
    operations: tuple[Operation, ...]
    records: tuple[Record, ...]
    latest_s: float
    orders: tuple[Order, ...]
    leadership: Leadership


# Sets are encoded in sorted order, so that equal states have equal snapshots.
_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(_SnapshotContent)


class RegistryState:
    """The state: configuration, records of work, and orders."""

    def __init__(self) -> None:
        """Start with the state before the first command."""
        self.history = History()
        self.records = Records()
        self.orders = Orders()

    @property
    def configuration(self) -> Configuration:
        """:return: the current configuration"""
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
            _SnapshotContent(
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
        Replace the state by that of a snapshot.

        :param data: bytes from ``snapshot``; empty for the state before the first command
        :raises msgspec.ValidationError: the bytes are not a snapshot; names the field
        """
        if not data:
            self.__init__()  # type: ignore[misc]
            return
        content = _decoder.decode(data)
        self.history.load(content.configuration, content.changes, content.operations)
        self.records.load(content.records, content.latest_s)
        self.orders.load(content.orders, content.leadership)


__all__ = ["RegistryState"]
