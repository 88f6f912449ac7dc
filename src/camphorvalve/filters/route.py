"""Filter that determines the route, the team and the pool of a routed call."""

from __future__ import annotations

from contextlib import aclosing
from types import MappingProxyType
from typing import TYPE_CHECKING

from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.regions import allowed_data_centres
from camphorvalve.sharing.routing import split

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable, Mapping

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, RoutedCall
    from camphorvalve.sharing.routing import RouteTable

NO_REGIONS: Mapping[str, str] = MappingProxyType({})
NO_MANIFEST_RETRY_S = 0.5
"""A router that has just started receives the manifest within a poll interval of 1 s."""


def route(
    table: Callable[[], RouteTable | None],
    rng: random.Random,
    regions: Mapping[str, str] = NO_REGIONS,
) -> Filter:
    """
    Build the filter.

    :param table: returns the current routes, ``None`` before the first manifest
    :param rng: random source for distributing a route's requests over its destinations
    :param regions: region by data centre
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        current = table()
        if current is None:
            message = "this router has no manifest yet"
            raise RequestError("no_quorum", message, retry_after_s=NO_MANIFEST_RETRY_S)
        _assign_route(exchange, current, rng)
        team = None if exchange.team is None else exchange.team.name
        bounds = current.region_bounds(exchange.route, team)
        exchange.allowed_data_centres = allowed_data_centres(regions, bounds)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


def _assign_route(exchange: Exchange, table: RouteTable, rng: random.Random) -> None:
    call: RoutedCall = exchange.request.call  # type: ignore[assignment]
    matched = table.find(call.host, call.target)
    if matched is None:
        raise RequestError("not_found", f"no route matches host {call.host!r} and this path")
    if table.requires_keys and not matched.public:
        exchange.team = table.team(exchange.request.token)
        if exchange.team is None:
            raise RequestError("unauthorised", "the API key is unknown")
    if len(exchange.request.body) > table.manifest.bounds.body_bytes:
        limit = table.manifest.bounds.body_bytes
        raise RequestError("too_large", f"the body is larger than {limit} bytes")
    exchange.route = matched
    exchange.kind = matched.name
    assign_pool(exchange, table, split(matched, rng.random()))
    timeout_s = matched.timeout_s
    if call.caller_timeout_s is not None:
        timeout_s = min(timeout_s, call.caller_timeout_s)
    exchange.deadline_s = exchange.received_s + timeout_s


def assign_pool(exchange: Exchange, table: RouteTable, pool: str) -> None:
    """
    Assign a pool to a request that has its route and team.

    :param exchange: the request
    :param table: the current routes
    :param pool: one of the destinations of its route
    """
    matched = exchange.route
    exchange.parameters = matched.parameters(pool)
    team = None if exchange.team is None else exchange.team.name
    exchange.more_urgent_ranks_count = table.more_urgent_ranks_count(matched, team, pool)
    exchange.request = exchange.request._replace(pool=pool)


__all__ = ["assign_pool", "route"]
