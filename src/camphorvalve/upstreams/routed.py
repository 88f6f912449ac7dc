"""One attempt of a routed call: passed on as it came, its answer checked and passed back."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import httpx

from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.headers import end_to_end
from camphorvalve.upstreams.client import FRESH
from camphorvalve.upstreams.errors import (
    Broken,
    Declined,
    FailedAnswer,
    NoAnswer,
    NotSent,
    WrongAnswer,
)
from camphorvalve.upstreams.events import EventCutter, EventError
from camphorvalve.upstreams.opening import SENDING_EVENT, read_whole
from camphorvalve.upstreams.pump import coalesced

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, RoutedCall
    from camphorvalve.model.upstreams import Upstream

CONNECT_TIMEOUT_S = 0.3
"""A connection takes one round trip and 1 ms at the upstream; a lost first packet is sent again
after a second, and another upstream is reached sooner."""
STREAM_SILENCE_S = 1.0
"""Silence inside a stream after which another upstream continues it; callers leave after 2 s."""
FIRST_BYTE_S = 1.0
FIRST_BYTE_RATIO = 2.0
"""Times the objective, or ``FIRST_BYTE_S`` if that is longer, that an attempt which may be repeated
waits for the head of the answer; callers leave after 2 s or four times the objective."""
EVENT_STREAM = "text/event-stream"


class HeaderNames(NamedTuple):
    """Names, in lower case, of the headers by which routers and upstreams understand each other."""

    request_id: str
    """Sent, and returned with the answer."""
    time_left_ms: str
    expected_upstream: str
    """Another upstream at the same address refuses the request."""
    team: str
    last_event: str
    """Number of the last event that the caller has."""
    not_run: str
    """In an answer: the request was not run."""
    proof: str
    """In an answer: made by the upstream for this request."""


class RoutedAttempts:
    """Opens attempts of routed calls."""

    def __init__(self, client: httpx.AsyncClient, names: HeaderNames) -> None:
        """
        Prepare attempts.

        :param client: client from ``create_client``
        :param names: names of the headers
        """
        self._client = client
        self._names = names

    async def open(self, upstream: Upstream, exchange: Exchange) -> AsyncGenerator[Part, None]:
        """
        Run one attempt; closing the generator early closes the connection.

        :param upstream: where to send the request
        :param exchange: the request, whose call is a ``RoutedCall``
        :return: the head, then the body; a stream is cut only between events
        :raises NotSent: no byte went out
        :raises Declined: the upstream did not run the request
        :raises FailedAnswer: the upstream failed, and the request may be repeated
        :raises NoAnswer: no usable answer started
        :raises Broken: the answer ended before it was complete
        :raises RequestError: ``timed_out`` when bytes come after the deadline that end no event
        """
        response = await self._send(upstream, exchange)
        try:
            async with aclosing(self._parts(upstream, exchange, response)) as parts:
                async for part in parts:
                    yield part
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def _send(self, upstream: Upstream, exchange: Exchange) -> httpx.Response:
        call: RoutedCall = exchange.request.call  # type: ignore[assignment]
        started = False

        async def watch(event: str, info: dict[str, Any]) -> None:
            nonlocal started
            if event == SENDING_EVENT:
                started = True
                exchange.sent_upstream = True

        try:
            # Built without the client, which would add headers of its own.
            request = httpx.Request(
                call.method,
                f"{upstream.url}{call.target}",
                content=exchange.request.body,
                headers=self._headers(upstream, exchange, call),
                extensions={
                    "trace": watch,
                    "timeout": _timeout(exchange).as_dict(),
                    FRESH: not exchange.parameters.idempotent,
                },
            )
            response = await self._client.send(request, stream=True)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            cause = f"{type(error).__name__}: {error}"
            raise (NoAnswer if started else NotSent)(upstream.upstream_id, cause) from error
        # httpcore reads this when it begins to read the body.
        request.extensions["timeout"]["read"] = STREAM_SILENCE_S
        return response

    def _headers(
        self, upstream: Upstream, exchange: Exchange, call: RoutedCall
    ) -> list[tuple[str, str]]:
        names = self._names
        left_ms = max(1, int((exchange.deadline_s - time.monotonic()) * 1000))
        own = {
            names.request_id: exchange.request.request_id,
            names.time_left_ms: str(left_ms),
            names.expected_upstream: upstream.upstream_id,
        }
        if exchange.team is not None:
            own[names.team] = exchange.team.name
        if exchange.broken is not None:
            own[names.last_event] = str(exchange.broken.events_count)
        passed = [(name, value) for name, value in call.headers if name not in own]
        return [("host", call.host), *passed, *own.items()]

    async def _parts(
        self, upstream: Upstream, exchange: Exchange, response: httpx.Response
    ) -> AsyncGenerator[Part, None]:
        self._check(upstream, exchange, response)
        head = Head(response.status_code, tuple(end_to_end(response.headers.multi_items())))
        if response.status_code >= 500 and exchange.parameters.idempotent:
            raise FailedAnswer(upstream.upstream_id, head, await read_whole(upstream, response))
        if response.headers.get("content-type", "").startswith(EVENT_STREAM):
            yield head
            events = self._events(upstream, exchange, response)
            async with aclosing(events) as pieces:
                async for piece in pieces:
                    yield piece
            return
        if exchange.output_started:
            raise NoAnswer(upstream.upstream_id, "the continuation of a stream is not a stream")
        yield head
        yield Body(await read_whole(upstream, response))

    def _check(self, upstream: Upstream, exchange: Exchange, response: httpx.Response) -> None:
        names, headers = self._names, response.headers
        if names.not_run in headers or response.status_code == 421:
            raise Declined(upstream.upstream_id, f"status {response.status_code}, not run")
        found_id = headers.get(names.request_id)
        if found_id != exchange.request.request_id:
            raise WrongAnswer(upstream.upstream_id, f"answer to request {found_id!r}")
        if names.proof not in headers or "content-encoding" in headers:
            raise WrongAnswer(upstream.upstream_id, "the answer was not made by the upstream")

    async def _events(
        self, upstream: Upstream, exchange: Exchange, response: httpx.Response
    ) -> AsyncGenerator[Body, None]:
        cutter = EventCutter(self._first_number(exchange))
        cause = "the stream ended inside an event"
        try:
            async with coalesced(response.aiter_raw()) as pieces:
                async for piece in pieces:
                    if whole := cutter.add(piece):
                        yield Body(whole)
                    elif time.monotonic() > exchange.deadline_s:
                        # Nothing reaches the filter that watches the deadline.
                        raise RequestError("timed_out", "the answer was not complete in time")
            if not cutter.inside_event:
                return
        except (httpx.HTTPError, EventError) as error:
            cause = f"{type(error).__name__}: {error}"
        raise Broken(upstream.upstream_id, cause, cutter.last_number or 0)

    def _first_number(self, exchange: Exchange) -> int | None:
        if exchange.broken is not None:
            return exchange.broken.events_count
        call: RoutedCall = exchange.request.call  # type: ignore[assignment]
        sent = dict(call.headers).get(self._names.last_event, "")
        return int(sent) if sent.isdigit() else None


def _timeout(exchange: Exchange) -> httpx.Timeout:
    left_s = max(0.001, exchange.deadline_s - time.monotonic())
    read_s = left_s
    if exchange.parameters.idempotent and exchange.attempt < exchange.route.attempts_count:
        patience_s = max(FIRST_BYTE_S, FIRST_BYTE_RATIO * exchange.parameters.objective_s)
        read_s = min(left_s / 2, patience_s)
    connect_s = min(CONNECT_TIMEOUT_S, left_s)
    return httpx.Timeout(read_s, connect=connect_s, pool=connect_s)


__all__ = ["EVENT_STREAM", "HeaderNames", "RoutedAttempts"]
