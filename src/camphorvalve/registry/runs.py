"""State transitions of one record: accepted work, starts, responses and lost runs."""

from __future__ import annotations

from dataclasses import replace
from typing import NamedTuple

from xxhash import xxh3_128_hexdigest

from camphorvalve.registry.commands import (
    AbortRun,
    AcceptWork,
    AssignWork,
    Conflict,
    Done,
    Finished,
    FinishRun,
    Invalid,
    LoseRun,
    Lost,
    Outcome,
    Running,
    StartRun,
)

MAX_ABORTED_COUNT = 8
"""Aborted runs that a record keeps, to refuse delayed copies of their starts; a delayed copy of an
older start would block the key."""


class Claim(NamedTuple):
    """Identifies the router that may start accepted work."""

    router_id: str
    incarnation: int
    attempt: int
    """Lowest attempt that the router may start."""
    index: int
    """Log index of the command that made the claim."""


class Start(NamedTuple):
    """A run whose start was recorded before its request was sent."""

    request_id: str
    attempt: int
    router_id: str
    incarnation: int
    index: int


class Record(NamedTuple):
    """State of one piece of accepted work, or of one idempotency key."""

    record_id: str
    idempotent: bool
    touched_s: float
    """Time of the creation, the latest start or the outcome; records expire by it."""
    fingerprint: str = ""
    """Fingerprint of the first start."""
    work: AcceptWork | None = None
    """Accepted work; its payload is dropped once an outcome is stored."""
    digest: str = ""
    """Digest of the work's payload, to recognise a repeated command."""
    accepted_index: int = 0
    claim: Claim | None = None
    start: Start | None = None
    """Run without an outcome."""
    aborted: tuple[tuple[str, int], ...] = ()
    """Request and attempt of each aborted run, newest last."""
    answer: Finished | None = None
    answer_index: int = 0
    lost: Lost | None = None

    @property
    def settled(self) -> bool:
        """:return: whether an outcome is stored"""
        return self.answer is not None or self.lost is not None

    @property
    def answer_bytes(self) -> int:
        """:return: size of the stored response"""
        return 0 if self.answer is None else len(self.answer.body)

    @property
    def held_bytes(self) -> int:
        """:return: size of the stored response and of the accepted work"""
        return self.answer_bytes + (0 if self.work is None else len(self.work.payload))


RecordCommand = AcceptWork | AssignWork | StartRun | AbortRun | FinishRun | LoseRun


class CommandResult(NamedTuple):
    """Effect of a command on a record."""

    outcome: Outcome
    record: Record | None = None
    """The new record; ``None`` when it is unchanged."""


def record_id_of(command: RecordCommand) -> str:
    """
    Return the id of the record that a command applies to.

    :param command: the command
    :return: the record's id
    """
    match command:
        case AcceptWork(work_id=work_id) | AssignWork(work_id=work_id):
            return work_id
        case _:
            return command.record_id


def timestamp_of(command: RecordCommand) -> float:
    """
    Return the time that a command carries.

    :param command: the command
    :return: the time, or zero when it carries none
    """
    match command:
        case AcceptWork(accepted_at_s=time_s):
            return time_s
        case StartRun(started_at_s=time_s):
            return time_s
        case FinishRun(finished_at_s=time_s):
            return time_s
        case _:
            return 0.0


def apply_command(
    record: Record | None, command: RecordCommand, done: Done, latest_s: float
) -> CommandResult:
    """
    Apply a command to its record.

    :param record: the record, if it exists
    :param command: the command
    :param done: outcome when the command takes effect
    :param latest_s: latest time that any command has carried
    :return: outcome and new record
    """
    match command:
        case AcceptWork():
            return _accept(record, command, done)
        case StartRun():
            return _start(record, command, done)
        case AbortRun():
            return _abort(record, command, done, latest_s)
        case _ if record is None:
            return CommandResult(Invalid(f"record {record_id_of(command)!r} does not exist"))
        case AssignWork():
            return _assign(record, command, done)
        case FinishRun():
            return _finish(record, command, done)
        case LoseRun():
            return _lose(record, command, done, latest_s)


def _accept(record: Record | None, command: AcceptWork, done: Done) -> CommandResult:
    if record is None:
        claim = Claim(command.router_id, command.incarnation, 1, done.index)
        accepted = Record(
            command.work_id, command.idempotent, command.accepted_at_s, work=command, claim=claim
        )
        digest = xxh3_128_hexdigest(command.payload)
        return CommandResult(done, accepted._replace(accepted_index=done.index, digest=digest))
    same_team = record.work is not None and record.work.team == command.team
    if same_team and record.digest == xxh3_128_hexdigest(command.payload):
        return CommandResult(Done(done.revision, record.accepted_index))
    return CommandResult(
        Conflict(done.revision, f"{command.work_id!r} already exists with different content")
    )


def _assign(record: Record, command: AssignWork, done: Done) -> CommandResult:
    if record.claim is None:
        return CommandResult(Invalid(f"record {command.work_id!r} is not accepted work"))
    claim = Claim(command.router_id, command.incarnation, command.attempt, done.index)
    if claim[:3] == record.claim[:3]:
        return CommandResult(Done(done.revision, record.claim.index))
    if record.settled:
        return CommandResult(Conflict(done.revision, "the work already has an outcome"))
    if command.attempt != record.claim.attempt + 1:
        return CommandResult(
            Conflict(done.revision, f"the current attempt is {record.claim.attempt}")
        )
    if record.start is not None and not record.idempotent:
        return CommandResult(
            Conflict(done.revision, "the work has started and must not start again")
        )
    return CommandResult(done, record._replace(claim=claim, start=None))


def _start(record: Record | None, command: StartRun, done: Done) -> CommandResult:
    if record is None:
        record = Record(command.record_id, command.idempotent, command.started_at_s)
    if record.fingerprint and command.fingerprint != record.fingerprint:
        return CommandResult(
            Conflict(done.revision, "the key was already used for another request")
        )
    if record.answer is not None or record.lost is not None:
        return CommandResult(record.answer or record.lost)
    run = (command.request_id, command.attempt, command.router_id, command.incarnation)
    if record.start is not None and record.start[:4] == run:
        return CommandResult(Done(done.revision, record.start.index))
    if record.start is not None and not record.idempotent:
        running = record.start
        return CommandResult(Running(running.router_id, running.incarnation, running.attempt))
    if run[:2] in record.aborted:
        return CommandResult(Conflict(done.revision, "this attempt was aborted"))
    claim = record.claim
    if claim is not None:
        if claim[:2] != run[2:]:
            return CommandResult(
                Conflict(done.revision, f"the work is claimed by {claim.router_id!r}")
            )
        if command.attempt < claim.attempt:
            return CommandResult(Conflict(done.revision, f"the current attempt is {claim.attempt}"))
        claim = claim._replace(attempt=command.attempt)
    start = Start(*run, done.index)
    touched_s = max(record.touched_s, command.started_at_s)
    started = record._replace(
        start=start, claim=claim, touched_s=touched_s, fingerprint=command.fingerprint
    )
    return CommandResult(done, started)


def _abort(record: Record | None, command: AbortRun, done: Done, latest_s: float) -> CommandResult:
    key = (command.request_id, command.attempt)
    if record is None:
        # The start may still be in transit; this record causes it to be refused.
        return CommandResult(done, Record(command.record_id, False, latest_s, aborted=(key,)))
    if record.settled:
        return CommandResult(Conflict(done.revision, "the run already has an outcome"))
    if record.start is not None and record.start[:2] != key:
        return CommandResult(Conflict(done.revision, "another run has started"))
    others = tuple(other for other in record.aborted if other != key)
    aborted = (*others, key)[-MAX_ABORTED_COUNT:]
    return CommandResult(done, record._replace(start=None, aborted=aborted))


def _finish(record: Record, command: FinishRun, done: Done) -> CommandResult:
    key = (command.request_id, command.attempt)
    if record.answer is not None:
        same = (record.answer.request_id, record.answer.attempt) == key
        return CommandResult(Done(done.revision, record.answer_index) if same else record.answer)
    if record.lost is not None:
        return CommandResult(record.lost)
    started = record.start is not None and record.start[:2] == key
    if not started and not _may_finish_late(record, command.attempt):
        return CommandResult(Conflict(done.revision, "this run has not started"))
    answer = Finished(
        command.request_id, command.attempt, command.status, command.headers, command.body
    )
    finished = record._replace(
        start=None,
        work=_without_payload(record.work),
        answer=answer,
        answer_index=done.index,
        touched_s=max(record.touched_s, command.finished_at_s),
    )
    return CommandResult(done, finished)


def _may_finish_late(record: Record, attempt: int) -> bool:
    """Tell whether a router that has lost its claim may still deliver its response."""
    claim = record.claim
    return record.idempotent and claim is not None and attempt <= claim.attempt


def _lose(record: Record, command: LoseRun, done: Done, latest_s: float) -> CommandResult:
    if record.answer is not None:
        return CommandResult(record.answer)
    if record.lost is not None:
        return CommandResult(done)
    if record.start is None or record.start[:2] != (command.request_id, command.attempt):
        return CommandResult(Conflict(done.revision, "this run has not started"))
    touched_s = max(record.touched_s, latest_s)
    lost = record._replace(
        start=None,
        work=_without_payload(record.work),
        lost=Lost(command.attempt),
        touched_s=touched_s,
    )
    return CommandResult(done, lost)


def _without_payload(work: AcceptWork | None) -> AcceptWork | None:
    return None if work is None else replace(work, payload=b"")


__all__ = [
    "Claim",
    "CommandResult",
    "Record",
    "RecordCommand",
    "Start",
    "apply_command",
    "record_id_of",
    "timestamp_of",
]
