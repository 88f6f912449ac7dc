"""Contract of the upstream side at the HTTP client as used, with faults in tables."""

from __future__ import annotations

import time
import unittest
from contextlib import aclosing
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio

from camphorvalve.filters.chain import compose
from camphorvalve.filters.deadline import deadline
from camphorvalve.model.answers import Body, Head
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import BrokenStream
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import (
    Broken,
    Declined,
    FailedAnswer,
    NoAnswer,
    NotSent,
    UpstreamError,
    WrongAnswer,
)
from camphorvalve.upstreams.opening import MOST_ANSWER_BYTES
from camphorvalve.upstreams.routed import RoutedAttempts
from tests.rawpeers import Script, upstream
from tests.routebuilders import NAMES, a_listed, a_route, a_routed_exchange

if TYPE_CHECKING:
    import httpx

    from camphorvalve.model.requests import Exchange

OWN = b"x-id: id-1\r\nx-proof: p\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def whole(body: bytes, status: bytes = b"200 OK", headers: bytes = OWN) -> bytes:
    return b"HTTP/1.1 %s\r\n%scontent-length: %d\r\n\r\n%s" % (status, headers, len(body), body)


def chunked(*pieces: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    head = b"HTTP/1.1 200 OK\r\n" + OWN + b"content-type: text/event-stream\r\n"
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + end


class Seen(NamedTuple):
    """What an attempt yielded and how it ended."""

    status: int | None
    content: bytes
    error: UpstreamError | None


async def attempt(
    url: str, exchange: Exchange, shared_client: httpx.AsyncClient | None = None
) -> Seen:
    status, content = None, b""
    client = shared_client or create_client()
    parts = RoutedAttempts(client, NAMES).open(a_listed(url=url), exchange)
    try:
        async with aclosing(parts):
            async for part in parts:
                match part:
                    case Head(found, _):
                        status = found
                    case Body(piece):
                        content += piece
    except UpstreamError as error:
        return Seen(status, content, error)
    finally:
        if shared_client is None:
            await client.aclose()
    return Seen(status, content, None)


class RoutedAttemptTest(unittest.TestCase):
    def play(self, script: Script, **fields: Any) -> Seen:
        async def run() -> Seen:
            async with upstream(script) as (url, self.peer):
                with anyio.fail_after(5):
                    seen = await attempt(url, a_routed_exchange(**fields))
                    if script.ending == "endless":
                        await self.peer.left.wait()
                return seen

        return anyio.run(run)

    def test_answers(self) -> None:
        """Guards against answers that are passed on though they are not the upstream's whole one,
        and against a statement "not run" for a request that may have run."""
        safe, once = a_route(idempotent=True), a_route()
        rows: list[tuple[str, Any, Script, type[UpstreamError] | None, bytes]] = [
            ("whole", once, Script(whole(b"yes")), None, b"yes"),
            ("error of its own, once", once, Script(whole(b"no", b"500 Oops")), None, b"no"),
            ("error of its own, safe", safe, Script(whole(b"no", b"500 Oops")), FailedAnswer, b""),
            ("not run", once, Script(whole(b"", b"503 Full", b"x-not-run: 1\r\n")), Declined, b""),
            ("another worker", once, Script(whole(b"", b"421 No", b"")), Declined, b""),
            ("no proof", once, Script(whole(b"yes", headers=b"x-id: id-1\r\n")), WrongAnswer, b""),
            (
                "answer to another request",
                once,
                Script(whole(b"yes", headers=b"x-id: id-0\r\nx-proof: p\r\n")),
                WrongAnswer,
                b"",
            ),
            (
                "encoded body",
                once,
                Script(whole(b"yes", headers=OWN + b"content-encoding: gzip\r\n")),
                WrongAnswer,
                b"",
            ),
            ("closed before an answer", once, Script(b"", "close"), NoAnswer, b""),
            ("reset before an answer", once, Script(b"", "reset"), NoAnswer, b""),
            ("no HTTP", once, Script(b"garbage\r\n\r\n", "close"), NoAnswer, b""),
            ("cut body", once, Script(whole(b"yes")[:-1], "close"), Broken, b""),
            ("reset body", once, Script(whole(b"yes")[:-1], "reset", 0.05), Broken, b""),
            (
                "body that ends with the connection",
                once,
                Script(b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\nyes", "close"),
                None,
                b"yes",
            ),
            (
                "the same, reset",
                once,
                Script(b"HTTP/1.1 200 OK\r\n" + OWN + b"\r\nye", "reset", 0.05),
                Broken,
                b"",
            ),
        ]
        for name, route, script, error, content in rows:
            with self.subTest(name):
                seen = self.play(script, route=route)
                self.assertEqual(type(seen.error), error or type(None), seen.error)
                self.assertEqual(seen.content, content)

    def test_bytes_without_end(self) -> None:
        """Guards against an upstream in trouble that fills the memory until the process ends."""
        head = b"HTTP/1.1 200 OK\r\n"
        stream = head + OWN + b"content-type: text/event-stream\r\n\r\n"
        streamed = a_route(streamed=True, resumable=True)
        rows = [
            ("status line", a_route(), b"HTTP/1.1 200 ", b"x" * 10_000, NoAnswer),
            ("head", a_route(), head, b"x-more: %s\r\n" % (b"x" * 1000), NoAnswer),
            ("no HTTP", a_route(), b"", b"garbage " * 100, NoAnswer),
            ("body", a_route(), head + OWN + b"\r\n", b"x" * 65536, Broken),
            ("event", streamed, stream, b"x" * 65536, Broken),
            ("event in small pieces", streamed, stream + EVENTS, b"data: x\n" * 50, Broken),
        ]
        for name, route, content, repeated, error in rows:
            with self.subTest(name):
                seen = self.play(Script(content, "endless", repeated=repeated), route=route)
                self.assertEqual(type(seen.error), error, seen.error)
                self.assertLess(self.peer.repeated_bytes, 4 * MOST_ANSWER_BYTES)

    def test_bytes_without_end_that_complete_nothing(self) -> None:
        """Guards against a request that outlasts its deadline as something always comes."""
        stream = chunked(EVENTS, end=b"")
        rows = [
            ("provisional answers", a_route(), b"", b"HTTP/1.1 102 Wait\r\n\r\n" * 10, 0.0),
            ("a stream", a_route(streamed=True, resumable=True), stream, b"1\r\nx\r\n", 0.02),
        ]
        for name, route, content, repeated, pause_s in rows:
            script = Script(content, "endless", repeated=repeated, repeat_pause_s=pause_s)
            with self.subTest(name):
                exchange = a_routed_exchange(route, deadline_s=time.monotonic() + 0.3)
                self.assertEqual(anyio.run(self.error_code, script, exchange), "timed_out")

    async def error_code(self, script: Script, exchange: Exchange) -> str | None:
        """Run a request below the filter that watches its deadline, until the upstream is left."""
        code = None
        async with upstream(script) as (url, peer), create_client() as client:
            attempts = RoutedAttempts(client, NAMES)
            handler = compose((deadline,), lambda one: attempts.open(a_listed(url=url), one))
            with anyio.fail_after(5):
                try:
                    async for _ in handler(exchange):
                        pass
                except RequestError as error:
                    code = error.code
                await peer.left.wait()
        return code

    def test_streams(self) -> None:
        """Guards against streams that look complete though events are missing."""
        route = a_route(streamed=True, resumable=True)
        first = EVENTS[: EVENTS.index(b"id: 2")]
        rows = [
            ("whole", Script(chunked(EVENTS)), None, EVENTS),
            ("no end of the chunks", Script(chunked(EVENTS, end=b""), "close"), Broken, EVENTS),
            ("reset", Script(chunked(EVENTS, end=b""), "reset", 0.05), Broken, EVENTS),
            ("half an event", Script(chunked(EVENTS[:-4])), Broken, first),
            ("a gap", Script(chunked(EVENTS, b"id: 9\ndata: z\n\n")), Broken, EVENTS),
        ]
        for name, script, error, content in rows:
            with self.subTest(name):
                seen = self.play(script, route=route)
                self.assertEqual(type(seen.error), error or type(None), seen.error)
                self.assertTrue(content.startswith(seen.content), seen.content)
                if error is None:
                    self.assertEqual(seen.content, content)

    def test_request(self) -> None:
        """Guards against a request that is changed on its way, and against forged headers."""
        self.play(Script(whole(b"yes")), headers=(("x-shade", "blue"), ("x-left", "999999")))
        head, _, body = self.peer.received[0].partition(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        self.assertEqual(lines[0], "post /drafts/1?part=2 http/1.1")
        self.assertEqual(body, b"violins")
        fields = [line.partition(": ") for line in lines[1:]]
        values = {name: value for name, _, value in fields}
        self.assertEqual(len(values), len(fields))
        self.assertEqual(values["host"], "desk.example")
        self.assertEqual(values["x-shade"], "blue")
        self.assertEqual(values["x-id"], "id-1")
        self.assertEqual(values["x-expected"], "up-1")
        self.assertLessEqual(int(values["x-left"]), 5000)
        self.assertNotIn("accept", values)
        self.assertNotIn("user-agent", values)

    def test_continuation(self) -> None:
        """Guards against a continuation that starts from the beginning."""
        exchange_fields = {"broken": BrokenStream(1, ""), "output_started": True}
        route = a_route(streamed=True, resumable=True)
        seen = self.play(Script(chunked(EVENTS)), route=route, **exchange_fields)
        self.assertIn(b"last-event-id: 1", self.peer.received[0].lower())
        self.assertEqual(seen.content, EVENTS[EVENTS.index(b"id: 2") :])

    def test_extra_answer(self) -> None:
        """Guards against bytes after an answer that are taken for the answer of the next request,
        in the same packet or later."""

        async def run(*scripts: Script) -> tuple[Seen, Seen]:
            safe = a_route(idempotent=True)
            async with upstream(*scripts) as (url, _), create_client() as client:
                first = await attempt(url, a_routed_exchange(safe), client)
                await anyio.sleep(0.2)
                other = a_routed_exchange(safe, request_id="id-2")
                return first, await attempt(url, other, client)

        second = Script(whole(b"second", headers=b"x-id: id-2\r\nx-proof: p\r\n"))
        first, other = anyio.run(run, Script(whole(b"first") + whole(b"extra")), second)
        self.assertEqual(first, Seen(200, b"first", None))
        self.assertEqual((type(other.error), other.content), (WrongAnswer, b""))
        late = Script(whole(b"first"), pause_s=0.1, ending="extra")
        first, other = anyio.run(run, late, second)
        self.assertEqual(first, Seen(200, b"first", None))
        self.assertEqual(other, Seen(200, b"second", None))

    def test_refused_connection(self) -> None:
        """Guards against a refused connection that counts as a request that may have run."""
        seen = anyio.run(attempt, "http://127.0.0.1:1", a_routed_exchange())
        self.assertIsInstance(seen.error, NotSent)


if __name__ == "__main__":
    unittest.main()
