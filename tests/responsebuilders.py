"""Builders of test data: requests of raw callers, and what workers ran and replied."""

from __future__ import annotations

from typing import Any

from tools.standins.stutter import Once, Reply, StampedRun, WorkerRecord, event

from tests.processes.keptcallers import Received, SentCall

EVENTS_COUNT = 3


def a_call(kind: str = "safe", **fields: Any) -> SentCall:
    return SentCall(**{"request_id": "id-1", "kind": kind, "body": b"violins", **fields})


def a_run(call: SentCall, **fields: Any) -> StampedRun:
    values = {
        "worker_id": "i-1",
        "request_id": call.request_id,
        "target": call.target,
        "body": call.body,
        "stamp": "stamp-1",
        "first_number": 1,
        "last_number": EVENTS_COUNT,
    }
    return StampedRun(**{**values, **fields})


def a_reply(call: SentCall, **fields: Any) -> Reply:
    values = {
        "worker_id": "i-1",
        "request_id": call.request_id,
        "status": 200,
        "stamp": "stamp-1",
        "content": b"yes",
        "framing": "length",
        "fault": Once(),
        "connection_number": 1,
        "position": 0,
    }
    return Reply(**{**values, **fields})


def a_record(*entries: StampedRun | Reply) -> WorkerRecord:
    record = WorkerRecord()
    for entry in entries:
        match entry:
            case StampedRun():
                record.runs[entry.request_id].append(entry)
            case Reply():
                record.replies[entry.request_id].append(entry)
    return record


def some_events(*numbers: int, stamp: str = "stamp-1", request_id: str = "id-1") -> bytes:
    return b"".join(event(request_id, stamp, number) for number in numbers)


def a_received(call: SentCall, **fields: Any) -> Received:
    headers = {"attempt-id": call.request_id, "server-stamp": "stamp-1"}
    values = {
        "call": call,
        "router": "router-1",
        "status": 200,
        "headers": headers,
        "content": b"yes",
        "is_whole": True,
        "last_byte_s": fields.get("sent_s", 0.0),
    }
    return Received(**{**values, **fields})
