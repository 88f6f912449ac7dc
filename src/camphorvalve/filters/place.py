"""Filter that selects the upstream of each attempt and reports how the attempt ended."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.controllers.router.returns import log_fields
from camphorvalve.model.answers import Body
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Stage, StreamOrigin
from camphorvalve.upstreams.errors import (
    Declined,
    Misdirected,
    NotReached,
    NotSent,
    UpstreamError,
    ended_connection,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.controllers.router.occupancy import Placement
    from camphorvalve.controllers.router.pools import Pools
    from camphorvalve.controllers.router.returns import Returns
    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.sharing.returns import Promise

_log = structlog.get_logger(__name__)

WAIT_RATIO = 1 / 8
"""Fraction of its objective that a request waits for an upstream before it is rejected; the
platform counts later rejections as late."""
KEPT_WAIT_RATIO = 1 / 2
"""The same for a request whose caller was promised room; it has been told to wait once."""
MAX_CONNECTIONS_COUNT = 4
"""Upstreams at which one attempt is placed while they refuse the connection."""


class PlaceFilter:
    """Places each attempt at an upstream that has room, according to the state of the pools."""

    def __init__(
        self,
        pools: Pools,
        is_overloaded: Callable[[], bool] = lambda: False,
        returns: Returns | None = None,
    ) -> None:
        """
        Prepare the filter.

        :param pools: the upstreams, their load and their failures
        :param is_overloaded: tells whether this router is short of processor time, so that an
            upstream that it did not reach in time may be sound
        :param returns: promises of room to refused callers, ``None`` if none are made
        """
        self._pools = pools
        self._returns = returns
        self._kept_returns_count = 0
        """Waiting requests whose callers were promised room."""
        self._is_overloaded = is_overloaded

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Run one attempt.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: no upstream can take the request now
        :raises UpstreamError: the attempt failed
        """
        for connections_left_count in reversed(range(MAX_CONNECTIONS_COUNT)):
            placement = await self._wait_for_placement(exchange)
            try:
                async with aclosing(self._run(exchange, placement, inner)) as parts:
                    async for part in parts:
                        yield part
                return
            except NotReached:
                raise
            except NotSent as error:
                # No upstream got the request, so that it takes no attempt of its route.
                exchange.failed_upstreams.add(error.upstream_id)
                if not connections_left_count or not self._pools.has_reachable(exchange):
                    raise
                _log.info(
                    "upstream refused the connection",
                    request_id=exchange.request.request_id,
                    attempt=exchange.attempt,
                    upstream_id=error.upstream_id,
                    reason=str(error),
                )

    async def _run(
        self, exchange: Exchange, placement: Placement, inner: Handler
    ) -> AsyncIterator[Part]:
        """Run the attempt at one upstream, and record how it ended."""
        upstream_id = placement.upstream.upstream_id
        exchange.upstream_id = upstream_id
        exchange.stage = Stage.RUNNING
        sent_s = time.monotonic()
        exchange.note(sent_s, f"placed at {upstream_id}")
        _log.info(
            "request placed",
            request_id=exchange.request.request_id,
            attempt=exchange.attempt,
            upstream_id=upstream_id,
            waited_ms=round((sent_s - exchange.received_s) * 1000, 1),
            within_share=exchange.within_share,
            **self._pools.inputs(upstream_id, sent_s)._asdict(),
        )
        try:
            async with aclosing(inner(exchange)) as parts:
                async for part in parts:
                    if not placement.has_started and isinstance(part, Body):
                        now_s = time.monotonic()
                        if exchange.streams and exchange.origin is None:
                            # Set before the caller has the part, so that nothing else goes on.
                            upstream = placement.upstream
                            exchange.origin = StreamOrigin(upstream.pool, upstream.software)
                        objective_s = exchange.parameters.objective_s
                        self._pools.record_answer_start(
                            placement, objective_s, now_s - sent_s, now_s
                        )
                    yield part
            self._pools.record_success(upstream_id)
        except Misdirected:
            self._pools.record_failure(upstream_id, time.monotonic(), unreachable=True)
            raise
        except Declined:
            # An upstream that is full has not failed.
            raise
        except UpstreamError as error:
            now_s = time.monotonic()
            if ended_connection(error) or isinstance(error, NotSent):
                self._pools.record_end(upstream_id, now_s)
            is_at_fault = not (isinstance(error, NotReached) and self._is_overloaded())
            if is_at_fault and not self._pools.is_held_off(upstream_id, now_s):
                unreachable = isinstance(error, NotSent)
                self._pools.record_failure(upstream_id, now_s, unreachable=unreachable)
            raise
        finally:
            self._pools.end(placement)

    async def _wait_for_placement(self, exchange: Exchange) -> Placement:
        """Wait briefly for a placement; reject the request if it has to wait longer."""
        until_s = exchange.received_s + WAIT_RATIO * exchange.parameters.objective_s
        if exchange.is_kept_return:
            until_s = exchange.received_s + KEPT_WAIT_RATIO * exchange.parameters.objective_s
        if exchange.may_have_run or exchange.precedes_new_requests:
            # Its caller loses an attempt, or the part of a stream that it has.
            until_s = time.monotonic() + exchange.parameters.objective_s
        while True:
            now_s = time.monotonic()
            try:
                return self._pools.begin(exchange, now_s)
            except RequestError as error:
                wait_s = self._wait_s(error, exchange, now_s)
                if wait_s is None or now_s >= until_s:
                    promise = self._promise(exchange, error)
                    if promise is not None:
                        error.retry_after_s = promise.retry_after_s
                    exchange.note(now_s, f"not placed: {error.message}")
                    _log.info(
                        "request not placed",
                        request_id=exchange.request.request_id,
                        attempt=exchange.attempt,
                        reason=error.message,
                        waited_ms=round((now_s - exchange.received_s) * 1000, 1),
                        within_share=exchange.within_share,
                        retry_after_s=error.retry_after_s,
                        **log_fields(exchange, promise),
                        **self._pools.inputs(None, now_s)._asdict(),
                    )
                    raise
            await self._wait_for_capacity(exchange, min(wait_s, until_s - now_s))

    async def _wait_for_capacity(self, exchange: Exchange, wait_s: float) -> None:
        """Wait until capacity may have been freed; callers that were promised room go first."""
        self._kept_returns_count += exchange.is_kept_return
        try:
            with anyio.move_on_after(wait_s):
                await self._pools.wait_for_capacity()
        finally:
            self._kept_returns_count -= exchange.is_kept_return
        if self._kept_returns_count and not exchange.is_kept_return:
            # All that wait are woken in order of arrival; this is run again behind the last.
            await anyio.lowlevel.checkpoint()

    def _promise(self, exchange: Exchange, error: RequestError) -> Promise | None:
        """Promise room later, unless an upstream named the time or the stream can't go on else."""
        if self._returns is None or error.code != "overloaded" or exchange.origin is not None:
            return None
        return self._returns.promise(exchange)

    def _wait_s(self, error: RequestError, exchange: Exchange, now_s: float) -> float | None:
        """Return the longest useful wait for a placement, or nothing if waiting is of no use."""
        if error.code == "overloaded":
            return float("inf")
        return self._pools.hold_off_left_s(exchange, now_s) if exchange.may_have_run else None


__all__ = ["PlaceFilter"]
