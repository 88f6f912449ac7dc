"""ASGI application of the caller port: requests into the filter chain, its parts back."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

from camphorvalve.http.asgi import bearer_token, send_json
from camphorvalve.http.bodies import BodyStore, CallerLimits, RequestBody
from camphorvalve.http.decoding import (
    GetAddresses,
    GetDeferred,
    GetHealth,
    RunCall,
    decode_headers,
    decode_request,
    find_route,
)
from camphorvalve.http.sending import ProductForm, answer, error_headers, send_json_unread
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Receive, Scope, Send


class JsonAnswer(NamedTuple):
    """A whole answer that is no part of the filter chain."""

    status: int
    body: Any


class Lookups(NamedTuple):
    """What the caller port answers without the filter chain."""

    addresses: Callable[[], JsonAnswer]
    deferred: Callable[[str, str], Awaitable[JsonAnswer]]
    """Takes the id of the work and the caller's token; raises ``RequestError``."""
    health: Callable[[], JsonAnswer]


class CallerApp:
    """The ASGI application of the caller port."""

    def __init__(
        self,
        handler: Handler,
        lookups: Lookups,
        *,
        host_id: str,
        limits: CallerLimits = CallerLimits(),  # noqa: B008 -- immutable
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Prepare the application.

        :param handler: the filter chain
        :param lookups: what is answered without the chain
        :param host_id: this router, for ``X-Served-By``
        :param limits: bounds on bodies
        :param clock: monotonic time
        """
        self._handler = handler
        self._lookups = lookups
        self._host_id = host_id
        self._bodies = BodyStore(limits)
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """
        Serve one request.

        :param scope: the request's head
        :param receive: yields its body and the disconnect
        :param send: takes the answer
        """
        headers = decode_headers(scope["headers"])
        request_id = uuid.uuid4().hex
        try:
            route = find_route(scope["method"], target_of(scope))
            if isinstance(route, RunCall):
                await self._run_call(scope, route, headers, request_id, receive, send)
                return
            answer = await self._look_up(route, headers)
        except RequestError as error:
            answer = JsonAnswer(error.status, error.body(request_id))
            await self._send(answer, headers, receive, send, error_headers(error, request_id))
        else:
            await self._send(answer, headers, receive, send, ())

    async def _look_up(
        self, route: GetAddresses | GetDeferred | GetHealth, headers: Mapping[str, str]
    ) -> JsonAnswer:
        match route:
            case GetAddresses():
                return self._lookups.addresses()
            case GetDeferred(work_id):
                token = bearer_token(headers.get("authorization", ""))
                return await self._lookups.deferred(work_id, token)
            case GetHealth():
                return self._lookups.health()

    async def _send(
        self,
        answer: JsonAnswer,
        headers: Mapping[str, str],
        receive: Receive,
        send: Send,
        extra: tuple[tuple[str, str], ...],
    ) -> None:
        if "transfer-encoding" in headers or headers.get("content-length", "0") != "0":
            await send_json_unread(receive, send, answer.status, answer.body, extra)
            return
        await send_json(send, answer.status, answer.body, extra)

    async def _run_call(
        self,
        scope: Scope,
        route: RunCall,
        headers: Mapping[str, str],
        request_id: str,
        receive: Receive,
        send: Send,
    ) -> None:
        # HTTP/1.0 ends a body by closing the connection, and an aborted HTTP/2 stream is not reset
        # by the server library, so a short answer would look like a whole one.
        if scope["http_version"] != "1.1":
            raise RequestError("bad_body", "HTTP/1.1 is required")
        request = decode_request(route, headers, request_id)
        body = RequestBody(self._bodies, headers)
        try:
            content = await body.read(receive)
            if content is None:
                return
            exchange = Exchange(request._replace(body=content), self._clock())
            await answer(self._handler, exchange, ProductForm(self._host_id), receive, send)
        finally:
            body.release()


def target_of(scope: Scope) -> str:
    """
    Read path and query as the caller encoded them.

    :param scope: ASGI scope
    :return: the request target
    """
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


__all__ = ["CallerApp", "JsonAnswer", "Lookups", "target_of"]
