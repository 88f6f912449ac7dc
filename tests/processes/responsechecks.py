"""Compares what callers received with what workers ran and replied."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from tools.standins.stutter import event

from tests.processes.keptcallers import STREAM_KINDS, UNSAFE_KINDS

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tools.standins.stutter import Reply, WorkerRecord

    from tests.processes.keptcallers import Received

PROMISED_NOT_RUN = (408, 421, 429, 503)
SHOWN_BYTES = 120
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) \d+\Z")


def findings(received: Sequence[Received], record: WorkerRecord) -> Iterator[str]:
    """
    Check all responses and runs.

    :param received: what callers received, one entry for each request
    :param record: what workers ran and replied
    :return: a line for each broken rule, which begins with the rule's name
    """
    calls = {entry.call.request_id: entry.call for entry in received}
    for entry in received:
        for text in _response_findings(entry, record):
            yield f"{text}; {describe(entry, record)}"
    for request_id, runs in record.runs.items():
        call = calls.get(request_id)
        if call is None:
            yield f"UNASKED: run of {request_id!r}, which no caller sent"
            continue
        if any((run.target, run.body) != (call.target, call.body) for run in runs):
            yield f"UNASKED: run of {request_id} with another path or body"
        if call.kind in UNSAFE_KINDS and len(runs) > 1:
            yield f"TWICE: {call.kind} request {request_id} ran {len(runs)} times: {runs}"


def describe(entry: Received, record: WorkerRecord) -> str:
    """Describe a response, the replies to its request and what their connections had carried."""
    call = entry.call
    replies = "; ".join(
        " after ".join(map(_describe_reply, (reply, *reversed(record.earlier(reply)))))
        for reply in record.replies[call.request_id]
    )
    whole = "whole" if entry.is_whole else f"not whole ({entry.error})"
    return (
        f"{call.kind} {call.request_id} at {entry.router}: status {entry.status}, {whole}, stamp "
        f"{entry.headers.get('server-stamp')}, id {entry.headers.get('attempt-id')}, "
        f"{len(entry.content)} bytes, last {entry.content[-SHOWN_BYTES:]!r}; replies: [{replies}]"
    )


def _describe_reply(reply: Reply) -> str:
    return (
        f"{reply.worker_id} {reply.status} {reply.stamp or 'refused'} {reply.framing} "
        f"{reply.fault} {len(reply.content)} bytes, connection {reply.connection_number}, "
        f"position {reply.position}"
    )


def summary(received: Sequence[Received]) -> dict[str, int]:
    """Count responses by kind of request and status, ``cut`` if they are not whole."""
    counts = Counter(
        f"{entry.call.kind} {entry.status if entry.is_whole else f'{entry.status} cut'}"
        for entry in received
    )
    return dict(sorted(counts.items()))


def _response_findings(entry: Received, record: WorkerRecord) -> Iterator[str]:
    call, headers = entry.call, entry.headers
    runs, replies = record.runs[call.request_id], record.replies[call.request_id]
    if entry.status == 0:
        if entry.error.startswith("ValueError"):
            yield f"MIXED: no response: {entry.error}"
        return
    if headers.get("attempt-id", call.request_id) != call.request_id:
        yield "MIXED: id of another request"
    if entry.status in PROMISED_NOT_RUN and call.kind in UNSAFE_KINDS and runs:
        yield "REFUSED: the request ran"
    stamp = headers.get("server-stamp")
    if stamp is None:
        if entry.status < 400:
            yield "MIXED: no stamp of a worker"
        return
    if headers.get("attempt-id") != call.request_id:
        yield "MIXED: no id beside the stamp of a worker"
    stamped = [reply for reply in replies if reply.stamp == stamp]
    if not stamped:
        yield "MIXED: the stamp of no reply to this request"
        return
    if entry.status == 200 and call.kind in STREAM_KINDS:
        yield from _stream_findings(entry, record)
        return
    (reply,) = stamped
    if entry.status != reply.status:
        yield "MIXED: another status than the worker's"
    if not reply.content.startswith(entry.content):
        yield "MIXED: other bytes than the worker's"
    elif entry.is_whole and entry.content != reply.content:
        yield "MIXED: not each byte of the worker's"
    if entry.is_whole and not reply.is_whole:
        yield "MIXED: whole, though the worker reset the connection"


def _stream_findings(entry: Received, record: WorkerRecord) -> Iterator[str]:
    call = entry.call
    runs = {run.stamp: run for run in record.runs[call.request_id]}
    *events, rest = entry.content.split(b"\n\n")
    last_stamp, last_number = None, 0
    for text in events:
        match = _EVENT.match(text)
        stamp = match[3].decode() if match else ""
        if match is None or stamp not in runs or match[2] != call.request_id.encode():
            yield f"ORDER: bytes that are no event of this request: {text[:SHOWN_BYTES]!r}"
            return
        number = int(match[1])
        if number != last_number + 1:
            yield f"ORDER: event {number} after event {last_number}"
            return
        if last_stamp not in (None, stamp) and (
            call.kind != "stream" or runs[stamp].first_number != number
        ):
            yield f"ORDER: event {number} of another run"
        if text + b"\n\n" != event(call.request_id, stamp, number):
            yield f"MIXED: other bytes than the worker's in event {number}"
        last_stamp, last_number = stamp, number
    nexts = (event(call.request_id, stamp, last_number + 1) for stamp in runs)
    if rest and not any(text.startswith(rest) for text in nexts):
        yield f"ORDER: bytes that begin no event of this request: {rest[:SHOWN_BYTES]!r}"
    last_due = next(iter(runs.values())).last_number
    if last_number > last_due:
        yield f"ORDER: {last_number} events of {last_due}"
    if entry.is_whole and (last_number < last_due or rest):
        yield f"ORDER: whole after event {last_number} of {last_due}, then {rest[:SHOWN_BYTES]!r}"


__all__ = ["describe", "findings", "summary"]
