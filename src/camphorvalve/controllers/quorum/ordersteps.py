"""Input and output types of ``OrderPlan``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.registry.commands import EngineAction


class OrderTiming(NamedTuple):
    """Timing of the plan; the first three values come from section 7.8 of the design."""

    lease_s: float = 2.0
    drift_s: float = 0.2
    delivery_s: float = 1.0
    """Longest time from writing an order to its arrival at the engine."""
    poll_s: float = 0.5
    """Time between two reads of the state of an engine."""
    settle_s: float = 2.0
    """Time after which a proposal that has not been committed is repeated."""
    unknown_s: float = 30.0
    """How long an order waits for an engine that is not in the feed or cannot be read."""
    tries_count: int = 5


class Leadership(NamedTuple):
    """A leadership of this controller, in monotonic time of its own clock."""

    since_s: float
    lease_until_s: float


class CommittedOrder(NamedTuple):
    """A committed order without an outcome, as stored in the registry."""

    index: int
    """Log index of the order."""
    fencing_number: int
    """Higher than the fencing number of every order that an earlier leader has sent."""
    operation_id: str
    upstream_id: str
    action: bytes
    """An ``EngineAction`` encoded by ``ACTION_CODEC``."""


class OpenOrder(NamedTuple):
    """A committed order without an outcome, with its action decoded."""

    index: int
    fencing_number: int
    order_id: str
    upstream_id: str
    action: EngineAction


@dataclass(frozen=True, slots=True)
class ReadState:
    """Step: read the state of an engine."""

    since_s: float
    """Start of the leadership that issued this step."""
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Step: send an order, unless ``until_s`` passes before it is written."""

    since_s: float
    order: OpenOrder
    upstream: Upstream
    until_s: float


@dataclass(frozen=True, slots=True)
class Settle:
    """Step: propose the outcome of an order to the replicated log."""

    index: int
    state: str
    detail: str


Step = ReadState | SendOrder | Settle

__all__ = [
    "CommittedOrder",
    "Leadership",
    "OpenOrder",
    "OrderTiming",
    "ReadState",
    "SendOrder",
    "Settle",
    "Step",
]
