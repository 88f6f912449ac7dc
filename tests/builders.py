"""Builders of test data: every field has a default, tests name only what matters to them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.ordersteps import OpenOrder
from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.model.requests import Completion, Exchange, Request, ServiceCall
from camphorvalve.model.teams import KindParameters, Team, Template, Urgency
from camphorvalve.model.upstreams import ChecksFencing, ModelEngine, PlainService, Upstream
from camphorvalve.registry.commands import LoadModel

if TYPE_CHECKING:
    from camphorvalve.upstreams.orderstates import EngineView

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


def a_request(**fields: Any) -> Request:
    values = {
        "request_id": "request-1",
        "call": Completion(streamed=True),
        "pool": None,
        "body": b'{"model":"m","prompt":"first violins","max_tokens":5,"stream":true}',
        "content_type": "application/json",
        "token": "token-1",
        "team": "perth-youth",
        "kind": "draft",
        "idempotency_key": None,
        "deferred": False,
        "cost_hint_units": None,
    }
    return Request(**{**values, **fields})


def an_exchange(**fields: Any) -> Exchange:
    return Exchange(a_request(**fields), received_s=0.0)


def a_service_exchange(**fields: Any) -> Exchange:
    call = ServiceCall(fields.pop("method", "POST"), fields.pop("path", "/slots?service_ms=1"))
    return an_exchange(**{"call": call, "pool": "booking-desk", "body": b"{}", **fields})


def a_service(upstream_id: str = "service-1", **fields: Any) -> Upstream:
    values = {"pool": "booking-desk", "interface": PlainService()}
    return an_upstream(upstream_id, **{**values, **fields})


def a_member(member_id: str = "engine-1", **fields: Any) -> dict[str, Any]:
    values = {
        "id": member_id,
        "role": "engine",
        "pool": POOL,
        "data_centre": "perth-a",
        "url": f"http://127.0.0.1:1/{member_id}",
        "slots": 4,
        "fencing": "checks",
        "state": "live",
    }
    return {**values, **fields}


def a_load(**fields: Any) -> LoadModel:
    return LoadModel(**{"model": "chorale", "version": "2", "size_bytes": 0, **fields})


def an_order(index: int = 10, **fields: Any) -> OpenOrder:
    values = {"order_id": f"order-{index}", "upstream_id": "engine-1", "action": a_load()}
    return OpenOrder(**{"index": index, **values, **fields})


def an_engine_view(**order_states: str) -> EngineView:
    orders = [
        {"order_id": name.replace("_", "-"), "state": state} for name, state in order_states.items()
    ]
    return {"orders": orders, "models": [], "adapters": [], "role": "mixed"}


__all__ = [
    "POOL",
    "a_kind",
    "a_load",
    "a_member",
    "a_request",
    "a_router",
    "a_service",
    "a_service_exchange",
    "a_team",
    "a_template",
    "an_engine_view",
    "an_exchange",
    "an_order",
    "an_upstream",
]
