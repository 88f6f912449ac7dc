"""Filter that bounds the queues and rejects what cannot be served in time."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Protocol

from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.shedding import Admit, Backlog, Bounds, Newcomer, Reject, Shed, decide

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.teams import Urgency
    from camphorvalve.sharing.shedding import Holding

SHED_LIMIT_COUNT = 64
"""Most waiting requests that one newcomer may displace; a large body displaces several."""


class QueueView(Protocol):
    """What the filter sees of the queues of this router."""

    def waiting(self, team: str) -> tuple[int, int]:
        """
        Look up what waits for a team.

        :param team: name of the team
        :return: count and bytes
        """

    def total(self) -> tuple[int, int]:
        """:return: count and bytes of all that waits"""

    def predicted_wait_s(self, pool: str, team: str, urgency: Urgency) -> float | None:
        """
        Predict the wait of a new request.

        :param pool: name of the pool
        :param team: name of the team
        :param urgency: only work that is as urgent or more goes before it
        :return: the wait, ``None`` when nothing is known
        """

    def holdings(self) -> Iterator[Holding]:
        """:return: per team and kind the waiting requests that ``shed`` may reject"""

    def shed(self, team: str, kind: str) -> bool:
        """
        Reject the newest waiting request of a team and kind with ``queue_full``.

        :param team: name of the team
        :param kind: kind of work
        :return: whether there was one
        """


def limit(
    view: QueueView,
    total_count: int,
    total_bytes: int,
    clock: Callable[[], float] = time.monotonic,
) -> Filter:
    """
    Build the filter.

    :param view: the queues
    :param total_count: bound of all waiting requests
    :param total_bytes: bound of their bodies
    :param clock: monotonic time
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        bounds = Bounds(exchange.team.limits, total_count, total_bytes)
        _make_room(exchange, view, bounds, clock)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


def _make_room(
    exchange: Exchange, view: QueueView, bounds: Bounds, clock: Callable[[], float]
) -> None:
    newcomer = _newcomer(exchange)
    for _ in range(SHED_LIMIT_COUNT):
        match decide(newcomer, _backlog(exchange, view), bounds):
            case Admit():
                return
            case Shed(team, kind):
                exchange.note(clock(), f"displaces the newest {kind!r} of team {team!r}")
                if not view.shed(team, kind):
                    break
            case Reject(code, message, retry_after_s):
                raise RequestError(code, message, retry_after_s=retry_after_s)
    raise RequestError("queue_full", "queue of the router is full", retry_after_s=1.0)


def _newcomer(exchange: Exchange) -> Newcomer:
    request = exchange.request
    parameters = exchange.parameters
    return Newcomer(
        team=exchange.team.name,
        kind=exchange.kind,
        urgency=parameters.urgency,
        share=exchange.team.share,
        size_bytes=len(request.body),
        objective_s=None if request.deferred else parameters.objective_s,
    )


def _backlog(exchange: Exchange, view: QueueView) -> Backlog:
    team = exchange.team.name
    parameters = exchange.parameters
    return Backlog(
        *view.waiting(team),
        *view.total(),
        predicted_wait_s=view.predicted_wait_s(parameters.pool, team, parameters.urgency),
        holdings=view.holdings(),
    )


__all__ = ["QueueView", "limit"]
