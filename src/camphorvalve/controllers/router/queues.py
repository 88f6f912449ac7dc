"""Read access to the queued requests, and load shedding, for the limit filter."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.sharing.shedding import SheddableRequests

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.router.demand import DemandController
    from camphorvalve.controllers.router.following import ConfigurationFollower
    from camphorvalve.model.teams import Urgency
    from camphorvalve.sharing.backlog import Waiter

SHED_RETRY_AFTER_S = 2.0
"""Delay after which the caller of a shed request may retry."""


class Queues:
    """Queue sizes, wait predictions and load shedding for the requests queued at this router."""

    def __init__(self, demand: DemandController, following: ConfigurationFollower) -> None:
        """
        Prepare the access to the queues.

        :param demand: owns the queued requests
        :param following: the configuration in force
        """
        self._demand = demand
        self._following = following

    def waiting(self, team: str) -> tuple[int, int]:
        """
        Return the size of a team's queue.

        :param team: name of the team
        :return: number of requests and their bytes
        """
        return self._demand.backlog.team_size(team)

    def total(self) -> tuple[int, int]:
        """:return: number and bytes of all queued requests"""
        return self._demand.backlog.total

    def predicted_wait_s(self, pool: str, team: str, urgency: Urgency) -> float | None:
        """
        Predict the wait of a new request.

        :param pool: name of the pool
        :param team: name of the team
        :param urgency: urgency of the request; only equal or higher urgency is served before it
        :return: seconds, ``None`` if there were too few grants for a prediction
        """
        return self._demand.predicted_wait_s(TeamKey(pool, team), urgency, time.monotonic())

    def sheddable(self) -> Iterator[SheddableRequests]:
        """:return: queued requests that may be shed, summed by team and kind"""
        by_kind: dict[tuple[str, str], list[Waiter]] = {}
        for waiter in self._demand.backlog.all():
            if not waiter.accepted:
                by_kind.setdefault((waiter.key.team, waiter.kind), []).append(waiter)
        for (team, kind), waiters in by_kind.items():
            yield SheddableRequests(
                team,
                kind,
                waiters[0].urgency,
                self._following.share(team),
                len(waiters),
                sum(queued.size_bytes for queued in waiters),
            )

    def shed(self, team: str, kind: str) -> bool:
        """
        Refuse the newest queued request of a team and kind.

        :param team: name of the team
        :param kind: kind of the request
        :return: whether such a request was queued
        """
        return self._demand.shed(team, kind, SHED_RETRY_AFTER_S)


__all__ = ["Queues"]
