"""Filter that chooses the upstream of each attempt and learns from how the attempt ends."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.model.answers import Body
from camphorvalve.model.requests import Stage
from camphorvalve.upstreams.errors import Declined, NotSent, UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.pools import Pools
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


class PlaceFilter:
    """Places each attempt at an upstream that the pools' state allows."""

    def __init__(self, pools: Pools) -> None:
        """
        Prepare the filter.

        :param pools: the upstreams, their load and their failures
        """
        self._pools = pools

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run one attempt.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the answer
        :raises RequestError: no upstream may get the request now
        :raises UpstreamError: the attempt failed
        """
        placement = self._pools.begin(exchange, time.monotonic())
        upstream_id = placement.upstream.upstream_id
        exchange.upstream_id = upstream_id
        exchange.stage = Stage.RUNNING
        sent_s = time.monotonic()
        exchange.note(sent_s, f"placed at {upstream_id}")
        began = False
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    if not began and isinstance(part, Body):
                        began = True
                        now_s = time.monotonic()
                        self._pools.began(exchange, now_s - sent_s, now_s)
                    yield part
            self._pools.succeed(upstream_id)
        except Declined:
            # A full upstream is not a failing one.
            raise
        except UpstreamError as error:
            unreachable = isinstance(error, NotSent)
            self._pools.fail(upstream_id, time.monotonic(), unreachable=unreachable)
            raise
        finally:
            self._pools.end(placement)


__all__ = ["PlaceFilter"]
