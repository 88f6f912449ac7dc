"""Transitions of one record: accepted work, starts, answers and lost runs."""

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

ABORTED_COUNT = 8
"""Runs taken back that a record remembers; a late copy of an older start would block the key."""


class Claim(NamedTuple):
    """Which router may start accepted work."""

    router_id: str
    incarnation: int
    attempt: int
    """Lowest attempt that the router may start."""
    index: int
    """Log index of the command that made the claim."""


class Start(NamedTuple):
    """A run that was about to be sent."""

    request_id: str
    attempt: int
    router_id: str
    incarnation: int
    index: int


class Record(NamedTuple):
    """What is known of one piece of accepted work, or of one idempotency key."""

    record_id: str
    idempotent: bool
    touched_s: float
    """Newest time named by a command about this record."""
    fingerprint: str = ""
    """Of the first start."""
    work: AcceptWork | None = None
    """Accepted work; its payload is dropped once there is an outcome."""
    digest: str = ""
    """Of the work's payload, to recognise a repeated command."""
    accepted_index: int = 0
    claim: Claim | None = None
    start: Start | None = None
    """Run without an outcome."""
    aborted: tuple[tuple[str, int], ...] = ()
    """Request and attempt of each run that was taken back, newest last."""
    answer: Finished | None = None
    answer_index: int = 0
    lost: Lost | None = None

    @property
    def settled(self) -> bool:
        """:return: whether an outcome is stored"""
        return self.answer is not None or self.lost is not None

    @property
    def answer_bytes(self) -> int:
        """:return: size of the stored answer"""
        return 0 if self.answer is None else len(self.answer.body)


Transition = AcceptWork | AssignWork | StartRun | AbortRun | FinishRun | LoseRun


class Step(NamedTuple):
    """What a command does to a record."""

    outcome: Outcome
    record: Record | None = None
    """The record from now on; ``None`` when it stays as it is."""


def record_of(command: Transition) -> str:
    """
    Name the record that a command is about.

    :param command: the command
    :return: the record's id
    """
    match command:
        case AcceptWork(work_id=work_id) | AssignWork(work_id=work_id):
            return work_id
        case _:
            return command.record_id


def time_of(command: Transition) -> float:
    """
    Read the time that a command names.

    :param command: the command
    :return: the time, or zero when it names none
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


def advance(record: Record | None, command: Transition, done: Done, latest_s: float) -> Step:
    """
    Apply a command to the record that it is about.

    :param record: the record, if it exists
    :param command: the command
    :param done: outcome when the command takes effect
    :param latest_s: newest time that any command has named
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
            return Step(Invalid(f"record {record_of(command)!r} does not exist"))
        case AssignWork():
            return _assign(record, command, done)
        case FinishRun():
            return _finish(record, command, done)
        case LoseRun():
            return _lose(record, command, done, latest_s)


def _accept(record: Record | None, command: AcceptWork, done: Done) -> Step:
    if record is None:
        claim = Claim(command.router_id, command.incarnation, 1, done.index)
        accepted = Record(
            command.work_id, command.idempotent, command.accepted_at_s, work=command, claim=claim
        )
        digest = xxh3_128_hexdigest(command.payload)
        return Step(done, accepted._replace(accepted_index=done.index, digest=digest))
    same_team = record.work is not None and record.work.team == command.team
    if same_team and record.digest == xxh3_128_hexdigest(command.payload):
        return Step(Done(done.revision, record.accepted_index))
    return Step(Conflict(done.revision, f"{command.work_id!r} exists with other content"))


def _assign(record: Record, command: AssignWork, done: Done) -> Step:
    if record.claim is None:
        return Step(Invalid(f"record {command.work_id!r} is not accepted work"))
    claim = Claim(command.router_id, command.incarnation, command.attempt, done.index)
    if claim[:3] == record.claim[:3]:
        return Step(Done(done.revision, record.claim.index))
    if record.settled:
        return Step(Conflict(done.revision, "the work has an outcome"))
    if command.attempt != record.claim.attempt + 1:
        return Step(Conflict(done.revision, f"the current attempt is {record.claim.attempt}"))
    if record.start is not None and not record.idempotent:
        return Step(Conflict(done.revision, "the work has started and must not start again"))
    return Step(done, record._replace(claim=claim, start=None))


def _start(record: Record | None, command: StartRun, done: Done) -> Step:
    if record is None:
        record = Record(command.record_id, command.idempotent, command.started_at_s)
    if record.fingerprint and command.fingerprint != record.fingerprint:
        return Step(Conflict(done.revision, "the key was used for another request"))
    if record.answer is not None or record.lost is not None:
        return Step(record.answer or record.lost)
    run = (command.request_id, command.attempt, command.router_id, command.incarnation)
    if record.start is not None and record.start[:4] == run:
        return Step(Done(done.revision, record.start.index))
    if record.start is not None and not record.idempotent:
        running = record.start
        return Step(Running(running.router_id, running.incarnation, running.attempt))
    if run[:2] in record.aborted:
        return Step(Conflict(done.revision, "this attempt was aborted"))
    claim = record.claim
    if claim is not None:
        if claim[:2] != run[2:]:
            return Step(Conflict(done.revision, f"the work is claimed by {claim.router_id!r}"))
        if command.attempt < claim.attempt:
            return Step(Conflict(done.revision, f"the current attempt is {claim.attempt}"))
        claim = claim._replace(attempt=command.attempt)
    start = Start(*run, done.index)
    touched_s = max(record.touched_s, command.started_at_s)
    started = record._replace(
        start=start, claim=claim, touched_s=touched_s, fingerprint=command.fingerprint
    )
    return Step(done, started)


def _abort(record: Record | None, command: AbortRun, done: Done, latest_s: float) -> Step:
    key = (command.request_id, command.attempt)
    if record is None:
        # The start may still be on its way; it finds this record and is refused.
        return Step(done, Record(command.record_id, False, latest_s, aborted=(key,)))
    if record.settled:
        return Step(Conflict(done.revision, "the run has an outcome"))
    if record.start is not None and record.start[:2] != key:
        return Step(Conflict(done.revision, "another run has started"))
    others = tuple(one for one in record.aborted if one != key)
    aborted = (*others, key)[-ABORTED_COUNT:]
    return Step(done, record._replace(start=None, aborted=aborted))


def _finish(record: Record, command: FinishRun, done: Done) -> Step:
    key = (command.request_id, command.attempt)
    if record.answer is not None:
        same = (record.answer.request_id, record.answer.attempt) == key
        return Step(Done(done.revision, record.answer_index) if same else record.answer)
    if record.lost is not None:
        return Step(record.lost)
    started = record.start is not None and record.start[:2] == key
    if not started and not _moved_on(record, command.attempt):
        return Step(Conflict(done.revision, "this run has not started"))
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
    return Step(done, finished)


def _moved_on(record: Record, attempt: int) -> bool:
    """Tell whether a router that has lost its claim may still deliver its answer."""
    claim = record.claim
    return record.idempotent and claim is not None and attempt <= claim.attempt


def _lose(record: Record, command: LoseRun, done: Done, latest_s: float) -> Step:
    if record.answer is not None:
        return Step(record.answer)
    if record.lost is not None:
        return Step(done)
    if record.start is None or record.start[:2] != (command.request_id, command.attempt):
        return Step(Conflict(done.revision, "this run has not started"))
    touched_s = max(record.touched_s, latest_s)
    lost = record._replace(
        start=None,
        work=_without_payload(record.work),
        lost=Lost(command.attempt),
        touched_s=touched_s,
    )
    return Step(done, lost)


def _without_payload(work: AcceptWork | None) -> AcceptWork | None:
    return None if work is None else replace(work, payload=b"")


__all__ = ["Claim", "Record", "Start", "Step", "Transition", "advance", "record_of", "time_of"]
