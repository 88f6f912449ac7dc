"""Builders of test data: manifests, routed calls and their upstreams."""

from __future__ import annotations

import json
import time
from typing import Any

from camphorvalve.model.hosts import HostState
from camphorvalve.model.requests import Exchange, Prompt, PromptPart, Request, RoutedCall
from camphorvalve.model.routes import (
    CallerBounds,
    Destination,
    Engine,
    Manifest,
    Pool,
    Route,
    Tenant,
)
from camphorvalve.model.upstreams import PlainService, Upstream
from camphorvalve.sharing.departure import Departure
from camphorvalve.sharing.directory import CallerPlace, NamedRouter
from camphorvalve.upstreams.routed import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id="x-id",
    time_left_ms="x-left",
    expected_upstream="x-expected",
    team="x-team",
    last_event_id="last-event-id",
    not_run="x-not-run",
    proof="x-proof",
    leaving="x-leaving",
    hold_off_s="retry-after",
)
TEAM_KEYS = {"youth": "key-1", "elders": "key-2"}


def a_route(**fields: Any) -> Route:
    values = {
        "name": "drafts",
        "host": "desk.example",
        "path_prefix": "/drafts/",
        "destinations": (Destination("engines", 1.0),),
        "timeout_s": 8.0,
        "objective_s": 0.4,
        "priority": 1,
        "attempts_count": 2,
        "idempotent": False,
        "streamed": False,
        "resumable": False,
        "public": False,
    }
    return Route(**{**values, **fields})


def a_manifest(version: int = 1, **fields: Any) -> Manifest:
    values = {
        "version": version,
        "routes": (a_route(),),
        "pools": (Pool("engines", Engine(96)), Pool("desk", None)),
        "tenants": (Tenant("youth", ("key-1",), 1),),
        "bounds": CallerBounds(),
        "source": f'{{"version":{version}}}'.encode(),
    }
    return Manifest(**{**values, **fields})


def a_manifest_document(**fields: Any) -> bytes:
    route = {
        "name": "drafts",
        "host": "desk.example",
        "pathPrefix": "/drafts/",
        "kind": "streaming",
        "timeoutMs": 8000,
        "targetLatencyMs": 400,
        "priority": 1,
        "trafficSplit": [{"service": "engines", "weight": 90}],
        "maxAttempts": 2,
        "resumable": True,
        "gapTargetMs": 300,
    }
    document = {
        "version": 7,
        "routes": [route],
        "services": [{"name": "engines", "engine": {"slots": 96, "kvCapacityTokens": 1000}}],
        "tenants": [{"name": "youth", "apiKeys": ["key-1"], "priority": 1}],
        "limits": {"maxBodyBytes": 1000, "idleTimeoutMs": 15000, "tokensPerS": 850000},
    }
    return json.dumps({**document, **fields}).encode()


def a_document_of_all_kinds(version: int, **fields: Any) -> bytes:
    """Build a manifest with one route for each kind of request of the kept callers."""
    routes = [
        {
            "name": name,
            "host": "desk.example",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 4000,
            "targetLatencyMs": 400,
            "gapTargetMs": 300,
            "service": "engines",
            "maxAttempts": 2,
            "resumable": name == "stream",
            **fields,
        }
        for name, kind in (
            ("safe", "safe"),
            ("once", "unsafe"),
            ("stream", "streaming"),
            ("feed", "streaming"),
        )
    ]
    # The routes of other versions differ in one that no caller uses.
    routes.append({**routes[0], "name": "other", "pathPrefix": f"/other-{version}/"})
    limits = {"maxBodyBytes": 100_000, "idleTimeoutMs": 15_000, "tokensPerS": 850_000}
    return a_manifest_document(version=version, routes=routes, limits=limits)


def a_document_of_two_teams(version: int, **fields: Any) -> bytes:
    """Build the manifest of ``a_document_of_all_kinds`` with a key for each of two teams."""
    document = json.loads(a_document_of_all_kinds(version, **fields))
    tenants = [{"name": name, "apiKeys": [key], "priority": 1} for name, key in TEAM_KEYS.items()]
    return json.dumps({**document, "tenants": tenants}).encode()


def a_prompt(*part_ids: str, tokens_count: int = 1000) -> Prompt:
    return Prompt(
        tuple(PromptPart(part_id, tokens_count) for part_id in part_ids), tokens_count, 100
    )


def a_routed_exchange(route: Route | None = None, **fields: Any) -> Exchange:
    route = route or a_route()
    values = {
        "method": "POST",
        "target": "/drafts/1?part=2",
        "host": "desk.example",
        "headers": (("x-shade", "blue"),),
        "caller_timeout_s": None,
        "prompt": None,
        "resumption": None,
    }
    call = RoutedCall(**{**values, **{name: fields.pop(name) for name in values if name in fields}})
    request_values = {
        "request_id": "id-1",
        "call": call,
        "pool": route.destinations[0].pool,
        "body": b"violins",
        "content_type": "",
        "token": "key-1",
        "team": None,
        "kind": None,
        "idempotency_key": None,
        "deferred": False,
        "cost_hint_units": None,
    }
    request_fields = (request_values.keys() - {"team"}) & fields.keys()
    request = Request(**{**request_values, **{name: fields.pop(name) for name in request_fields}})
    now_s = time.monotonic()
    exchange = Exchange(request, now_s, **{"deadline_s": now_s + 5.0, "attempt": 1, **fields})
    exchange.route = route
    exchange.parameters = route.parameters(route.destinations[0].pool)
    return exchange


def a_listed_upstream(upstream_id: str = "up-1", **fields: Any) -> Upstream:
    values = {
        "upstream_id": upstream_id,
        "pool": "engines",
        "data_centre": "perth-a",
        "url": "http://127.0.0.1:1",
        "slots_count": 96,
        "interface": PlainService(),
        "state": HostState.LIVE,
    }
    return Upstream(**{**values, **fields})


def some_versions(*software: str | None, pool: str = "engines") -> list[Upstream]:
    """Build one upstream of each software version."""
    return [
        a_listed_upstream(f"{pool}-{number}", pool=pool, software=version)
        for number, version in enumerate(software)
    ]


def a_departure(**fields: float) -> Departure:
    return Departure(**{"intake_s": 2.5, "duration_s": 7.0, **fields})


ZONES = tuple(f"perth-{letter}" for letter in "abcdef")


def some_named_routers(
    count: int, *zones: str, pressed: frozenset[int] = frozenset()
) -> list[NamedRouter]:
    return [
        NamedRouter(f"10.0.0.{number}:8783", zones[number % len(zones)], number in pressed)
        for number in range(count)
    ]


def a_caller_place(zone: str, caller_id: str = "caller") -> CallerPlace:
    return CallerPlace(caller_id, (frozenset({zone}), frozenset(ZONES)))
