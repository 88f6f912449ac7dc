"""Decodes the HTTP requests of callers without any I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import unquote

from camphorvalve.http.asgi import bearer_token
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Call, Completion, Request, ServiceCall

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_IDEMPOTENCY_KEY_CHARS = 200
"""Idempotency keys are stored in every replicated record, so their length is limited."""


@dataclass(frozen=True, slots=True)
class GetAddresses:
    """A caller asks for the addresses of routers."""


@dataclass(frozen=True, slots=True)
class GetDeferred:
    """A caller asks for the state of deferred work."""

    work_id: str


@dataclass(frozen=True, slots=True)
class GetHealth:
    """A health check asks whether the router accepts callers."""


@dataclass(frozen=True, slots=True)
class RunCall:
    """A caller sends a call that is run through the filter chain."""

    call: Call
    pool: str | None


Route = GetAddresses | GetDeferred | GetHealth | RunCall


def find_route(method: str, target: str) -> Route:
    """
    Match method and path of a request to a route.

    :param method: HTTP method
    :param target: path and query string as sent, still percent-encoded
    :return: the route
    :raises RequestError: ``not_found`` if no route matches
    """
    path, _, _ = target.partition("?")
    match [method, *path.split("/")[1:]]:
        case ["POST", "v1", "completions"]:
            return RunCall(Completion(streamed=False), None)
        case [_, "v1", "services", pool, _, *_] if pool:
            rest = target.split("/", 4)[4]
            return RunCall(ServiceCall(method, f"/{rest}"), unquote(pool))
        case ["GET", "v1", "addresses"]:
            return GetAddresses()
        case ["GET", "v1", "deferred", work_id] if work_id:
            return GetDeferred(unquote(work_id))
        case ["GET", "healthz"]:
            return GetHealth()
    raise RequestError("not_found", f"{method} {path}: no such method and path")


def decode_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """
    Decode raw headers; the last of several headers with the same name is used.

    :param headers: names and values
    :return: values by lower-case name
    """
    return {
        name.decode("latin-1").lower(): value.decode("latin-1").strip() for name, value in headers
    }


def decode_request(route: RunCall, headers: Mapping[str, str], request_id: str) -> Request:
    """
    Build the request of a call from its headers, with an empty body.

    :param route: the route of the call
    :param headers: headers by lower-case name
    :param request_id: id of the request
    :return: the request
    :raises RequestError: ``bad_body`` if a header is invalid; the message names the header
    """
    return Request(
        request_id=request_id,
        call=route.call,
        pool=route.pool,
        body=b"",
        content_type=headers.get("content-type", "application/octet-stream"),
        token=bearer_token(headers.get("authorization", "")),
        team=headers.get("x-team") or None,
        kind=headers.get("x-kind") or None,
        idempotency_key=_parse_idempotency_key(headers),
        deferred=_parse_flag(headers, "X-Deferred"),
        cost_hint_units=_parse_cost_hint(headers),
    )


def _parse_idempotency_key(headers: Mapping[str, str]) -> str | None:
    key = headers.get("idempotency-key")
    if key is None:
        return None
    if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
        raise RequestError(
            "bad_body",
            f"header Idempotency-Key: expected 1 to {MAX_IDEMPOTENCY_KEY_CHARS} characters",
        )
    return key


def _parse_flag(headers: Mapping[str, str], name: str) -> bool:
    value = headers.get(name.lower(), "false")
    match value.lower():
        case "true":
            return True
        case "false":
            return False
    raise RequestError("bad_body", f"header {name}: expected true or false, got {value!r}")


def _parse_cost_hint(headers: Mapping[str, str]) -> float | None:
    value = headers.get("x-cost-hint")
    if value is None:
        return None
    try:
        units = float(value)
    except ValueError:
        units = math.nan
    if not 0 <= units < math.inf:
        raise RequestError(
            "bad_body", f"header X-Cost-Hint: expected a number of units, got {value!r}"
        )
    return units


__all__ = [
    "GetAddresses",
    "GetDeferred",
    "GetHealth",
    "Route",
    "RunCall",
    "decode_headers",
    "decode_request",
    "find_route",
]
