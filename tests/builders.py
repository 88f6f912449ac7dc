"""Builders of test data: every field has a default, tests name only what matters to them."""

from __future__ import annotations

from typing import Any

from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.model.teams import KindParameters, Team, Template, Urgency
from camphorvalve.model.upstreams import ChecksFencing, ModelEngine, Upstream

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


def a_settings_document(**fields: Any) -> dict[str, Any]:
    addresses = [
        {"host_id": f"controller-{n}", "peer_address": f"tcp://127.0.0.1:700{n}"} for n in (1, 2, 3)
    ]
    values = {
        "host_id": "controller-1",
        "data_centre": "perth-a",
        "operator_bind": "127.0.0.1:8081",
        "peer_bind": "tcp://127.0.0.1:7001",
        "controllers": addresses,
        "platform_url": "http://127.0.0.1:9000",
        "keys": None,
        "operator_token": None,
    }
    return {**values, **fields}


def a_router_document(**fields: Any) -> dict[str, Any]:
    values = {
        "host_id": "router-1",
        "caller_bind": "127.0.0.1:8080",
        "caller_url": "http://127.0.0.1:8080",
        "peer_bind": "tcp://127.0.0.1:7000",
        "callers": None,
    }
    return a_settings_document(**{**values, **fields})


def a_controller_document(**fields: Any) -> dict[str, Any]:
    values = {"operator_url": "http://127.0.0.1:8081", "data_folder": "/var/lib/camphorvalve"}
    return a_settings_document(**{**values, **fields})


__all__ = [
    "POOL",
    "a_controller_document",
    "a_kind",
    "a_router",
    "a_router_document",
    "a_team",
    "a_template",
    "an_upstream",
]
