"""Filter that limits the queues and rejects requests that cannot be served in time."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Protocol

from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.shedding import (
    Admit,
    Backlog,
    Bounds,
    IncomingRequest,
    Reject,
    Shed,
    decide,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterator

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.teams import Urgency
    from camphorvalve.sharing.shedding import SheddableRequests

MAX_SHED_COUNT = 64
"""Maximum number of waiting requests that one request may displace; a large body needs several."""


class QueueView(Protocol):
    """The queues of this router, as far as the filter uses them."""

    def waiting(self, team: str) -> tuple[int, int]:
        """
        Count the waiting requests of a team.

        :param team: name of the team
        :return: number of requests and bytes of their bodies
        """

    def total(self) -> tuple[int, int]:
        """:return: number of all waiting requests and bytes of their bodies"""

    def predicted_wait_s(self, pool: str, team: str, urgency: Urgency) -> float | None:
        """
        Predict the waiting time of a new request.

        :param pool: name of the pool
        :param team: name of the team
        :param urgency: its urgency; only work that is at least as urgent is served before it
        :return: the time, ``None`` when it is unknown
        """

    def sheddable(self) -> Iterator[SheddableRequests]:
        """:return: waiting requests that ``shed`` may reject, by team and kind"""

    def shed(self, team: str, kind: str) -> bool:
        """
        Reject the newest waiting request of a team and kind with ``queue_full``.

        :param team: name of the team
        :param kind: kind of work
        :return: whether a request was rejected
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
    :param total_count: maximum number of waiting requests
    :param total_bytes: maximum size of their bodies
    :param clock: monotonic time
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        bounds = Bounds(exchange.team.limits, total_count, total_bytes)
        _shed_until_admitted(exchange, view, bounds, clock)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


def _shed_until_admitted(
    exchange: Exchange, view: QueueView, bounds: Bounds, clock: Callable[[], float]
) -> None:
    incoming = _incoming_request(exchange)
    for _ in range(MAX_SHED_COUNT):
        match decide(incoming, _backlog(exchange, view), bounds):
            case Admit():
                return
            case Shed(team, kind):
                exchange.note(clock(), f"displaces the newest {kind!r} request of team {team!r}")
                if not view.shed(team, kind):
                    break
            case Reject(code, message, retry_after_s):
                raise RequestError(code, message, retry_after_s=retry_after_s)
    raise RequestError("queue_full", "the queue of the router is full", retry_after_s=1.0)


def _incoming_request(exchange: Exchange) -> IncomingRequest:
    request = exchange.request
    parameters = exchange.parameters
    return IncomingRequest(
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
        sheddable=view.sheddable(),
    )


__all__ = ["QueueView", "limit"]
