"""
Tests of the HTTP server.

They guard against a shutdown that truncates responses, and against a busy event loop that accepts
connections too slowly.
"""

from __future__ import annotations

import socket
import time
import unittest
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import httpx

from camphorvalve import loop
from camphorvalve.http.asgi import send_json
from camphorvalve.http.server import listen, serve
from camphorvalve.model.answers import Body
from camphorvalve.model.errors import RequestError
from tests.builders import a_head
from tests.filters.harness import response_handler
from tests.http.serving import caller_app, serving
from tests.rawpeers import exchange_bytes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.http.asgi import Receive, Scope, Send
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


WAITING_COUNT = 50
"""Number of connections that are opened while the event loop is busy; the backlog holds 512."""
DRAIN_S = 1.2
"""Long enough that busy polling for half of it stands out from the processor time of the test."""


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_shutdown_completes_responses_and_closes_idle_connections(self) -> None:
        started, proceed = anyio.Event(), anyio.Event()

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head(content_type="text/event-stream")
            started.set()
            await proceed.wait()
            for number in range(50):
                await anyio.lowlevel.checkpoint()
                yield Body(b"data: %d\n\n" % number)

        responses: list[httpx.Response] = []

        async def call(client: httpx.AsyncClient, url: str) -> None:
            responses.append(await client.post(f"{url}/v1/completions"))

        async with (
            serving(caller_app(chain)) as served,
            httpx.AsyncClient() as client,
            anyio.create_task_group() as tasks,
        ):
            await client.get(f"{served.url}/healthz")
            for _ in range(5):
                tasks.start_soon(call, client, served.url)
            await started.wait()
            served.shutdown.set()
            await anyio.sleep(0.05)
            self.assertFalse(served.stopped.is_set())
            proceed.set()
            with anyio.fail_after(5):
                await served.stopped.wait()
            with self.assertRaises(httpx.ConnectError):
                await httpx.AsyncClient().get(f"{served.url}/healthz")
        self.assertEqual([response.text.count("data:") for response in responses], [50] * 5)

    async def test_open_connections_are_served_while_new_ones_are_refused(self) -> None:
        await self.refuse_new_connections()

    def test_serving_loop_refuses_new_connections_without_busy_polling(self) -> None:
        """Guards against a shutdown that keeps polling the closed port and uses up the processor,
        on the event loop of the deployed processes."""
        before_s = time.process_time()
        loop.run(self.refuse_new_connections)
        self.assertLess(time.process_time() - before_s, DRAIN_S / 4)

    async def refuse_new_connections(self) -> None:
        """Shut a server down until it refuses connections, and send a request on an open one."""

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head()

        async with (
            serving(caller_app(chain), drain_s=DRAIN_S) as served,
            await anyio.connect_tcp("127.0.0.1", served.port) as opened,
        ):
            served.shutdown.set()
            with anyio.fail_after(5), self.assertRaises(OSError):
                while True:
                    await (await anyio.connect_tcp("127.0.0.1", served.port)).aclose()
                    await anyio.sleep(0.01)
            await anyio.sleep(DRAIN_S / 3)
            await opened.send(b"GET /v1/services/p/x HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertIn(b" 200 ", await opened.receive())

    async def test_leaving_router_tells_callers_to_close_their_connections(self) -> None:
        leaving = False

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head()

        app = caller_app(chain)
        async with serving(app, leaving=lambda: leaving) as served, httpx.AsyncClient() as client:
            for leaving in (False, True):
                for path in ("/v1/services/p/x", "/healthz"):
                    response = await client.get(served.url + path)
                    self.assertEqual(response.headers.get("connection") == "close", leaving)

    async def test_stop_after_a_pipelined_request(self) -> None:
        """Guards against a stop that is held up by a connection whose response was broken off while
        another request on it had been received."""
        call = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
        error = RequestError("stream_broken", "engine-1 closed the connection")
        async with serving(caller_app(response_handler(b"one", error=error))) as served:
            received = await exchange_bytes(served.port, call + call)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 1)

    async def test_cancel_scope_of_the_calling_task_works_after_serving(self) -> None:
        # Guards against a process that ends with a CancelledError instead of exit code 0 after a
        # shutdown.
        shutdown = anyio.Event()
        shutdown.set()
        with anyio.fail_after(5), anyio.CancelScope() as scope:
            await serve(caller_app(None), listen("127.0.0.1:0"), shutdown, drain_s=0.05)
            scope.cancel()
            await anyio.lowlevel.checkpoint()
        self.assertTrue(scope.cancelled_caught)

    def test_waiting_connections_are_accepted_in_few_loop_iterations(self) -> None:
        """Guards against a busy router that accepts one connection per loop iteration, and so does
        not recover from an overload."""
        iterations_count = loop.run(self.serve_waiting)
        self.assertLess(iterations_count, WAITING_COUNT // 2)

    async def serve_waiting(self) -> int:
        """Serve requests that wait on new connections; return the number of loop iterations."""
        served_count = iterations_count = 0

        async def app(scope: Scope, receive: Receive, send: Send) -> None:
            nonlocal served_count
            served_count += 1
            await send_json(send, 200, {})

        async with serving(app) as served:
            await anyio.sleep(0.05)
            callers = [
                socket.create_connection(("127.0.0.1", served.port), 5)
                for _ in range(WAITING_COUNT)
            ]
            for caller in callers:
                caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            with anyio.fail_after(5):
                while served_count < WAITING_COUNT:
                    await anyio.lowlevel.checkpoint()
                    iterations_count += 1
            for caller in callers:
                caller.close()
        return iterations_count

    def test_stalled_caller_does_not_delay_the_end(self) -> None:
        """Guards against a process that outlives its graceful stop because a caller doesn't read
        its response, or doesn't complete its request."""
        for request in (
            b"GET /v1/services/p/x HTTP/1.1\r\nHost: x\r\n\r\n",
            b"POST /v1/services/p/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx",
        ):
            with self.subTest(request):
                loop.run(self.stop_with_stalled_caller, request)

    async def stop_with_stalled_caller(self, request: bytes) -> None:
        """Shut a server down while a caller neither reads nor sends."""

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head(content_type="text/event-stream")
            while True:
                await anyio.lowlevel.checkpoint()
                yield Body(b"data: %s\n\n" % (b"x" * 65536))

        async with (
            serving(caller_app(chain), graceful_timeout_s=0.3) as served,
            await anyio.connect_tcp("127.0.0.1", served.port) as caller,
        ):
            await caller.send(request)
            await anyio.sleep(0.3)
            served.shutdown.set()
            with anyio.fail_after(3):
                await served.stopped.wait()

    def test_listen_accepts_only_an_ip_address_with_a_port(self) -> None:
        for bind in ("127.0.0.1", "127.0.0.1:", "127.0.0.1:http"):
            with self.subTest(bind), self.assertRaises(ValueError):
                listen(bind)
        for bind in ("127.0.0.1:0", "[::1]:0"):
            with self.subTest(bind), listen(bind) as listener:
                self.assertGreater(listener.getsockname()[1], 0)
