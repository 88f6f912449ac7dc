"""ASGI application that runs every request through the filter chain as a routed call."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.http.bodies import BodyBudget, CallerLimits, RequestBody
from camphorvalve.http.decoding import decode_headers
from camphorvalve.http.sending import PassThroughFormat, respond, send_json_and_close
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Receive, Scope, Send
    from camphorvalve.http.connections import ConnectionTracker
    from camphorvalve.model.requests import Request
    from camphorvalve.sharing.memory import MemoryAccount

    DecodeRequest = Callable[[Scope], Request]
    """Decodes the head of a request; raises ``RequestError`` if it is invalid."""


class RoutedApp:
    """The ASGI application of a caller port whose requests are routed by the manifest."""

    def __init__(
        self,
        handler: Handler,
        decode: DecodeRequest,
        *,
        request_id_header: str,
        connections: ConnectionTracker,
        is_overloaded: Callable[[], bool] = lambda: False,
        on_refused: Callable[[Request], None] = lambda request: None,
        check_load: Callable[[Request], None] = lambda request: None,
        limits: CallerLimits = CallerLimits(),  # noqa: B008 -- immutable
        account: MemoryAccount | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Create the application.

        :param handler: the filter chain
        :param decode: decodes the head of a request
        :param request_id_header: name of the header with the request id
        :param connections: counts the connections of callers
        :param is_overloaded: tells whether processor time is short and new connections may be
            refused; a refused request then also closes its connection, since a retry on a new
            connection is cheaper to refuse
        :param on_refused: called with each request that is refused before the filter chain
            because request bodies take too much memory
        :param check_load: called with each request on a connection that has carried others; raises
            ``RequestError`` if processor time is too short for it
        :param limits: limits on request bodies
        :param account: memory of the process for bodies; without one, the port has its own
        :param clock: returns the monotonic time
        """
        self._handler = handler
        self._decode = decode
        self._request_id_header = request_id_header
        self._connections = connections
        self._is_overloaded = is_overloaded
        self._on_refused = on_refused
        self._check_load = check_load
        self._body_budget = BodyBudget(limits, account)
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """
        Serve one request.

        :param scope: ASGI scope of the request
        :param receive: ASGI receive function
        :param send: ASGI send function
        """
        received_s = self._clock()
        has_carried = self._connections.record_request(scope["client"], received_s)
        body: RequestBody | None = None
        request: Request | None = None
        try:
            headers = decode_headers(scope["headers"])
            _check_framing(scope, headers)
            request = self._decode(scope)
            if has_carried:
                # New connections were checked before their first request was parsed.
                self._check_load(request)
            body = RequestBody(self._body_budget, headers)
            content = await body.read(receive)
            if content is None:
                return
            exchange = Exchange(request._replace(body=content), received_s)
            close_connection = self._is_overloaded() or self._connections.exceeds_limit(received_s)
            response_format = PassThroughFormat(self._request_id_header, close_connection)
            await respond(self._handler, exchange, response_format, receive, send)
        except RequestError as error:
            if request is not None and error.code == "queue_full":
                self._on_refused(request)
            await self._send_error(error, request, receive, send)
        finally:
            if body is not None:
                body.release()

    async def _send_error(
        self, error: RequestError, request: Request | None, receive: Receive, send: Send
    ) -> None:
        request_id = None if request is None else request.request_id
        headers = [] if request_id is None else [(self._request_id_header, request_id)]
        if error.retry_after_s is not None:
            headers.append(("retry-after", f"{error.retry_after_s:.3f}"))
        await send_json_and_close(receive, send, error.status, error.body(request_id), headers)


def _check_framing(scope: Scope, headers: dict[str, str]) -> None:
    if scope["http_version"] != "1.1":
        # A response over HTTP/1.0 ends when the connection closes, so a truncated one would look
        # complete.
        raise RequestError("bad_body", "HTTP/1.1 is required")
    if "transfer-encoding" in headers and "content-length" in headers:
        # Request smuggling: servers that disagree on which header applies parse different requests
        # from the same bytes.
        raise RequestError(
            "bad_body", "Transfer-Encoding and Content-Length are not allowed together"
        )


__all__ = ["RoutedApp"]
