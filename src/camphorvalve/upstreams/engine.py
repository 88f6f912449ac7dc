"""Runs one attempt of a completion at a model engine."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, Any, TypedDict

import anyio
import httpx
import msgspec
import structlog

from camphorvalve.model.answers import Body, Framing, Head
from camphorvalve.upstreams.bodies import BodyTooLongError, body_chunks, read_body
from camphorvalve.upstreams.errors import Broken, NoAnswer
from camphorvalve.upstreams.events import EventError
from camphorvalve.upstreams.fetching import FetchLimits, fetch
from camphorvalve.upstreams.framing import framing, is_event_stream
from camphorvalve.upstreams.opening import (
    SendProgress,
    UpstreamCall,
    open_response,
    response_headers,
    stream_head,
)
from camphorvalve.upstreams.options import ContinueText, FromStart, ResumeStream
from camphorvalve.upstreams.pump import coalesced
from camphorvalve.upstreams.transcript import Transcript

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.client import UpstreamClient
    from camphorvalve.upstreams.options import AttemptOptions

PROMPT_UNITS_PER_TOKEN = 0.1
"""Units of service that a prompt token counts as; a generated token counts as one."""
BYTES_PER_TOKEN = 4
"""Approximate size of a token, used to estimate usage that the engine does not report."""
CANCEL_TIMEOUT_S = 1.0
CANCEL_LIMITS = FetchLimits(CANCEL_TIMEOUT_S, body_bytes=64 << 10)

_log = structlog.get_logger(__name__)


class _Usage(TypedDict):
    prompt_tokens: int
    completion_tokens: int


class _CompletionResponse(TypedDict):
    usage: _Usage


async def attempt_completion(
    client: UpstreamClient,
    upstream: Upstream,
    exchange: Exchange,
    attempt: int,
    options: AttemptOptions,
) -> AsyncGenerator[Part, None]:
    """
    Run a completion; closing the generator early cancels the run at the engine.

    :param client: client from ``create_client``
    :param upstream: the engine
    :param exchange: the caller's request; ``served_units`` grows with the response
    :param attempt: number of this attempt
    :param options: start point, timeouts and whether to open a new connection
    :return: the head of the response, then its body; parts of a stream end at event boundaries
    :raises NotSent: no byte was sent
    :raises NoAnswer: no usable response started
    :raises Broken: the response ended before it was complete
    """
    skip_cancel = False
    progress = SendProgress()
    response: httpx.Response | None = None
    try:
        call = _upstream_call(exchange, options)
        response = await open_response(client, upstream, exchange, attempt, options, call, progress)
        _check_continuation(upstream, options, response)
        async with aclosing(
            _response_parts(client, upstream, exchange, options, response)
        ) as parts:
            async for part in parts:
                yield part
        skip_cancel = True
    except Broken:
        # The run is not cancelled: the engine keeps the stream, so that it can be resumed.
        skip_cancel = True
        raise
    finally:
        if response is not None:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        if progress.started and not skip_cancel:
            await cancel(client, upstream, exchange.request.request_id, attempt)


async def cancel(client: UpstreamClient, upstream: Upstream, request_id: str, attempt: int) -> None:
    """
    Ask an engine to stop a run; waits at most a second, also inside a cancelled scope.

    :param client: client from ``create_client``
    :param upstream: the engine
    :param request_id: id of the request
    :param attempt: number of the attempt to stop; a later one at the same engine continues
    """
    url = f"{upstream.url.rstrip('/')}/v1/streams/{request_id}/cancel"
    with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        try:
            await fetch(client, "POST", url, CANCEL_LIMITS, params={"attempt": attempt})
        except httpx.HTTPError as error:
            _log.info("cancel failed", upstream=upstream.upstream_id, reason=str(error))


def _upstream_call(exchange: Exchange, options: AttemptOptions) -> UpstreamCall:
    body = exchange.request.body
    match options.start_point:
        case FromStart():
            return UpstreamCall("POST", "/v1/completions", body)
        case ResumeStream(events_count, _):
            path = f"/v1/streams/{exchange.request.request_id}?after={events_count}"
            return UpstreamCall("GET", path, checks_attempt=False)
        case ContinueText(events_count, text):
            fields: dict[str, Any] = msgspec.json.decode(body)
            fields["continue_from"] = {"text": text, "after": events_count}
            return UpstreamCall("POST", "/v1/completions", msgspec.json.encode(fields))


def _check_continuation(
    upstream: Upstream, options: AttemptOptions, response: httpx.Response
) -> None:
    """Reject a response that cannot continue the events that the caller already has."""
    if isinstance(options.start_point, FromStart):
        return
    if not is_event_stream(response):
        raise NoAnswer(upstream.upstream_id, f"status {response.status_code} for a continuation")


async def _response_parts(
    client: UpstreamClient,
    upstream: Upstream,
    exchange: Exchange,
    options: AttemptOptions,
    response: httpx.Response,
) -> AsyncGenerator[Part, None]:
    headers = response_headers(response)
    if not is_event_stream(response):
        with client.responses.reserve(response) as reservation:
            content = await read_body(upstream, response, reservation)
            if response.status_code == 200:
                exchange.served_units += _response_units(exchange.request.body, content)
            yield Head(response.status_code, headers)
            yield Body(content)
        return
    if not isinstance(options.start_point, ResumeStream):
        prompt_tokens = len(exchange.request.body) / BYTES_PER_TOKEN
        exchange.served_units += PROMPT_UNITS_PER_TOKEN * prompt_tokens
    yield stream_head(headers)
    transcript = Transcript(options.start_point)
    stream_parts = _stream_parts(client, upstream, exchange, transcript, response)
    async with aclosing(stream_parts) as parts:
        async for part in parts:
            yield part


async def _stream_parts(
    client: UpstreamClient,
    upstream: Upstream,
    exchange: Exchange,
    transcript: Transcript,
    response: httpx.Response,
) -> AsyncGenerator[Part, None]:
    cause = "the stream ended without its end marker"
    try:
        with client.responses.reserve(response) as reservation:
            async with coalesced(body_chunks(response)) as chunks:
                async for chunk in chunks:
                    if transcript.done:
                        # The end of the body should have followed, and not more of it.
                        break
                    events, tokens_count = transcript.add(chunk)
                    reservation.resize(transcript.held_bytes)
                    exchange.served_units += tokens_count
                    if events:
                        yield Body(events)
                    if transcript.done and framing(response) is Framing.CLOSE:
                        break
    except (httpx.HTTPError, EventError, BodyTooLongError) as error:
        cause = f"{type(error).__name__}: {error}"
    if not transcript.done:
        number = transcript.last_number()
        raise Broken(upstream.upstream_id, cause, number, transcript.text())


def _response_units(request_body: bytes, content: bytes) -> float:
    try:
        usage = msgspec.json.decode(content, type=_CompletionResponse)["usage"]
    except msgspec.MsgspecError:
        prompt_tokens = len(request_body) / BYTES_PER_TOKEN
        return len(content) / BYTES_PER_TOKEN + PROMPT_UNITS_PER_TOKEN * prompt_tokens
    return usage["completion_tokens"] + PROMPT_UNITS_PER_TOKEN * usage["prompt_tokens"]


__all__ = ["attempt_completion", "cancel"]
