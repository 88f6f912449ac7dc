"""Sends a request to an upstream and tells how far it got."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx

from camphorvalve.model.headers import HOP_HEADERS
from camphorvalve.upstreams.client import FRESH
from camphorvalve.upstreams.errors import Broken, NoAnswer, NotSent, WrongAnswer

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.options import AttemptOptions

SENDING_EVENT = "http11.send_request_headers.started"
# The others are set again by the router.
_DROPPED_HEADERS = HOP_HEADERS | {"date", "server", "x-attempt", "x-request-id"}


class UpstreamCall(NamedTuple):
    """What goes to the upstream."""

    method: str
    path: str
    content: bytes = b""
    checks_attempt: bool = True
    """Whether the answer has to carry this attempt's number, if it carries one."""


@dataclass(slots=True)
class Sending:
    """How far one attempt has got; still valid after a cancellation."""

    started: bool = False
    """Whether a byte of the request may have gone out."""


async def open_response(
    client: httpx.AsyncClient,
    upstream: Upstream,
    exchange: Exchange,
    attempt: int,
    options: AttemptOptions,
    call: UpstreamCall,
    sending: Sending,
) -> httpx.Response:
    """
    Send a request and wait for status and headers.

    :param client: client from ``create_client``
    :param upstream: where to send
    :param exchange: the caller's request
    :param attempt: number of this attempt
    :param options: timeouts and kind of connection
    :param call: method, path and body
    :param sending: set just before the first byte, like ``exchange.sent_upstream``
    :return: the response with its body unread; the caller closes it
    :raises NotSent: no byte went out
    :raises NoAnswer: the request may have arrived, no answer started
    :raises WrongAnswer: the answer belongs to another request
    """

    async def watch(event: str, info: dict[str, Any]) -> None:
        if event == SENDING_EVENT:
            sending.started = True
            exchange.sent_upstream = True

    try:
        request = client.build_request(
            call.method,
            f"{upstream.url.rstrip('/')}/{call.path.lstrip('/')}",
            content=call.content,
            headers=_request_headers(exchange, attempt, options),
            timeout=_timeout(options),
            extensions={"trace": watch, FRESH: options.fresh_connection},
        )
        response = await client.send(request, stream=True)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        cause = f"{type(error).__name__}: {error}"
        raise (NoAnswer if sending.started else NotSent)(upstream.upstream_id, cause) from error
    if wrong := _mismatch(response.headers, exchange.request.request_id, attempt, call):
        await response.aclose()
        raise WrongAnswer(upstream.upstream_id, wrong)
    return response


def response_headers(response: httpx.Response) -> tuple[tuple[str, str], ...]:
    """
    Choose the headers that go on to the caller.

    :param response: the upstream's response
    :return: names in lower case, and values
    """
    return tuple(
        (name, value)
        for name, value in response.headers.multi_items()
        if name not in _DROPPED_HEADERS
    )


MOST_ANSWER_BYTES = 4 << 20
"""Longest body that is read as a whole; an upstream in trouble may send bytes without end."""


async def read_whole(upstream: Upstream, response: httpx.Response) -> bytes:
    """
    Read a whole body before its head goes on, so that a broken one can still be retried.

    :param upstream: the upstream
    :param response: its response, unread
    :return: the body
    :raises Broken: the body ended before it was complete, or is too long
    """
    pieces: list[bytes] = []
    size_bytes = 0
    try:
        async for piece in response.aiter_raw():
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > MOST_ANSWER_BYTES:
                cause = f"the body is longer than {MOST_ANSWER_BYTES} bytes"
                raise Broken(upstream.upstream_id, cause)
        return b"".join(pieces)
    except httpx.HTTPError as error:
        raise Broken(upstream.upstream_id, f"{type(error).__name__}: {error}") from error


def _request_headers(
    exchange: Exchange, attempt: int, options: AttemptOptions
) -> list[tuple[bytes, bytes]]:
    request = exchange.request
    headers = [
        (b"X-Request-Id", request.request_id.encode()),
        (b"X-Attempt", b"%d" % attempt),
    ]
    if request.content_type:
        headers.append((b"Content-Type", request.content_type.encode()))
    if request.idempotency_key is not None:
        headers.append((b"Idempotency-Key", request.idempotency_key.encode()))
    if options.fresh_connection:
        headers.append((b"Connection", b"close"))
    return headers


def _timeout(options: AttemptOptions) -> httpx.Timeout:
    return httpx.Timeout(
        options.silence_timeout_s,
        connect=options.connect_timeout_s,
        pool=options.connect_timeout_s,
    )


def _mismatch(
    headers: httpx.Headers, request_id: str, attempt: int, call: UpstreamCall
) -> str | None:
    found_id = headers.get("x-request-id", request_id)
    if found_id != request_id:
        return f"answer to request {found_id!r} instead of {request_id!r}"
    found_attempt = headers.get("x-attempt", str(attempt))
    if call.checks_attempt and found_attempt != str(attempt):
        return f"answer to attempt {found_attempt} instead of {attempt}"
    return None


__all__ = [
    "MOST_ANSWER_BYTES",
    "SENDING_EVENT",
    "Sending",
    "UpstreamCall",
    "open_response",
    "read_whole",
    "response_headers",
]
