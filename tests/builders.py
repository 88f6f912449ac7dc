"""Builders of test data: every field has a default, tests name only what matters to them."""

from __future__ import annotations

from typing import Any

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.model.requests import Completion, Exchange, Request
from camphorvalve.model.teams import (
    KindParameters,
    Limits,
    Team,
    TeamParameters,
    Template,
    Urgency,
    resolve,
)
from camphorvalve.model.upstreams import ChecksFencing, ModelEngine, Upstream
from camphorvalve.reports.outcomes import Answered, Finished
from camphorvalve.sharing.shedding import Backlog, Bounds, Holding, Newcomer

POOL = "camphor-pool"


def a_kind(**fields: Any) -> KindParameters:
    return KindParameters(**{"pool": POOL, **fields})


def a_template(**fields: Any) -> Template:
    kinds = {
        "chat": a_kind(urgency=Urgency.URGENT, objective_s=1.5),
        "draft": a_kind(),
        "summary": a_kind(urgency=Urgency.DEFERRABLE, objective_s=60.0),
    }
    return Template(**{"name": "orchestra", "share": 1.0, "kinds": kinds, **fields})


def a_team(**fields: Any) -> Team:
    return Team(**{"name": "perth-youth", "template": "orchestra", **fields})


def a_router(host_id: str = "router-1", **fields: Any) -> Host:
    values = {
        "host_id": host_id,
        "role": Role.ROUTER,
        "data_centre": "perth-a",
        "url": f"http://127.0.0.1:1/{host_id}",
        "peer_address": f"tcp://127.0.0.1:1/{host_id}",
        "state": HostState.LIVE,
    }
    return Host(**{**values, **fields})


def an_upstream(upstream_id: str = "engine-1", **fields: Any) -> Upstream:
    values = {
        "upstream_id": upstream_id,
        "pool": POOL,
        "data_centre": "perth-a",
        "url": f"http://127.0.0.1:1/{upstream_id}",
        "slots_count": 4,
        "interface": ModelEngine(ChecksFencing()),
        "state": HostState.LIVE,
    }
    return Upstream(**{**values, **fields})


def team_parameters(name: str = "perth-youth", **fields: Any) -> TeamParameters:
    return resolve(a_team(name=name), a_template(**fields))


def a_request(**fields: Any) -> Request:
    values = {
        "request_id": "request-1",
        "call": Completion(streamed=False),
        "pool": None,
        "body": b'{"model": "m", "prompt": "p"}',
        "content_type": "application/json",
        "token": "secret",
        "team": None,
        "kind": None,
        "idempotency_key": None,
        "deferred": False,
        "cost_hint_units": None,
    }
    return Request(**{**values, **fields})


def an_exchange(received_s: float = 0.0, **fields: Any) -> Exchange:
    """An exchange that no filter has seen; the fields are those of its request."""
    return Exchange(a_request(**fields), received_s)


def a_classified_exchange(
    team: TeamParameters | None = None, kind: str = "draft", **fields: Any
) -> Exchange:
    """An exchange as it leaves the classify filter."""
    exchange = an_exchange(**fields)
    exchange.team = team or team_parameters()
    exchange.kind = kind
    exchange.parameters = exchange.team.kinds[kind]
    return exchange


def a_head(status: int = 200, content_type: str = "application/json", **headers: str) -> Head:
    named = ((name.replace("_", "-"), value) for name, value in headers.items())
    return Head(status, (("content-type", content_type), *named))


def an_answer(*contents: bytes, **head: Any) -> tuple[Head | Body, ...]:
    return (a_head(**head), *(Body(content) for content in contents))


def a_finished(team: TeamParameters | None = None, kind: str = "draft", **fields: Any) -> Finished:
    values = {
        "exchange": a_classified_exchange(team, kind),
        "outcome": Answered(200),
        "ended_s": 0.0,
        "first_byte_s": 0.5,
        "total_s": fields.get("first_byte_s") or 0.5,
    }
    return Finished(**{**values, **fields})


def a_newcomer(**fields: Any) -> Newcomer:
    values = {
        "team": "a",
        "kind": "draft",
        "urgency": Urgency.NORMAL,
        "share": 1.0,
        "size_bytes": 10,
        "objective_s": 10.0,
    }
    return Newcomer(**{**values, **fields})


def a_holding(**fields: Any) -> Holding:
    values = {"team": "a", "kind": "draft", "urgency": Urgency.NORMAL, "share": 1.0, "count": 1}
    merged = {**values, **fields}
    return Holding(**{"size_bytes": 10 * merged["count"], **merged})


def a_backlog(*holdings: Holding, team: str = "a", wait_s: float | None = None) -> Backlog:
    own = [one for one in holdings if one.team == team]
    return Backlog(
        sum(one.count for one in own),
        sum(one.size_bytes for one in own),
        sum(one.count for one in holdings),
        sum(one.size_bytes for one in holdings),
        wait_s,
        holdings,
    )


def queue_bounds(**fields: Any) -> Bounds:
    limits = Limits(queue_count=20, queue_bytes=200, request_bytes=50)
    return Bounds(**{"limits": limits, "total_count": 100, "total_bytes": 1000, **fields})


__all__ = [
    "POOL",
    "a_backlog",
    "a_classified_exchange",
    "a_finished",
    "a_head",
    "a_holding",
    "a_kind",
    "a_newcomer",
    "a_request",
    "a_router",
    "a_team",
    "a_template",
    "an_answer",
    "an_exchange",
    "an_upstream",
    "queue_bounds",
    "team_parameters",
]
