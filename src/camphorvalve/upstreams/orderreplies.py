"""Outcomes of sending an order to an engine, and the state that an engine reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, TypedDict


@dataclass(frozen=True, slots=True)
class Accepted:
    """The engine accepted the order; its state shows when the order is done."""


@dataclass(frozen=True, slots=True)
class Stale:
    """The engine rejected the order, because it has seen a higher fencing number."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The engine rejected the order."""

    cause: str


@dataclass(frozen=True, slots=True)
class Unsent:
    """The order did not reach the engine."""

    cause: str


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The order may have reached the engine, or may still reach it."""

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


class EngineState(TypedDict):
    """State that an engine reports: its orders, loaded models and adapters, and its role."""

    orders: list[_OrderState]
    models: list[_Model]
    adapters: list[_Adapter]
    role: str


__all__ = [
    "Accepted",
    "EngineState",
    "InDoubt",
    "OrderReply",
    "Refused",
    "Stale",
    "Unsent",
]
