"""Builders of test data: manifests by what they allow callers, and changes of them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from tests.routebuilders import a_document_of_all_kinds

if TYPE_CHECKING:
    import random

KEY = "key-1"
SERVICES = ("engines", "spare")


class Terms(NamedTuple):
    """What a manifest allows callers, and where it sends their requests."""

    timeout_s: float = 8.0
    attempts_count: int = 2
    dropped_kinds: frozenset[str] = frozenset()
    """Kinds of requests without a route."""
    weights: tuple[int, ...] = (100, 0)
    """Parts of the requests that ``SERVICES`` receive."""
    has_key: bool = True
    """Whether the callers' key is valid."""
    has_tenant: bool = True
    """Whether the callers' tenant exists."""
    body_bytes: int = 100_000
    idle_timeout_s: float = 15.0

    def allows(self, kind: str, body_bytes: int) -> bool:
        """:return: whether a request of a kind and a size is to be served"""
        has_access = self.has_key and self.has_tenant
        return has_access and kind not in self.dropped_kinds and body_bytes <= self.body_bytes


@dataclass(frozen=True, slots=True)
class DropRoutes:
    """Some kinds of requests have no route."""


@dataclass(frozen=True, slots=True)
class MoveRoutes:
    """All routes go to the other service."""


@dataclass(frozen=True, slots=True)
class SplitRoutes:
    """All routes go to both services."""


@dataclass(frozen=True, slots=True)
class ShortenTimeouts:
    """Requests may take less time."""


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """The callers' tenant loses its key."""


@dataclass(frozen=True, slots=True)
class DropTenant:
    """The callers' tenant is removed."""


@dataclass(frozen=True, slots=True)
class ChangeIdleTimeout:
    """Connections may be idle for another time."""


@dataclass(frozen=True, slots=True)
class LimitBodies:
    """Only short bodies are accepted."""


Change = (
    DropRoutes
    | MoveRoutes
    | SplitRoutes
    | ShortenTimeouts
    | WithdrawKey
    | DropTenant
    | ChangeIdleTimeout
    | LimitBodies
)
CHANGES: tuple[Change, ...] = (
    DropRoutes(),
    MoveRoutes(),
    SplitRoutes(),
    ShortenTimeouts(),
    WithdrawKey(),
    DropTenant(),
    ChangeIdleTimeout(),
    LimitBodies(),
)


def changed(terms: Terms, change: Change, draw: random.Random) -> Terms:
    """Apply a change to terms."""
    match change:
        case DropRoutes():
            kinds = draw.sample(("safe", "once", "stream", "feed"), draw.randint(1, 3))
            return terms._replace(dropped_kinds=frozenset(kinds))
        case MoveRoutes():
            return terms._replace(weights=terms.weights[::-1])
        case SplitRoutes():
            return terms._replace(weights=(draw.randint(1, 99), draw.randint(1, 99)))
        case ShortenTimeouts():
            return terms._replace(timeout_s=draw.choice((0.8, 1.5, 3.0)))
        case WithdrawKey():
            return terms._replace(has_key=False)
        case DropTenant():
            return terms._replace(has_tenant=False)
        case ChangeIdleTimeout():
            return terms._replace(idle_timeout_s=draw.choice((0.6, 1.0, 2.0)))
        case LimitBodies():
            return terms._replace(body_bytes=1000)


def a_document_of_terms(version: int, terms: Terms) -> bytes:
    """Build the manifest of terms, with the routes of ``a_document_of_all_kinds``."""
    split = [
        {"service": service, "weight": weight}
        for service, weight in zip(SERVICES, terms.weights, strict=True)
        if weight
    ]
    fields = {"timeoutMs": round(1000 * terms.timeout_s), "maxAttempts": terms.attempts_count}
    document = json.loads(a_document_of_all_kinds(version, **fields, trafficSplit=split))
    document["routes"] = [
        {name: value for name, value in route.items() if name != "service"}
        for route in document["routes"]
        if route["name"] not in terms.dropped_kinds
    ]
    (service,) = document["services"]
    # A service that no route leads to is left out, so that requests under way outlive it.
    document["services"] = [{**service, "name": entry["service"]} for entry in split]
    keys = [KEY] if terms.has_key else ["key-2"]
    others = [{"name": "others", "apiKeys": ["key-3"], "priority": 0}]
    youth = [{"name": "youth", "apiKeys": keys, "priority": 1}] if terms.has_tenant else []
    document["tenants"] = others + youth
    document["limits"]["maxBodyBytes"] = terms.body_bytes
    document["limits"]["idleTimeoutMs"] = round(1000 * terms.idle_timeout_s)
    return json.dumps(document).encode()


__all__ = [
    "CHANGES",
    "SERVICES",
    "Change",
    "ChangeIdleTimeout",
    "DropRoutes",
    "DropTenant",
    "LimitBodies",
    "MoveRoutes",
    "ShortenTimeouts",
    "SplitRoutes",
    "Terms",
    "WithdrawKey",
    "a_document_of_terms",
    "changed",
]
