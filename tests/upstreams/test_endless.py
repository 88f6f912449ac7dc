"""Behaviour towards faulty upstreams that send bytes without end to many requests at once."""

from __future__ import annotations

import tracemalloc
import unittest
from typing import TYPE_CHECKING

import anyio
import httpx
from structlog.testing import capture_logs

from camphorvalve.upstreams.bodies import (
    MAX_HELD_BYTES,
    SHORT_RESPONSE_BYTES,
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
