"""The HTTP client of a process: pooled connections, and fresh ones on request."""

from __future__ import annotations

import socket
import ssl
from typing import TYPE_CHECKING, NamedTuple, cast

import httpcore
import httpx

from camphorvalve.upstreams.sockets import LoopBackend

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

FRESH = "camphorvalve.fresh_connection"
"""Request extension that asks for a new connection."""
KEEPALIVE_S = 4.0
"""Below the 5 s after which common servers close idle connections."""
KEEPALIVE_COUNT = 64
POOLS_COUNT = 512
"""Pools of unused upstreams are closed beyond this number."""


class _Place(NamedTuple):
    """What the connections of one pool have in common."""

    scheme: bytes
    host: bytes
    port: int | None
    fresh: bool


class _Transport(httpx.AsyncBaseTransport):
    """Keeps one pool per upstream, as httpcore searches a whole pool for each request."""

    def __init__(self, delivery_limit_s: float | None) -> None:
        self._tls: ssl.SSLContext | None = None
        self._socket_options = _socket_options(delivery_limit_s)
        self._pools: dict[_Place, httpcore.AsyncConnectionPool] = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        url = request.url
        fresh = bool(request.extensions.get(FRESH))
        if len(self._pools) > POOLS_COUNT:
            await self._drop_unused()
        pool = self._pool(_Place(url.raw_scheme, url.raw_host, url.port, fresh))
        forwarded = httpcore.Request(
            method=request.method,
            url=httpcore.URL(
                scheme=url.raw_scheme, host=url.raw_host, port=url.port, target=url.raw_path
            ),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        try:
            response = await pool.handle_async_request(forwarded)
        except _CORE_ERRORS as error:
            raise _translated(error) from error
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_Stream(cast("httpx.AsyncByteStream", response.stream)),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    def _pool(self, place: _Place) -> httpcore.AsyncConnectionPool:
        pool = self._pools.pop(place, None)
        if pool is None:
            encrypted = place.scheme == b"https"
            # Loading the certificates takes time and memory that plain connections do not need.
            if encrypted and self._tls is None:
                self._tls = ssl.create_default_context()
            pool = httpcore.AsyncConnectionPool(
                ssl_context=self._tls,
                max_connections=None,
                max_keepalive_connections=0 if place.fresh else KEEPALIVE_COUNT,
                keepalive_expiry=KEEPALIVE_S,
                retries=0,
                socket_options=self._socket_options,
                network_backend=None if encrypted else LoopBackend(),
            )
        # Kept in order of use, so that the first ones are the longest unused.
        self._pools[place] = pool
        return pool

    async def _drop_unused(self) -> None:
        unused = [
            place
            for place, pool in self._pools.items()
            if all(connection.is_idle() for connection in pool.connections)
        ]
        for place in unused[: len(unused) // 2]:
            await self._pools.pop(place).aclose()


class _Stream(httpx.AsyncByteStream):
    """Body of a response with httpx's errors."""

    def __init__(self, inner: httpx.AsyncByteStream) -> None:
        self._inner = inner

    async def __aiter__(self) -> AsyncIterator[bytes]:
        try:
            async for piece in self._inner:
                yield piece
        except _CORE_ERRORS as error:
            raise _translated(error) from error

    async def aclose(self) -> None:
        await self._inner.aclose()


_CORE_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)


def _translated(error: Exception) -> httpx.TransportError:
    """Give the error of the same name in httpx."""
    kind = getattr(httpx, type(error).__name__, httpx.TransportError)
    return kind(str(error))


def _socket_options(delivery_limit_s: float | None) -> list[tuple[int, int, int]]:
    if delivery_limit_s is None:
        return []
    # Without this limit the kernel goes on to deliver what was written before a close.
    limit_ms = int(delivery_limit_s * 1000)
    return [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)]


def create_client(delivery_limit_s: float | None = None) -> httpx.AsyncClient:
    """
    Create the client that ``open_attempt`` and the readers of reports use.

    :param delivery_limit_s: longest time that written bytes may stay undelivered; for orders
    :return: a client that follows no redirects and reads no proxy settings
    """
    return httpx.AsyncClient(
        transport=_Transport(delivery_limit_s),
        trust_env=False,
        headers={"Accept-Encoding": "identity"},
    )


__all__ = ["FRESH", "create_client"]
