"""The in-memory log: the newest snapshot and the entries that are still retained."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.messages import Entry, Snapshot

if TYPE_CHECKING:
    from collections.abc import Sequence

RETAINED_COUNT = 1024
"""Entries retained from before the snapshot, so that a slightly lagging replica needs no
snapshot."""
RETAINED_BYTES = 1 << 20
"""Limit on the size of the commands in these entries."""


class Log:
    """Entries with consecutive indexes; the oldest may have been discarded."""

    def __init__(self, snapshot: Snapshot, entries: Sequence[Entry]) -> None:
        """
        Create a log.

        :param snapshot: the stored snapshot
        :param entries: the entries after it
        """
        self.snapshot = snapshot
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries = list(entries)
        self._member_changes = [(snapshot.index, snapshot.members)]
        self._record_member_changes(entries)

    @property
    def base_index(self) -> int:
        """:return: index before the oldest entry that is still retained"""
        return self._base_index

    @property
    def last_index(self) -> int:
        """:return: index of the newest entry"""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """:return: term of the newest entry"""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def members(self) -> tuple[str, ...]:
        """:return: voting members as of the newest entry that changes them, committed or not"""
        return self._member_changes[-1][1]

    @property
    def members_index(self) -> int:
        """:return: index of the newest change of the members"""
        return self._member_changes[-1][0]

    def members_at(self, index: int) -> tuple[str, ...]:
        """
        Look up the voting members at an index.

        :param index: index of the entry, not below ``base_index``
        :return: their identities
        """
        return next(members for since, members in reversed(self._member_changes) if since <= index)

    def term(self, index: int) -> int | None:
        """
        Look up the term of an entry.

        :param index: index of the entry
        :return: its term, or ``None`` when the log does not contain it
        """
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def between(self, first_index: int, last_index: int) -> tuple[Entry, ...]:
        """
        Read a range of entries.

        :param first_index: first index, above ``base_index``
        :param last_index: last index, inclusive
        :return: the entries
        """
        start = first_index - self._base_index - 1
        return tuple(self._entries[start : last_index - self._base_index])

    def extend(self, entries: Sequence[Entry]) -> None:
        """
        Add entries, replacing all existing ones from the first index on.

        :param entries: consecutive entries, the first at most one after the last index
        """
        first_index = entries[0].index
        del self._entries[first_index - self._base_index - 1 :]
        self._member_changes = [
            change for change in self._member_changes if change[0] < first_index
        ]
        self._entries.extend(entries)
        self._record_member_changes(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """
        Adopt a snapshot of this replica's own applied state and discard old entries.

        :param snapshot: the snapshot
        """
        self.snapshot = snapshot
        base = self._retained_base_index(snapshot.index)
        self._base_term = self.term(base) or 0
        del self._entries[: base - self._base_index]
        self._base_index = base
        older = [change for change in self._member_changes if change[0] <= base]
        self._member_changes = self._member_changes[max(0, len(older) - 1) :]

    def install(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """
        Replace the log with a leader's snapshot.

        :param snapshot: the snapshot
        :return: retained entries after it; empty unless the log contains the snapshot's last entry
        """
        matches = self.term(snapshot.index) == snapshot.term
        tail = self.between(snapshot.index + 1, self.last_index) if matches else ()
        self.__init__(snapshot, tail)  # type: ignore[misc]
        return tail

    def _retained_base_index(self, index: int) -> int:
        """Find the index before the first entry to retain beside a snapshot."""
        oldest = max(self._base_index, index - RETAINED_COUNT)
        retained_bytes = 0
        for entry in reversed(self.between(oldest + 1, index)):
            retained_bytes += len(entry.payload)
            if retained_bytes > RETAINED_BYTES:
                return entry.index
        return oldest

    def _record_member_changes(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.members is not None:
                self._member_changes.append((entry.index, entry.members))


__all__ = ["RETAINED_BYTES", "RETAINED_COUNT", "Log"]
