"""The current configuration, its recent changes, and the outcomes of recent operations."""

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
    EMPTY_CONFIGURATION,
    ChangeError,
    Configuration,
    apply_change,
    encode,
)
from camphorvalve.registry.manifests import find_rejection, is_newer
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_OPERATIONS_COUNT = 4096
"""Operations whose outcome is kept for repeated submissions: those of about half a day, as a day
at the target size has 8,400 changes."""
MAX_CHANGES_COUNT = 1024
"""Changes that are kept for routers that lag; a router that lags further gets the whole
configuration."""
MAX_CHANGES_BYTES = 1 << 20

_changes_decoder = msgspec.msgpack.Decoder(tuple[bytes, ...])


class Update(NamedTuple):
    """An update of a router's configuration from one revision to another."""

    from_revision: int
    """Zero when ``payload`` is a whole configuration."""
    to_revision: int
    payload: bytes


class Operation(NamedTuple):
    """A past operation and its encoded outcome."""

    operation_id: str
    outcome: bytes


class History:
    """The current configuration with its recent changes and operations."""

    def __init__(self) -> None:
        """Start with the empty configuration."""
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self._changes: deque[bytes] = deque()
        self._changes_bytes = 0
        self._operations: dict[str, bytes] = {}

    def change(self, index: int, command: ChangeConfiguration) -> Outcome:
        """
        Apply an operator's change; a repeated operation returns its first outcome.

        :param index: log index of the command
        :param command: the command
        :return: its outcome
        """
        encoded_outcome = self._operations.get(command.operation_id)
        if encoded_outcome is not None:
            return OUTCOME_CODEC.decode(encoded_outcome)
        outcome = self._apply_new(index, command)
        self._operations[command.operation_id] = OUTCOME_CODEC.encode(outcome)
        while len(self._operations) > MAX_OPERATIONS_COUNT:
            self._operations.pop(next(iter(self._operations)))
        return outcome

    def put_manifest(self, index: int, command: PutManifest) -> Outcome:
        """
        Apply a manifest; one that is not newer is acknowledged without effect.

        :param index: log index of the command
        :param command: the command
        :return: its outcome
        """
        current = self.configuration.manifest
        if (rejection := find_rejection(current, command.manifest)) is not None:
            return rejection
        if is_newer(current, command.manifest):
            self.configuration = apply_change(self.configuration, command)
            self._append_change(CHANGE_CODEC.encode(command))
        return Done(self.configuration.revision, index)

    def update_from(self, revision: int) -> Update | None:
        """
        Build the update for a router from its revision to the current one.

        :param revision: the router's revision
        :return: the update, or ``None`` when there is no newer revision
        """
        current = self.configuration.revision
        if revision >= current:
            return None
        missing_count = current - revision
        if revision > 0 and missing_count <= len(self._changes):
            changes = tuple(self._changes)[-missing_count:]
            return Update(revision, current, encode_changes(changes))
        return Update(0, current, encode(self.configuration))

    def operations(self) -> tuple[Operation, ...]:
        """:return: kept operations, oldest first"""
        return tuple(Operation(*item) for item in self._operations.items())

    def changes(self) -> tuple[bytes, ...]:
        """:return: kept changes, oldest first; the last one led to the current revision"""
        return tuple(self._changes)

    def load(
        self,
        configuration: Configuration,
        changes: Iterable[bytes],
        operations: Iterable[Operation],
    ) -> None:
        """
        Replace the whole history, as when a snapshot is restored.

        :param configuration: the current configuration
        :param changes: from ``changes``
        :param operations: from ``operations``
        """
        self.configuration = configuration
        self._changes = deque(changes)
        self._changes_bytes = sum(map(len, self._changes))
        self._operations = dict(operations)

    def _apply_new(self, index: int, command: ChangeConfiguration) -> Outcome:
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
        self._append_change(command.change)
        return Done(self.configuration.revision, index)

    def _append_change(self, change: bytes) -> None:
        self._changes.append(change)
        self._changes_bytes += len(change)
        while len(self._changes) > MAX_CHANGES_COUNT or self._changes_bytes > MAX_CHANGES_BYTES:
            self._changes_bytes -= len(self._changes.popleft())


def encode_changes(changes: Iterable[bytes]) -> bytes:
    """
    Encode a sequence of changes as the payload of an update.

    :param changes: changes encoded by ``CHANGE_CODEC``
    :return: the payload of an update
    """
    return msgspec.msgpack.encode(tuple(changes))


def decode_changes(payload: bytes) -> tuple[Change, ...]:
    """
    Decode the payload of an update that holds changes, not a whole configuration.

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
