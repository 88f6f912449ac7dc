"""Filter that keeps streams away from upstreams that have started again since they were listed."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.upstreams.errors import NotSent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.controllers.router.pools import Pools
    from camphorvalve.controllers.router.starts import UpstreamStarts
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream


class RestartFilter:
    """
    Asks an upstream when it started, if it has ended connections since the list was read.

    It may have started again under the same id with another software version, which the list does
    not show yet. A stream that another upstream began is always preceded by the question: this
    router may have had no connection whose end it could notice.
    """

    def __init__(
        self,
        pools: Pools,
        starts: UpstreamStarts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Prepare the filter.

        :param pools: the listed upstreams, and when they ended connections
        :param starts: asks upstreams for their starts
        :param clock: monotonic time
        """
        self._pools = pools
        self._starts = starts
        self._clock = clock

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run one attempt.

        :param exchange: the request, placed at an upstream
        :param inner: the rest of the chain
        :return: parts of the response
        :raises NotSent: the upstream has started again, so that its version is not known
        """
        upstream = self._pools.upstream(exchange.upstream_id or "")
        # A request to one that was not reached before would be beyond the bound of a cold one.
        asks = upstream is not None and (
            exchange.streams or self._pools.is_cold(upstream.upstream_id, self._clock())
        )
        if asks and await self._has_restarted(upstream, goes_on=exchange.origin is not None):
            raise NotSent(upstream.upstream_id, "it has started again since it was listed")
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    async def _has_restarted(self, upstream: Upstream, *, goes_on: bool) -> bool:
        if upstream.started_ms is None:
            return False
        if not goes_on and not self._pools.may_have_restarted(upstream.upstream_id):
            return False
        return await self._starts.has_restarted(upstream)


__all__ = ["RestartFilter"]
