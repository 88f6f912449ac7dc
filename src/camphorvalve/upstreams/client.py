"""The HTTP client of a process: pooled connections, and fresh ones on request."""

from __future__ import annotations

import ssl

import httpx

FRESH = "camphorvalve.fresh_connection"
"""Request extension that asks for a new connection."""
KEEPALIVE_COUNT = 512
KEEPALIVE_S = 15.0


class _Transport(httpx.AsyncBaseTransport):
    """Chooses between a pool that keeps connections and one that never does."""

    def __init__(self) -> None:
        verify = ssl.create_default_context()
        pooled = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=KEEPALIVE_COUNT,
            keepalive_expiry=KEEPALIVE_S,
        )
        fresh = httpx.Limits(max_connections=None, max_keepalive_connections=0)
        self._pooled = httpx.AsyncHTTPTransport(verify=verify, limits=pooled, retries=0)
        self._fresh = httpx.AsyncHTTPTransport(verify=verify, limits=fresh, retries=0)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        chosen = self._fresh if request.extensions.get(FRESH) else self._pooled
        return await chosen.handle_async_request(request)

    async def aclose(self) -> None:
        await self._pooled.aclose()
        await self._fresh.aclose()


def create_client() -> httpx.AsyncClient:
    """
    Create the client that ``open_attempt`` and the readers of reports use.

    :return: a client that follows no redirects and reads no proxy settings
    """
    return httpx.AsyncClient(
        transport=_Transport(), trust_env=False, headers={"Accept-Encoding": "identity"}
    )


__all__ = ["FRESH", "create_client"]
