"""Filter that holds requests which reach a router before it can route them."""

from __future__ import annotations

import time
from contextlib import aclosing
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import RoutedCall
from camphorvalve.sharing.startup import Hold, SendBack

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from camphorvalve.filters.chain import Handler
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange
    from camphorvalve.sharing.startup import StartupReturns

_log = structlog.get_logger(__name__)


class StartupFilter:
    """Holds requests until the router has its configuration and its list of upstreams."""

    def __init__(
        self,
        returns: StartupReturns,
        has_manifest: Callable[[], bool],
        has_list: Callable[[], bool],
    ) -> None:
        """
        Prepare the filter.

        :param returns: decides which requests are held
        :param has_manifest: tells whether this router knows its routes
        :param has_list: tells whether it knows the upstreams
        """
        self._returns = returns
        self._has_manifest = has_manifest
        self._has_list = has_list
        self._ready = anyio.Event()

    def update(self) -> None:
        """Let held requests go on if the router can route them now."""
        if not self._ready.is_set() and self._has_manifest() and self._has_list():
            self._ready.set()
            _log.info("router can route requests")

    async def __call__(self, exchange: Exchange, inner: Handler) -> AsyncIterator[Part]:
        """
        Hold a request until it can be routed.

        :param exchange: the request
        :param inner: the rest of the chain
        :return: parts of the response
        :raises RequestError: ``no_quorum`` if the router has no routes, with a time to come back
        """
        if not self._ready.is_set():
            await self._hold(exchange)
        async with aclosing(inner(exchange)) as parts:
            async for part in parts:
                yield part

    async def _hold(self, exchange: Exchange) -> None:
        now_s = time.monotonic()
        decision = self._returns.decide(now_s, _left_s(exchange, now_s))
        match decision:
            case Hold(until_s):
                try:
                    with anyio.move_on_after(until_s - now_s):
                        await self._ready.wait()
                finally:
                    self._returns.release()
                if self._has_manifest():
                    return
                now_s = time.monotonic()
                after_s = self._returns.send_back(now_s, _left_s(exchange, now_s)).after_s
            case SendBack(after_s):
                if self._has_manifest():
                    return
        raise RequestError("no_quorum", "this router has no manifest yet", retry_after_s=after_s)


def _left_s(exchange: Exchange, now_s: float) -> float | None:
    match exchange.request.call:
        case RoutedCall(caller_timeout_s=float() | int() as timeout_s):
            return max(0.0, exchange.received_s + timeout_s - now_s)
    return None


__all__ = ["StartupFilter"]
