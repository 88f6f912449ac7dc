"""Guards against a stop that cuts answers, and against a busy loop that leaves callers waiting."""

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
from tests.builders import a_head
from tests.http.serving import caller_app, serving

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from camphorvalve.http.asgi import Receive, Scope, Send
    from camphorvalve.model.answers import Part
    from camphorvalve.model.requests import Exchange


WAITING_COUNT = 50
"""Connections that come while the loop is busy; the queue takes 64."""
LINGER_S = 1.2
"""Long enough that a processor used up for half of it shows beside what the test does."""


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_waits_for_running_answers_and_closes_idle_connections(self) -> None:
        started, proceed = anyio.Event(), anyio.Event()

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head(content_type="text/event-stream")
            started.set()
            await proceed.wait()
            for number in range(50):
                await anyio.lowlevel.checkpoint()
                yield Body(b"data: %d\n\n" % number)

        answers: list[httpx.Response] = []

        async def call(client: httpx.AsyncClient, url: str) -> None:
            answers.append(await client.post(f"{url}/v1/completions"))

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
        self.assertEqual([answer.text.count("data:") for answer in answers], [50] * 5)

    async def test_open_connections_are_served_after_new_ones_are_refused(self) -> None:
        await self.refuse_new_connections()

    def test_the_same_on_the_loop_of_the_processes(self) -> None:
        """Guards against a stop that polls its closed port and uses up the processor."""
        before_s = time.process_time()
        loop.run(self.refuse_new_connections)
        self.assertLess(time.process_time() - before_s, LINGER_S / 4)

    async def refuse_new_connections(self) -> None:
        """Stop a server, and use a connection that was opened before; takes half of the linger."""

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head()

        async with (
            serving(caller_app(chain), linger_s=LINGER_S) as served,
            await anyio.connect_tcp("127.0.0.1", served.port) as opened,
        ):
            served.shutdown.set()
            with anyio.fail_after(5), self.assertRaises(OSError):
                while True:
                    await (await anyio.connect_tcp("127.0.0.1", served.port)).aclose()
                    await anyio.sleep(0.01)
            await anyio.sleep(LINGER_S / 3)
            await opened.send(b"GET /v1/services/p/x HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertIn(b" 200 ", await opened.receive())

    async def test_a_leaving_router_asks_callers_to_close_their_connections(self) -> None:
        leaving = False

        async def chain(exchange: Exchange) -> AsyncIterator[Part]:
            yield a_head()

        app = caller_app(chain)
        async with serving(app, leaving=lambda: leaving) as served, httpx.AsyncClient() as client:
            for leaving in (False, True):
                for path in ("/v1/services/p/x", "/healthz"):
                    answer = await client.get(served.url + path)
                    self.assertEqual(answer.headers.get("connection") == "close", leaving)

    async def test_the_serving_task_can_still_end_a_cancelled_scope(self) -> None:
        # Guards against a stopped process that ends with a CancelledError instead of exit code 0.
        shutdown = anyio.Event()
        shutdown.set()
        with anyio.fail_after(5), anyio.CancelScope() as scope:
            await serve(caller_app(None), listen("127.0.0.1:0"), shutdown, linger_s=0.05)
            scope.cancel()
            await anyio.lowlevel.checkpoint()
        self.assertTrue(scope.cancelled_caught)

    def test_all_waiting_connections_are_accepted_in_few_turns_of_the_loop(self) -> None:
        """Guards against a busy router that accepts one connection a turn (RECOVER)."""
        turns_count = loop.run(self.serve_waiting)
        self.assertLess(turns_count, WAITING_COUNT // 2)

    async def serve_waiting(self) -> int:
        """Let requests wait on new connections, then serve; return the turns that this takes."""
        served_count = turns_count = 0

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
                    turns_count += 1
            for caller in callers:
                caller.close()
        return turns_count

    def test_bind_addresses(self) -> None:
        for bind in ("127.0.0.1", "127.0.0.1:", "127.0.0.1:http"):
            with self.subTest(bind), self.assertRaises(ValueError):
                listen(bind)
        for bind in ("127.0.0.1:0", "[::1]:0"):
            with self.subTest(bind), listen(bind) as listener:
                self.assertGreater(listener.getsockname()[1], 0)
