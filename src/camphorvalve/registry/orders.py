"""Orders to engines, and the fencing numbers by which engines can refuse outdated ones."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.registry.commands import (
    ACTION_CODEC,
    Conflict,
    Done,
    Invalid,
    Outcome,
    SettleOrder,
    SubmitOrder,
    TakeLeadership,
)
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_SETTLED_COUNT = 1024
"""Settled orders that are kept for operators and to recognise repeated operation ids."""
WAITING = "waiting"
SETTLED_STATES = ("done", "refused", "failed")


class Order(NamedTuple):
    """An order to an engine, and its state."""

    index: int
    """Log index; the fencing number is the same or higher."""
    operation_id: str
    upstream_id: str
    action: bytes
    """An ``EngineAction`` encoded by ``ACTION_CODEC``."""
    state: str = WAITING
    detail: str = ""


class Leadership(NamedTuple):
    """The latest leader that has committed the first entry of its term."""

    leader_id: str
    index: int
    """Log index of that entry; fences off the orders of earlier leaders."""


class Orders:
    """All waiting orders and the newest settled ones."""

    def __init__(self) -> None:
        """Start without orders."""
        self.leadership = Leadership("", 0)
        self._orders: dict[int, Order] = {}
        self._by_operation: dict[str, int] = {}

    def all(self) -> tuple[Order, ...]:
        """:return: all orders, oldest first"""
        return tuple(self._orders.values())

    def waiting(self) -> tuple[Order, ...]:
        """:return: orders without an outcome, oldest first"""
        return tuple(order for order in self._orders.values() if order.state == WAITING)

    def fencing_number(self, order: Order) -> int:
        """
        Compute the fencing number of an order; it exceeds those of all earlier leaders.

        :param order: the order
        :return: the number
        """
        return max(order.index, self.leadership.index)

    def apply(
        self, index: int, command: SubmitOrder | SettleOrder | TakeLeadership, revision: int
    ) -> Outcome:
        """
        Apply a committed command.

        :param index: its log index
        :param command: the command
        :param revision: revision of the configuration, for the outcome
        :return: its outcome
        """
        match command:
            case SubmitOrder():
                return self._submit(index, command, revision)
            case SettleOrder():
                return self._settle(index, command, revision)
            case TakeLeadership(leader_id):
                self.leadership = Leadership(leader_id, index)
                return Done(revision, index)

    def load(self, orders: Iterable[Order], leadership: Leadership) -> None:
        """
        Replace all orders, as when a snapshot is restored.

        :param orders: the orders, oldest first
        :param leadership: the latest leadership
        """
        self._orders = {order.index: order for order in orders}
        self._by_operation = {order.operation_id: order.index for order in self._orders.values()}
        self.leadership = leadership

    def _submit(self, index: int, command: SubmitOrder, revision: int) -> Outcome:
        known_index = self._by_operation.get(command.operation_id)
        if known_index is not None:
            return Done(revision, known_index)
        try:
            ACTION_CODEC.decode(command.action)
        except DecodeError as error:
            return Invalid(f"action: {error}")
        self._orders[index] = Order(
            index, command.operation_id, command.upstream_id, command.action
        )
        self._by_operation[command.operation_id] = index
        return Done(revision, index)

    def _settle(self, index: int, command: SettleOrder, revision: int) -> Outcome:
        order = self._orders.get(command.order_index)
        if order is None:
            return Invalid(f"order {command.order_index} does not exist")
        if command.state not in SETTLED_STATES:
            return Invalid(f"state {command.state!r} is not one of {', '.join(SETTLED_STATES)}")
        if order.state == command.state:
            return Done(revision, index)
        if order.state != WAITING:
            return Conflict(revision, f"the order is already {order.state}")
        self._orders[order.index] = order._replace(state=command.state, detail=command.detail)
        self._evict_settled()
        return Done(revision, index)

    def _evict_settled(self) -> None:
        settled = [order for order in self._orders.values() if order.state != WAITING]
        for order in settled[: max(0, len(settled) - MAX_SETTLED_COUNT)]:
            del self._orders[order.index]
            del self._by_operation[order.operation_id]


__all__ = ["Leadership", "Order", "Orders", "WAITING"]
