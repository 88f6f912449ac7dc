"""Another attempt beside one whose upstream is silent; the one that responds first is used."""

from __future__ import annotations

import asyncio
import time
from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.filters.failures import record_failed_upstream
from camphorvalve.model.answers import Body
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import BrokenStream
from camphorvalve.upstreams.errors import UpstreamError

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

START_INTERVAL_S = 0.2
"""Time after which a standby that could not be started is considered again; the search for an
upstream with room takes time in proportion to their number."""

_log = structlog.get_logger(__name__)


class Standby:
    """An attempt that runs until its response begins, and then waits to be used."""

    def __init__(self, exchange: Exchange, inner: Handler) -> None:
        """
        Start the attempt.

        :param exchange: state of the request for this attempt
        :param inner: the filters behind the retries
        """
        self.exchange = exchange
        self.error: UpstreamError | RequestError | None = None
        """Why the attempt failed before its response had begun."""
        self._inner = inner
        self._parts: AsyncGenerator[Part, None] | None = None
        self._received: list[Part] = []
        self._task = asyncio.create_task(self._receive())

    @property
    def has_begun(self) -> bool:
        """:return: whether the first part of the body, or the end of the response, is there"""
        return self._task.done() and self.error is None

    async def parts(self) -> AsyncGenerator[Part, None]:
        """
        Use the attempt.

        :return: the parts of the response
        :raises UpstreamError: the attempt failed
        :raises RequestError: no upstream took it
        """
        async with aclosing(self):
            await self._task
            if self.error is not None:
                raise self.error
            for part in self._received:
                yield part
            assert self._parts is not None
            async for part in self._parts:
                yield part

    async def aclose(self) -> None:
        """End the attempt; its connection is closed unless the response was complete."""
        self._task.cancel()
        with anyio.CancelScope(shield=True):
            await asyncio.wait((self._task,))
            if self._parts is not None:
                await self._parts.aclose()

    async def _receive(self) -> None:
        try:
            self._parts = self._inner(self.exchange)  # type: ignore[assignment]
            async for part in self._parts:
                self._received.append(part)
                if isinstance(part, Body):
                    return
        except (UpstreamError, RequestError) as error:
            self.error = error


class SilenceWatch:
    """
    Decides for one request what follows when the upstream of its attempt is silent.

    A sound upstream may be silent for a while and go on, so that nothing is given up for an attempt
    that may fail: a standby is started, and the silent attempt is given up once that responds.
    """

    def __init__(
        self,
        exchange: Exchange,
        inner: Handler,
        take_retry: Callable[[Exchange], bool],
        on_silence: Callable[[Exchange], None],
    ) -> None:
        """
        Watch a request.

        :param exchange: the request
        :param inner: the filters behind the retries
        :param take_retry: takes a retry for the request if it may have one now
        :param on_silence: called once for each attempt whose upstream is silent and gets no standby
        """
        self.standby: Standby | None = None
        self._exchange = exchange
        self._running = exchange
        """State of the attempt that runs, which may have been a standby."""
        self._inner = inner
        self._take_retry = take_retry
        self._on_silence = on_silence
        self._is_reported = False
        """Whether ``on_silence`` was called for the running attempt."""
        self._is_refused = False
        """Whether this router has refused a standby of the running attempt."""
        self._next_start_s = 0.0
        """Monotonic time before which no standby is considered."""

    def gives_up(self) -> bool:
        """:return: whether the running attempt is given up, for a standby that has responded"""
        standby = self.standby
        if standby is None:
            now_s = time.monotonic()
            if now_s >= self._next_start_s:
                self._next_start_s = now_s + START_INTERVAL_S
                self._start()
            return False
        if standby.error is not None:
            self._drop_failed(standby)
            return False
        return standby.has_begun

    def take(self) -> Standby | None:
        """
        Take the standby in place of an attempt that has failed.

        :return: the standby, or nothing if there is none or it continues at another event
        """
        standby = self.standby
        if standby is None or standby.error is not None:
            return None
        if standby.exchange.broken != self._exchange.broken:
            return None
        self.standby = None
        standby.exchange.gives_up = self.gives_up
        self._running = standby.exchange
        self._is_reported = self._is_refused = False
        self.update_request()
        return standby

    def start_attempt(self) -> None:
        """Watch the next attempt, which has the state of the request itself."""
        self._is_reported = self._is_refused = False
        exchange = self._running = self._exchange
        exchange.source = None
        exchange.events_count = 0 if exchange.broken is None else exchange.broken.events_count

    def update_request(self) -> None:
        """Update the state of the request with that of the running attempt."""
        exchange, running = self._exchange, self._running
        exchange.attempt = max(exchange.attempt, running.attempt)
        exchange.upstream_id = running.upstream_id
        exchange.origin = running.origin
        exchange.claim = running.claim
        exchange.source = running.source

    async def withdraw(self) -> None:
        """End the standby, if there is one: the attempt beside it has gone on, or has ended."""
        standby, self.standby = self.standby, None
        if standby is not None:
            if standby.exchange.sent_upstream:
                self._exchange.attempt += 1
            await standby.aclose()

    def _start(self) -> None:
        self.update_request()
        exchange, running = self._exchange, self._running
        can_continue = not exchange.output_started or (exchange.streams and running.events_count)
        if self._is_refused or not can_continue or not self._take_retry(exchange):
            if not self._is_reported:
                self._is_reported = True
                self._on_silence(exchange)
            return
        _log.info(
            "standby attempt started",
            request_id=exchange.request.request_id,
            attempt=exchange.attempt + 1,
            upstream_id=exchange.upstream_id,
            events_count=running.events_count,
        )
        broken = exchange.broken
        if running.events_count:
            broken = BrokenStream(running.events_count, "")
        state = replace(
            exchange,
            attempt=exchange.attempt + 1,
            failed_upstreams={*exchange.failed_upstreams, exchange.upstream_id or ""},
            broken=broken,
            events_count=running.events_count,
            may_have_run=True,
            sent_upstream=False,
            source=None,
            gives_up=lambda: False,
        )
        self.standby = Standby(state, self._inner)

    def _drop_failed(self, standby: Standby) -> None:
        self.standby = None
        exchange, upstream_id = self._exchange, standby.exchange.upstream_id
        _log.info(
            "standby attempt failed",
            request_id=exchange.request.request_id,
            attempt=standby.exchange.attempt,
            upstream_id=upstream_id,
            reason=str(standby.error),
        )
        match standby.error:
            case RequestError():
                self._is_refused = True
            case UpstreamError() as error:
                record_failed_upstream(exchange, upstream_id or "", error)
        if standby.exchange.sent_upstream:
            exchange.attempt += 1


__all__ = ["SilenceWatch", "Standby"]
