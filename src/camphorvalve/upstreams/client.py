"""The HTTP client of a process: pooled connections, and fresh ones on request."""

from __future__ import annotations

import socket
import ssl

import httpx

FRESH = "camphorvalve.fresh_connection"
"""Request extension that asks for a new connection."""
KEEPALIVE_COUNT = 512
KEEPALIVE_S = 15.0


class _Transport(httpx.AsyncBaseTransport):
    """Chooses between a pool that keeps connections and one that never does."""

    def __init__(self, delivery_limit_s: float | None) -> None:
        verify = ssl.create_default_context()
        pooled = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=KEEPALIVE_COUNT,
            keepalive_expiry=KEEPALIVE_S,
        )
        fresh = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        options = _socket_options(delivery_limit_s)
        self._pooled, self._fresh = (
            httpx.AsyncHTTPTransport(verify=verify, limits=limits, socket_options=options)
            for limits in (pooled, fresh)
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        chosen = self._fresh if request.extensions.get(FRESH) else self._pooled
        return await chosen.handle_async_request(request)

    async def aclose(self) -> None:
        await self._pooled.aclose()
        await self._fresh.aclose()


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
