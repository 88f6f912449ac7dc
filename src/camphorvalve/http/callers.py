"""ASGI application of the caller port, which runs requests through the filter chain."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING, Any, NamedTuple

from camphorvalve.http.asgi import bearer_token, send_json
from camphorvalve.http.bodies import BodyBudget, CallerLimits, RequestBody
from camphorvalve.http.decoding import (
    GetAddresses,
    GetDeferred,
    GetHealth,
    RunCall,
    decode_headers,
    decode_request,
    find_route,
)
from camphorvalve.http.sending import (
    CallerPortFormat,
    error_headers,
    respond,
    send_json_and_close,
)
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Receive, Scope, Send


class JsonResponse(NamedTuple):
    """Status and JSON body of a response that is made outside the filter chain."""

    status: int
    body: Any


class Lookups(NamedTuple):
    """Handlers of the endpoints that bypass the filter chain."""

    addresses: Callable[[], JsonResponse]
    deferred: Callable[[str, str], Awaitable[JsonResponse]]
    """Takes the id of the deferred work and the caller's token; raises ``RequestError``."""
    health: Callable[[], JsonResponse]


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
        Create the application.

        :param handler: the filter chain
        :param lookups: handlers of the endpoints that bypass the chain
        :param host_id: id of this router, sent as ``X-Served-By``
        :param limits: limits on request bodies
        :param clock: returns the monotonic time
        """
        self._handler = handler
        self._lookups = lookups
        self._host_id = host_id
        self._body_budget = BodyBudget(limits)
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """
        Serve one request.

        :param scope: ASGI scope of the request
        :param receive: ASGI receive function
        :param send: ASGI send function
        """
        headers = decode_headers(scope["headers"])
        request_id = uuid.uuid4().hex
        try:
            route = find_route(scope["method"], request_target(scope))
            if isinstance(route, RunCall):
                await self._run_call(scope, route, headers, request_id, receive, send)
                return
            response = await self._look_up(route, headers)
        except RequestError as error:
            response = JsonResponse(error.status, error.body(request_id))
            await self._send(response, headers, receive, send, error_headers(error, request_id))
        else:
            await self._send(response, headers, receive, send, ())

    async def _look_up(
        self, route: GetAddresses | GetDeferred | GetHealth, headers: Mapping[str, str]
    ) -> JsonResponse:
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
        response: JsonResponse,
        request_headers: Mapping[str, str],
        receive: Receive,
        send: Send,
        response_headers: tuple[tuple[str, str], ...],
    ) -> None:
        if (
            "transfer-encoding" in request_headers
            or request_headers.get("content-length", "0") != "0"
        ):
            await send_json_and_close(
                receive, send, response.status, response.body, response_headers
            )
            return
        await send_json(send, response.status, response.body, response_headers)

    async def _run_call(
        self,
        scope: Scope,
        route: RunCall,
        headers: Mapping[str, str],
        request_id: str,
        receive: Receive,
        send: Send,
    ) -> None:
        # HTTP/1.0 ends a body by closing the connection, and hypercorn does not reset an aborted
        # HTTP/2 stream, so a truncated response would look complete.
        if scope["http_version"] != "1.1":
            raise RequestError("bad_body", "HTTP/1.1 is required")
        request = decode_request(route, headers, request_id)
        body = RequestBody(self._body_budget, headers)
        try:
            content = await body.read(receive)
            if content is None:
                return
            exchange = Exchange(request._replace(body=content), self._clock())
            await respond(self._handler, exchange, CallerPortFormat(self._host_id), receive, send)
        finally:
            body.release()


def request_target(scope: Scope) -> str:
    """
    Return the request target, with path and query string encoded as the caller sent them.

    :param scope: ASGI scope
    :return: path, and query string if there is one
    """
    path = scope["raw_path"].decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


__all__ = ["CallerApp", "JsonResponse", "Lookups", "request_target"]
