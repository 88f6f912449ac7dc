"""The HTTP client of a process: one connection pool per origin, and new connections on request."""

from __future__ import annotations

import socket
import ssl
import time
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import h11
import httpx

from camphorvalve.model.answers import Framing
from camphorvalve.upstreams.bodies import ResponseBudget
from camphorvalve.upstreams.framing import (
    SecondResponseError,
    framing,
    has_joined_heads,
    is_event_stream,
    without_restarted_response,
    without_second_response,
)
from camphorvalve.upstreams.network import Backend, Stream
from camphorvalve.upstreams.singleuse import SingleUseOrigins

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator, Callable

    import httpcore

FRESH_CONNECTION = "camphorvalve.fresh_connection"
"""Request extension that asks for a new connection instead of a pooled one."""
EARLIER_RESPONSES_COUNT = "camphorvalve.earlier_responses_count"
"""Response extension with the number of responses that the connection had carried before."""
_RESPONSE_STREAM = "camphorvalve.response_stream"
"""Response extension with the ``_ResponseStream``."""
_EXTRA_BYTES = "bytes behind a complete response"
_JOINED_HEADS = "the head of the response contains the status line of another"
_VALID_STATUSES = range(100, 600)
"""Statuses of HTTP (RFC 9110, 15)."""
KEEPALIVE_TIMEOUT_S = 4.0
"""How long an idle connection is kept; below the 5 s after which common servers close it."""
MAX_KEEPALIVE_COUNT = 256
"""Most idle connections kept for each origin."""
POOL_IDLE_TIMEOUT_S = 60.0
"""Idle time after which a pool is closed. It is longer than idle connections are kept, so that
closing a pool drops no reusable connection."""


class _Origin(NamedTuple):
    """Key of a connection pool."""

    scheme: str
    authority: bytes
    """Host and port."""
    fresh: bool


class _Pool:
    """
    Connections to one origin.

    Origins do not share a pool, because httpcore scans all connections of a pool whenever a request
    starts or ends.
    """

    def __init__(
        self, origin: _Origin, unacknowledged_timeout_s: float | None, keepalive_s: float
    ) -> None:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=0 if origin.fresh else MAX_KEEPALIVE_COUNT,
            keepalive_expiry=keepalive_s,
        )
        encrypted = origin.scheme == "https"
        self.transport = httpx.AsyncHTTPTransport(
            # Loading the CA certificates takes time and memory; plaintext connections need none.
            verify=ssl.create_default_context() if encrypted else _EMPTY_TLS_CONTEXT,
            limits=limits,
            retries=0,
            trust_env=False,
            socket_options=_socket_options(unacknowledged_timeout_s),
        )
        self._httpcore_pool: httpcore.AsyncConnectionPool = self.transport._pool
        if not encrypted:
            # httpx has no parameter for the network backend.
            self._httpcore_pool._network_backend = Backend()
        self.last_used_s = time.monotonic()

    def is_idle(self, now_s: float) -> bool:
        """:return: whether no request uses the pool or has used it recently"""
        if now_s - self.last_used_s < POOL_IDLE_TIMEOUT_S:
            return False
        return all(conn.is_idle() or conn.is_closed() for conn in self._httpcore_pool.connections)


class _ResponseStream(httpx.AsyncByteStream):
    """Body of a response, whose end decides whether its connection is reused."""

    def __init__(
        self,
        response: httpx.Response,
        on_stray: Callable[[str], None],
        on_idle_end: Callable[[], None],
    ) -> None:
        self.names_request = False
        """Whether the response is known to be the one to its request."""
        self.on_stray = on_stray
        """Called with the reason when bytes arrive that belong to no request."""
        self._on_idle_end = on_idle_end
        self._stream = response.stream
        self._framing = framing(response)
        self._are_events = is_event_stream(response)
        self._network_stream: httpcore.AsyncNetworkStream = response.extensions["network_stream"]
        connection: httpcore.AsyncHTTP11Connection = (
            response.stream._httpcore_stream._stream._connection  # type: ignore[union-attr]
        )
        # Counted for all network backends, that of encrypted connections included.
        response.extensions[EARLIER_RESPONSES_COUNT] = connection._request_count - 1
        # httpcore looks for unsolicited bytes in the network stream only, not in its parser.
        self._parser: h11.Connection = connection._h11_state

    def __aiter__(self) -> AsyncIterator[bytes]:
        chunks = self._stream.__aiter__()  # type: ignore[union-attr]
        match self._framing:
            case Framing.CLOSE:
                return self._reporting(without_second_response(chunks, are_events=self._are_events))
            case Framing.LENGTH:
                return self._reporting(without_restarted_response(chunks, self._bytes_behind))
            case Framing.CHUNKS:
                # The bytes that complete a chunk are followed by the end of a line.
                return chunks

    def _bytes_behind(self) -> bytes:
        return self._parser.trailing_data[0]

    async def _reporting(self, chunks: AsyncGenerator[bytes, None]) -> AsyncIterator[bytes]:
        try:
            async for chunk in chunks:
                yield chunk
        except SecondResponseError as error:
            self.on_stray(str(error))
            raise

    async def aclose(self) -> None:
        try:
            if not self._is_reusable():
                await self._network_stream.aclose()
        finally:
            await self._stream.aclose()  # type: ignore[union-attr]

    def _is_reusable(self) -> bool:
        if self._parser.their_state not in (h11.DONE, h11.MUST_CLOSE):
            return False
        if self._bytes_behind():
            self.on_stray(_EXTRA_BYTES)
            return False
        match self._network_stream:
            case Stream() as stream:
                # A response may announce that its connection is closed.
                keeps = self._parser.their_state is h11.DONE
                stream.start_idle(
                    partial(self.on_stray, _EXTRA_BYTES), self._on_idle_end if keeps else None
                )
        return self.names_request


class _Transport(httpx.AsyncBaseTransport):
    """Keeps up to two pools per origin: one with keep-alive, one for single-use connections."""

    def __init__(
        self,
        unacknowledged_timeout_s: float | None,
        keepalive_s: float,
        on_idle_end: Callable[[str], None],
    ) -> None:
        self._on_idle_end = on_idle_end
        self._unacknowledged_timeout_s = unacknowledged_timeout_s
        self._keepalive_s = keepalive_s
        self._pools: dict[_Origin, _Pool] = {}
        self._single_use = SingleUseOrigins()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        base_url = f"{request.url.scheme}://{request.url.netloc.decode()}"
        fresh = bool(request.extensions.get(FRESH_CONNECTION)) or base_url in self._single_use
        origin = _Origin(request.url.scheme, request.url.netloc, fresh)
        pool = self._pools.get(origin)
        if pool is None:
            idle_pools = self._remove_idle(time.monotonic())
            pool = _Pool(origin, self._unacknowledged_timeout_s, self._keepalive_s)
            self._pools[origin] = pool
            for idle_pool in idle_pools:
                await idle_pool.transport.aclose()
        pool.last_used_s = time.monotonic()
        response = await pool.transport.handle_async_request(request)
        match response.extensions["network_stream"]:
            case Stream() as stream:
                stream.start_body()
        response.request = request
        response.stream = _ResponseStream(
            response,
            partial(self._single_use.add, base_url),
            partial(self._on_idle_end, base_url),
        )
        response.extensions[_RESPONSE_STREAM] = response.stream
        if has_joined_heads(response):
            self._single_use.add(base_url, _JOINED_HEADS)
            await response.aclose()
            raise httpx.RemoteProtocolError(_JOINED_HEADS, request=request)
        if response.status_code not in _VALID_STATUSES:
            await response.aclose()
            raise httpx.RemoteProtocolError(
                f"status {response.status_code} is none of HTTP", request=request
            )
        return response

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.transport.aclose()
        self._pools.clear()

    def _remove_idle(self, now_s: float) -> list[_Pool]:
        """
        Remove pools that are idle because their upstreams are gone.

        Runs when a pool is added, which is often enough: as many upstreams appear as disappear.

        :return: the pools, which no request can take any more; the caller closes them
        """
        idle_origins = [origin for origin, pool in self._pools.items() if pool.is_idle(now_s)]
        return [self._pools.pop(origin) for origin in idle_origins]


def keep_connection(response: httpx.Response) -> None:
    """
    Let other requests use the connection of a response once the response is complete.

    To be called when the response names its request. A response that doesn't may be an earlier one,
    whose place that of the current request takes later; its connection is closed.

    :param response: response that names the request it was received for
    """
    match response.extensions.get(_RESPONSE_STREAM):
        case _ResponseStream() as stream:
            stream.names_request = True


def report_other_response(response: httpx.Response, reason: str) -> None:
    """
    Let connections to an origin carry one request each for a time.

    :param response: response that is not the one to its request
    :param reason: how that was seen
    """
    match response.extensions.get(_RESPONSE_STREAM):
        case _ResponseStream() as stream:
            stream.on_stray(reason)


_EMPTY_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def _socket_options(unacknowledged_timeout_s: float | None) -> list[tuple[int, int, int]]:
    if unacknowledged_timeout_s is None:
        return []
    # Without this timeout the kernel keeps trying to deliver data written before a close.
    timeout_ms = int(unacknowledged_timeout_s * 1000)
    return [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)]


class UpstreamClient(httpx.AsyncClient):
    """HTTP client whose users share one limit on the responses in memory."""

    def __init__(self, transport: httpx.AsyncBaseTransport) -> None:
        """
        Create a client that follows no redirects and ignores proxy settings of the environment.

        :param transport: opens the connections
        """
        super().__init__(
            transport=transport, trust_env=False, headers={"Accept-Encoding": "identity"}
        )
        self.responses = ResponseBudget()
        self._routed_transport = transport

    async def send_routed(self, request: httpx.Request) -> httpx.Response:
        """
        Send a request and receive the head of its response.

        Does without the cookies, authentication and redirects of ``send``: routed calls use none.

        :param request: the request, with its timeouts
        :return: the response, which the caller closes
        :raises httpx.HTTPError: no usable response started
        """
        return await self._routed_transport.handle_async_request(request)


def create_client(
    unacknowledged_timeout_s: float | None = None,
    *,
    keepalive_s: float = KEEPALIVE_TIMEOUT_S,
    on_idle_end: Callable[[str], None] = lambda base_url: None,
) -> UpstreamClient:
    """
    Create the client that ``open_attempt`` and the readers of reports use.

    :param unacknowledged_timeout_s: longest time that written bytes may stay unacknowledged
        (``TCP_USER_TIMEOUT``); set for clients that send orders
    :param keepalive_s: how long an idle connection is kept
    :param on_idle_end: called with scheme, host and port when the other side ends an idle
        connection that it had not announced to close
    :return: the client
    """
    return UpstreamClient(_Transport(unacknowledged_timeout_s, keepalive_s, on_idle_end))


__all__ = [
    "EARLIER_RESPONSES_COUNT",
    "FRESH_CONNECTION",
    "UpstreamClient",
    "create_client",
    "keep_connection",
    "report_other_response",
]
