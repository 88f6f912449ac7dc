"""What engines answer to orders, and what they say of their state; no input or output."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypedDict


@dataclass(frozen=True, slots=True)
class Accepted:
    """The engine took the order; its state tells when it is done."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The engine has seen a higher fencing number."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine will not do this."""

    cause: str


@dataclass(frozen=True, slots=True)
class Unsent:
    """The order did not reach the engine."""

    cause: str


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The order may have reached the engine, or may still do so."""

    cause: str


OrderReply = Accepted | Stale | Refused | Unsent | InDoubt


class _OrderState(TypedDict):
    order_id: str
    state: Literal["running", "done", "failed"]


class _Model(TypedDict):
    model: str
    version: str


class _Adapter(TypedDict):
    model: str
    adapter: str


class EngineView(TypedDict):
    """What an engine says of its orders and of what it has loaded."""

    orders: list[_OrderState]
    models: list[_Model]
    adapters: list[_Adapter]
    role: str


__all__ = [
    "Accepted",
    "EngineView",
    "InDoubt",
    "OrderReply",
    "Refused",
    "Stale",
    "Unsent",
]
