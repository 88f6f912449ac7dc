"""Filter that determines a request's kind of work, and with it its parameters and pool."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, Annotated, NotRequired, TypedDict

import msgspec

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion, ServiceCall
from camphorvalve.model.upstreams import ModelEngine, PlainService
from camphorvalve.upstreams.reports import PREFIX_BLOCK_CHARACTERS, prefix_keys

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from camphorvalve.filters.chain import Filter, Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange, Request
    from camphorvalve.model.teams import KindParameters, TeamParameters
    from camphorvalve.model.upstreams import UpstreamInterface

    InterfaceOf = Callable[[str], UpstreamInterface | None]


class CompletionBody(TypedDict):
    """Fields of a completion body that the router reads; others are forwarded unchecked."""

    model: Annotated[str, msgspec.Meta(min_length=1)]
    prompt: str
    max_tokens: NotRequired[Annotated[int, msgspec.Meta(ge=1)]]
    stream: NotRequired[bool]
    kind: NotRequired[str | None]


_completion_decoder = msgspec.json.Decoder(CompletionBody)


def classify(interface_of: InterfaceOf) -> Filter:
    """
    Build the filter.

    :param interface_of: looks up the interface of a pool's upstreams, ``None`` if it has none
    :return: the filter
    """

    async def filter_(exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        request = _decode_call(exchange)
        kind = _determine_kind(request, exchange.team, interface_of)
        exchange.kind = kind
        exchange.parameters = exchange.team.kinds[kind]
        exchange.request = request._replace(pool=exchange.parameters.pool)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    return filter_


def _decode_call(exchange: Exchange) -> Request:
    request = exchange.request
    match request.call:
        case Completion():
            body = _decode_completion(request.body)
            streamed = body.get("stream", False)
            if streamed and request.deferred:
                raise RequestError("bad_body", "body field stream: must be false with X-Deferred")
            exchange.prefix = next(prefix_keys(body["prompt"][:PREFIX_BLOCK_CHARACTERS]), None)
            kind = request.kind or body.get("kind") or None
            return request._replace(call=Completion(streamed), kind=kind)
        case ServiceCall():
            return request


def _decode_completion(content: bytes) -> CompletionBody:
    try:
        return _completion_decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RequestError("bad_body", f"body: {error}") from error


def _determine_kind(request: Request, team: TeamParameters, interface_of: InterfaceOf) -> str:
    usable = _usable_kinds(request, team, interface_of)
    if request.kind is None:
        if len(usable) == 1:
            return next(iter(usable))
        message = f"header X-Kind is required; kinds of team {team.name!r} for this call:"
        raise RequestError("unknown_kind", f"{message} {_join_names(usable)}")
    if request.kind not in usable:
        message = f"team {team.name!r} has no kind {request.kind!r} for this call; known:"
        raise RequestError("unknown_kind", f"{message} {_join_names(usable)}")
    return request.kind


def _usable_kinds(
    request: Request, team: TeamParameters, interface_of: InterfaceOf
) -> dict[str, KindParameters]:
    match request.call:
        case Completion():
            return {
                name: kind
                for name, kind in team.kinds.items()
                if not isinstance(interface_of(kind.pool), PlainService)
            }
        case ServiceCall():
            pool = request.pool
            if isinstance(interface_of(pool), ModelEngine):
                message = f"pool {pool!r} serves models, use POST /v1/completions"
                raise RequestError("unknown_pool", message)
            usable = {name: kind for name, kind in team.kinds.items() if kind.pool == pool}
            if not usable:
                pools = _join_names({kind.pool for kind in team.kinds.values()})
                message = f"team {team.name!r} has no kind of work for pool {pool!r}, only for"
                raise RequestError("unknown_pool", f"{message} {pools}")
            return usable


def _join_names(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "none"


__all__ = ["CompletionBody", "classify"]
