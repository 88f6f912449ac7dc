"""Guards against taking a response that was cut off for a whole one."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING, Any

import anyio

from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import NoAnswer
from camphorvalve.upstreams.orderreplies import InDoubt
from camphorvalve.upstreams.orders import EngineOrder, OrderingError, read_state, send_order
from camphorvalve.upstreams.platform import FeedError, decode_feed
from camphorvalve.upstreams.reports import ReportError, read_cache_events, read_load
from camphorvalve.upstreams.routed import RoutedAttempts
from camphorvalve_platform import instances
from tests.builders import a_load_action, an_upstream
from tests.rawpeers import Script, upstream
from tests.routebuilders import HEADER_NAMES, a_listed_upstream, a_route, a_routed_exchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import httpx

    Read = Callable[[httpx.AsyncClient, str], Awaitable[Any]]

HEAD = b"HTTP/1.1 200 OK\r\nx-id: id-1\r\nx-proof: p\r\ncontent-type: text/event-stream\r\n"
LOAD = b'{"running": 1, "waiting": 0, "slots": 4, "measured_at_s": 1.0}'
EVENTS = b'{"last": 0, "events": []}'
STATE = b'{"orders": [], "models": [], "adapters": [], "role": "both"}'
LIST = b'{"nextToken": null, "instances": [{"id": "i-1"}, {"id": "i-2"}]}'
FEED = b'{"version": 1, "members": []}'


async def _route(client: httpx.AsyncClient, url: str) -> None:
    exchange = a_routed_exchange(a_route(streamed=True))
    attempts = RoutedAttempts(client, HEADER_NAMES, lag_s=lambda: 1.0)
    async for _ in attempts.open(a_listed_upstream(url=url), exchange):
        pass


async def _order(client: httpx.AsyncClient, url: str) -> None:
    order = EngineOrder("order", 1, a_load_action())
    reply = await send_order(client, an_upstream(url=url), order, None, math.inf)
    if isinstance(reply, InDoubt):
        raise OrderingError(reply.cause)


async def _list(client: httpx.AsyncClient, url: str) -> None:
    await instances.read(client, url.removeprefix("http://"))


READERS: list[tuple[str, Read, type[Exception], bytes]] = [
    ("load", lambda c, url: read_load(c, an_upstream(url=url), 2.0), ReportError, LOAD),
    ("events", lambda c, url: read_cache_events(c, an_upstream(url=url), 0), ReportError, EVENTS),
    ("state", lambda c, url: read_state(c, an_upstream(url=url)), OrderingError, STATE),
    ("list", _list, instances.ListError, LIST),
]


class TruncatedResponseTest(unittest.TestCase):
    def test_cut_heads(self) -> None:
        """Guards against an empty response when an upstream closes in the middle of its head."""
        whole = HEAD + b"\r\n"
        cuts = range(len(whole))
        readers = [
            *READERS,
            ("route", _route, NoAnswer, b""),
            ("order", _order, OrderingError, b""),
        ]
        for name, read, error, _ in readers:
            with self.subTest(name):
                self.assert_errors(read, error, [whole[:cut] for cut in cuts])

    def test_cut_bodies(self) -> None:
        """Guards against reading a part of a body that ends with its connection."""
        for name, read, error, body in READERS:
            with self.subTest(name):
                cuts = range(len(body))
                self.assert_errors(read, error, [HEAD + b"\r\n" + body[:cut] for cut in cuts])
                self.assert_errors(read, None, [HEAD + b"\r\n" + body])

    def test_cut_feed(self) -> None:
        """Guards against taking a part of the membership feed for the whole list."""
        for cut in range(len(FEED)):
            self.assertRaises(FeedError, decode_feed, FEED[:cut])
        decode_feed(FEED)

    def assert_errors(
        self, read: Read, error: type[Exception] | None, contents: list[bytes]
    ) -> None:
        """Read each of the responses, and compare how that ended."""

        async def run() -> None:
            scripts = [Script(content, "close") for content in contents]
            async with upstream(*scripts) as (url, _), create_client() as client:
                for content in contents:
                    caught: Exception | None = None
                    try:
                        await read(client, url)
                    except Exception as raised:
                        caught = raised
                    self.assertEqual(type(caught), error or type(None), (content, caught))

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
