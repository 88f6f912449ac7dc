"""Carries out the orders to engines while this controller leads."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

import anyio
import structlog

from camphorvalve.controllers.ordersteps import OpenOrder, ReadState, SendOrder, Settle
from camphorvalve.registry.commands import ACTION_CODEC, SettleOrder
from camphorvalve.upstreams.orders import EngineOrder, OrderingError, read_state, send_order
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    import httpx

    from camphorvalve.controllers.orderplan import OrderPlan
    from camphorvalve.controllers.ordersteps import BookedOrder, Leadership, Step
    from camphorvalve.model.upstreams import Upstream

TICK_S = 0.1

_log = structlog.get_logger(__name__)


class OrderBook(Protocol):
    """What ordering needs from the other controllers of the process."""

    def leadership(self, now_s: float) -> Leadership | None:
        """
        Tell whether this controller leads.

        :param now_s: monotonic time
        :return: since when, and the end of its lease
        """

    def open_orders(self) -> Iterable[BookedOrder]:
        """:return: committed orders that are not settled"""

    def upstreams(self) -> Mapping[str, Upstream]:
        """:return: upstreams of the membership feed by id"""

    def propose(self, command: SettleOrder) -> None:
        """
        Propose a command to the replicated log; may be lost.

        :param command: the command
        """


class Ordering:
    """Does what the plan says: reads states, sends orders, proposes outcomes."""

    def __init__(
        self, book: OrderBook, plan: OrderPlan, client: httpx.AsyncClient, token: str | None
    ) -> None:
        """
        Prepare; nothing is sent yet.

        :param book: leadership, orders, upstreams and proposals
        :param plan: the decisions
        :param client: client with a delivery limit
        :param token: bearer token for engines that check the sender of an order
        """
        self._book = book
        self._plan = plan
        self._client = client
        self._token = token

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for step in self._steps(time.monotonic()):
                    tasks.start_soon(self._do, step)
                await anyio.sleep(TICK_S)

    def _steps(self, now_s: float) -> Iterator[Step]:
        leadership = self._book.leadership(now_s)
        orders = [] if leadership is None else list(self._open_orders())
        return self._plan.steps(now_s, leadership, orders, self._book.upstreams())

    def _open_orders(self) -> Iterator[OpenOrder]:
        for booked in self._book.open_orders():
            try:
                action = ACTION_CODEC.decode(booked.action)
            except DecodeError as error:
                self._book.propose(SettleOrder(booked.index, "refused", str(error)))
                continue
            yield OpenOrder(
                booked.index,
                booked.fencing_number,
                booked.operation_id,
                booked.upstream_id,
                action,
            )

    async def _do(self, step: Step) -> None:
        match step:
            case ReadState():
                await self._read(step)
            case SendOrder():
                await self._send(step)
            case Settle(index, state, detail):
                _log.info("order settled", index=index, state=state, detail=detail)
                self._book.propose(SettleOrder(index, state, detail))

    async def _read(self, step: ReadState) -> None:
        asked_s = time.monotonic()
        view = None
        try:
            view = await read_state(self._client, step.upstream)
        except OrderingError as error:
            _log.warning("engine state not read", reason=str(error))
        self._plan.state_read(step, asked_s, view)

    async def _send(self, step: SendOrder) -> None:
        order = step.order
        sent = EngineOrder(order.order_id, order.fencing_number, order.action)
        reply = await send_order(self._client, step.upstream, sent, self._token, step.until_s)
        _log.info("order sent", index=order.index, upstream=order.upstream_id, reply=str(reply))
        self._plan.order_answered(step, reply, time.monotonic())


__all__ = ["OrderBook", "Ordering"]
