"""ASGI application that passes every request into the filter chain as a routed call."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.http.bodies import BodyStore, CallerLimits, RequestBody
from camphorvalve.http.decoding import decode_headers
from camphorvalve.http.sending import PassedForm, answer, send_json_unread
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.filters.chain import Handler
    from camphorvalve.http.asgi import Receive, Scope, Send
    from camphorvalve.http.connections import Connections
    from camphorvalve.model.requests import Request

    DecodeRequest = Callable[[Scope], Request]
    """Takes the head of a request; raises ``RequestError``."""


class RoutedApp:
    """The ASGI application of a port whose requests are routed by the manifest."""

    def __init__(
        self,
        handler: Handler,
        decode: DecodeRequest,
        *,
        request_id_name: str,
        connections: Connections,
        is_short: Callable[[], bool] = lambda: False,
        on_turned_away: Callable[[Request], None] = lambda request: None,
        limits: CallerLimits = CallerLimits(),  # noqa: B008 -- immutable
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """
        Prepare the application.

        :param handler: the filter chain
        :param decode: reads the head of a request
        :param request_id_name: header that carries the id of a request
        :param connections: counts those of the callers
        :param is_short: whether new connections are refused at present; refused requests close
            theirs then, so that callers who come back are decided about at less cost
        :param on_turned_away: takes each request that is refused before the chain for want of room
        :param limits: bounds on bodies
        :param clock: monotonic time
        """
        self._handler = handler
        self._decode = decode
        self._request_id_name = request_id_name
        self._connections = connections
        self._is_short = is_short
        self._on_turned_away = on_turned_away
        self._bodies = BodyStore(limits)
        self._clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """
        Serve one request.

        :param scope: the request's head
        :param receive: yields its body and the disconnect
        :param send: takes the answer
        """
        received_s = self._clock()
        self._connections.note(scope["client"], received_s)
        body: RequestBody | None = None
        request: Request | None = None
        try:
            headers = decode_headers(scope["headers"])
            _check_framing(scope, headers)
            request = self._decode(scope)
            body = RequestBody(self._bodies, headers)
            content = await body.read(receive)
            if content is None:
                return
            exchange = Exchange(request._replace(body=content), received_s)
            closes = self._is_short() or self._connections.crowded(received_s)
            form = PassedForm(self._request_id_name, closes)
            await answer(self._handler, exchange, form, receive, send)
        except RequestError as error:
            if request is not None and error.code == "queue_full":
                self._on_turned_away(request)
            await self._refuse(error, request, receive, send)
        finally:
            if body is not None:
                body.release()

    async def _refuse(
        self, error: RequestError, request: Request | None, receive: Receive, send: Send
    ) -> None:
        request_id = None if request is None else request.request_id
        headers = () if request_id is None else ((self._request_id_name, request_id),)
        await send_json_unread(receive, send, error.status, error.body(request_id), headers)


def _check_framing(scope: Scope, headers: dict[str, str]) -> None:
    if scope["http_version"] != "1.1":
        # An answer of HTTP/1.0 ends with its connection, so that a cut one would look whole.
        raise RequestError("bad_body", "HTTP/1.1 is required")
    if "transfer-encoding" in headers and "content-length" in headers:
        # Processes that disagree on which one counts see different requests in the same bytes.
        raise RequestError("bad_body", "Transfer-Encoding and Content-Length exclude each other")


__all__ = ["RoutedApp"]
