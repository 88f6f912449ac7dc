"""Guards against passing on a second response that an upstream sends on one connection."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio
import httpx

from camphorvalve.upstreams.errors import Broken
from camphorvalve.upstreams.framing import without_second_response
from tests.rawpeers import Script, upstream
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams.test_routed import EVENTS, AttemptResult, attempt, response

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from camphorvalve.model.routes import Route

HEADERS = b"X-Id: id-1\r\nX-Proof: p\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
OLDER = response(b"older", headers=b"X-Id: id-0\r\nX-Proof: q\r\n")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
SAFE, ONCE = a_route(idempotent=True), a_route()


def unframed(body: bytes, headers: bytes = HEADERS) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n" + body


def chunked(*chunks: bytes) -> bytes:
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return unframed(encoded + b"0\r\n\r\n", HEADERS + b"Transfer-Encoding: chunked\r\n")


WHOLE = unframed(b"yes")


async def results_of(script: Script, route: Route) -> AttemptResult:
    async with upstream(script) as (url, _):
        with anyio.fail_after(5):
            return await attempt(url, a_routed_exchange(route))


class SecondResponseTest(unittest.TestCase):
    def test_body_that_ends_with_the_connection(self) -> None:
        """Guards against a body with a second response, or the first bytes of one, at its end."""
        rows = {
            "copy": Script(WHOLE + WHOLE, "close"),
            "copy without a body": Script(WHOLE + unframed(b""), "close"),
            "late copy": Script(WHOLE, "later then close", 0.1, repeated=WHOLE),
            "copy in two pieces": Script(
                WHOLE + WHOLE[:12], "later then close", 0.1, False, WHOLE[12:]
            ),
            "copy with a length": Script(WHOLE + response(b"yes", headers=HEADERS), "close"),
            "copy in chunks": Script(WHOLE + chunked(b"yes"), "close"),
            "copy whose first header is an id": Script(
                WHOLE + b"HTTP/1.1 200 OK\r\nid: 7\r\n" + HEADERS + b"\r\nyes", "close"
            ),
            "older response": Script(WHOLE + OLDER, "close"),
            "failure": Script(WHOLE + response(b"no", b"500 Oops", HEADERS), "close"),
            "refusal": Script(WHOLE + b"HTTP/1.0 503 Full\nX-Not-Run: 1\n\n", "close"),
            "error of the server": Script(
                WHOLE + b"HTTP/1.1 400 \r\nContent-Length: 0\r\n\r\n", "close"
            ),
            "interim response": Script(WHOLE + INTERIM, "close"),
            "late interim response": Script(WHOLE, "later then close", 0.1, repeated=INTERIM),
            "older response behind an interim one": Script(WHOLE + INTERIM + OLDER, "close"),
            "beside bytes that only look like one": Script(
                unframed(b"HTTP/1.1 is a version, HTTP/1.1 20") + WHOLE, "close"
            ),
            **{
                f"first {count} bytes": Script(WHOLE + WHOLE[:count], "close")
                for count in range(len(b"HTTP/1."), len(WHOLE))
            },
        }
        for name, script in rows.items():
            for kind, route in (("safe", SAFE), ("once", ONCE)):
                with self.subTest(name, kind=kind):
                    result = anyio.run(results_of, script, route)
                    self.assertEqual((result.status, result.content), (None, b""))
                    self.assertIsInstance(result.error, Broken)

    def test_stream_that_ends_with_the_connection(self) -> None:
        """Guards against the head of a second response among the events, and its events after
        those of the first one."""
        route = a_route(idempotent=True, streamed=True, resumable=True)
        plain_events = b"data: a\n\ndata: b\n\n"
        more_events = EVENTS + b"id: 3\ndata: c\n\n"
        rows = {
            "copy": (EVENTS, EVENTS),
            "without numbers": (plain_events, plain_events),
            "of another request": (EVENTS, more_events),
            "inside an event": (EVENTS + b"id: 3\nda", more_events),
        }
        content = unframed(EVENTS, HEADERS + STREAM) + INTERIM
        result = anyio.run(results_of, Script(content, "close"), route)
        self.assertEqual((result.status, result.content), (200, EVENTS))
        self.assertIsInstance(result.error, Broken)
        for name, (events, second) in rows.items():
            for headers in (HEADERS, b"X-Id: id-0\r\nX-Proof: q\r\n"):
                with self.subTest(name, headers=headers):
                    content = unframed(events, HEADERS + STREAM) + unframed(
                        second, headers + STREAM
                    )
                    result = anyio.run(results_of, Script(content, "close"), route)
                    whole_events = events[: events.rindex(b"\n\n") + 2]
                    self.assertEqual((result.status, result.content), (200, whole_events))
                    self.assertIsInstance(result.error, Broken)

    def test_bodies_that_mention_responses(self) -> None:
        """Guards against breaking off sound bodies that contain text like the head of a response,
        or end with the first bytes of one by chance."""
        bodies = [
            b"",
            b"yes H",
            b"see HTTP",
            b'"GET / HTTP/1.1" 200 12\r\n"GET / HTTP/1.1" 404 0\r\n',
            b"HTTP/1.1 200 OK\r\n\r\nthat was all",
            b"HTTP/1.1 100 Continue\r\nHTTP/1.1 200 OK\r\n\r\nboth are status lines",
            b"HTTP/1.1 defines how bodies end",
            b"HTTP/1.1 2000 requests\r\nHost: desk.example\r\n",
            b"HTTP/1.1 200 OK\r\na line without a colon\r\n",
        ]
        for body in bodies:
            with self.subTest(body):
                result = anyio.run(results_of, Script(unframed(body), "close"), ONCE)
                self.assertEqual(result, AttemptResult(200, body, None))

    def test_streams_that_mention_responses(self) -> None:
        """Guards against breaking off a stream whose text explains HTTP."""
        route = a_route(idempotent=True, streamed=True, resumable=True)
        for line_end in (b"\n", b"\r\n"):
            events = b"id: 1\ndata: HTTP/1.1 200 OK\ndata: X-Id: id-1\ndata:\n\n"
            events = events.replace(b"\n", line_end)
            with self.subTest(line_end):
                content = unframed(events + b"id: 2\ndata: b\n\n", HEADERS + STREAM)
                result = anyio.run(results_of, Script(content, "close"), route)
                self.assertIsNone(result.error)
                self.assertIn(b"X-Id: id-1", result.content)

    def test_bodies_with_another_end(self) -> None:
        """Guards against breaking off a body whose length is known, whatever it contains."""
        for content in (response(WHOLE, headers=HEADERS), chunked(WHOLE[:9], WHOLE[9:])):
            with self.subTest(content):
                result = anyio.run(results_of, Script(content, "close"), ONCE)
                self.assertEqual(result, AttemptResult(200, WHOLE, None))

    def test_chunk_boundaries(self) -> None:
        """Guards against a second head that is missed because it arrives in pieces, and against
        sound bytes that are lost with the pieces."""
        sound = b"see HTTP/1.1 and HTTP/1.1 200 OK\n\nHT"
        for content, expected in (
            (sound, (sound, False)),
            (sound + OLDER, (sound, True)),
            (sound + OLDER[:7], (sound, True)),
            (sound + INTERIM + b"yes", (sound, True)),
            (sound + INTERIM.replace(b"\r", b"") + b"yes", (sound, True)),
            (b"HTTP/1.1 200 OK\r\n" + b"a" * 80 + b": b", (None, False)),
        ):
            pieces = [[content[:at], content[at:]] for at in range(len(content))]
            pieces.append([content[at : at + 1] for at in range(len(content))])
            for chunks in pieces:
                with self.subTest(chunks=chunks):
                    read, is_broken = anyio.run(self.read_checked, chunks)
                    self.assertEqual((read, is_broken), (expected[0] or content, expected[1]))

    async def read_checked(self, chunks: list[bytes]) -> tuple[bytes, bool]:
        """Return the bytes that pass the check, and whether it ended with an error."""

        async def body() -> AsyncGenerator[bytes, None]:
            for chunk in chunks:
                yield chunk

        read = b""
        try:
            async for chunk in without_second_response(body()):
                read += chunk
        except httpx.RemoteProtocolError:
            return read, True
        return read, False


if __name__ == "__main__":
    unittest.main()
