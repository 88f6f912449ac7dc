"""Sends a request and reads its whole response, within a time and a size."""

from __future__ import annotations

import asyncio
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import httpx
import msgspec

from camphorvalve.upstreams.bodies import BodyTooLongError, read_limited
from camphorvalve.upstreams.client import FRESH_CONNECTION, keep_connection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.client import UpstreamClient


T = TypeVar("T")


class DocumentError(Exception):
    """A document could not be read; the message names the upstream and the cause."""


class FetchLimits(NamedTuple):
    """Limits on one response."""

    timeout_s: float
    """Time for the whole exchange; timeouts of ``httpx`` start anew with each byte."""
    body_bytes: int
    """Longest body."""


class FetchedResponse(NamedTuple):
    """A complete response."""

    status_code: int
    content: bytes

    @property
    def text(self) -> str:
        """:return: the body as text; invalid UTF-8 is replaced"""
        return self.content.decode("utf-8", "replace")


async def fetch(
    client: UpstreamClient,
    method: str,
    url: str,
    limits: FetchLimits,
    extensions: Mapping[str, Any] = MappingProxyType({}),
    **fields: Any,
) -> FetchedResponse:
    """
    Send a request and read the whole response, on a new connection unless the extensions say else.

    The response names no request. On a connection that carried others, a second copy of theirs
    could be taken for it.

    :param client: HTTP client
    :param method: method of the request
    :param url: where to send it
    :param limits: time and size
    :param extensions: extensions of the request
    :param fields: further fields of the request, as of ``httpx.AsyncClient.build_request``
    :return: the response, of any status
    :raises httpx.HTTPError: no response, or one that is too late, too long or compressed
    """
    request = client.build_request(
        method,
        url,
        timeout=limits.timeout_s,
        extensions={FRESH_CONNECTION: True, **extensions},
        **fields,
    )
    try:
        async with asyncio.timeout(limits.timeout_s):
            response = await client.send(request, stream=True)
            if not request.extensions[FRESH_CONNECTION]:
                keep_connection(response)
            try:
                content = await _read(client, response, limits.body_bytes)
            finally:
                await response.aclose()
    except TimeoutError:
        cause = f"the response was not complete within {limits.timeout_s:g} s"
        raise httpx.ReadTimeout(cause, request=request) from None
    return FetchedResponse(response.status_code, content)


async def fetch_ok(client: UpstreamClient, url: str, limits: FetchLimits, **fields: Any) -> bytes:
    """
    Send a GET request whose response has to be successful.

    :param client: HTTP client
    :param url: where to send it
    :param limits: time and size
    :param fields: further fields of the request, as of ``httpx.AsyncClient.build_request``
    :return: the body
    :raises httpx.HTTPError: as of ``fetch``, or another status
    """
    response = await fetch(client, "GET", url, limits, **fields)
    if not 200 <= response.status_code < 300:
        raise httpx.RemoteProtocolError(f"status {response.status_code}")
    return response.content


async def fetch_document(
    client: UpstreamClient,
    upstream: Upstream,
    path: str,
    limits: FetchLimits,
    document_type: type[T],
) -> T:
    """
    Read a JSON document of an upstream.

    :param client: HTTP client
    :param upstream: the upstream
    :param path: path and query below the upstream's address
    :param limits: time and size
    :param document_type: what the document has to be
    :return: the document
    :raises DocumentError: no response, or an invalid one
    """
    try:
        content = await fetch_ok(client, f"{upstream.url.rstrip('/')}{path}", limits)
        return msgspec.json.decode(content, type=document_type)
    except (httpx.HTTPError, msgspec.MsgspecError) as error:
        cause = f"{type(error).__name__}: {error}"
        raise DocumentError(f"upstream {upstream.upstream_id!r}: {cause}") from error


async def _read(client: UpstreamClient, response: httpx.Response, limit_bytes: int) -> bytes:
    if response.headers.get("content-encoding", "identity") != "identity":
        # Decompression has no limit, and nothing asked for it.
        raise httpx.DecodingError("the body is compressed")
    try:
        with client.responses.reserve(response) as reservation:
            return await read_limited(response, reservation, limit_bytes)
    except BodyTooLongError as error:
        raise httpx.RemoteProtocolError(str(error)) from error


__all__ = ["DocumentError", "FetchLimits", "FetchedResponse", "fetch", "fetch_document", "fetch_ok"]
