"""Filter that lets a stream go on only once it is certain at which version it began."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import structlog

from camphorvalve.controllers.router.upstreamrecords import LIST_LAG_S
from camphorvalve.model.claims import Confirmed, Open, Refuted
from camphorvalve.model.requests import UNKNOWN_ORIGIN

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.controllers.router.pools import Pools
    from camphorvalve.controllers.router.starts import UpstreamStarts
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.claims import OriginClaim
    from camphorvalve.model.requests import Exchange

CLAIM_WAIT_S = LIST_LAG_S + 1.0
"""Longest time for which a broken stream waits until its origin is certain: the lag of the list and
two polls of it."""

_log = structlog.get_logger(__name__)


class OriginFilter:
    """
    Holds back an attempt that goes on with a stream until the version that began it is certain.

    The list lags: an upstream may have started again under its id with another version while this
    router had no connection to it. Most streams never go on elsewhere, so that the version is only
    claimed when a stream begins. If it breaks before a list has settled the claim, the upstream is
    asked for its start, and the next list is awaited. A stream whose claim does not hold ends.
    """

    def __init__(
        self,
        pools: Pools,
        starts: UpstreamStarts,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Prepare the filter.

        :param pools: the listed upstreams, and the claims that the list settles
        :param starts: asks upstreams for their starts
        :param clock: monotonic time
        """
        self._pools = pools
        self._starts = starts
        self._clock = clock

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run one attempt.

        :param exchange: the request; its ``claim`` is set with the first event of a stream
        :param inner: the rest of the chain, which places the attempt
        :return: parts of the response
        """
        if exchange.claim is not None:
            await self._settle(exchange, exchange.claim)
        begins = exchange.origin is None
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                if begins and exchange.origin is not None:
                    begins = False
                    exchange.claim = self._claim(exchange)
                yield part

    def _claim(self, exchange: Exchange) -> OriginClaim | None:
        upstream = self._pools.upstream(exchange.upstream_id or "")
        if upstream is None or upstream.started_ms is None or not exchange.parameters.idempotent:
            return None
        # The list may have changed since the stream was placed.
        began_at = upstream._replace(software=exchange.origin.software)
        connected_s = self._clock() if exchange.connected_s is None else exchange.connected_s
        if began_at == upstream and self._pools.is_start_confirmed(upstream, connected_s):
            return None
        return self._pools.claims.add(began_at, connected_s)

    async def _settle(self, exchange: Exchange, claim: OriginClaim) -> None:
        """Wait until a claim is settled; leave a stream without an origin if it does not hold."""
        waited_from_s = self._clock()
        await self._starts.settle(claim, CLAIM_WAIT_S)
        match claim.state:
            case Confirmed():
                return
            case Refuted(reason):
                pass
            case Open():
                reason = "no list was read since it began"
        exchange.origin = UNKNOWN_ORIGIN
        exchange.note(self._clock(), f"the stream can't go on: {reason}")
        _log.info(
            "origin of a stream is not known",
            request_id=exchange.request.request_id,
            upstream_id=claim.upstream.upstream_id,
            software=claim.upstream.software,
            reason=reason,
            waited_ms=round((self._clock() - waited_from_s) * 1000, 1),
        )


__all__ = ["CLAIM_WAIT_S", "OriginFilter"]
