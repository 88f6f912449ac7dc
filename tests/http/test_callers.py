"""
Tests of the caller port.

They guard against wrong error codes, truncated responses that look complete, and requests that
keep running after their caller has disconnected.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from camphorvalve.http.bodies import CallerLimits
from camphorvalve.model.answers import Body
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion, ServiceCall
from tests.builders import a_head, an_answer
from tests.http.serving import caller_app, serving

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


class _Chain:
    """Stands in for the filter chain: yields parts, raises exceptions, and records exchanges."""

    def __init__(self, *parts: Part | Exception) -> None:
        self.parts = parts
        self.exchanges: list[Exchange] = []

    async def __call__(self, exchange: Exchange) -> AsyncIterator[Part]:
        self.exchanges.append(exchange)
        exchange.attempt = 1
        exchange.upstream_id = "engine-1"
        for part in self.parts:
            if isinstance(part, Exception):
                raise part
            yield part


async def _send_raw(port: int, text: str) -> bytes:
    """Send text on a new connection, and return all bytes until the server closes it."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        await stream.send(text.replace("\n", "\r\n").encode())
        with anyio.fail_after(5):
            async for chunk in stream:
                received += chunk
    return received


class CallerPortTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_are_passed_to_the_chain_and_responses_to_the_caller(self) -> None:
        chain = _Chain(*an_answer(b"one ", b"two", x_kept="1", connection="close", x_attempt="9"))
        headers = {"Authorization": "Bearer secret", "X-Team": "t", "X-Cost-Hint": "12.5"}
        cases = [
            ("POST", "/v1/completions", None, Completion(streamed=False)),
            ("PUT", "/v1/services/desk/a%2Fb?c=d", "desk", ServiceCall("PUT", "/a%2Fb?c=d")),
            ("GET", "/v1/services/desk/", "desk", ServiceCall("GET", "/")),
        ]
        async with serving(caller_app(chain)) as served, httpx.AsyncClient() as client:
            for method, path, pool, call in cases:
                with self.subTest(path):
                    response = await client.request(
                        method, served.url + path, headers=headers, content=b"body"
                    )
                    request = chain.exchanges[-1].request
                    self.assertEqual((request.call, request.pool), (call, pool))
                    self.assertEqual((request.token, request.team), ("secret", "t"))
                    self.assertEqual((request.body, request.cost_hint_units), (b"body", 12.5))
                    self.assertEqual((response.status_code, response.content), (200, b"one two"))
                    self.assertEqual(response.headers["x-request-id"], request.request_id)
                    self.assertEqual(response.headers["x-served-by"], "router-1")
                    self.assertEqual(response.headers["x-attempt"], "1")
                    self.assertEqual(response.headers["x-upstream"], "engine-1")
                    self.assertEqual(response.headers["x-kept"], "1")
                    self.assertNotIn("connection", response.headers)

    async def test_invalid_requests_get_an_error_code_and_never_reach_the_chain(self) -> None:
        large = b"x" * 3_000_000
        cases: list[tuple[str, str, dict[str, Any], str, int]] = [
            ("GET", "/", {}, "not_found", 404),
            ("GET", "/v1/completions", {}, "not_found", 404),
            ("GET", "/v1/services/desk", {}, "not_found", 404),
            ("POST", "/v1/services//x", {}, "not_found", 404),
            ("GET", "/v1/deferred/work-2", {}, "not_found", 404),
            ("POST", "/v1/addresses", {"content": large}, "not_found", 404),
            ("POST", "/v1/completions", {"headers": {"X-Cost-Hint": "-1"}}, "bad_body", 400),
            ("POST", "/v1/completions", {"headers": {"X-Cost-Hint": "nan"}}, "bad_body", 400),
            ("POST", "/v1/completions", {"headers": {"X-Deferred": "maybe"}}, "bad_body", 400),
            ("POST", "/v1/completions", {"headers": {"Idempotency-Key": ""}}, "bad_body", 400),
            ("POST", "/v1/completions", {"content": large}, "too_large", 413),
        ]
        chain = _Chain()
        app = caller_app(chain, limits=CallerLimits(body_bytes=1000))
        async with serving(app) as served, httpx.AsyncClient() as client:
            for method, path, options, code, status in cases:
                with self.subTest(path=path, **options.get("headers", {})):
                    response = await client.request(method, served.url + path, **options)
                    error = response.json()["error"]
                    self.assertEqual((response.status_code, error["code"]), (status, code))
                    self.assertEqual(error["run"], "no")
                    self.assertEqual(error["request_id"], response.headers["x-request-id"])
        self.assertEqual(chain.exchanges, [])

    async def test_body_without_content_length_is_not_read_beyond_the_limit(self) -> None:
        sent_count = 0

        async def chunks() -> AsyncIterator[bytes]:
            nonlocal sent_count
            for _ in range(1000):
                sent_count += 1
                yield b"x" * 65536

        app = caller_app(_Chain(), limits=CallerLimits(body_bytes=100_000, held_bytes=1 << 30))
        async with serving(app) as served, httpx.AsyncClient() as client:
            try:
                response = await client.post(f"{served.url}/v1/completions", content=chunks())
                self.assertEqual(response.json()["error"]["code"], "too_large")
            except httpx.TransportError:
                self.assertLess(sent_count, 1000)

    async def test_slow_body_beyond_the_limit(self) -> None:
        """Guards against a caller that loses the error response, as its connection is reset while
        it still sends the body."""

        async def chunks() -> AsyncIterator[bytes]:
            for _ in range(8):
                yield b"x" * 65536
                await anyio.sleep(0.2)

        app = caller_app(_Chain(), limits=CallerLimits(body_bytes=100_000, held_bytes=1 << 30))
        async with serving(app) as served, httpx.AsyncClient() as client:
            response = await client.post(f"{served.url}/v1/completions", content=chunks())
            self.assertEqual(response.json()["error"]["code"], "too_large")

    async def test_total_size_of_bodies_is_limited(self) -> None:
        app = caller_app(_Chain(*an_answer(b"{}")), limits=CallerLimits(held_bytes=100))
        async with serving(app) as served, httpx.AsyncClient() as client:
            url = f"{served.url}/v1/completions"
            for size_bytes, status in [(101, 429), (100, 200), (100, 200)]:
                response = await client.post(url, content=b"x" * size_bytes)
                self.assertEqual(response.status_code, status, "reserved memory was not released")

    async def test_lookups(self) -> None:
        headers = {"Authorization": "Bearer secret"}
        async with serving(caller_app(_Chain())) as served, httpx.AsyncClient() as client:
            for path, expected in [
                ("/v1/addresses", {"addresses": [], "lifetime_s": 2.0}),
                ("/v1/deferred/work-1", {"state": "waiting", "token": "secret"}),
                ("/healthz", {"state": "live"}),
            ]:
                response = await client.get(served.url + path, headers=headers)
                self.assertEqual((response.status_code, response.json()), (200, expected))

    async def test_errors_before_the_head(self) -> None:
        cases = [
            (RequestError("queue_full", "full", retry_after_s=1.2), 429, "queue_full", "no", "2"),
            (RequestError("outcome_unknown", "?"), 409, "outcome_unknown", "unknown", None),
            (ValueError("a bug"), 500, "internal_error", "unknown", None),
        ]
        for error, status, code, run, retry_after in cases:
            async with serving(caller_app(_Chain(error))) as served, httpx.AsyncClient() as client:
                response = await client.post(f"{served.url}/v1/completions")
            detail = response.json()["error"]
            self.assertEqual((response.status_code, detail["code"]), (status, code))
            self.assertEqual(detail["run"], run)
            self.assertEqual(response.headers.get("retry-after"), retry_after)
            self.assertNotIn("a bug", response.text)

    async def test_response_broken_by_an_error_never_looks_complete(self) -> None:
        error = RequestError("stream_broken", "engine-1 closed the connection")
        call = "POST /v1/completions HTTP/1.1\nHost: x\nConnection: close\nContent-Length: 0\n\n"
        cases = [
            ("chunked", a_head(), b"part"),
            ("content length", a_head(content_length="100"), b"part"),
        ]
        for name, head, content in cases:
            with self.subTest(name):
                async with serving(caller_app(_Chain(head, Body(content), error))) as served:
                    received = await _send_raw(served.port, call)
                self.assertIn(b"part", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"), "the response looks complete")
        stream = a_head(content_type="text/event-stream")
        for content in (b"data: 1\n\n", b"data: 1"):
            chain = _Chain(stream, Body(content), error)
            async with serving(caller_app(chain)) as served, httpx.AsyncClient() as client:
                response = await client.post(f"{served.url}/v1/completions")
            first, last = response.text.removesuffix("\n\n").split("\n\n")
            self.assertEqual(first, "data: 1")
            self.assertTrue(last.startswith('event: error\ndata: {"error":{"code":"stream_broken"'))

    async def test_broken_stream_of_a_service(self) -> None:
        """Guards against an error of the router among the events of a service, and against a
        response that ends there as if it were complete."""
        error = RequestError("stream_broken", "service-1 closed the connection")
        call = "POST /v1/services/desk/ HTTP/1.1\nHost: x\nConnection: close\nContent-Length: 0\n\n"
        for content in (b"data: 1\n\n", b"data: 1"):
            with self.subTest(content):
                chain = _Chain(a_head(content_type="text/event-stream"), Body(content), error)
                async with serving(caller_app(chain)) as served:
                    received = await _send_raw(served.port, call)
                self.assertIn(content, received)
                self.assertNotIn(b"error", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"), "the response looks complete")

    async def test_http_1_0_is_refused(self) -> None:
        """Guards against truncated responses: with HTTP/1.0 they end when the connection closes."""
        async with serving(caller_app(_Chain(*an_answer(b"x")))) as served:
            received = await _send_raw(served.port, "POST /v1/completions HTTP/1.0\n\n")
        self.assertIn(b"HTTP/1.1 is required", received)

    async def test_disconnect_of_the_caller_closes_the_generators_of_the_chain(self) -> None:
        for name, parts_count in [("before the head", 0), ("within the body", 1)]:
            started, closed = anyio.Event(), anyio.Event()

            async def chain(
                exchange: Exchange,
                count: int = parts_count,
                started: anyio.Event = started,
                closed: anyio.Event = closed,
            ) -> AsyncIterator[Part]:
                try:
                    for part in an_answer(b"x")[: 2 * count]:
                        yield part
                    started.set()
                    await anyio.sleep(30)
                finally:
                    closed.set()

            with self.subTest(name):
                async with serving(caller_app(chain)) as served:
                    stream = await anyio.connect_tcp("127.0.0.1", served.port)
                    await stream.send(b"GET /v1/services/p/x HTTP/1.1\r\nHost: x\r\n\r\n")
                    with anyio.fail_after(5):
                        await started.wait()
                        await stream.aclose()
                        await closed.wait()
