"""Runs one attempt of a call to a plain service."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import httpx

from camphorvalve.model.answers import Body, Framing, Head
from camphorvalve.upstreams.bodies import body_chunks
from camphorvalve.upstreams.errors import Broken
from camphorvalve.upstreams.events import ENDS_OF_EVENT, LONGEST_END_BYTES
from camphorvalve.upstreams.framing import framing, is_event_stream
from camphorvalve.upstreams.opening import (
    SendProgress,
    UpstreamCall,
    open_response,
    response_headers,
)
from camphorvalve.upstreams.pump import coalesced

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, ServiceCall
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.options import AttemptOptions


async def attempt_service_call(
    client: httpx.AsyncClient,
    upstream: Upstream,
    exchange: Exchange,
    call: ServiceCall,
    attempt: int,
    options: AttemptOptions,
) -> AsyncGenerator[Part, None]:
    """
    Run a call; closing the generator early closes the connection.

    :param client: client from ``create_client``
    :param upstream: the service
    :param exchange: the caller's request; ``served_units`` grows by the duration in milliseconds
    :param call: method and path of the call
    :param attempt: number of this attempt
    :param options: timeouts and whether to open a new connection
    :return: the head of the response, then its body
    :raises NotSent: no byte was sent
    :raises NoAnswer: no usable response started
    :raises Broken: the response ended before it was complete
    """
    started_s = time.monotonic()
    units_before = exchange.served_units
    progress = SendProgress()
    upstream_call = UpstreamCall(call.method, call.path, exchange.request.body)
    response: httpx.Response | None = None
    try:
        response = await open_response(
            client, upstream, exchange, attempt, options, upstream_call, progress
        )
        yield Head(response.status_code, response_headers(response))
        last_bytes = b""
        async with coalesced(body_chunks(response)) as chunks:
            async for chunk in chunks:
                exchange.served_units = units_before + _elapsed_ms(started_s)
                last_bytes = (last_bytes + chunk[-LONGEST_END_BYTES:])[-LONGEST_END_BYTES:]
                yield Body(chunk)
        if is_event_stream(response) and framing(response) is Framing.CLOSE:
            _check_end(upstream, last_bytes)
    except httpx.HTTPError as error:
        raise Broken(upstream.upstream_id, f"{type(error).__name__}: {error}") from error
    finally:
        # A call that gets no response has still occupied a slot.
        if progress.started:
            exchange.served_units = units_before + _elapsed_ms(started_s)
        if response is not None:
            with anyio.CancelScope(shield=True):
                await response.aclose()


def _check_end(upstream: Upstream, last_bytes: bytes) -> None:
    if not last_bytes.endswith(ENDS_OF_EVENT):
        raise Broken(upstream.upstream_id, "the stream did not end after an event")


def _elapsed_ms(started_s: float) -> float:
    return (time.monotonic() - started_s) * 1000


__all__ = ["attempt_service_call"]
