"""Source of the committed orders, backed by the replicated log and the membership feed."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.controllers.quorum.ordersteps import CommittedOrder, Leadership

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from camphorvalve.controllers.quorum.replication import ReplicationController
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.registry.commands import SettleOrder


class ReplicatedOrderSource:
    """Lists the open orders of the replicated state and the leadership needed to carry them out."""

    def __init__(
        self, replication: ReplicationController, upstreams: Mapping[str, Upstream]
    ) -> None:
        """
        Prepare the source of orders.

        :param replication: the replicated log and state
        :param upstreams: upstreams by id; the feed reader keeps them up to date
        """
        self._replication = replication
        self._upstreams = upstreams

    def leadership(self, now_s: float) -> Leadership | None:
        """
        Return the current leadership of this controller.

        :param now_s: monotonic time
        :return: its start and the end of its lease; ``None`` if this controller does not lead
        """
        until_s = self._replication.lease_until_s(now_s)
        if until_s is None:
            return None
        return Leadership(self._replication.leads_since_s, until_s)

    def open_orders(self) -> Iterator[CommittedOrder]:
        """:return: committed orders that are not settled"""
        orders = self._replication.state.orders
        for order in orders.waiting():
            yield CommittedOrder(
                order.index,
                orders.fencing_number(order),
                order.operation_id,
                order.upstream_id,
                order.action,
            )

    def upstreams(self) -> Mapping[str, Upstream]:
        """:return: upstreams of the membership feed by id"""
        return self._upstreams

    def propose(self, command: SettleOrder) -> None:
        """
        Propose a command to the replicated log without waiting for the outcome.

        :param command: the command
        """
        self._replication.submit(command, time.monotonic())


__all__ = ["ReplicatedOrderSource"]
