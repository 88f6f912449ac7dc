"""Values that the plan of orders takes and yields."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.registry.commands import EngineAction


class Timing(NamedTuple):
    """Times of the plan; the first three are those of design 7.8."""

    lease_s: float = 2.0
    drift_s: float = 0.2
    delivery_s: float = 1.0
    """Longest time from writing an order to its arrival."""
    poll_s: float = 0.5
    """Time between two reads of the state of an engine."""
    settle_s: float = 2.0
    """Time after which a proposal that was not committed is repeated."""
    unknown_s: float = 30.0
    """How long an order waits for an engine that is not in the feed or cannot be read."""
    tries_count: int = 5


class Leadership(NamedTuple):
    """This controller leads; monotonic times of its own clock."""

    since_s: float
    lease_until_s: float


class BookedOrder(NamedTuple):
    """A committed order that is not settled, as the registry keeps it."""

    index: int
    """Log index."""
    fencing_number: int
    """Higher than that of every order that an older leader has sent."""
    operation_id: str
    upstream_id: str
    action: bytes
    """An ``EngineAction`` encoded by ``ACTION_CODEC``."""


class OpenOrder(NamedTuple):
    """A booked order with its action decoded."""

    index: int
    fencing_number: int
    order_id: str
    upstream_id: str
    action: EngineAction


@dataclass(frozen=True, slots=True)
class ReadState:
    """Read back the state of an engine."""

    since_s: float
    """Start of the leadership that this step belongs to."""
    upstream: Upstream


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order, unless the time is up before it is written."""

    since_s: float
    order: OpenOrder
    upstream: Upstream
    until_s: float


@dataclass(frozen=True, slots=True)
class Settle:
    """Propose to record what became of an order."""

    index: int
    state: str
    detail: str


Step = ReadState | SendOrder | Settle

__all__ = [
    "BookedOrder",
    "Leadership",
    "OpenOrder",
    "ReadState",
    "SendOrder",
    "Settle",
    "Step",
    "Timing",
]
