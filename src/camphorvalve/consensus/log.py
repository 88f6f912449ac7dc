"""The log in memory: a snapshot and the entries after it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.messages import Entry, Snapshot

if TYPE_CHECKING:
    from collections.abc import Sequence

KEPT_COUNT = 1024
"""Entries kept from before the snapshot, so that a replica that lags a little needs no snapshot."""
KEPT_BYTES = 1 << 20


class Log:
    """Entries with consecutive indexes, of which the oldest may have been dropped."""

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
        self._changes = [(snapshot.index, snapshot.members)]
        self._note_changes(entries)

    @property
    def base_index(self) -> int:
        """:return: index before the oldest entry that is still held"""
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
        """:return: voting members by the newest entry that changes them, committed or not"""
        return self._changes[-1][1]

    @property
    def members_index(self) -> int:
        """:return: index of the newest change of the members"""
        return self._changes[-1][0]

    def members_at(self, index: int) -> tuple[str, ...]:
        """
        Look up the voting members as of an entry.

        :param index: index of the entry, not below ``base_index``
        :return: their identities
        """
        return next(members for since, members in reversed(self._changes) if since <= index)

    def term(self, index: int) -> int | None:
        """
        Look up the term of an entry.

        :param index: index of the entry
        :return: its term, or ``None`` when the log does not hold it
        """
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def between(self, first_index: int, last_index: int) -> tuple[Entry, ...]:
        """
        Read entries.

        :param first_index: first index, above ``base_index``
        :param last_index: last index, inclusive
        :return: the entries
        """
        start = first_index - self._base_index - 1
        return tuple(self._entries[start : last_index - self._base_index])

    def extend(self, entries: Sequence[Entry]) -> None:
        """
        Add entries, replacing all from the first one's index on.

        :param entries: consecutive entries, the first at most one after the last index
        """
        first_index = entries[0].index
        del self._entries[first_index - self._base_index - 1 :]
        self._changes = [change for change in self._changes if change[0] < first_index]
        self._entries.extend(entries)
        self._note_changes(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """
        Adopt a snapshot of this log's own applied entries.

        :param snapshot: the snapshot
        """
        self.snapshot = snapshot
        base = self._kept_from(snapshot.index)
        self._base_term = self.term(base) or 0
        del self._entries[: base - self._base_index]
        self._base_index = base
        older = [change for change in self._changes if change[0] <= base]
        self._changes = self._changes[max(0, len(older) - 1) :]

    def install(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        """
        Adopt a leader's snapshot.

        :param snapshot: the snapshot
        :return: entries after it, kept when the log holds the snapshot's last entry
        """
        matches = self.term(snapshot.index) == snapshot.term
        tail = self.between(snapshot.index + 1, self.last_index) if matches else ()
        self.__init__(snapshot, tail)  # type: ignore[misc]
        return tail

    def _kept_from(self, index: int) -> int:
        """Find the index before the first entry that is kept together with a snapshot."""
        oldest = max(self._base_index, index - KEPT_COUNT)
        kept_bytes = 0
        for entry in reversed(self.between(oldest + 1, index)):
            kept_bytes += len(entry.payload)
            if kept_bytes > KEPT_BYTES:
                return entry.index
        return oldest

    def _note_changes(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.members is not None:
                self._changes.append((entry.index, entry.members))


__all__ = ["KEPT_BYTES", "KEPT_COUNT", "Log"]
