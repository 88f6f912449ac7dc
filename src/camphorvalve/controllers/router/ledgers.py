"""Exchanges service counters between schedulers and the routers that aggregate them by team."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.policies import FleetFair
from camphorvalve.sharing import placement
from camphorvalve.wire.messages import ServiceReport, ServiceTotal

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.model.policies import Policy
    from camphorvalve.sharing.aggregate import Aggregator
    from camphorvalve.sharing.ledger import Ledger, TeamKey


class LedgerController:
    """Reports service counters as a scheduler, and answers reports as an aggregator."""

    name = "ledgers"
    tick_s = 1.0
    accepts = (ServiceReport, ServiceTotal)

    def __init__(
        self,
        ledger: Ledger,
        aggregator: Aggregator,
        membership: MembershipController,
        policy: Policy,
    ) -> None:
        """
        Prepare the exchange.

        :param ledger: counters of this scheduler
        :param aggregator: sums for the teams that hash to this router
        :param membership: this router's view of the deployment
        :param policy: counters are exchanged only with ``FleetFair``
        """
        self._ledger = ledger
        self._aggregator = aggregator
        self._membership = membership
        self._policy = policy
        self._seen_membership_version = -1
        self._aggregators: dict[TeamKey, str | None] = {}

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Add a report to the sums and answer it, or merge received totals.

        :param sender: a scheduler or an aggregator
        :param message: ``ServiceReport`` or ``ServiceTotal``
        :param now_s: current time
        :return: the answer to a report
        """
        match message:
            case ServiceReport(entries):
                totals = tuple(
                    self._aggregator.merge(sender.host_id, sender.incarnation, entry, now_s)
                    for entry in entries
                )
                yield Outgoing(sender.host_id, ServiceTotal(totals))
            case ServiceTotal(entries):
                for entry in entries:
                    self._ledger.merge(entry)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Report changed counters to the aggregators of their teams.

        :param now_s: current time
        :return: reports
        """
        match self._policy:
            case FleetFair():
                pass
            case _:
                return
        by_aggregator: dict[str, list[TeamKey]] = {}
        for key in self._ledger.changed():
            aggregator_id = self._aggregator_of(key)
            if aggregator_id is not None:
                by_aggregator.setdefault(aggregator_id, []).append(key)
        for aggregator_id, keys in by_aggregator.items():
            yield Outgoing(aggregator_id, ServiceReport(tuple(self._ledger.report(keys))))

    def _aggregator_of(self, key: TeamKey) -> str | None:
        # Cached: hashing every router for every team each second is too costly in a large fleet.
        if self._seen_membership_version != self._membership.version:
            self._seen_membership_version = self._membership.version
            self._aggregators.clear()
        if key not in self._aggregators:
            router_ids = [router.host_id for router in self._membership.live_routers()]
            name = f"aggregate/{key.pool}/{key.team}"
            self._aggregators[key] = placement.owner(name, router_ids)
        return self._aggregators[key]


__all__ = ["LedgerController"]
