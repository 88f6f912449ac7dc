"""One attempt of a completion at a model engine."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, Any, TypedDict

import anyio
import httpx
import msgspec
import structlog

from camphorvalve.model.answers import Body, Head
from camphorvalve.upstreams.errors import Broken, NoAnswer
from camphorvalve.upstreams.events import EventError
from camphorvalve.upstreams.opening import (
    Sending,
    UpstreamCall,
    open_response,
    read_whole,
    response_headers,
)
from camphorvalve.upstreams.options import ContinueText, FromStart, ResumeStream
from camphorvalve.upstreams.pump import coalesced
from camphorvalve.upstreams.transcript import Transcript

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.options import AttemptOptions

PROMPT_UNITS_PER_TOKEN = 0.1
BYTES_PER_TOKEN = 4
"""Rough size of a token, for answers that state no usage."""
CANCEL_TIMEOUT_S = 1.0
_EVENT_STREAM = "text/event-stream"

_log = structlog.get_logger(__name__)


class _Usage(TypedDict):
    prompt_tokens: int
    completion_tokens: int


class _Answer(TypedDict):
    usage: _Usage


async def attempt_completion(
    client: httpx.AsyncClient,
    upstream: Upstream,
    exchange: Exchange,
    attempt: int,
    options: AttemptOptions,
) -> AsyncGenerator[Part, None]:
    """
    Run a completion; closing the generator early cancels it at the engine.

    :param client: client from ``create_client``
    :param upstream: the engine
    :param exchange: the caller's request; ``served_units`` grows with the answer
    :param attempt: number of this attempt
    :param options: where to begin, timeouts and kind of connection
    :return: the head, then the body; a stream is cut only between events
    :raises NotSent: no byte went out
    :raises NoAnswer: no usable answer started
    :raises Broken: the answer ended before it was complete
    """
    settled = False
    sending = Sending()
    response: httpx.Response | None = None
    try:
        call = _call(exchange, options)
        response = await open_response(client, upstream, exchange, attempt, options, call, sending)
        _check_continuation(upstream, options, response)
        async with aclosing(_parts(upstream, exchange, options, response)) as parts:
            async for part in parts:
                yield part
        settled = True
    except Broken:
        # The engine keeps the stream, so that it can be resumed.
        settled = True
        raise
    finally:
        if response is not None:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        if sending.started and not settled:
            await cancel(client, upstream, exchange.request.request_id, attempt)


async def cancel(
    client: httpx.AsyncClient, upstream: Upstream, request_id: str, attempt: int
) -> None:
    """
    Ask an engine to stop a run; gives up after a second, also inside a cancelled scope.

    :param client: client from ``create_client``
    :param upstream: the engine
    :param request_id: id of the request
    :param attempt: attempt to stop, so that a later one at the same engine goes on
    """
    url = f"{upstream.url.rstrip('/')}/v1/streams/{request_id}/cancel"
    with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        try:
            await client.post(url, params={"attempt": attempt}, timeout=CANCEL_TIMEOUT_S)
        except httpx.HTTPError as error:
            _log.info("cancel failed", upstream=upstream.upstream_id, reason=str(error))


def _call(exchange: Exchange, options: AttemptOptions) -> UpstreamCall:
    body = exchange.request.body
    match options.begin:
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
    """Refuse what cannot follow the part of a stream that the caller already has."""
    if isinstance(options.begin, FromStart):
        return
    if response.status_code != 200 or not _is_stream(response):
        raise NoAnswer(upstream.upstream_id, f"status {response.status_code} for a continuation")


def _is_stream(response: httpx.Response) -> bool:
    return response.headers.get("content-type", "").startswith(_EVENT_STREAM)


async def _parts(
    upstream: Upstream, exchange: Exchange, options: AttemptOptions, response: httpx.Response
) -> AsyncGenerator[Part, None]:
    head = Head(response.status_code, response_headers(response))
    if not _is_stream(response):
        content = await read_whole(upstream, response)
        if response.status_code == 200:
            exchange.served_units += _answer_units(exchange.request.body, content)
        yield head
        yield Body(content)
        return
    if not isinstance(options.begin, ResumeStream):
        prompt_tokens = len(exchange.request.body) / BYTES_PER_TOKEN
        exchange.served_units += PROMPT_UNITS_PER_TOKEN * prompt_tokens
    yield head
    events = _events(upstream, exchange, Transcript(options.begin), response)
    async with aclosing(events) as parts:
        async for part in parts:
            yield part


async def _events(
    upstream: Upstream, exchange: Exchange, transcript: Transcript, response: httpx.Response
) -> AsyncGenerator[Part, None]:
    cause = "stream ended without its end mark"
    try:
        async with coalesced(response.aiter_raw()) as pieces:
            async for piece in pieces:
                whole, count = transcript.add(piece)
                exchange.served_units += count
                if whole:
                    yield Body(whole)
    except (httpx.HTTPError, EventError) as error:
        cause = f"{type(error).__name__}: {error}"
    if not transcript.done:
        number = transcript.last_number()
        raise Broken(upstream.upstream_id, cause, number, transcript.text())


def _answer_units(request_body: bytes, content: bytes) -> float:
    try:
        usage = msgspec.json.decode(content, type=_Answer)["usage"]
    except msgspec.MsgspecError:
        prompt_tokens = len(request_body) / BYTES_PER_TOKEN
        return len(content) / BYTES_PER_TOKEN + PROMPT_UNITS_PER_TOKEN * prompt_tokens
    return usage["completion_tokens"] + PROMPT_UNITS_PER_TOKEN * usage["prompt_tokens"]


__all__ = ["attempt_completion", "cancel"]
