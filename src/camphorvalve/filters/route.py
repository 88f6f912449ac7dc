"""Filter that finds the route, the team and the pool of a routed call."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.routing import split

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, RoutedCall
    from camphorvalve.sharing.routing import RouteTable

NO_MANIFEST_RETRY_S = 0.5
"""A router that has just started learns the manifest within a poll interval of 1 s."""


def route(table: Callable[[], RouteTable | None], rng: random.Random) -> Filter:
    """
    Build the filter.

    :param table: routes in force, ``None`` before the first manifest
    :param rng: source for the split of a route's requests
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        found = table()
        if found is None:
            message = "this router has no manifest yet"
            raise RequestError("no_quorum", message, retry_after_s=NO_MANIFEST_RETRY_S)
        _apply(exchange, found, rng)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


def _apply(exchange: Exchange, table: RouteTable, rng: random.Random) -> None:
    call: RoutedCall = exchange.request.call  # type: ignore[assignment]
    found = table.find(call.host, call.target)
    if found is None:
        raise RequestError("not_found", f"no route matches host {call.host!r} and this path")
    if table.has_teams and not found.public:
        exchange.team = table.team(exchange.request.token)
        if exchange.team is None:
            raise RequestError("unauthorised", "the key is not known")
    if len(exchange.request.body) > table.manifest.bounds.body_bytes:
        limit = table.manifest.bounds.body_bytes
        raise RequestError("too_large", f"the body is larger than {limit} bytes")
    pool = split(found, rng.random())
    exchange.route = found
    exchange.kind = found.name
    exchange.parameters = found.parameters(pool)
    team = None if exchange.team is None else exchange.team.name
    exchange.steps_behind = table.steps_behind(found, team, pool)
    exchange.request = exchange.request._replace(pool=pool)
    patience_s = found.timeout_s
    if call.patience_s is not None:
        patience_s = min(patience_s, call.patience_s)
    exchange.deadline_s = exchange.received_s + patience_s


__all__ = ["route"]
