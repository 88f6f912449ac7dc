"""Filter that ends a request at its deadline, and at the end of the router's graceful stop."""

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
    from camphorvalve.sharing.departure import Departure

LEAVING_RETRY_S = 0.05
"""Delay after which the caller of a stopping router may retry: another router takes it at once."""


class DeadlineFilter:
    """Bounds the time of a request by its deadline and by the router's graceful stop."""

    def __init__(self, departure: Departure) -> None:
        """
        Prepare the filter.

        :param departure: the router's graceful stop
        """
        self._departure = departure
        self._waiting: set[anyio.CancelScope] = set()
        """Scopes of the requests whose responses have not begun."""

    def begin_departure(self) -> None:
        """Bring the deadlines of requests without a response forward to the end of the stop."""
        left_s = self._departure.ends_s - time.monotonic()
        latest_s = anyio.current_time() + left_s
        for scope in self._waiting:
            scope.deadline = min(scope.deadline, latest_s)

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Cancel the rest of the chain when the response is not complete by the deadline.

        :param exchange: the request, with its deadline if it has one
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: ``leaving`` when the response may not be complete before the router
            ends, ``timed_out``, or ``overloaded`` when nothing was sent to an upstream
        """
        departure = self._departure
        if not departure.takes(exchange.kind, exchange.deadline_s, time.monotonic()):
            message = "this router is stopping, and others are available"
            raise RequestError("leaving", message, retry_after_s=LEAVING_RETRY_S)
        deadline_s = float("inf") if exchange.deadline_s is None else exchange.deadline_s
        async with aclosing(inner(exchange)) as parts:
            body_started = False
            while True:
                try:
                    if body_started:
                        # The connection to the upstream is aborted at the deadline. A timeout scope
                        # around each event took 15% of the time of a streamed response.
                        part = await anext(parts)
                    else:
                        part = await self._first_part(parts, deadline_s)
                except StopAsyncIteration:
                    break
                except TimeoutError:
                    raise _deadline_error(exchange) from None
                if body_started and time.monotonic() > deadline_s:
                    raise _deadline_error(exchange)
                body_started = body_started or isinstance(part, Body)
                yield part
        now_s = time.monotonic()
        departure.record_response(exchange.kind, now_s - exchange.received_s, now_s)

    async def _first_part(self, parts: AsyncIterator[Part], deadline_s: float) -> Part:
        until_s = min(deadline_s, self._departure.ends_s)
        # The scope covers one part only: it must not stay open across a yield.
        with anyio.fail_after(until_s - time.monotonic()) as scope:
            self._waiting.add(scope)
            try:
                return await anext(parts)
            finally:
                self._waiting.discard(scope)


def _deadline_error(exchange: Exchange) -> RequestError:
    if exchange.sent_upstream:
        return RequestError("timed_out", "the response was not complete in time")
    return RequestError("overloaded", "no upstream took the request in time")


__all__ = ["DeadlineFilter"]
