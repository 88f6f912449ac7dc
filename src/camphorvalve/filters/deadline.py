"""Filter that ends a request at its deadline."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio

from camphorvalve.model.answers import Body
from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


async def deadline(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
    """
    Cancel the rest of the chain when the response is not complete by the deadline.

    :param exchange: the request with its deadline
    :param inner: the rest of the chain
    :return: parts of the response
    :raises RequestError: ``timed_out``, or ``overloaded`` when nothing was sent to an upstream
    """
    async with aclosing(inner(exchange)) as parts:
        body_started = False
        while True:
            try:
                if body_started:
                    # The connection to the upstream is aborted at the deadline. A timeout scope
                    # around each event took 15% of the time of a streamed response.
                    part = await anext(parts)
                else:
                    # The scope covers one part only: it must not stay open across a yield.
                    with anyio.fail_after(exchange.deadline_s - time.monotonic()):
                        part = await anext(parts)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise _deadline_error(exchange) from None
            if body_started and time.monotonic() > exchange.deadline_s:
                raise _deadline_error(exchange)
            body_started = body_started or isinstance(part, Body)
            yield part


def _deadline_error(exchange: Exchange) -> RequestError:
    if exchange.sent_upstream:
        return RequestError("timed_out", "the response was not complete in time")
    return RequestError("overloaded", "no upstream took the request in time")


__all__ = ["deadline"]
