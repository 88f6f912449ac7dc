"""Runs one attempt of a routed call: forwards the request and checks the response."""

from __future__ import annotations

import asyncio
import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import httpx

from camphorvalve.model.answers import Body, Framing, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.headers import end_to_end
from camphorvalve.sharing.notices import Leaving, parse_hold_off
from camphorvalve.upstreams.bodies import BodyTooLongError, body_chunks, read_body
from camphorvalve.upstreams.client import (
    FRESH_CONNECTION,
    keep_connection,
    report_other_response,
)
from camphorvalve.upstreams.errors import (
    Broken,
    Declined,
    FailedAnswer,
    Misdirected,
    NoAnswer,
    NotReached,
    NotSent,
    WrongAnswer,
)
from camphorvalve.upstreams.events import EventError, EventSequencer, OutOfOrderError, parse_number
from camphorvalve.upstreams.framing import framing, is_event_stream
from camphorvalve.upstreams.network import SilenceTimeout, Stream, is_connection_end
from camphorvalve.upstreams.opening import (
    SEND_STARTED_EVENT,
    record_source,
    stream_head,
)
from camphorvalve.upstreams.pump import coalesced

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable, Iterator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, RoutedCall
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.notices import Notice
    from camphorvalve.upstreams.client import UpstreamClient

CONNECT_TIMEOUT_S = 0.3
"""Connecting takes one round trip and 1 ms at the upstream. A lost first packet is only sent again
after a second, so trying another upstream is faster."""
RESENT_CONNECT_TIMEOUT_S = 1.5
"""The same where no other upstream may be tried: the first packet is sent again once."""
CONNECT_TURNS_COUNT = 4
"""Turns of the event loop that connecting takes; their lag is not the upstream's."""
BODY_SILENCE_S = 1.0
"""Time without a byte of a body after which another attempt may be started beside this one; callers
give up after 2 s."""
FIRST_BYTE_TIMEOUT_S = 1.0
FIRST_BYTE_OBJECTIVE_RATIO = 2.0
"""The same without a response: the longer of this multiple of the latency objective and
``FIRST_BYTE_TIMEOUT_S``, but at most half of the time left until the deadline. Callers give up
after 2 s or four times the objective."""
TIMER_RESOLUTION_S = 0.002
"""Time by which a timer of the event loop may fire early."""


class HeaderNames(NamedTuple):
    """Names, in lower case, of the headers that routers and upstreams exchange."""

    request_id: str
    """Id of the request, which the upstream returns with the response."""
    time_left_ms: str
    """Time until the deadline of the request."""
    expected_upstream: str
    """Id of the upstream; another one that now listens on the same address rejects the request."""
    team: str
    """Name of the team that sends the request."""
    last_event_id: str
    """Number of the last event that the caller has."""
    not_run: str
    """In a response: the upstream did not run the request."""
    proof: str
    """In a response: shows that the upstream itself produced it for this request."""
    leaving: str
    """In a response, with the value 1: the upstream is leaving."""
    hold_off_s: str
    """In a refusal: time for which the upstream wants no requests from this router."""


class RoutedAttempts:
    """Starts attempts of routed calls."""

    def __init__(
        self,
        client: UpstreamClient,
        names: HeaderNames,
        on_notice: Callable[[str, Notice], None] = lambda upstream_id, notice: None,
        lag_s: Callable[[], float] = lambda: 0.0,
        collecting_s: Callable[[float], float] = lambda longest_pause_s: 0.0,
    ) -> None:
        """
        Set the HTTP client and the header names for all attempts.

        :param client: client from ``create_client``
        :param names: names of the headers exchanged with upstreams
        :param on_notice: called with the id of an upstream and what it said of itself
        :param lag_s: returns the time by which the event loop is late
        :param collecting_s: returns, for the longest pause of a stream, how long its events are
            collected before they are passed on together
        """
        self._lag_s = lag_s
        self._collecting_s = collecting_s
        self._client = client
        self._names = names
        self._on_notice = on_notice

    async def open(self, upstream: Upstream, exchange: Exchange) -> AsyncGenerator[Part, None]:
        """
        Run one attempt; closing the generator early closes the connection.

        :param upstream: where to send the request
        :param exchange: the request, whose call is a ``RoutedCall``
        :return: the head of the response, then its body; parts of a stream end at event boundaries
        :raises NotSent: no byte was sent
        :raises Declined: the upstream did not run the request
        :raises FailedAnswer: the upstream failed, and the request may be repeated
        :raises NoAnswer: no usable response started
        :raises Broken: the response ended before it was complete
        :raises RequestError: ``timed_out`` if the response is not complete at the deadline
        """
        response = await self._send(upstream, exchange)
        # Each read has a timeout of its own, which starts anew with every byte.
        left_s = exchange.deadline_s - time.monotonic()
        timer = asyncio.get_running_loop().call_later(left_s, _abort, response)
        try:
            async with aclosing(self._response_parts(upstream, exchange, response)) as parts:
                async for part in parts:
                    yield part
        except Broken as error:
            if not _is_past_deadline(exchange):
                raise
            raise _timed_out() from error
        finally:
            timer.cancel()
            with anyio.CancelScope(shield=True):
                await response.aclose()

    async def _send(self, upstream: Upstream, exchange: Exchange) -> httpx.Response:
        call: RoutedCall = exchange.request.call  # type: ignore[assignment]
        started = False

        async def trace(event: str, info: dict[str, Any]) -> None:
            nonlocal started
            if event == SEND_STARTED_EVENT:
                started = True
                exchange.sent_upstream = True

        try:
            # Not built by the client, which would add its default headers.
            request = httpx.Request(
                call.method,
                upstream.url,
                content=exchange.request.body,
                headers=self._headers(upstream, exchange, call),
                extensions={
                    "trace": trace,
                    # A URL would be normalised, and name another path than the one of the route.
                    "target": call.target.encode("latin-1"),
                    "timeout": self._timeouts(exchange),
                    FRESH_CONNECTION: _needs_new_connection(exchange),
                },
            )
            response = await self._client.send_routed(request)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            cause = f"{type(error).__name__}: {error}"
            if started and _is_past_deadline(exchange):
                # The read timeout may fire just before the deadline filter.
                raise _timed_out() from error
            if started:
                ended = is_connection_end(error)
                raise NoAnswer(upstream.upstream_id, cause, connection_ended=ended) from error
            is_timeout = isinstance(error, httpx.ConnectTimeout)
            raise (NotReached if is_timeout else NotSent)(upstream.upstream_id, cause) from error
        # httpcore reads this entry when it starts to read the body.
        request.extensions["timeout"]["read"] = _silence_timeout(exchange, BODY_SILENCE_S)
        return response

    def _timeouts(self, exchange: Exchange) -> dict[str, float]:
        left_s = _left_s(exchange)
        objective_s = exchange.parameters.objective_s
        first_byte_s = max(FIRST_BYTE_TIMEOUT_S, FIRST_BYTE_OBJECTIVE_RATIO * objective_s)
        silence = _silence_timeout(exchange, min(left_s / 2, first_byte_s))
        is_last = exchange.may_have_run and exchange.is_last_attempt
        connect_s = RESENT_CONNECT_TIMEOUT_S if is_last else CONNECT_TIMEOUT_S
        connect_s = min(connect_s + CONNECT_TURNS_COUNT * self._lag_s(), left_s)
        return {"connect": connect_s, "pool": connect_s, "read": silence, "write": silence}

    def _headers(
        self, upstream: Upstream, exchange: Exchange, call: RoutedCall
    ) -> list[tuple[str, str]]:
        names = self._names
        left_ms = max(1, int((exchange.deadline_s - time.monotonic()) * 1000))
        router_headers = {
            names.request_id: exchange.request.request_id,
            names.time_left_ms: str(left_ms),
            names.expected_upstream: upstream.upstream_id,
        }
        if exchange.team is not None:
            router_headers[names.team] = exchange.team.name
        if exchange.broken is not None:
            router_headers[names.last_event_id] = str(exchange.broken.events_count)
        caller_headers = [
            (name, value) for name, value in call.headers if name not in router_headers
        ]
        return [("host", call.host), *caller_headers, *router_headers.items()]

    async def _response_parts(
        self, upstream: Upstream, exchange: Exchange, response: httpx.Response
    ) -> AsyncGenerator[Part, None]:
        record_source(exchange, response)
        self._check_response(upstream, exchange, response)
        headers = tuple(end_to_end(response.headers.multi_items()))
        head = Head(response.status_code, headers)
        is_stream = is_event_stream(response)
        if exchange.output_started and not is_stream:
            cause = f"the continuation of a stream is not a stream, status {response.status_code}"
            raise NoAnswer(upstream.upstream_id, cause)
        if is_stream:
            yield stream_head(headers)
            stream_parts = self._stream_parts(upstream, exchange, response)
            async with aclosing(stream_parts) as parts:
                async for part in parts:
                    yield part
            return
        with self._client.responses.reserve(response) as reservation:
            # The head of a broken response must not reach the caller of a stream.
            content = await read_body(upstream, response, reservation)
            if response.status_code >= 500 and exchange.parameters.idempotent:
                raise FailedAnswer(upstream.upstream_id, head, content)
            yield head
            yield Body(content)

    def _check_response(
        self, upstream: Upstream, exchange: Exchange, response: httpx.Response
    ) -> None:
        names, headers = self._names, response.headers
        response_id = headers.get(names.request_id)
        is_refusal = names.not_run in headers or response.status_code == 421
        # A connection that carries one request only has no answers of earlier ones.
        may_lack_id = is_refusal and not exchange.parameters.idempotent
        if response_id != exchange.request.request_id and (response_id or not may_lack_id):
            # The answer to this request follows and must not meet another one.
            response.extensions["network_stream"].abort()
            cause = f"response to request {response_id!r}"
            report_other_response(response, cause)
            raise WrongAnswer(upstream.upstream_id, cause)
        if response_id:
            keep_connection(response)
        if response.status_code != 421:
            # Status 421 comes from another upstream that now listens on the same address.
            for notice in self._notices(response):
                self._on_notice(upstream.upstream_id, notice)
        if is_refusal:
            refusal = Misdirected if response.status_code == 421 else Declined
            raise refusal(upstream.upstream_id, f"status {response.status_code}, not run")
        if names.proof not in headers or "content-encoding" in headers:
            raise WrongAnswer(upstream.upstream_id, "the response was not produced by the upstream")

    def _notices(self, response: httpx.Response) -> Iterator[Notice]:
        if response.headers.get(self._names.leaving) == "1":
            yield Leaving()
        if response.status_code == 503:
            values = response.headers.get_list(self._names.hold_off_s)
            if hold_off := parse_hold_off(values):
                yield hold_off

    async def _stream_parts(
        self, upstream: Upstream, exchange: Exchange, response: httpx.Response
    ) -> AsyncGenerator[Body, None]:
        sequencer = EventSequencer(
            self._last_event_number(exchange), continues=exchange.broken is not None
        )
        exchange.events_count = sequencer.last_number or 0
        connection_ended = framing(response) is Framing.CLOSE
        try:
            with self._client.responses.reserve(response) as reservation:
                async with coalesced(body_chunks(response)) as chunks:
                    async for chunk in chunks:
                        events = sequencer.add(chunk)
                        exchange.events_count = sequencer.last_number or 0
                        reservation.resize(sequencer.held_bytes)
                        if events:
                            yield Body(events)
                            self._collect_events(exchange, response)
                        elif time.monotonic() > exchange.deadline_s:
                            # The deadline filter only sees parts, and this stream yields none.
                            raise _timed_out()
            cause = _find_truncation(response, sequencer)
            if cause is None:
                return
        except (httpx.HTTPError, EventError, BodyTooLongError) as error:
            cause = f"{type(error).__name__}: {error}"
            connection_ended = is_connection_end(error)
            if isinstance(error, OutOfOrderError) and error.events:
                yield Body(error.events)
        events_count = sequencer.last_number or 0
        raise Broken(upstream.upstream_id, cause, events_count, connection_ended=connection_ended)

    def _collect_events(self, exchange: Exchange, response: httpx.Response) -> None:
        """Read several events at a time from now on while processor time is short."""
        longest_pause_s = None if exchange.route is None else exchange.route.longest_pause_s
        if response.is_closed:
            # Its connection may carry another request already.
            return
        match response.extensions["network_stream"]:
            case Stream(collecting_s=None) as stream if longest_pause_s is not None:
                stream.collecting_s = lambda: self._collecting_s(longest_pause_s)

    def _last_event_number(self, exchange: Exchange) -> int | None:
        if exchange.broken is not None:
            return exchange.broken.events_count
        call: RoutedCall = exchange.request.call  # type: ignore[assignment]
        return parse_number(dict(call.headers).get(self._names.last_event_id, ""))


def _needs_new_connection(exchange: Exchange) -> bool:
    # The responses to the attempts of a request bear the same id, so that a second copy of an
    # earlier one must not lie on the connection.
    return exchange.attempt > 1 or not exchange.parameters.idempotent


def _is_past_deadline(exchange: Exchange) -> bool:
    return time.monotonic() >= exchange.deadline_s - TIMER_RESOLUTION_S


def _timed_out() -> RequestError:
    return RequestError("timed_out", "the response was not complete in time")


def _find_truncation(response: httpx.Response, sequencer: EventSequencer) -> str | None:
    if sequencer.inside_event:
        return "the stream ended inside an event"
    if not sequencer.has_events and framing(response) is Framing.CLOSE:
        return "the connection was closed before the first event"
    return None


def _abort(response: httpx.Response) -> None:
    # The connection of a complete response may carry another request already.
    if not response.is_closed:
        response.extensions["network_stream"].abort()


def _silence_timeout(exchange: Exchange, silence_s: float) -> float:
    if not exchange.parameters.idempotent:
        return _left_s(exchange)
    # A standby that takes over is given another function.
    return SilenceTimeout(silence_s, exchange.deadline_s, lambda: exchange.gives_up())


def _left_s(exchange: Exchange) -> float:
    return max(0.001, exchange.deadline_s - time.monotonic())


__all__ = ["HeaderNames", "RoutedAttempts"]
