"""Upstreams: model engines and plain services, and the interface of each kind."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from camphorvalve.model.hosts import HostState


@dataclass(frozen=True, slots=True)
class ChecksFencing:
    """The engine refuses orders with an outdated fencing number."""


@dataclass(frozen=True, slots=True)
class IgnoresFencing:
    """The engine accepts every order; only the lease prevents orders of former leaders."""


FencingBehaviour = ChecksFencing | IgnoresFencing


@dataclass(frozen=True, slots=True)
class ModelEngine:
    """An engine that streams tokens and executes orders."""

    fencing: FencingBehaviour


@dataclass(frozen=True, slots=True)
class PlainService:
    """A service that answers one HTTP call at a time per slot."""


UpstreamInterface = ModelEngine | PlainService


class Upstream(NamedTuple):
    """One upstream of a pool."""

    upstream_id: str
    pool: str
    data_centre: str
    url: str
    slots_count: int
    interface: UpstreamInterface
    state: HostState
    started_ms: int | None = None
    """Unix time of its start, ``None`` if unknown; it may start again under the same id."""
    software: str | None = None
    """Version of its software, ``None`` if unknown. A stream goes on only at the version that began
    it."""
    cold_left_s: float = 0.0
    """Time for which it stays cold after the list was read, 0 if it is not cold."""


class UpstreamList(NamedTuple):
    """All upstreams that the platform lists, leaving ones included."""

    upstreams: tuple[Upstream, ...]
    skipped_count: int
    """Entries of the list that could not be used."""


__all__ = [
    "ChecksFencing",
    "FencingBehaviour",
    "IgnoresFencing",
    "ModelEngine",
    "PlainService",
    "Upstream",
    "UpstreamInterface",
    "UpstreamList",
]
