"""Terminal handler: sends the request to the granted upstream and yields its response."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

from camphorvalve.model.requests import Completion
from camphorvalve.upstreams.attempt import open_attempt
from camphorvalve.upstreams.errors import Broken, NotSent, UpstreamError
from camphorvalve.upstreams.options import AttemptOptions, ContinueText, FromStart, ResumeStream

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import httpx

    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange

MAX_RESUMES_COUNT = 2
"""How often an interrupted stream is resumed at the same engine before another continues it."""


class Dispatch:
    """Runs one attempt at the upstream that the grant names."""

    def __init__(self, client: httpx.AsyncClient, membership: MembershipController) -> None:
        """
        Prepare the handler.

        :param client: HTTP client for upstreams
        :param membership: looks up upstreams
        """
        self._client = client
        self._membership = membership

    async def __call__(self, exchange: Exchange) -> AsyncIterator[Part]:
        """
        Send the request and yield the response; resume an interrupted stream at the same engine.

        :param exchange: the request with its grant
        :return: parts of the response; a resumed stream has an additional head
        :raises UpstreamError: the attempt failed
        """
        options = _options(exchange)
        broken: Broken | None = None
        for _ in range(MAX_RESUMES_COUNT + 1):
            try:
                async with aclosing(self._attempt(exchange, options)) as parts:
                    async for part in parts:
                        yield part
                return
            except Broken as error:
                if not _can_resume(exchange, error):
                    raise
                broken = error
                exchange.note(time.monotonic(), f"resuming the stream: {error}")
                start_point = ResumeStream(error.events_count, error.text)
                options = options._replace(start_point=start_point)
            except UpstreamError:
                if broken is None:
                    raise
                break
        assert broken is not None
        raise broken

    def _attempt(self, exchange: Exchange, options: AttemptOptions) -> AsyncIterator[Part]:
        upstream = self._membership.upstream(exchange.upstream_id or "")
        if upstream is None:
            raise NotSent(exchange.upstream_id or "", "it is no longer in the membership feed")
        return open_attempt(self._client, upstream, exchange, exchange.run_attempt, options)


def _options(exchange: Exchange) -> AttemptOptions:
    assert exchange.parameters is not None
    start_point: FromStart | ContinueText = FromStart()
    if exchange.broken is not None:
        start_point = ContinueText(exchange.broken.events_count, exchange.broken.text)
    return AttemptOptions(
        start_point=start_point, fresh_connection=not exchange.parameters.idempotent
    )


def _can_resume(exchange: Exchange, error: Broken) -> bool:
    is_streamed_completion = exchange.request.call == Completion(streamed=True)
    return is_streamed_completion and error.events_count > 0


__all__ = ["MAX_RESUMES_COUNT", "Dispatch"]
