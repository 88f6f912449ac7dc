"""Guards against requests that are lost because their connection is closed as idle."""

from __future__ import annotations

import contextlib
import socket
import time
import unittest
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel

from camphorvalve import loop
from tests.http.idlecallers import SecondCall, call_after_idle, call_around
from tests.http.serving import serving

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from camphorvalve.http.asgi import Receive, Scope, Send
    from tests.http.serving import Served

    Calling = Callable[[Served], list[SecondCall]]

IDLE_TIMEOUT_S = 1.0
LONG_S = 60.0
RUN_S = 0.03
ITERATION_S = 0.01
"""Time that each iteration of the busy event loop takes."""
CALLERS_COUNT = 160
EARLY_S = 0.3
"""Longest time between a second request and the close of its connection."""
LATE_S = 0.1
"""The same for requests after the close."""
DRAIN_S = 0.05
"""Time after the shutdown signal in which new requests are served, as ``serving`` sets it."""
RECEIVE_BYTES = 1 << 16
CLOSE_TIMEOUT_S = 5.0
"""Time in which the server closes a connection, far below the idle timeout."""
MIN_COUNT = 5
"""Fewer requests on either side of the close would prove too little."""


class RecordingApp:
    """Responds to each request after a short time, and records which requests it ran."""

    def __init__(self) -> None:
        self.ran_paths: set[str] = set()
        self.is_held: anyio.Event | None = None
        """Set when the first response after its head may go on, if it has to wait for that."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.ran_paths.add(scope["path"])
        await anyio.sleep(RUN_S)
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        if self.is_held is not None:
            await send({"type": "http.response.body", "body": b"o", "more_body": True})
            await self.is_held.wait()
            await send({"type": "http.response.body", "body": b"k"})
            return
        await send({"type": "http.response.body", "body": b"ok"})


async def _keep_loop_busy() -> None:
    while True:
        # Blocks on purpose: a router that is short of processor time has such iterations.
        time.sleep(ITERATION_S)  # noqa: ASYNC251
        await anyio.lowlevel.checkpoint()


def _offsets_s() -> list[float]:
    step_s = (EARLY_S + LATE_S) / CALLERS_COUNT
    return [number * step_s - EARLY_S for number in range(CALLERS_COUNT)]


class IdleTest(unittest.TestCase):
    def run_callers(
        self, calling: Calling, idle_timeout_s: Callable[[], float], *, busy: bool
    ) -> list[SecondCall]:
        """Serve callers on the event loop of the deployed processes."""
        self.app = RecordingApp()

        async def run() -> list[SecondCall]:
            async with (
                serving(self.app, keep_alive_s=idle_timeout_s) as served,
                anyio.create_task_group() as tasks,
            ):
                if busy:
                    tasks.start_soon(_keep_loop_busy)
                calls = await anyio.to_thread.run_sync(calling, served)
                tasks.cancel_scope.cancel()
            return calls

        return loop.run(run)

    def check_run_requests(self, calls: Sequence[SecondCall]) -> None:
        """Check that all requests that were run got a response, and that some were too late."""
        lost = [call for call in calls if call.path in self.app.ran_paths and not call.received]
        self.assertEqual(lost, [])
        answered_count = sum(bool(call.received) for call in calls)
        self.assertGreater(answered_count, MIN_COUNT)
        self.assertLess(answered_count, CALLERS_COUNT - MIN_COUNT)

    def test_request_at_the_idle_timeout_is_not_run_without_a_response(self) -> None:
        """Guards against a request that is run although its connection is being closed as idle, so
        that its caller gets neither a response nor a refusal."""
        idles_s = [IDLE_TIMEOUT_S + offset_s for offset_s in _offsets_s()]
        calls = self.run_callers(
            lambda served: call_after_idle(served.port, idles_s), lambda: IDLE_TIMEOUT_S, busy=True
        )
        self.check_run_requests(calls)

    def test_request_at_a_stop_is_not_run_without_a_response(self) -> None:
        """Guards against the same while a stop closes the idle connections."""

        def calling(served: Served) -> list[SecondCall]:
            def stop() -> float:
                anyio.from_thread.run_sync(served.shutdown.set)
                return time.monotonic() + DRAIN_S

            offsets_s = [offset_s + EARLY_S - DRAIN_S for offset_s in _offsets_s()]
            return call_around(served.port, offsets_s, stop)

        self.check_run_requests(self.run_callers(calling, lambda: LONG_S, busy=True))

    def test_pipelined_request_in_a_stop_gets_a_response(self) -> None:
        """Guards against a request that was received during the response before it, whose head said
        that the connection is kept, and that a stop then closes without a response."""
        app = RecordingApp()
        rest_of_second = b"GET /second HTTP/1.1\r\nHost: x\r\n\r\n"

        async def run(second: bytes) -> bytes:
            async with serving(app, graceful_timeout_s=5.0) as served:
                app.is_held = anyio.Event()
                async with await anyio.connect_tcp("127.0.0.1", served.port) as caller:
                    await caller.send(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
                    received = await caller.receive()
                    served.shutdown.set()
                    await caller.send(second)
                    await anyio.sleep(4 * DRAIN_S)
                    app.is_held.set()
                    with anyio.fail_after(2.0), contextlib.suppress(anyio.EndOfStream):
                        while True:
                            received += await caller.receive()
            return received

        received = loop.run(run, rest_of_second)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2, received)
        # A part of a head gets no response, and does not hold up the stop.
        received = loop.run(run, rest_of_second[:9])
        self.assertEqual(received.count(b"HTTP/1.1 200"), 1, received)

    def test_request_received_at_the_end_of_a_response_in_a_stop_gets_a_response(self) -> None:
        """Guards against a request that has been received, but not parsed, when a stop closes its
        connection after a response whose head said that the connection is kept."""
        app = RecordingApp()

        async def run() -> bytes:
            async with serving(app, graceful_timeout_s=5.0) as served:
                app.is_held = anyio.Event()
                with socket.create_connection(("127.0.0.1", served.port), 2.0) as caller:
                    caller.sendall(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
                    received = await anyio.to_thread.run_sync(caller.recv, RECEIVE_BYTES)
                    served.shutdown.set()
                    await anyio.sleep(4 * DRAIN_S)
                    # The event loop receives the second request after this step, and resumes the
                    # response before the task that reads the connection.
                    caller.sendall(b"GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
                    app.is_held.set()
                    while piece := await anyio.to_thread.run_sync(caller.recv, RECEIVE_BYTES):
                        received += piece
            return received

        received = loop.run(run)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2, received)

    def test_connection_is_kept_after_the_idle_timeout_has_grown(self) -> None:
        """Guards against a connection that is closed by the idle timeout of an older manifest while
        its caller uses it within the newer one."""
        grows_s = time.monotonic() + IDLE_TIMEOUT_S / 2

        def idle_timeout_s() -> float:
            return IDLE_TIMEOUT_S if time.monotonic() < grows_s else LONG_S

        calls = self.run_callers(
            lambda served: call_after_idle(served.port, [1.5 * IDLE_TIMEOUT_S] * 4),
            idle_timeout_s,
            busy=False,
        )
        self.assertEqual([call for call in calls if b" 200 " not in call.received], [])

    def test_connection_that_its_caller_has_closed_is_closed(self) -> None:
        """Guards against connections of callers that are gone, which take file descriptors and
        memory until the idle timeout."""

        def call(port: int) -> bytes:
            with socket.create_connection(("127.0.0.1", port), CLOSE_TIMEOUT_S) as caller:
                caller.sendall(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
                received = caller.recv(RECEIVE_BYTES)
                while not received.endswith(b"ok"):
                    received += caller.recv(RECEIVE_BYTES)
                caller.shutdown(socket.SHUT_WR)
                return caller.recv(RECEIVE_BYTES)

        async def run() -> bytes:
            async with serving(RecordingApp(), keep_alive_s=lambda: LONG_S) as served:
                return await anyio.to_thread.run_sync(call, served.port)

        self.assertEqual(loop.run(run), b"")

    def test_idle_connection_is_closed(self) -> None:
        """Guards against connections that stay open for ever."""
        calls = self.run_callers(
            lambda served: call_after_idle(served.port, [3 * IDLE_TIMEOUT_S] * 4),
            lambda: IDLE_TIMEOUT_S,
            busy=False,
        )
        self.assertEqual([call for call in calls if call.received], [])
        self.assertFalse([path for path in self.app.ran_paths if path.startswith("/second")])


if __name__ == "__main__":
    unittest.main()
