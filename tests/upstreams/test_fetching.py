"""Behaviour of the readers of reports, states and lists towards responses without end."""

from __future__ import annotations

import gzip
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
import httpx

from camphorvalve.model.upstreams import ChecksFencing, ModelEngine
from camphorvalve.upstreams import engine, fetching, orders, platform, reports
from camphorvalve.upstreams.client import UpstreamClient, create_client
from camphorvalve.upstreams.fetching import FetchLimits, fetch
from camphorvalve.upstreams.orderreplies import InDoubt
from camphorvalve_platform import instances
from tests.builders import an_engine_order, an_upstream
from tests.rawpeers import Script, repeating_upstream, upstream
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams.test_routed import attempt, response

HEAD = b"HTTP/1.1 200 OK\r\n"
MAX_SENT_BYTES = 24 << 20
"""Longest body of a list, and what fits into the buffers of a connection."""
MAX_DURATION_S = 20.0
SHORT_LIMITS = FetchLimits(timeout_s=0.3, body_bytes=1 << 20)


def a_load(running_count: int, headers: bytes = b"") -> bytes:
    body = b'{"running": %d, "waiting": 0, "slots": 4, "measured_at_s": 1.0}' % running_count
    return response(body, headers=headers)


Reader = Callable[[UpstreamClient, str], Awaitable[Any]]


async def read_load(client: UpstreamClient, url: str) -> None:
    await reports.read_load(client, an_upstream(url=url), 0.0)


async def read_cache_events(client: UpstreamClient, url: str) -> None:
    await reports.read_cache_events(client, an_upstream(url=url), 0)


async def read_state(client: UpstreamClient, url: str) -> None:
    await orders.read_state(client, an_upstream(url=url))


async def send_order(client: UpstreamClient, url: str) -> None:
    checking = an_upstream(url=url, interface=ModelEngine(ChecksFencing()))
    reply = await orders.send_order(client, checking, an_engine_order(1), None, float("inf"))
    if isinstance(reply, InDoubt):
        raise orders.OrderingError(reply.cause)


async def cancel(client: UpstreamClient, url: str) -> None:
    await engine.cancel(client, an_upstream(url=url), "id-1", 1)
    raise httpx.ReadError("cancellations report no errors")


async def read_members(client: UpstreamClient, url: str) -> None:
    await platform._poll(client, url, "router-1", 0)


async def read_list(client: UpstreamClient, url: str) -> None:
    await instances.read(client, url.removeprefix("http://"))


READERS: tuple[Reader, ...] = (
    read_load,
    read_cache_events,
    read_state,
    send_order,
    cancel,
    read_members,
    read_list,
)
ERRORS = (reports.ReportError, orders.OrderingError, httpx.HTTPError, instances.ListError)


class FetchTest(unittest.TestCase):
    def read_endless(self, reader: Reader, script: Script) -> int:
        """Check that a reader fails and closes the connection; return the bytes sent to it."""

        async def run() -> int:
            async with upstream(script) as (url, peer), create_client() as client:
                with anyio.fail_after(MAX_DURATION_S):
                    with self.assertRaises(ERRORS):
                        await reader(client, url)
                    await peer.closed_by_caller.wait()
                self.assertEqual(client.responses.held_bytes, 0)
                return peer.repeated_bytes

        return anyio.run(run)

    def test_endless_responses(self) -> None:
        """Guards against a process that runs out of memory because of one faulty upstream."""
        block = b"x" * 65536
        cases = [
            ("length", HEAD + b"content-length: 9000000000\r\n\r\n", block),
            ("until the close", HEAD + b"\r\n", block),
            ("chunks", HEAD + b"transfer-encoding: chunked\r\n\r\n", b"1\r\nx\r\n" * 1000),
            ("informational", b"", b"HTTP/1.1 103 Hints\r\n\r\n" * 100),
        ]
        for name, content, repeated in cases:
            script = Script(content, "endless", repeated=repeated)
            for reader in READERS:
                with self.subTest(name, reader=reader.__name__):
                    self.assertLess(self.read_endless(reader, script), MAX_SENT_BYTES)

    def test_slow_responses(self) -> None:
        """Guards against a read that never times out because a byte arrives now and then."""
        patches = [
            mock.patch.object(reports, "REPORT_LIMITS", SHORT_LIMITS),
            mock.patch.object(orders, "ORDER_LIMITS", SHORT_LIMITS),
            mock.patch.object(orders, "STATE_LIMITS", SHORT_LIMITS),
            mock.patch.object(engine, "CANCEL_LIMITS", SHORT_LIMITS),
            mock.patch.object(platform, "FEED_LIMITS", SHORT_LIMITS),
            mock.patch.object(instances, "LIST_LIMITS", SHORT_LIMITS),
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        for name, content in [("head", HEAD + b"x: "), ("body", HEAD + b"\r\n")]:
            for reader in READERS:
                with self.subTest(name, reader=reader.__name__):
                    script = Script(content, "endless", repeated=b"x", repeat_pause_s=0.05)
                    self.read_endless(reader, script)

    def test_compressed_responses(self) -> None:
        """Guards against a short body that takes any amount of memory once it is decompressed."""
        content = gzip.compress(bytes(100 << 20))
        head = HEAD + b"content-encoding: gzip\r\ncontent-length: %d\r\n\r\n" % len(content)

        async def run() -> None:
            async with upstream(Script(head + content)) as (url, _), create_client() as client:
                with self.assertRaises(httpx.DecodingError):
                    await fetch(client, "GET", url, SHORT_LIMITS)

        anyio.run(run)

    def test_statuses(self) -> None:
        """Guards against the body of an error that is taken for a report."""

        async def run(script: Script) -> bytes | None:
            async with upstream(script) as (url, _), create_client() as client:
                try:
                    return await fetching.fetch_ok(client, url, SHORT_LIMITS)
                except httpx.RemoteProtocolError:
                    return None

        rows = [(b"200 OK", b"yes"), (b"302 Found", None), (b"404 None", None), (b"500 Oops", None)]
        for status, expected in rows:
            script = Script(b"HTTP/1.1 %s\r\ncontent-length: 3\r\n\r\nyes" % status)
            with self.subTest(status):
                self.assertEqual(anyio.run(run, script), expected)

    def test_earlier_responses(self) -> None:
        """Guards against a report that is read from the response to an earlier read, or to a
        request, which the upstream sends once more on its connection."""

        async def run() -> list[int]:
            named = a_load(9, b"x-id: id-1\r\nx-proof: p\r\n")
            contents = [a_load(1), a_load(2), named, a_load(3), a_load(4)]
            running = []
            async with repeating_upstream(*contents) as (url, _), create_client() as client:
                for number in range(len(contents)):
                    if number == 2:
                        await attempt(url, a_routed_exchange(a_route(idempotent=True)), client)
                    else:
                        report = await reports.read_load(client, an_upstream(url=url), 2.0)
                        running.append(report.running_count)
            return running

        self.assertEqual(anyio.run(run), [1, 2, 3, 4])


if __name__ == "__main__":
    unittest.main()
