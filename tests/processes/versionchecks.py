"""Finds streams that two software versions wrote, and streams that should have gone on."""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from tools.standins.versioned import EVENTS_COUNT, MidEventReset, versioned_event

from tests.processes.keptcallers import UNSAFE_KINDS

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tools.standins.versioned import VersionRecord

    from tests.processes.resumingcallers import Text, Try

REFUSAL_S = 0.8
"""A caller whose stream can't go on is told so within this time."""
CONTACT_S = 1.0
"""Time after a disturbance in which the time bounds don't hold."""
SETTLED_S = 2.0
"""Age from which a worker is known to all routers: the lag of the list and the polls of it."""
MIN_WORKERS_COUNT = 2
MIN_RESUMPTIONS_COUNT = 12
MIN_RATIO = 0.5
"""Least share of the resumptions that go on, as a part of the share of new streams that begin."""
SHOWN_BYTES = 120
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\S+) \d+\Z")


class Outage(NamedTuple):
    """Disturbance of processes: one that is killed, until it is ready again."""

    name: str
    """Process; empty for the controllers, on which all routers depend."""
    from_s: float
    """Monotonic time."""
    until_s: float = float("inf")


class Streams(NamedTuple):
    """What the callers and the workers of a trial saw."""

    texts: Sequence[Text]
    record: VersionRecord
    outages: Sequence[Outage] = ()
    attempts_count: int = 3
    """Attempts that the route allows."""


class Share(NamedTuple):
    """Requests that were made, and those of them whose stream began or went on."""

    count: int = 0
    served_count: int = 0

    @property
    def ratio(self) -> float:
        return self.served_count / self.count if self.count else 0.0


class _Event(NamedTuple):
    number: int
    stream: str
    version: str
    run_id: str
    content: bytes


def version_findings(streams: Streams) -> Iterator[str]:
    """
    Check all texts and runs.

    :param streams: what callers and workers saw
    :return: a line for each finding, which begins with the broken rule's name
    """
    tries = {one.received.call.request_id: one for text in streams.texts for one in text.tries}
    for text in streams.texts:
        yield from _text_findings(text, streams)
    for request_id, runs in streams.record.runs.items():
        one = tries.get(request_id)
        if one is None:
            yield f"UNASKED: run of {request_id!r}, which no caller sent"
        elif one.received.call.kind in UNSAFE_KINDS and len(runs) > 1:
            yield f"TWICE: {request_id} ran {len(runs)} times: {runs}"
        elif len(runs) > streams.attempts_count:
            yield f"BUDGET: {request_id} ran {len(runs)} times of {streams.attempts_count}"
    resumed, begun = resumption_share(streams), new_share(streams)
    if resumed.count >= MIN_RESUMPTIONS_COUNT and resumed.ratio < MIN_RATIO * begun.ratio:
        yield (
            f"LOST: {resumed.served_count} of {resumed.count} resumptions went on, of "
            f"{begun.count} new streams {begun.served_count} began"
        )


def resumption_share(streams: Streams, *, anywhere: bool = False) -> Share:
    """
    Count the resumptions that went on, while two workers of their version served.

    Those that name another attempt than the first one, or that the route does not allow, don't
    count.

    :param streams: what callers and workers saw
    :param anywhere: whether those beside an outage count as well
    :return: the counts
    """
    counted = [
        one
        for text in streams.texts
        for one in text.tries
        if one.last_event_id
        and _is_proper(text, one)
        and (anywhere or _is_in_touch(one, streams))
        and _has_workers(_version(text), one, streams.record)
    ]
    return Share(len(counted), sum(map(_is_served, counted)))


def new_share(streams: Streams, *, anywhere: bool = False) -> Share:
    """
    Count the new streams that began.

    :param streams: what callers and workers saw
    :param anywhere: whether those beside an outage count as well
    :return: the counts
    """
    counted = [
        one
        for text in streams.texts
        for one in text.tries
        if not one.last_event_id and (anywhere or _is_in_touch(one, streams))
    ]
    return Share(len(counted), sum(map(_is_served, counted)))


def version_summary(streams: Streams) -> dict[str, int]:
    """Count texts and tries by what became of them."""
    counts: Counter[str] = Counter()
    for text in streams.texts:
        counts["texts"] += 1
        versions_by_try = [_versions(one) for one in text.tries]
        counts["joined in one answer"] += any(len(versions) > 1 for versions in versions_by_try)
        is_joined = len(set().union(*versions_by_try)) > 1
        counts["joined over tries"] += is_joined and all(
            len(versions) <= 1 for versions in versions_by_try
        )
        counts["texts whole"] += bool(text.tries) and text.tries[-1].last_number == EVENTS_COUNT
        for one in text.tries:
            kind = "resumptions" if one.last_event_id else "new"
            counts[f"{kind}: {_outcome(one)}"] += 1
        counts["worker resets"] += sum(
            isinstance(run.fault, MidEventReset)
            for one in text.tries
            for run in streams.record.runs.get(one.received.call.request_id, ())
        )
    for name, share in (
        ("resumptions, two workers of the version", resumption_share(streams, anywhere=True)),
        ("resumptions, two workers of the version, in touch", resumption_share(streams)),
        ("new, in touch", new_share(streams)),
    ):
        counts[f"{name}: made"] = share.count
        counts[f"{name}: served"] = share.served_count
    return dict(sorted(counts.items()))


def _outcome(one: Try) -> str:
    received = one.received
    if one.is_dropped:
        return "dropped by the caller"
    if received.status == 0:
        return "no answer"
    if not received.is_whole:
        return f"{received.status} broken off"
    return f"{received.status}"


def _text_findings(text: Text, streams: Streams) -> Iterator[str]:
    versions: set[str] = set()
    for one in text.tries:
        described = _describe(text, one, streams)
        answer_versions = _versions(one)
        if len(answer_versions) > 1:
            yield f"ORDER: versions {sorted(answer_versions)} in one answer; {described}"
        elif versions and answer_versions - versions:
            now, before = sorted(answer_versions), sorted(versions)
            yield f"ORDER: versions {now} after {before} over the tries; {described}"
        versions |= answer_versions
        for found in _answer_findings(text, one, streams):
            yield f"{found}; {described}"
        if one.last_event_id and one.is_refused:
            took_s = one.received.ended_s - one.received.sent_s
            if took_s > REFUSAL_S and _is_in_touch(one, streams):
                yield f"LATE: a resumption is refused after {took_s:.2f} s; {described}"
        if one.is_refused and streams.record.runs.get(one.received.call.request_id):
            yield f"REFUSED: status {one.received.status} says not run; {described}"


def _answer_findings(text: Text, one: Try, streams: Streams) -> Iterator[str]:
    """Check that the events of one answer are those of its runs, none missing and none twice."""
    received = one.received
    if received.status == 0 and received.error.startswith("ValueError"):
        yield f"MIXED: no response: {received.error}"
    if received.status != 200:
        return
    if received.headers.get("attempt-id") != received.call.request_id:
        yield "MIXED: no id, or that of another request"
    runs = {run.run_id: run for run in streams.record.runs.get(received.call.request_id, ())}
    events = list(_events(one))
    stamp = received.headers.get("server-stamp")
    if stamp not in runs or (events and events[0].run_id != stamp):
        yield f"MIXED: stamp {stamp!r}, runs {sorted(runs)}"
    last_number, last_run_id = one.last_event_id, None
    for found in events:
        run = runs.get(found.run_id)
        if run is None or found.stream != text.stream:
            yield f"MIXED: event of another request: {found.content[:SHOWN_BYTES]!r}"
            return
        if found.number != last_number + 1:
            yield f"ORDER: event {found.number} after event {last_number}"
        if last_run_id not in (None, found.run_id) and text.kind in UNSAFE_KINDS:
            yield f"ORDER: event {found.number} of another run"
        expected = versioned_event(text.stream, run.version, run.run_id, found.number)
        if found.content + b"\n\n" != expected:
            yield f"MIXED: other bytes than the worker's in event {found.number}"
        last_number, last_run_id = found.number, found.run_id
    rest = received.content[received.content.rfind(b"\n\n") + 2 :] if events else received.content
    nexts = (
        versioned_event(text.stream, run.version, run.run_id, last_number + 1)
        for run in runs.values()
    )
    if rest and not any(content.startswith(rest) for content in nexts):
        yield f"ORDER: bytes that begin no event: {rest[:SHOWN_BYTES]!r}"
    if received.is_whole and (last_number != EVENTS_COUNT or rest):
        yield f"ORDER: whole after event {last_number}, then {rest[:SHOWN_BYTES]!r}"


def _events(one: Try) -> Iterator[_Event]:
    """Yield the whole events of an answer; one that can't be read ends them."""
    if one.received.status != 200:
        return
    *contents, _ = one.received.content.split(b"\n\n")
    for content in contents:
        match = _EVENT.match(content)
        if match is None:
            yield _Event(0, "", "", "", content)
            return
        stream, version, run_id = (part.decode() for part in match.groups()[1:])
        yield _Event(int(match[1]), stream, version, run_id, content)


def _versions(one: Try) -> set[str]:
    return {found.version for found in _events(one) if found.version}


def _version(text: Text) -> str:
    """Return the version that began a text, empty if none did."""
    found = (event.version for one in text.tries for event in _events(one))
    return next(found, "")


def _is_proper(text: Text, one: Try) -> bool:
    first = next(first for first in text.tries if first.last_number)
    named = dict(one.received.call.headers).get("Resumes")
    return named == first.received.call.request_id and text.kind not in UNSAFE_KINDS


def _is_served(one: Try) -> bool:
    return one.received.status == 200 and (
        one.last_number > one.last_event_id or one.received.is_whole
    )


def _has_workers(version: str, one: Try, record: VersionRecord) -> bool:
    sent_s, ended_s = one.received.sent_s, one.received.ended_s
    return record.serving_count(version, sent_s - SETTLED_S, ended_s) >= MIN_WORKERS_COUNT


def _is_in_touch(one: Try, streams: Streams) -> bool:
    return not any(
        outage.name in ("", one.received.router)
        and outage.from_s <= one.received.ended_s
        and one.received.sent_s <= outage.until_s + CONTACT_S
        for outage in streams.outages
    )


def _describe(text: Text, one: Try, streams: Streams) -> str:
    received = one.received
    headers = dict(received.call.headers)
    runs = "; ".join(
        f"{run.worker_id} {run.version} from event {run.first_number} {run.fault}"
        for run in streams.record.runs.get(received.call.request_id, ())
    )
    whole = "whole" if received.is_whole else f"not whole ({received.error or 'dropped'})"
    return (
        f"{text.kind} {received.call.request_id} at {received.router}, Resumes "
        f"{headers.get('Resumes')}, Last-Event-Id {one.last_event_id}, sent at "
        f"{received.sent_s:.3f}: status {received.status} after "
        f"{received.ended_s - received.sent_s:.2f} s, {whole}, "
        f"{received.content.count(b'id: ')} events, "
        f"last {received.content[-SHOWN_BYTES:]!r}; runs: [{runs}]"
    )


__all__ = [
    "Outage",
    "Share",
    "Streams",
    "new_share",
    "resumption_share",
    "version_findings",
    "version_summary",
]
