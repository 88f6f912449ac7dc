"""Traces of the latest requests, and counters of request outcomes per team."""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, TypedDict

from camphorvalve.model.requests import Stage
from camphorvalve.reports.outcomes import Failed, outcome_name

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange
    from camphorvalve.reports.outcomes import Finished

TRACE_LIMIT_COUNT = 1024
NOTE_LIMIT_COUNT = 16
NOTE_LIMIT_CHARS = 160
TEAM_LIMIT_COUNT = 1024

LIMIT_ERROR_CODES = ("too_large", "queue_full", "wait_too_long")


class NoteBody(TypedDict):
    """A note in a trace: one decision on a request."""

    at_ms: float
    """Time since the request's arrival; the gaps between notes show where it waited."""
    text: str


class TraceBody(TypedDict):
    """Trace of a finished request: its outcome and the decisions taken on it."""

    request_id: str
    team: str | None
    kind: str | None
    pool: str | None
    outcome: str
    run: str | None
    """Whether the request ran at an upstream, for errors only."""
    attempt: int
    upstream_id: str | None
    units: float
    first_byte_ms: float | None
    total_ms: float
    notes: list[NoteBody]


class OpenRequestBody(TypedDict):
    """Trace of a request that has not ended: its current state and the decisions taken so far."""

    request_id: str
    team: str | None
    kind: str | None
    pool: str | None
    state: str
    """``received``, ``recording``, ``waiting`` or ``running``."""
    waits_for: str | None
    ahead_count: int | None
    """Requests of the same team and pool that wait here and are picked first, apart from the grants
    that go to the oldest request."""
    attempt: int
    upstream_id: str | None
    units: float
    open_ms: float
    notes: list[NoteBody]


class TeamOutcomesBody(TypedDict):
    """Outcomes of a team's requests since this router started to track the team."""

    outcomes: dict[str, int]
    limits_hit: dict[str, int]


class TraceStore:
    """
    Keeps the traces of the latest requests and counts outcomes per team.

    A trace with five short notes takes 2.3 KB. It holds at most 16 notes of 160 characters, so that
    1024 traces take 2 to 8 MB.
    """

    def __init__(
        self, *, traces_count: int = TRACE_LIMIT_COUNT, teams_count: int = TEAM_LIMIT_COUNT
    ) -> None:
        """
        Create an empty store.

        :param traces_count: maximum number of traces; the oldest is evicted first
        :param teams_count: maximum number of teams; the least recently active is evicted first
        """
        self._traces_count = traces_count
        self._teams_count = teams_count
        self._traces: OrderedDict[str, TraceBody] = OrderedDict()
        self._teams: OrderedDict[str, Counter[str]] = OrderedDict()

    def record(self, finished: Finished) -> None:
        """
        Store the trace of a request and count its outcome.

        :param finished: the request
        """
        trace = _trace(finished)
        self._traces[trace["request_id"]] = trace
        while len(self._traces) > self._traces_count:
            self._traces.popitem(last=False)
        team = finished.exchange.team
        if team is not None:
            self._count(team.name, trace["outcome"])

    def find_trace(self, request_id: str) -> TraceBody | None:
        """
        Look up the trace of a finished request.

        :param request_id: id of the request
        :return: the trace, ``None`` if there is none or it was evicted
        """
        return self._traces.get(request_id)

    def team_outcomes(self, name: str) -> TeamOutcomesBody:
        """
        Return the outcomes of a team's requests.

        :param name: name of the team
        :return: counters by outcome and by limit; all zero for a team without requests
        """
        counts = self._teams.get(name, Counter())
        limits_hit = {code: counts[code] for code in LIMIT_ERROR_CODES}
        return {"outcomes": dict(counts), "limits_hit": limits_hit}

    def _count(self, team: str, outcome: str) -> None:
        self._teams.setdefault(team, Counter())[outcome] += 1
        self._teams.move_to_end(team)
        while len(self._teams) > self._teams_count:
            self._teams.popitem(last=False)


def _trace(finished: Finished) -> TraceBody:
    exchange = finished.exchange
    outcome = finished.outcome
    return {
        "request_id": exchange.request.request_id,
        "team": exchange.team.name if exchange.team is not None else exchange.request.team,
        "kind": exchange.kind or exchange.request.kind,
        "pool": exchange.request.pool,
        "outcome": outcome_name(outcome),
        "run": outcome.run.value if isinstance(outcome, Failed) else None,
        "attempt": exchange.attempt,
        "upstream_id": exchange.upstream_id,
        "units": exchange.served_units,
        "first_byte_ms": _milliseconds(finished.first_byte_s),
        "total_ms": _milliseconds(finished.total_s),
        "notes": _notes(exchange),
    }


def open_request_body(exchange: Exchange, ahead_count: int, now_s: float) -> OpenRequestBody:
    """
    Describe a request that has not ended.

    :param exchange: the request
    :param ahead_count: waiting requests that are picked before it
    :param now_s: monotonic time
    :return: its state, what it waits for, and the decisions taken so far
    """
    parameters = exchange.parameters
    pool = parameters.pool if parameters is not None else exchange.request.pool
    return {
        "request_id": exchange.request.request_id,
        "team": exchange.team.name if exchange.team is not None else exchange.request.team,
        "kind": exchange.kind or exchange.request.kind,
        "pool": pool,
        "state": exchange.stage.value,
        "waits_for": _waits_for(exchange, pool),
        "ahead_count": ahead_count if exchange.stage is Stage.WAITING else None,
        "attempt": exchange.attempt,
        "upstream_id": exchange.upstream_id,
        "units": exchange.served_units,
        "open_ms": round((now_s - exchange.received_s) * 1000, 3),
        "notes": _notes(exchange),
    }


def _waits_for(exchange: Exchange, pool: str | None) -> str | None:
    match exchange.stage:
        case Stage.RECEIVED:
            return None
        case Stage.RECORDING:
            return "a quorum of the controllers"
        case Stage.WAITING:
            return f"a slot of pool {pool}"
        case Stage.RUNNING:
            return f"the answer of {exchange.upstream_id}"


def _notes(exchange: Exchange) -> list[NoteBody]:
    """Keep only the first and last notes of a long trace, whose middle repeats itself."""
    notes = exchange.notes
    if len(notes) > NOTE_LIMIT_COUNT:
        half_count = NOTE_LIMIT_COUNT // 2
        notes = [*notes[:half_count], *notes[-half_count:]]
    return [
        {"at_ms": _milliseconds(at_s - exchange.received_s), "text": text[:NOTE_LIMIT_CHARS]}
        for at_s, text in notes
    ]


def _milliseconds(duration_s: float | None) -> float | None:
    return None if duration_s is None else round(duration_s * 1000, 3)


__all__ = [
    "NoteBody",
    "OpenRequestBody",
    "TeamOutcomesBody",
    "TraceBody",
    "TraceStore",
    "open_request_body",
]
