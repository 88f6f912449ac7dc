"""Carries out orders to engines, such as loading a model, while this controller leads."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

import anyio
import structlog

from camphorvalve.controllers.quorum.ordersteps import OpenOrder, ReadState, SendOrder, Settle
from camphorvalve.registry.commands import ACTION_CODEC, SettleOrder
from camphorvalve.upstreams.orders import EngineOrder, OrderingError, read_state, send_order
from camphorvalve.wire.codec import DecodeError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    import httpx

    from camphorvalve.controllers.quorum.orderplan import OrderPlan
    from camphorvalve.controllers.quorum.ordersteps import CommittedOrder, Leadership, Step
    from camphorvalve.model.upstreams import Upstream

TICK_S = 0.1

_log = structlog.get_logger(__name__)


class OrderSource(Protocol):
    """Interface through which orders are read and their outcomes are proposed."""

    def leadership(self, now_s: float) -> Leadership | None:
        """
        Return the current leadership of this controller.

        :param now_s: monotonic time
        :return: its start and the end of its lease; ``None`` if this controller does not lead
        """

    def open_orders(self) -> Iterable[CommittedOrder]:
        """:return: committed orders that are not settled"""

    def upstreams(self) -> Mapping[str, Upstream]:
        """:return: upstreams of the membership feed by id"""

    def propose(self, command: SettleOrder) -> None:
        """
        Propose a command to the replicated log; the proposal may be lost.

        :param command: the command
        """


class OrderExecutor:
    """Executes the steps of the plan: reads engine states, sends orders, proposes outcomes."""

    def __init__(
        self, source: OrderSource, plan: OrderPlan, client: httpx.AsyncClient, token: str | None
    ) -> None:
        """
        Prepare; nothing is sent before ``run``.

        :param source: leadership, orders and upstreams; takes the proposals
        :param plan: decides on the steps
        :param client: HTTP client with a limit on the delivery time
        :param token: bearer token for engines that authenticate the sender of an order
        """
        self._source = source
        self._plan = plan
        self._client = client
        self._token = token

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for step in self._steps(time.monotonic()):
                    tasks.start_soon(self._execute, step)
                await anyio.sleep(TICK_S)

    def _steps(self, now_s: float) -> Iterator[Step]:
        leadership = self._source.leadership(now_s)
        orders = [] if leadership is None else list(self._open_orders())
        return self._plan.steps(now_s, leadership, orders, self._source.upstreams())

    def _open_orders(self) -> Iterator[OpenOrder]:
        for order in self._source.open_orders():
            try:
                action = ACTION_CODEC.decode(order.action)
            except DecodeError as error:
                self._source.propose(SettleOrder(order.index, "refused", str(error)))
                continue
            yield OpenOrder(
                order.index,
                order.fencing_number,
                order.operation_id,
                order.upstream_id,
                action,
            )

    async def _execute(self, step: Step) -> None:
        match step:
            case ReadState():
                await self._read_state(step)
            case SendOrder():
                await self._send_order(step)
            case Settle(index, state, detail):
                _log.info("order settled", index=index, state=state, detail=detail)
                self._source.propose(SettleOrder(index, state, detail))

    async def _read_state(self, step: ReadState) -> None:
        asked_s = time.monotonic()
        state = None
        try:
            state = await read_state(self._client, step.upstream)
        except OrderingError as error:
            _log.warning("engine state could not be read", reason=str(error))
        self._plan.state_read(step, asked_s, state)

    async def _send_order(self, step: SendOrder) -> None:
        order = step.order
        message = EngineOrder(order.order_id, order.fencing_number, order.action)
        reply = await send_order(self._client, step.upstream, message, self._token, step.until_s)
        _log.info("order sent", index=order.index, upstream=order.upstream_id, reply=str(reply))
        self._plan.order_answered(step, reply, time.monotonic())


__all__ = ["OrderExecutor", "OrderSource"]
