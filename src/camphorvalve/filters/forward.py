"""Terminal handler for routed calls: one attempt at the upstream selected for the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.upstreams.errors import NotSent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.router.pools import Pools
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.upstreams.routed import RoutedAttempts


def forward(pools: Pools, attempts: RoutedAttempts) -> Handler:
    """
    Build the handler.

    :param pools: looks up upstreams
    :param attempts: opens attempts
    :return: the handler
    """

    def handler(exchange: Exchange) -> AsyncIterator[Part]:
        upstream_id = exchange.upstream_id or ""
        upstream = pools.upstream(upstream_id)
        if upstream is None:
            raise NotSent(upstream_id, "it is no longer listed")
        return attempts.open(upstream, exchange)

    return handler


__all__ = ["forward"]
