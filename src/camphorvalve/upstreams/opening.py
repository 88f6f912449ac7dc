"""Sends a request to an upstream, records whether any byte was sent, and checks the response."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx

from camphorvalve.model.answers import Head
from camphorvalve.model.headers import HOP_HEADERS
from camphorvalve.model.requests import ResponseSource
from camphorvalve.upstreams.client import (
    EARLIER_RESPONSES_COUNT,
    FRESH_CONNECTION,
    keep_connection,
    report_other_response,
)
from camphorvalve.upstreams.errors import NoAnswer, NotSent, WrongAnswer
from camphorvalve.upstreams.framing import framing
from camphorvalve.upstreams.network import Stream
from camphorvalve.upstreams.options import FromStart

if TYPE_CHECKING:
    from collections.abc import Iterable

    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.options import AttemptOptions

SEND_STARTED_EVENT = "http11.send_request_headers.started"
# Apart from the hop-by-hop headers, the router sets these itself.
_DROPPED_HEADERS = HOP_HEADERS | {"date", "server", "x-attempt", "x-request-id"}


class UpstreamCall(NamedTuple):
    """The HTTP request that is sent to the upstream."""

    method: str
    path: str
    content: bytes = b""
    checks_attempt: bool = True
    """Whether the attempt number in the response, if there is one, must be that of this attempt."""


@dataclass(slots=True)
class SendProgress:
    """Progress of sending one request; remains readable after the attempt is cancelled."""

    started: bool = False
    """Whether a byte of the request may have been sent."""


async def open_response(
    client: httpx.AsyncClient,
    upstream: Upstream,
    exchange: Exchange,
    attempt: int,
    options: AttemptOptions,
    call: UpstreamCall,
    progress: SendProgress,
) -> httpx.Response:
    """
    Send a request and wait for the status and headers of the response.

    :param client: client from ``create_client``
    :param upstream: where to send
    :param exchange: the caller's request
    :param attempt: number of this attempt
    :param options: timeouts and whether to open a new connection
    :param call: method, path and body
    :param progress: ``started`` is set just before the first byte, as is ``exchange.sent_upstream``
    :return: the response with its body unread; the caller closes it
    :raises NotSent: no byte was sent
    :raises NoAnswer: the request may have arrived, but no response started
    :raises WrongAnswer: the response belongs to another request or attempt
    """

    is_new = _needs_new_connection(attempt, options)

    async def trace(event: str, info: dict[str, Any]) -> None:
        if event == SEND_STARTED_EVENT:
            progress.started = True
            exchange.sent_upstream = True

    try:
        request = client.build_request(
            call.method,
            f"{upstream.url.rstrip('/')}/{call.path.lstrip('/')}",
            content=call.content,
            headers=_request_headers(exchange, attempt, is_new=is_new),
            timeout=_timeout(options),
            extensions={"trace": trace, FRESH_CONNECTION: is_new},
        )
        response = await client.send(request, stream=True)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        cause = f"{type(error).__name__}: {error}"
        raise (NoAnswer if progress.started else NotSent)(upstream.upstream_id, cause) from error
    source = record_source(exchange, response)
    is_first = is_new or source.earlier_count == 0
    request_id = exchange.request.request_id
    if mismatch := _find_mismatch(response.headers, request_id, attempt, call, is_first=is_first):
        report_other_response(response, mismatch)
        await response.aclose()
        raise WrongAnswer(upstream.upstream_id, mismatch)
    if "x-request-id" in response.headers:
        keep_connection(response)
    return response


def _needs_new_connection(attempt: int, options: AttemptOptions) -> bool:
    # A second copy of the response to an earlier attempt, or to the part of a stream before this
    # one, bears the same id.
    continues = not isinstance(options.start_point, FromStart)
    return options.fresh_connection or attempt > 1 or continues


def response_headers(response: httpx.Response) -> tuple[tuple[str, str], ...]:
    """
    Select the response headers that are passed on to the caller.

    :param response: the upstream's response
    :return: names in lower case, and values
    """
    return tuple(
        (name, value)
        for name, value in response.headers.multi_items()
        if name not in _DROPPED_HEADERS
    )


def record_source(exchange: Exchange, response: httpx.Response) -> ResponseSource:
    """
    Note how a response is framed and what its connection carried before.

    :param exchange: the request
    :param response: the upstream's response to it, or the one found in its place
    :return: what was noted
    """
    earlier_count = response.extensions[EARLIER_RESPONSES_COUNT]
    exchange.source = ResponseSource(framing(response), earlier_count)
    match response.extensions.get("network_stream"):
        case Stream(connected_s=connected_s):
            exchange.connected_s = connected_s
        case _:
            exchange.connected_s = time.monotonic()
    return exchange.source


def stream_head(headers: Iterable[tuple[str, str]]) -> Head:
    """
    Build the head of a stream of events.

    :param headers: headers of the response, names in lower case
    :return: the head without a length, which another upstream that continues it may not keep to
    """
    return Head(200, tuple(header for header in headers if header[0] != "content-length"))


def _request_headers(
    exchange: Exchange, attempt: int, *, is_new: bool
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
    if is_new:
        headers.append((b"Connection", b"close"))
    return headers


def _timeout(options: AttemptOptions) -> httpx.Timeout:
    return httpx.Timeout(
        options.inactivity_timeout_s,
        connect=options.connect_timeout_s,
        pool=options.connect_timeout_s,
    )


def _find_mismatch(
    headers: httpx.Headers, request_id: str, attempt: int, call: UpstreamCall, *, is_first: bool
) -> str | None:
    """Compare the names in a response with those of its request; only the first response of a
    connection may leave out the id. Repeated attempts are the first request of theirs."""
    response_id = headers.get("x-request-id")
    if response_id is None and not is_first:
        return "response without an id on a connection that has carried others"
    if response_id not in (None, request_id):
        return f"response to request {response_id!r} instead of {request_id!r}"
    response_attempt = headers.get("x-attempt", str(attempt))
    if call.checks_attempt and response_attempt != str(attempt):
        return f"response to attempt {response_attempt} instead of {attempt}"
    return None


__all__ = [
    "SEND_STARTED_EVENT",
    "SendProgress",
    "UpstreamCall",
    "open_response",
    "record_source",
    "response_headers",
    "stream_head",
]
