"""The store of all records of accepted work and of at-most-once runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.registry.commands import Done, ExpireRecords, Invalid, Lost, Outcome, Running
from camphorvalve.registry.runs import (
    Record,
    RecordCommand,
    apply_command,
    record_id_of,
    timestamp_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class Records:
    """All records; the same commands lead to the same records on every replica."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[str, Record] = {}
        self._settled_ids: dict[str, None] = {}
        self._unsettled_ids: dict[str, None] = {}
        self._answers_bytes = 0
        self._held_bytes = 0
        self._latest_s = 0.0

    @property
    def answers_bytes(self) -> int:
        """:return: size of all stored responses"""
        return self._answers_bytes

    @property
    def held_bytes(self) -> int:
        """:return: size of all stored responses and of all accepted work"""
        return self._held_bytes

    @property
    def unsettled_count(self) -> int:
        """:return: records without an outcome"""
        return len(self._records) - len(self._settled_ids)

    def get(self, record_id: str) -> Record | None:
        """
        Look up a record.

        :param record_id: work id, or team and idempotency key
        :return: the record
        """
        return self._records.get(record_id)

    def outcome_of(self, record_id: str) -> Outcome:
        """
        Report the state of a record as an outcome.

        :param record_id: work id, or team and idempotency key
        :return: ``Done`` while it waits, ``Running``, ``Finished`` or ``Lost``; ``Invalid`` when
            there is no such record
        """
        record = self._records.get(record_id)
        if record is None:
            return Invalid(f"record {record_id!r} does not exist")
        if record.start is not None:
            start = record.start
            return Running(start.router_id, start.incarnation, start.attempt)
        return record.answer or record.lost or Done(0, record.accepted_index)

    def all(self) -> Iterator[Record]:
        """:return: all records in the order in which they were last changed"""
        return iter(self._records.values())

    def unsettled(self) -> Iterator[Record]:
        """:return: records with accepted work or a start, and without an outcome"""
        return (self._records[record_id] for record_id in self._unsettled_ids)

    def expiry(self, before_s: float, limit_bytes: int) -> ExpireRecords | None:
        """
        Build the command that removes old records, and responses beyond the limit.

        :param before_s: end of the retention period; older settled records are removed
        :param limit_bytes: limit on the size of all stored responses
        :return: the command, or ``None`` when nothing has to be removed
        """
        settled = [self._records[record_id] for record_id in self._settled_ids]
        answers_before_s = _answer_cutoff_s(settled, self._answers_bytes - limit_bytes)
        has_old = any(record.touched_s < before_s for record in settled)
        if not has_old and answers_before_s is None:
            return None
        return ExpireRecords(before_s, before_s if answers_before_s is None else answers_before_s)

    def apply(self, index: int, command: RecordCommand | ExpireRecords, revision: int) -> Outcome:
        """
        Apply a committed command.

        :param index: its log index
        :param command: the command
        :param revision: revision of the configuration, for the outcome
        :return: its outcome
        """
        done = Done(revision, index)
        if isinstance(command, ExpireRecords):
            self._expire(command)
            return done
        self._latest_s = max(self._latest_s, timestamp_of(command))
        record = self._records.get(record_id_of(command))
        result = apply_command(record, command, done, self._latest_s)
        if result.record is not None:
            self._store(result.record)
        return result.outcome

    def load(self, records: Iterable[Record], latest_s: float) -> None:
        """
        Replace all records, as when a snapshot is restored.

        :param records: the records
        :param latest_s: from ``latest_s`` of the saved records
        """
        self.__init__()  # type: ignore[misc]
        self._latest_s = latest_s
        for record in records:
            self._store(record)

    @property
    def latest_s(self) -> float:
        """:return: latest time that any command has carried"""
        return self._latest_s

    def _expire(self, command: ExpireRecords) -> None:
        for record_id in list(self._settled_ids):
            record = self._records[record_id]
            if record.touched_s < command.before_s:
                self._remove(record_id)
            elif _has_droppable_answer(record) and record.touched_s < command.answers_before_s:
                assert record.answer is not None
                self._store(record._replace(answer=None, lost=Lost(record.answer.attempt)))

    def _store(self, record: Record) -> None:
        self._remove(record.record_id)
        self._records[record.record_id] = record
        self._answers_bytes += record.answer_bytes
        self._held_bytes += record.held_bytes
        if record.settled or (record.work is None and record.start is None):
            self._settled_ids[record.record_id] = None
        else:
            self._unsettled_ids[record.record_id] = None

    def _remove(self, record_id: str) -> None:
        old = self._records.pop(record_id, None)
        if old is not None:
            self._answers_bytes -= old.answer_bytes
            self._held_bytes -= old.held_bytes
            self._settled_ids.pop(record_id, None)
            self._unsettled_ids.pop(record_id, None)


def _has_droppable_answer(record: Record) -> bool:
    """Tell whether the response may be dropped early; a result of accepted work may not."""
    return record.answer is not None and record.work is None and record.claim is None


def _answer_cutoff_s(settled: list[Record], excess_bytes: int) -> float | None:
    ordered = sorted(
        (record.touched_s, record.answer_bytes)
        for record in settled
        if _has_droppable_answer(record)
    )
    cutoff_s = None
    for touched_s, answer_bytes in ordered:
        if excess_bytes <= 0:
            break
        excess_bytes -= answer_bytes
        # The bound is exclusive, so it has to exceed the record's own time.
        cutoff_s = touched_s + 1e-6
    return cutoff_s


__all__ = ["Record", "Records"]
