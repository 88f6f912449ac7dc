"""What the limit filter sees of the waiting requests."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.sharing.shedding import Holding

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.demand import DemandController
    from camphorvalve.controllers.following import ConfigurationFollower
    from camphorvalve.model.teams import Urgency
    from camphorvalve.sharing.backlog import Waiter

SHED_RETRY_S = 2.0


class Queues:
    """Counts, predictions and shedding over the requests that wait at this router."""

    def __init__(self, demand: DemandController, following: ConfigurationFollower) -> None:
        """
        Prepare the view.

        :param demand: owns the waiting requests
        :param following: the configuration in force
        """
        self._demand = demand
        self._following = following

    def waiting(self, team: str) -> tuple[int, int]:
        """
        Look up what waits for a team.

        :param team: name of the team
        :return: count and bytes
        """
        return self._demand.backlog.team_size(team)

    def total(self) -> tuple[int, int]:
        """:return: count and bytes of all that waits"""
        return self._demand.backlog.total

    def predicted_wait_s(self, pool: str, team: str, urgency: Urgency) -> float | None:
        """
        Predict the wait of a new request.

        :param pool: name of the pool
        :param team: name of the team
        :param urgency: only work that is as urgent or more goes before it
        :return: the wait, ``None`` when nothing is known
        """
        return self._demand.predicted_wait_s(TeamKey(pool, team), urgency, time.monotonic())

    def holdings(self) -> Iterator[Holding]:
        """:return: per team and kind the waiting requests that may be shed"""
        by_kind: dict[tuple[str, str], list[Waiter]] = {}
        for waiter in self._demand.backlog.all():
            if not waiter.accepted:
                by_kind.setdefault((waiter.key.team, waiter.kind), []).append(waiter)
        for (team, kind), waiters in by_kind.items():
            yield Holding(
                team,
                kind,
                waiters[0].urgency,
                self._following.share(team),
                len(waiters),
                sum(one.size_bytes for one in waiters),
            )

    def shed(self, team: str, kind: str) -> bool:
        """
        Reject the newest waiting request of a team and kind.

        :param team: name of the team
        :param kind: kind of work
        :return: whether there was one
        """
        return self._demand.shed(team, kind, SHED_RETRY_S)


__all__ = ["Queues"]
