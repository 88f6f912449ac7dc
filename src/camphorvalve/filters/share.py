"""Filter that tells whether a request for an engine is within its team's share."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.sharing.homes import cost_tokens

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.shares import SharesController
    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


def share(shares: SharesController) -> Filter:
    """
    Build the filter; what lies beyond a share is refused only where an engine fills up.

    :param shares: the shares in force
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        tokens = cost_tokens(exchange.request.call)
        if tokens and exchange.team is not None:
            now_s = time.monotonic()
            exchange.within_share = shares.within_share(exchange.team.name, tokens, now_s)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


__all__ = ["share"]
