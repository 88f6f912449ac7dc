"""Configuration in force, its recent changes, and the outcomes of operations."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from camphorvalve.registry.commands import (
    CHANGE_CODEC,
    OUTCOME_CODEC,
    Change,
    ChangeConfiguration,
    Conflict,
    Done,
    Invalid,
    Outcome,
    PutManifest,
)
from camphorvalve.registry.configuration import (
    EMPTY,
    ChangeError,
    Configuration,
    apply_change,
    encode,
)
from camphorvalve.registry.manifests import refusal, replaces
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from collections.abc import Iterable

OPERATIONS_COUNT = 4096
"""Operation ids whose outcome is remembered; a day at the target size has 8,400 changes."""
CHANGES_COUNT = 1024
"""Changes that are kept to serve a router that lags; one that lags further gets a snapshot."""
CHANGES_BYTES = 1 << 20

_changes_decoder = msgspec.msgpack.Decoder(tuple[bytes, ...])


class Update(NamedTuple):
    """What brings a router from one revision to another."""

    from_revision: int
    """Zero when ``payload`` is a whole configuration."""
    to_revision: int
    payload: bytes


class Operation(NamedTuple):
    """A remembered operation."""

    operation_id: str
    outcome: bytes


class History:
    """The configuration and how it came about."""

    def __init__(self) -> None:
        """Start with the empty configuration."""
        self.configuration: Configuration = EMPTY
        self._changes: deque[bytes] = deque()
        self._changes_bytes = 0
        self._operations: dict[str, bytes] = {}

    def change(self, index: int, command: ChangeConfiguration) -> Outcome:
        """
        Apply an operator's change; a repeated operation gets its first outcome.

        :param index: log index of the command
        :param command: the command
        :return: its outcome
        """
        known = self._operations.get(command.operation_id)
        if known is not None:
            return OUTCOME_CODEC.decode(known)
        outcome = self._decide(index, command)
        self._operations[command.operation_id] = OUTCOME_CODEC.encode(outcome)
        while len(self._operations) > OPERATIONS_COUNT:
            self._operations.pop(next(iter(self._operations)))
        return outcome

    def put_manifest(self, index: int, command: PutManifest) -> Outcome:
        """
        Put a manifest in force; one that is not newer is acknowledged and changes nothing.

        :param index: log index of the command
        :param command: the command
        :return: its outcome
        """
        held = self.configuration.manifest
        if (refused := refusal(held, command.manifest)) is not None:
            return refused
        if replaces(held, command.manifest):
            self.configuration = apply_change(self.configuration, command)
            self._keep(CHANGE_CODEC.encode(command))
        return Done(self.configuration.revision, index)

    def update_from(self, revision: int) -> Update | None:
        """
        Build what a router needs that has a revision in force.

        :param revision: the router's revision
        :return: the update, or ``None`` when there is nothing newer
        """
        current = self.configuration.revision
        if revision >= current:
            return None
        missing = current - revision
        if revision > 0 and missing <= len(self._changes):
            changes = tuple(self._changes)[-missing:]
            return Update(revision, current, encode_changes(changes))
        return Update(0, current, encode(self.configuration))

    def operations(self) -> tuple[Operation, ...]:
        """:return: remembered operations, oldest first"""
        return tuple(Operation(*item) for item in self._operations.items())

    def changes(self) -> tuple[bytes, ...]:
        """:return: kept changes, oldest first; the last one made the current revision"""
        return tuple(self._changes)

    def load(
        self,
        configuration: Configuration,
        changes: Iterable[bytes],
        operations: Iterable[Operation],
    ) -> None:
        """
        Replace everything.

        :param configuration: configuration in force
        :param changes: from ``changes``
        :param operations: from ``operations``
        """
        self.configuration = configuration
        self._changes = deque(changes)
        self._changes_bytes = sum(map(len, self._changes))
        self._operations = dict(operations)

    def _decide(self, index: int, command: ChangeConfiguration) -> Outcome:
        revision = self.configuration.revision
        if command.expected_revision != revision:
            reason = f"expected revision {command.expected_revision}, it is {revision}"
            return Conflict(revision, reason)
        try:
            self.configuration = apply_change(
                self.configuration, CHANGE_CODEC.decode(command.change)
            )
        except (ChangeError, DecodeError) as error:
            return Invalid(str(error))
        self._keep(command.change)
        return Done(self.configuration.revision, index)

    def _keep(self, change: bytes) -> None:
        self._changes.append(change)
        self._changes_bytes += len(change)
        while len(self._changes) > CHANGES_COUNT or self._changes_bytes > CHANGES_BYTES:
            self._changes_bytes -= len(self._changes.popleft())


def encode_changes(changes: Iterable[bytes]) -> bytes:
    """
    Join encoded changes.

    :param changes: changes encoded by ``CHANGE_CODEC``
    :return: the payload of an update
    """
    return msgspec.msgpack.encode(tuple(changes))


def decode_changes(payload: bytes) -> tuple[Change, ...]:
    """
    Decode the payload of an update that is no snapshot.

    :param payload: bytes from ``encode_changes``
    :return: the changes, oldest first
    :raises DecodeError: the payload is malformed
    """
    try:
        encoded = _changes_decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise DecodeError(str(error)) from error
    return tuple(CHANGE_CODEC.decode(change) for change in encoded)


__all__ = [
    "History",
    "Operation",
    "Update",
    "decode_changes",
    "encode_changes",
]
