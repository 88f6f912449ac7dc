"""All records of accepted work and of runs that may happen at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.registry.commands import Done, ExpireRecords, Invalid, Lost, Outcome, Running
from camphorvalve.registry.runs import Record, Transition, advance, record_of, time_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class Records:
    """All records; every replica holds the same after the same commands."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[str, Record] = {}
        self._settled: dict[str, None] = {}
        self._unsettled_work: dict[str, None] = {}
        self._answers_bytes = 0
        self._held_bytes = 0
        self._latest_s = 0.0

    @property
    def answers_bytes(self) -> int:
        """:return: size of all stored answers"""
        return self._answers_bytes

    @property
    def held_bytes(self) -> int:
        """:return: size of all stored answers and of all accepted work"""
        return self._held_bytes

    @property
    def unsettled_count(self) -> int:
        """:return: records without an outcome"""
        return len(self._records) - len(self._settled)

    def get(self, record_id: str) -> Record | None:
        """
        Look up a record.

        :param record_id: work id, or team and idempotency key
        :return: the record
        """
        return self._records.get(record_id)

    def state_of(self, record_id: str) -> Outcome:
        """
        Describe a record to its caller.

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
        return (self._records[record_id] for record_id in self._unsettled_work)

    def expiry(self, before_s: float, limit_bytes: int) -> ExpireRecords | None:
        """
        Find what has to be removed.

        :param before_s: retention; every settled record that is older goes
        :param limit_bytes: bound of all stored answers
        :return: the command, or ``None`` when nothing has to be removed
        """
        settled = [self._records[record_id] for record_id in self._settled]
        answers_before_s = _answers_before_s(settled, self._answers_bytes - limit_bytes)
        has_old = any(record.touched_s < before_s for record in settled)
        if not has_old and answers_before_s is None:
            return None
        return ExpireRecords(before_s, before_s if answers_before_s is None else answers_before_s)

    def apply(self, index: int, command: Transition | ExpireRecords, revision: int) -> Outcome:
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
        self._latest_s = max(self._latest_s, time_of(command))
        record = self._records.get(record_of(command))
        step = advance(record, command, done, self._latest_s)
        if step.record is not None:
            self._put(step.record)
        return step.outcome

    def load(self, records: Iterable[Record], latest_s: float) -> None:
        """
        Replace all records.

        :param records: the records
        :param latest_s: from ``latest_s`` of the saved records
        """
        self.__init__()  # type: ignore[misc]
        self._latest_s = latest_s
        for record in records:
            self._put(record)

    @property
    def latest_s(self) -> float:
        """:return: newest time that any command has named"""
        return self._latest_s

    def _expire(self, command: ExpireRecords) -> None:
        for record_id in list(self._settled):
            record = self._records[record_id]
            if record.touched_s < command.before_s:
                self._drop(record_id)
            elif _is_droppable(record) and record.touched_s < command.answers_before_s:
                assert record.answer is not None
                self._put(record._replace(answer=None, lost=Lost(record.answer.attempt)))

    def _put(self, record: Record) -> None:
        self._drop(record.record_id)
        self._records[record.record_id] = record
        self._answers_bytes += record.answer_bytes
        self._held_bytes += record.held_bytes
        if record.settled or (record.work is None and record.start is None):
            self._settled[record.record_id] = None
        else:
            self._unsettled_work[record.record_id] = None

    def _drop(self, record_id: str) -> None:
        old = self._records.pop(record_id, None)
        if old is not None:
            self._answers_bytes -= old.answer_bytes
            self._held_bytes -= old.held_bytes
            self._settled.pop(record_id, None)
            self._unsettled_work.pop(record_id, None)


def _is_droppable(record: Record) -> bool:
    """Tell whether the answer may go early; the result of accepted work may not."""
    return record.answer is not None and record.work is None and record.claim is None


def _answers_before_s(settled: list[Record], surplus_bytes: int) -> float | None:
    ordered = sorted(
        (record.touched_s, record.answer_bytes) for record in settled if _is_droppable(record)
    )
    before_s = None
    for touched_s, answer_bytes in ordered:
        if surplus_bytes <= 0:
            break
        surplus_bytes -= answer_bytes
        # The bound is exclusive, so that it has to lie above the record's own time.
        before_s = touched_s + 1e-6
    return before_s


__all__ = ["Record", "Records"]
