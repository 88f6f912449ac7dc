"""Guards against joined responses that are missed, and sound ones that are rejected."""

from __future__ import annotations

import contextlib
import time
import unittest
from typing import TYPE_CHECKING

import anyio

from camphorvalve.upstreams.framing import (
    SecondResponseError,
    without_restarted_response,
    without_second_response,
)
from tests.rawpeers import Script, upstream
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams.test_routed import AttemptResult, attempt, response
from tests.upstreams.test_second_response import unframed

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

SAFE = a_route(idempotent=True)
MAX_SEARCH_S = 0.4
"""Processor time to search a body of 0.5 MB."""


class FramingTest(unittest.TestCase):
    def test_log_lines_that_start_with_a_time(self) -> None:
        """Guards against breaking off an access log, whose times look like the first header of a
        second response."""
        log = (
            b"2026-12-06T07:31:58Z GET /a HTTP/1.1 200 12\n"
            b"2026-12-06T07:31:59Z GET /b HTTP/1.1 404 9\n"
            b"07:32:00 GET /c HTTP/1.1 200\n"
            b"07:32:01 stopped\n"
        )
        for body in (log, log[:-1], log[: log.index(b"T07:31:59")]):
            with self.subTest(body):
                result = anyio.run(self.result_of, Script(unframed(body), "close"))
                self.assertEqual(result, AttemptResult(200, body, None))

    def test_whole_response_behind_a_part_of_it(self) -> None:
        """Guards against a body with a length that is filled up with the response that the upstream
        starts anew after it had stopped in the middle."""
        body = b"yes" * 200
        whole = response(body)
        head_length = whole.index(b"\r\n\r\n") + 4
        for length in (head_length, head_length + 100, len(whole) - 60):
            for script in (
                Script(whole[:length] + whole),
                Script(whole[:length], "later", 0.1, repeated=whole),
            ):
                with self.subTest(length=length, ending=script.ending):
                    result = anyio.run(self.result_of, script)
                    if result.error is None:
                        self.assertEqual(result, AttemptResult(200, body, None))
                    else:
                        self.assertEqual((result.status, result.content), (None, b""))

    def test_chunk_boundaries(self) -> None:
        """Guards against a restarted response that is missed because of where it starts or how its
        bytes arrive, against an end that is passed on before that is known, and against rejecting
        sound bodies."""
        body = b"HTTP/1.1 200 is sound, H"
        whole = response(body)
        for stop in range(len(body)):
            received = body[:stop] + whole
            content, behind = received[: len(body)], received[len(body) :]
            for size in (1, 7, len(body)):
                with self.subTest(stop=stop, size=size):
                    read, is_broken = anyio.run(self.read_checked, content, behind, size)
                    self.assertTrue(is_broken)
                    self.assertLess(len(read), len(body))
        for behind in (b"", b"HTTP/1.0"):
            sound = body if not behind else body.replace(b"1.1 200", b"1.1, 20")
            for size in (1, 7, len(body)):
                with self.subTest(behind=behind, size=size):
                    result = anyio.run(self.read_checked, sound, behind, size)
                    self.assertEqual(result, (sound, False))

    def test_pause_in_a_body_with_a_length(self) -> None:
        """Guards against a delay of the bytes in front of a pause, such as an event."""

        async def first_chunk() -> bytes:
            async def chunks() -> AsyncGenerator[bytes, None]:
                yield b"data: How\n\n"
                await anyio.sleep_forever()

            with anyio.fail_after(2):
                return await anext(without_restarted_response(chunks(), bytes))

        self.assertEqual(anyio.run(first_chunk), b"data: How\n\n")

    def test_time_for_many_status_lines(self) -> None:
        """Guards against a body that holds the event loop while it is searched: a caller may have
        written it, if an upstream returns what it receives."""
        line = b"HTTP/1.1 200 "
        for body in (line * 5000, (line + b"a" * 115) * 500, b"HTTP/1." * 9000):
            chunks = [body] * 8
            with self.subTest(body[:40]):
                started_s = time.process_time()
                anyio.run(self.read_all, chunks)
                self.assertLess(time.process_time() - started_s, MAX_SEARCH_S)

    async def read_all(self, chunks: list[bytes]) -> None:
        async def body() -> AsyncGenerator[bytes, None]:
            for chunk in chunks:
                yield chunk

        with contextlib.suppress(SecondResponseError):
            async for _ in without_second_response(body()):
                pass

    async def read_checked(self, content: bytes, behind: bytes, size: int) -> tuple[bytes, bool]:
        """Return the bytes that pass the check, and whether it ended with an error."""

        async def chunks() -> AsyncGenerator[bytes, None]:
            for at in range(0, len(content), size):
                yield content[at : at + size]

        read = b""
        try:
            async for chunk in without_restarted_response(chunks(), lambda: behind):
                read += chunk
        except SecondResponseError:
            return read, True
        return read, False

    async def result_of(self, script: Script) -> AttemptResult:
        async with upstream(script) as (url, _):
            with anyio.fail_after(5):
                return await attempt(url, a_routed_exchange(SAFE))


if __name__ == "__main__":
    unittest.main()
