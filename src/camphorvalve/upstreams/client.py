"""The HTTP client of a process: pooled connections, and fresh ones on request."""

from __future__ import annotations

import socket
import ssl
import time
from typing import TYPE_CHECKING, NamedTuple

import httpx

from camphorvalve.upstreams.network import Backend

if TYPE_CHECKING:
    import httpcore

FRESH = "camphorvalve.fresh_connection"
"""Request extension that asks for a new connection."""
KEEPALIVE_S = 4.0
"""Below the 5 s after which common servers close idle connections."""
KEEPALIVE_COUNT = 256
"""Idle connections that are kept to each origin."""
IDLE_POOL_S = 60.0
"""Longer than idle connections are kept, so that nothing is lost with their pool."""


class _Origin(NamedTuple):
    """What one pool of connections is for."""

    scheme: str
    authority: bytes
    """Host and port."""
    fresh: bool


class _Pool:
    """Connections to one origin; httpcore looks at all of a pool's at each start and end."""

    def __init__(self, origin: _Origin, delivery_limit_s: float | None, keepalive_s: float) -> None:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=0 if origin.fresh else KEEPALIVE_COUNT,
            keepalive_expiry=keepalive_s,
        )
        encrypted = origin.scheme == "https"
        self.transport = httpx.AsyncHTTPTransport(
            # Loading the certificates takes time and memory that plain connections do not need.
            verify=ssl.create_default_context() if encrypted else _NO_CERTIFICATES,
            limits=limits,
            retries=0,
            trust_env=False,
            socket_options=_socket_options(delivery_limit_s),
        )
        self._connections: httpcore.AsyncConnectionPool = self.transport._pool
        if not encrypted:
            # httpx has no parameter for it.
            self._connections._network_backend = Backend()
        self.used_s = time.monotonic()

    def is_idle(self, now_s: float) -> bool:
        """:return: whether no request has used it lately, nor does one now"""
        if now_s - self.used_s < IDLE_POOL_S:
            return False
        return all(one.is_idle() or one.is_closed() for one in self._connections.connections)


class _Transport(httpx.AsyncBaseTransport):
    """Keeps one pool of connections for each origin, and one without kept connections."""

    def __init__(self, delivery_limit_s: float | None, keepalive_s: float) -> None:
        self._delivery_limit_s = delivery_limit_s
        self._keepalive_s = keepalive_s
        self._pools: dict[_Origin, _Pool] = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        fresh = bool(request.extensions.get(FRESH))
        origin = _Origin(request.url.scheme, request.url.netloc, fresh)
        pool = self._pools.get(origin)
        if pool is None:
            await self._close_idle(time.monotonic())
            pool = _Pool(origin, self._delivery_limit_s, self._keepalive_s)
            self._pools[origin] = pool
        pool.used_s = time.monotonic()
        return await pool.transport.handle_async_request(request)

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.transport.aclose()
        self._pools.clear()

    async def _close_idle(self, now_s: float) -> None:
        """Close pools of upstreams that are gone; as many come as go."""
        for origin in [one for one, pool in self._pools.items() if pool.is_idle(now_s)]:
            await self._pools.pop(origin).transport.aclose()


_NO_CERTIFICATES = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


def _socket_options(delivery_limit_s: float | None) -> list[tuple[int, int, int]]:
    if delivery_limit_s is None:
        return []
    # Without this limit the kernel goes on to deliver what was written before a close.
    limit_ms = int(delivery_limit_s * 1000)
    return [(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)]


def create_client(
    delivery_limit_s: float | None = None, *, keepalive_s: float = KEEPALIVE_S
) -> httpx.AsyncClient:
    """
    Create the client that ``open_attempt`` and the readers of reports use.

    :param delivery_limit_s: longest time that written bytes may stay undelivered; for orders
    :param keepalive_s: how long an idle connection is kept
    :return: a client that follows no redirects and reads no proxy settings
    """
    return httpx.AsyncClient(
        transport=_Transport(delivery_limit_s, keepalive_s),
        trust_env=False,
        headers={"Accept-Encoding": "identity"},
    )


__all__ = ["FRESH", "create_client"]
