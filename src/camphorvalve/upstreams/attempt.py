"""Starts one attempt of a request at one upstream, with the client for its interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion, ServiceCall
from camphorvalve.model.upstreams import ModelEngine, PlainService
from camphorvalve.upstreams.engine import attempt_completion
from camphorvalve.upstreams.options import AttemptOptions
from camphorvalve.upstreams.service import attempt_service_call

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.client import UpstreamClient


def open_attempt(
    client: UpstreamClient,
    upstream: Upstream,
    exchange: Exchange,
    attempt: int,
    options: AttemptOptions = AttemptOptions(),  # noqa: B008 -- immutable
) -> AsyncGenerator[Part, None]:
    """
    Run one attempt; close the generator to abort it.

    Nothing is sent until the first part is requested.

    :param client: client from ``create_client``
    :param upstream: where to send the request
    :param exchange: the request; the attempt sets ``sent_upstream`` and adds to ``served_units``
    :param attempt: number of this attempt, starting at 1
    :param options: start point, timeouts and whether to open a new connection
    :return: the head of the response, then its body
    :raises RequestError: the pool does not serve this kind of call
    """
    match (upstream.interface, exchange.request.call):
        case (ModelEngine(), Completion()):
            return attempt_completion(client, upstream, exchange, attempt, options)
        case (PlainService(), ServiceCall() as call):
            return attempt_service_call(client, upstream, exchange, call, attempt, options)
        case (interface, call):
            kind = type(interface).__name__
            text = f"pool {upstream.pool!r}: {kind} does not serve {type(call).__name__}"
            raise RequestError("unknown_pool", text)


__all__ = ["open_attempt"]
