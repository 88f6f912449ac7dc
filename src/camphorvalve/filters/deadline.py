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
    Cancel the rest of the chain when the answer is not complete in time.

    :param exchange: the request with its deadline
    :param inner: the rest of the chain
    :return: parts of the answer
    :raises RequestError: ``timed_out``, or ``overloaded`` when nothing was sent to an upstream
    """
    async with aclosing(inner(exchange)) as parts:
        begun = False
        while True:
            try:
                if begun:
                    # Silent upstreams are given up after a second, and scopes around events took
                    # 15% of a streamed answer's time in a profile.
                    part = await anext(parts)
                else:
                    # Around each part only: a scope must not stay open while a generator waits.
                    with anyio.fail_after(exchange.deadline_s - time.monotonic()):
                        part = await anext(parts)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise _late(exchange) from None
            if begun and time.monotonic() > exchange.deadline_s:
                raise _late(exchange)
            begun = begun or isinstance(part, Body)
            yield part


def _late(exchange: Exchange) -> RequestError:
    if exchange.sent_upstream:
        return RequestError("timed_out", "the answer was not complete in time")
    return RequestError("overloaded", "no upstream took the request in time")


__all__ = ["deadline"]
