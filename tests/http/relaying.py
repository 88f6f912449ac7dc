"""Serves routed calls by the real caller port, retries and attempts, with scripted upstreams."""

from __future__ import annotations

import math
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio
from h11 import (
    CLIENT,
    Connection,
    Data,
    EndOfMessage,
    InformationalResponse,
    RemoteProtocolError,
    Response,
)
from h11 import Request as RequestHead

from camphorvalve.filters.chain import compose
from camphorvalve.filters.deadline import DeadlineFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.http.bodies import CallerLimits
from camphorvalve.http.connections import ConnectionTracker
from camphorvalve.http.routed import RoutedApp
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import NotSent
from camphorvalve.upstreams.routed import RoutedAttempts
from tests.http.earlypeers import Early, early_upstream
from tests.http.serving import serving
from tests.rawpeers import Script, exchange_bytes, upstream
from tests.routebuilders import HEADER_NAMES, a_departure, a_listed_upstream, a_routed_exchange

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

    import httpx

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Scope
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, Request
    from camphorvalve.model.routes import Route
    from tests.http.earlypeers import EarlyUpstream
    from tests.rawpeers import ScriptedUpstream

CALL = (
    b"POST /drafts/1 HTTP/1.1\r\nhost: desk.example\r\n"
    b"connection: close\r\ncontent-length: 7\r\n\r\nviolins"
)
CLOSE_TIMEOUT_S = 5.0
MAX_BODY_BYTES = 16 << 20


class Received(NamedTuple):
    """What a caller makes of the bytes of its connection."""

    status: int
    headers: dict[str, str]
    content: bytes
    complete: bool
    """Whether the response ended as its framing says."""


def parse(received: bytes, method: str = "POST") -> Received:
    """
    Parse the bytes that a caller received after one request.

    :param received: all bytes until the connection closed
    :param method: method of the request
    :return: the response
    :raises AssertionError: bytes follow the response
    """
    connection = Connection(CLIENT)
    connection.send(RequestHead(method=method, target="/", headers=[("host", "desk.example")]))
    connection.send(EndOfMessage())
    connection.receive_data(received)
    connection.receive_data(b"")
    head, content = connection.next_event(), b""
    while isinstance(head, InformationalResponse):
        head = connection.next_event()
    assert isinstance(head, Response), head
    status, headers = head.status_code, {k.decode(): v.decode() for k, v in head.headers}
    while True:
        try:
            event = connection.next_event()
        except RemoteProtocolError:
            return Received(status, headers, content, complete=False)
        if isinstance(event, Data):
            content += bytes(event.data)
        else:
            assert isinstance(event, EndOfMessage), event
            assert not connection.trailing_data[0], connection.trailing_data
            # A caller can't tell whether a response is whole that ends with its connection.
            is_framed = bool({"content-length", "transfer-encoding"} & headers.keys())
            has_no_body = method == "HEAD" or status in {204, 304}
            return Received(status, headers, content, complete=is_framed or has_no_body)


class Relay:
    """A running caller port whose attempts go to one scripted upstream after the other."""

    def __init__(self, port: int, peers: list[ScriptedUpstream | EarlyUpstream]) -> None:
        self.port = port
        self.peers = peers

    @property
    def attempts_count(self) -> int:
        """:return: number of requests that reached an upstream"""
        return sum(len(peer.received) for peer in self.peers)

    async def send(self, content: bytes) -> bytes:
        """Send bytes on a new connection, and return what comes until the router closes it."""
        with anyio.fail_after(CLOSE_TIMEOUT_S):
            return await exchange_bytes(self.port, content, wait_s=math.inf)

    async def call(self, content: bytes = CALL) -> Received:
        """Send a request that asks for the end of its connection, and parse the response."""
        return parse(await self.send(content), content.split()[0].decode())


@asynccontextmanager
async def relaying(route: Route, *scripts: Script | Early) -> AsyncIterator[Relay]:
    """
    Serve calls of one route; the n-th attempt of a call goes to the n-th upstream.

    :param route: the route of all calls
    :param scripts: the response of each upstream
    :return: the running caller port
    """
    async with AsyncExitStack() as stack:
        peers = [await stack.enter_async_context(_upstream(script)) for script in scripts]
        client = await stack.enter_async_context(create_client())
        app = RoutedApp(
            _handler(route, client, [url for url, _ in peers]),
            lambda scope: _request(route, scope),
            request_id_header=HEADER_NAMES.request_id,
            connections=ConnectionTracker(1000, lambda: 15.0),
            limits=CallerLimits(body_bytes=MAX_BODY_BYTES, held_bytes=MAX_BODY_BYTES),
        )
        served = await stack.enter_async_context(serving(app))
        yield Relay(served.port, [peer for _, peer in peers])


def _upstream(
    script: Script | Early,
) -> AbstractAsyncContextManager[tuple[str, ScriptedUpstream | EarlyUpstream]]:
    match script:
        case Early():
            return early_upstream(script)
        case Script():
            return upstream(script)


def _request(route: Route, scope: Scope) -> Request:
    """Decode the method of a request and the headers that the platform passes on as they are."""
    expectations = [value.decode() for name, value in scope["headers"] if name == b"expect"]
    headers = (("x-shade", "blue"), *(("expect", value) for value in expectations))
    return a_routed_exchange(route, method=scope["method"], headers=headers).request


def _handler(route: Route, client: httpx.AsyncClient, urls: list[str]) -> Handler:
    # The lag lengthens the time for connecting: a busy machine is no fault of an upstream.
    attempts = RoutedAttempts(client, HEADER_NAMES, lag_s=lambda: 1.0)

    async def prepare(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        prepared = a_routed_exchange(route)
        exchange.route, exchange.parameters = prepared.route, prepared.parameters
        exchange.deadline_s = min(prepared.deadline_s, exchange.received_s + route.timeout_s)
        async for part in inner(exchange):
            yield part

    def forward(exchange: Exchange) -> AsyncIterator[Part]:
        exchange.upstream_id = f"up-{exchange.attempt}"
        if exchange.attempt > len(urls):
            raise NotSent(exchange.upstream_id, "there are no more upstreams")
        url = urls[exchange.attempt - 1]
        return attempts.open(a_listed_upstream(exchange.upstream_id, url=url), exchange)

    return compose((prepare, DeadlineFilter(a_departure()), RetryFilter(RetryBudget())), forward)


__all__ = ["CALL", "Received", "Relay", "parse", "relaying"]
