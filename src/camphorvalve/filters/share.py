"""Filter that checks whether a request for an engine is within its team's share."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import structlog

from camphorvalve.controllers.router.returns import log_fields
from camphorvalve.model.answers import Body
from camphorvalve.model.errors import RequestError
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.homes import cost_tokens

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.controllers.router.returns import Returns
    from camphorvalve.controllers.router.shares import SharesController
    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

RETRY_AFTER_S = 2.0
"""Half of the window over which the platform measures shares."""
RESUMPTION_RATIO = 0.5
"""Streams that a team may resume beyond its share, as a part of its requests that were served: any
request can claim to resume a stream."""
RESUMPTION_FLOOR_COUNT = 20
"""Streams that a team may always resume in the window of the budget."""

_log = structlog.get_logger(__name__)


def share(shares: SharesController, returns: Returns | None = None) -> Filter:
    """
    Build the filter; requests beyond a share are rejected while other teams need the capacity.

    :param shares: measures and enforces the shares
    :param returns: promises of room to refused callers, ``None`` if none are made
    :return: the filter
    """
    # Counted for each team.
    resumptions = RetryBudget(ratio=RESUMPTION_RATIO, floor_count=lambda: RESUMPTION_FLOOR_COUNT)

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        tokens = cost_tokens(exchange.request.call)
        # Calls without a prompt use no engine, and calls without a team have no share.
        counted = not tokens or exchange.team is None
        begins_anew = exchange.origin is None
        if tokens and exchange.team is not None:
            now_s = time.monotonic()
            team = exchange.team.name
            is_resumption = not begins_anew and resumptions.allow(team, now_s)
            exchange.within_resumptions = begins_anew or is_resumption
            is_retry = not is_resumption and shares.detect_retry(
                exchange.route.name, exchange.request.call.caller_timeout_s, now_s
            )
            if is_retry and returns is not None:
                returns.recognise(exchange, now_s)
            exchange.within_share = (
                shares.admit_kept(team, tokens, now_s)
                if exchange.is_kept_return
                else shares.within_share(team, tokens, now_s, is_retry=is_retry)
            ) or is_resumption
            # One that is turned down must not wait as long, or go before others.
            exchange.is_kept_return = exchange.is_kept_return and exchange.within_share
            if not exchange.within_share and shares.must_refuse_over_share(
                exchange.team.name, now_s
            ):
                raise _rejection(exchange, returns)
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    if not counted and isinstance(part, Body):
                        counted = True
                        now_s = time.monotonic()
                        shares.record_served(exchange.team.name, tokens, now_s)
                        if returns is not None:
                            returns.record_served(exchange)
                        if begins_anew:
                            resumptions.record_first_attempt(exchange.team.name, now_s)
                    yield part
        except RequestError as error:
            is_starved = error.code == "overloaded" and exchange.within_share
            if is_starved and exchange.team is not None:
                shares.record_starved(exchange.team.name, tokens, time.monotonic())
            raise

    return filter_


def _rejection(exchange: Exchange, returns: Returns | None) -> RequestError:
    message = f"team {exchange.team.name!r} asks for more than its share"
    promise = None if returns is None else returns.promise(exchange)
    retry_after_s = RETRY_AFTER_S if promise is None else promise.retry_after_s
    _log.info(
        "request not placed",
        request_id=exchange.request.request_id,
        attempt=0,
        reason=message,
        within_share=False,
        retry_after_s=retry_after_s,
        **log_fields(exchange, promise),
    )
    return RequestError("over_share", message, retry_after_s=retry_after_s)


__all__ = ["share"]
