"""Behaviour towards faulty upstreams that send bytes without end to many requests at once."""

from __future__ import annotations

import time
import tracemalloc
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import anyio
import httpx
from structlog.testing import capture_logs

from camphorvalve.model.errors import RequestError
from camphorvalve.upstreams import routed
from camphorvalve.upstreams.bodies import (
    MAX_HELD_BYTES,
    SHORT_RESPONSE_BYTES,
    SMALL_CHUNKS_COUNT,
    BodyTooLongError,
    ResponseBudget,
)
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import UpstreamError
from tests.rawpeers import Script, upstream
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams.test_routed import UPSTREAM_HEADERS, attempt, response

if TYPE_CHECKING:
    from camphorvalve.model.requests import Parameters

HEAD = b"HTTP/1.1 200 OK\r\n" + UPSTREAM_HEADERS
ENDLESS_COUNT = 60
SOUND_COUNT = 10
LARGE_BLOCK = b"x" * 65536


def a_response() -> httpx.Response:
    return httpx.Response(200, request=httpx.Request("GET", "http://127.0.0.1:1/"))


class ResponseBudgetTest(unittest.TestCase):
    def test_longest_response_is_given_up(self) -> None:
        """Guards against sound responses that are lost to one without end."""
        short = SHORT_RESPONSE_BYTES
        budget = ResponseBudget(10 * short)
        with (
            budget.reserve(a_response()) as sound,
            budget.reserve(a_response()) as endless,
            capture_logs() as lines,
        ):
            sound.resize(3 * short)
            endless.resize(7 * short)
            sound.resize(3 * short + 1)
            self.assertEqual((budget.held_bytes, sound.is_given_up), (3 * short + 1, False))
            with self.assertRaises(BodyTooLongError):
                endless.resize(7 * short + 1)
            self.assertEqual([line["size_bytes"] for line in lines], [7 * short])
        self.assertEqual(budget.held_bytes, 0)

    def test_complete_and_short_responses(self) -> None:
        """Guards against short responses that are lost while callers read long ones slowly."""
        budget = ResponseBudget(10 * SHORT_RESPONSE_BYTES)
        with (
            budget.reserve(a_response()) as complete,
            budget.reserve(a_response()) as short,
            capture_logs(),
        ):
            complete.resize(10 * SHORT_RESPONSE_BYTES)
            complete.is_complete = True
            short.resize(SHORT_RESPONSE_BYTES)
            with self.assertRaises(BodyTooLongError):
                short.resize(SHORT_RESPONSE_BYTES + 1)
            self.assertFalse(complete.is_given_up)


class EndlessTest(unittest.TestCase):
    def setUp(self) -> None:
        # The faulty upstream and the sound one share the loop with the client.
        patch = mock.patch.object(routed, "CONNECT_TIMEOUT_S", 5.0)
        patch.start()
        self.addCleanup(patch.stop)

    def test_memory(self) -> None:
        """Guards against a process that runs out of memory because many responses never end."""
        streamed = a_route(streamed=True, resumable=True)
        event_stream = HEAD + b"content-type: text/event-stream\r\n\r\n"
        cases = [
            ("length", a_route(), HEAD + b"content-length: 5000000\r\n\r\n", LARGE_BLOCK),
            ("until the close", a_route(), HEAD + b"\r\n", LARGE_BLOCK),
            (
                "chunks",
                a_route(),
                HEAD + b"transfer-encoding: chunked\r\n\r\n",
                b"10000\r\n%s\r\n" % LARGE_BLOCK,
            ),
            ("event", streamed, event_stream, LARGE_BLOCK),
        ]
        for name, route, content, repeated in cases:
            with self.subTest(name):
                script = Script(content, "endless", repeated=repeated)
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                anyio.run(self.run_beside_sound_requests, script, route)
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak_bytes, 2 * MAX_HELD_BYTES)

    def test_small_chunks(self) -> None:
        """Guards against a loop that is held up by chunks of one byte until the deadline."""
        streamed = a_route(streamed=True, resumable=True)
        chunked = b"transfer-encoding: chunked\r\n\r\n"
        event_stream = HEAD + b"content-type: text/event-stream\r\n" + chunked
        for name, route, content in [
            ("body", a_route(), HEAD + chunked),
            ("stream", streamed, event_stream),
        ]:
            with self.subTest(name):
                script = Script(content, "endless", repeated=b"1\r\nx\r\n" * 1000)
                anyio.run(self.run_beside_sound_requests, script, route)

    def test_small_chunks_with_pauses(self) -> None:
        """Guards against breaking off a sound stream that sends a few bytes at a time."""
        route = a_route(streamed=True)
        head = HEAD + b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        script = Script(head, "endless", repeated=b"1\r\nx\r\n" * 10, repeat_pause_s=0.001)

        async def run() -> int:
            deadline_s = time.monotonic() + 1.5
            async with upstream(script) as (url, peer), create_client() as client:
                with self.assertRaises(RequestError) as caught:
                    await attempt(url, a_routed_exchange(route, deadline_s=deadline_s), client)
                self.assertEqual(caught.exception.code, "timed_out")
                return peer.repeated_bytes

        sent_bytes = anyio.run(run)
        self.assertGreater(sent_bytes, len(b"1\r\nx\r\n") * SMALL_CHUNKS_COUNT)

    async def run_beside_sound_requests(self, script: Script, route: Parameters) -> None:
        """Send requests to a faulty upstream and check that those to a sound one are served."""
        error_types: list[type] = []

        async def run_endless() -> None:
            result = await attempt(faulty_url, a_routed_exchange(route), client)
            error_types.append(type(result.error))

        sound_scripts = [Script(response(b"yes"))] * SOUND_COUNT
        async with (
            upstream(*[script] * ENDLESS_COUNT) as (faulty_url, _),
            upstream(*sound_scripts) as (sound_url, _),
            create_client() as client,
        ):
            with anyio.fail_after(30), capture_logs():
                async with anyio.create_task_group() as tasks:
                    for _ in range(ENDLESS_COUNT):
                        tasks.start_soon(run_endless)
                    for _ in range(SOUND_COUNT):
                        await anyio.sleep(0.01)
                        result = await attempt(sound_url, a_routed_exchange(a_route()), client)
                        self.assertEqual((result.content, result.error), (b"yes", None))
        self.assertTrue(all(issubclass(error_type, UpstreamError) for error_type in error_types))
        self.assertEqual(client.responses.held_bytes, 0)


if __name__ == "__main__":
    unittest.main()
