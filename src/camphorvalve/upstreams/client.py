"""The HTTP client of a process: pooled connections, and fresh ones on request."""

from __future__ import annotations

import socket
import ssl

import httpx

FRESH = "camphorvalve.fresh_connection"
"""Request extension that asks for a new connection."""
KEEPALIVE_S = 4.0
"""Below the 5 s after which common servers close idle connections."""
KEEPALIVE_COUNT = 256


class _Transport(httpx.AsyncBaseTransport):
    """Chooses between a pool that keeps connections and one that never does."""

    def __init__(self, delivery_limit_s: float | None, keepalive_s: float) -> None:
        self._delivery_limit_s = delivery_limit_s
        self._keepalive_s = keepalive_s
        self._pools: dict[tuple[bool, bool], httpx.AsyncHTTPTransport] = {}

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        key = (request.url.scheme == "https", bool(request.extensions.get(FRESH)))
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = self._open_pool(*key)
        return await pool.handle_async_request(request)

    async def aclose(self) -> None:
        for pool in self._pools.values():
            await pool.aclose()
        self._pools.clear()

    def _open_pool(self, encrypted: bool, fresh: bool) -> httpx.AsyncHTTPTransport:
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=0 if fresh else KEEPALIVE_COUNT,
            keepalive_expiry=self._keepalive_s,
        )
        # Loading the certificates takes time and memory that plain connections do not need.
        context = ssl.create_default_context() if encrypted else _NO_CERTIFICATES
        return httpx.AsyncHTTPTransport(
            verify=context,
            limits=limits,
            retries=0,
            trust_env=False,
            socket_options=_socket_options(self._delivery_limit_s),
        )


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
