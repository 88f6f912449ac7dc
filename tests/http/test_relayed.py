"""What callers of routed calls receive when upstreams break off their responses."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from camphorvalve import loop
from camphorvalve.upstreams import routed
from tests.http.rawresponses import (
    FIRST,
    IDS,
    SECOND,
    STREAM,
    THIRD,
    chunked,
    response,
    unframed,
)
from tests.http.relaying import CALL, Received, relaying
from tests.rawpeers import Script
from tests.routebuilders import a_route

if TYPE_CHECKING:
    from camphorvalve.model.routes import Route

RESUMABLE = a_route(streamed=True, resumable=True)
STREAMED = a_route(streamed=True)
BROKEN = Script(chunked(FIRST + SECOND[:7], end=b""), "close")


class RelayedResponsesTest(unittest.TestCase):
    def relay(self, route: Route, *scripts: Script, content: bytes = CALL) -> Received:
        """Serve one call on the event loop of the product."""

        async def run() -> Received:
            async with relaying(route, *scripts) as relay:
                received = await relay.call(content)
                self.attempts_count = relay.attempts_count
                return received

        return loop.run(run)

    def assert_complete(self, received: Received, content: bytes) -> None:
        self.assertEqual(received.status, 200)
        self.assertEqual(received.content, content)
        self.assertTrue(received.complete, received)

    def assert_broken_off(self, received: Received, content: bytes) -> None:
        self.assertEqual(received.status, 200)
        self.assertEqual(received.content, content)
        self.assertFalse(received.complete, received)

    def assert_failed(self, received: Received) -> None:
        self.assertEqual((received.status, received.complete), (502, True))
        self.assertNotIn("x-proof", received.headers)

    def test_error_after_a_stream_has_begun(self) -> None:
        """Guards against the text or the head of an error in the middle of a stream, and against
        a stream that ends there as if it were complete."""
        error = b"data: overloaded\n\n"
        rows: list[tuple[str, bytes]] = [
            ("failure", response(b"overloaded", b"500 Oops")),
            ("failure that is a stream", response(error, b"500 Oops", STREAM)),
            ("failure that ends with the connection", unframed(error, STREAM, b"503 Full")),
            ("error", response(b"overloaded", b"404 No")),
            ("success that is no stream", response(b"all of it")),
            ("refusal", response(b"full", b"503 Full", b"x-id: id-1\r\nx-not-run: 1\r\n")),
            ("no proof", response(error, headers=b"x-id: id-1\r\n")),
            ("head of an error, cut", response(b"overloaded", b"500 Oops")[:40]),
            ("failure, cut", response(b"overloaded", b"500 Oops")[:-3]),
            ("gap", chunked(THIRD)),
        ]
        for name, second in rows:
            with self.subTest(name):
                received = self.relay(RESUMABLE, BROKEN, Script(second, "close"))
                self.assert_broken_off(received, FIRST)
                self.assertEqual(self.attempts_count, 2)

    def test_continuation_with_another_status(self) -> None:
        """Guards against the text of an error in the middle of a stream, and against a stream that
        ends there as if it were complete, when the error is said to be a stream."""
        error = b"data: overloaded\n\n"
        rows: list[tuple[str, bytes]] = [
            ("error", response(error, b"404 No", STREAM)),
            ("error that ends with the connection", unframed(error, STREAM, b"404 No")),
            ("error without any text", unframed(b"", STREAM, b"404 No")),
            ("redirection", response(b"", b"302 Found", STREAM + b"location: /\r\n")),
            ("no content", b"HTTP/1.1 204 No\r\n" + STREAM + b"\r\n"),
            ("part of the content", response(SECOND, b"206 Part", STREAM)),
        ]
        for name, second in rows:
            with self.subTest(name):
                received = self.relay(RESUMABLE, BROKEN, Script(second, "close"))
                self.assert_broken_off(received, FIRST)
                third = Script(chunked(FIRST + SECOND + THIRD))
                three_attempts = RESUMABLE._replace(attempts_count=3)
                received = self.relay(three_attempts, BROKEN, Script(second, "close"), third)
                self.assert_complete(received, FIRST + SECOND + THIRD)

    def test_continuation_without_numbers(self) -> None:
        """Guards against events that can't be told to continue a stream: the text of an error, or
        events that the caller has."""
        for second in (b"data: overloaded\n\n", b"data: 1\n\n" + SECOND):
            received = self.relay(RESUMABLE, BROKEN, Script(chunked(second)))
            self.assert_broken_off(received, FIRST)
        second = b": wait\n\n" + SECOND + b"data: end\n\n"
        self.assert_complete(self.relay(RESUMABLE, BROKEN, Script(chunked(second))), FIRST + second)

    def test_gap_within_one_chunk(self) -> None:
        """Guards against losing the events before a gap: they arrive together with the event after
        it and are not passed on."""
        gap = Script(chunked(FIRST + THIRD))
        received = self.relay(RESUMABLE, gap, Script(chunked(FIRST + SECOND + THIRD)))
        self.assert_complete(received, FIRST + SECOND + THIRD)
        received = self.relay(RESUMABLE, gap, Script(chunked(SECOND + THIRD)))
        self.assert_complete(received, FIRST + SECOND + THIRD)

    def test_third_upstream_completes_a_stream(self) -> None:
        """Guards against giving up a stream, or repeating its head, after one failed
        continuation."""
        route = RESUMABLE._replace(attempts_count=3)
        rows: list[tuple[str, Script]] = [
            ("failure", Script(response(b"overloaded", b"500 Oops"))),
            ("refusal", Script(response(b"", b"421 No", b""))),
            ("closed", Script(b"", "close")),
            ("reset", Script(b"", "reset")),
        ]
        for name, second in rows:
            with self.subTest(name):
                third = Script(chunked(FIRST + SECOND + THIRD))
                received = self.relay(route, BROKEN, second, third)
                self.assert_complete(received, FIRST + SECOND + THIRD)
                self.assertEqual(self.attempts_count, 3)

    def test_stream_that_may_not_be_repeated(self) -> None:
        """Guards against a second run of a broken stream that no other upstream may continue."""
        received = self.relay(STREAMED, BROKEN, Script(chunked(SECOND)))
        self.assert_broken_off(received, FIRST)
        self.assertEqual(self.attempts_count, 1)

    def test_stream_that_is_repeated_from_the_start(self) -> None:
        """Guards against a stream without its first events when it is repeated on a route whose
        responses are not continued."""

        async def run() -> tuple[Received, bytes]:
            route = a_route(idempotent=True)
            async with relaying(route, BROKEN, Script(chunked(FIRST + SECOND))) as relay:
                return await relay.call(), relay.peers[1].received[0]

        received, second_request = loop.run(run)
        self.assert_complete(received, FIRST + SECOND)
        self.assertNotIn(b"last-event-id", second_request.lower())

    def test_stream_with_a_length(self) -> None:
        """Guards against breaking off a stream, or ending it early, because its continuation is
        longer or shorter than the length of the first response says."""
        whole = FIRST + SECOND + THIRD
        first = Script(response(whole, headers=STREAM)[: -len(SECOND + THIRD)], "close")
        longer = b"id: 2\ndata: two\n\nid: 3\ndata: three\n\n"
        for name, rest in (("equal", SECOND + THIRD), ("longer", longer), ("shorter", SECOND)):
            with self.subTest(name):
                received = self.relay(RESUMABLE, first, Script(chunked(rest)))
                self.assert_complete(received, FIRST + rest)
        received = self.relay(RESUMABLE, first, Script(chunked(SECOND, end=b""), "close"))
        self.assert_broken_off(received, FIRST + SECOND)

    def test_cut_head(self) -> None:
        """Guards against a success with an empty or short body, framed as whole, when an upstream
        closes in the middle of the head of its response."""
        whole = response(b"yes")
        head_bytes = len(whole) - 3
        for ending in ("close", "reset"):
            for cut in (0, 15, 45, head_bytes - 4, head_bytes - 1):
                with self.subTest(ending=ending, cut=cut):
                    first = Script(whole[:cut], ending, 0.02)
                    self.assert_failed(self.relay(a_route(), first))
                    self.assert_failed(self.relay(STREAMED, first))
                    received = self.relay(a_route(idempotent=True), first, Script(whole))
                    self.assert_complete(received, b"yes")

    def test_broken_body(self) -> None:
        """Guards against a plain response that looks whole although its body was broken off, and
        against not repeating it where that is allowed."""
        for streamed in (False, True):
            for name, first in self.broken_bodies():
                with self.subTest(name, streamed=streamed):
                    self.assert_failed(self.relay(a_route(streamed=streamed), first))
                    route = RESUMABLE if streamed else a_route(idempotent=True)
                    received = self.relay(route, first, Script(response(b"yes")))
                    self.assert_complete(received, b"yes")

    def broken_bodies(self) -> list[tuple[str, Script]]:
        """Return plain responses that break off in their body."""
        whole, keep_alive = response(b"yes"), IDS + b"connection: keep-alive\r\n"
        rows: list[tuple[str, bytes, str]] = [
            ("length, close", whole[:-1], "close"),
            ("length, reset", whole[:-1], "reset"),
            ("length, no body", whole[:-3], "close"),
            ("chunks, close", chunked(b"yes", b"", IDS), "close"),
            ("chunks, reset", chunked(b"yes", b"", IDS), "reset"),
            ("no length, reset", unframed(b"ye", IDS), "reset"),
            ("no length, no body, reset", unframed(b"", keep_alive), "reset"),
        ]
        return [(name, Script(content, ending, 0.02)) for name, content, ending in rows]

    def test_responses_that_end_with_the_connection(self) -> None:
        """Guards against losing a response that has neither a length nor chunks."""
        keep_alive = b"connection: keep-alive\r\nkeep-alive: timeout=5\r\n"
        rows: list[tuple[str, Route, bytes, bytes]] = [
            ("plain", a_route(), unframed(b"yes", IDS), b"yes"),
            ("no body", a_route(), unframed(b"", IDS), b""),
            ("keep-alive", a_route(), unframed(b"yes", IDS + keep_alive), b"yes"),
            ("HTTP/1.0", a_route(), unframed(b"yes", IDS).replace(b"/1.1", b"/1.0"), b"yes"),
            ("stream", STREAMED, unframed(FIRST + SECOND), FIRST + SECOND),
            ("stream, keep-alive", STREAMED, unframed(FIRST, STREAM + keep_alive), FIRST),
            ("stream, resumable", RESUMABLE, unframed(FIRST + SECOND), FIRST + SECOND),
        ]
        for name, route, content, body in rows:
            with self.subTest(name):
                self.assert_complete(self.relay(route, Script(content, "close")), body)

    def test_streams_that_are_broken_off(self) -> None:
        """Guards against a stream with neither a length nor chunks that looks complete although
        it was reset or ended inside an event."""
        rows: list[tuple[str, bytes, str, bytes]] = [
            ("inside an event", FIRST + SECOND[:-1], "close", FIRST),
            ("inside the first event", FIRST[:-1], "close", b""),
            ("reset between events", FIRST, "reset", FIRST),
            ("reset inside an event", FIRST + SECOND[:-1], "reset", FIRST),
            ("reset before the first event", b"", "reset", b""),
        ]
        for name, body, ending, content in rows:
            with self.subTest(name):
                first = Script(unframed(body), ending, 0.02)
                received = self.relay(STREAMED, first)
                if not content:
                    self.assert_failed(received)
                else:
                    self.assert_broken_off(received, content)
                    received = self.relay(RESUMABLE, first, Script(unframed(SECOND), "close"))
                    self.assert_complete(received, FIRST + SECOND)
                    second = Script(unframed(SECOND + THIRD[:-1]), "close")
                    received = self.relay(RESUMABLE, first, second)
                    self.assert_broken_off(received, FIRST + SECOND)

    def test_stream_that_ends_before_its_first_event(self) -> None:
        """Guards against an empty stream that looks complete when an upstream closes right after
        the head of a response with neither a length nor chunks."""
        empty = Script(unframed(b""), "close")
        self.assert_failed(self.relay(STREAMED, empty))
        self.assert_failed(self.relay(RESUMABLE, empty, empty))
        whole = Script(unframed(FIRST), "close")
        self.assert_complete(self.relay(RESUMABLE, empty, whole), FIRST)
        self.assert_broken_off(self.relay(RESUMABLE, BROKEN, empty), FIRST)
        comment = Script(unframed(b": wait\n\n"), "close")
        self.assert_broken_off(self.relay(RESUMABLE, BROKEN, comment), FIRST + b": wait\n\n")

    def test_silent_stream(self) -> None:
        """Guards against a silent stream that looks complete when it is given up."""
        silent = Script(unframed(FIRST, STREAM + b"connection: keep-alive\r\n"))
        received = self.relay(RESUMABLE, silent, Script(unframed(SECOND), "close"))
        self.assert_complete(received, FIRST + SECOND)
        received = self.relay(RESUMABLE._replace(attempts_count=1, timeout_s=2.0), silent)
        self.assert_broken_off(received, FIRST)

    def test_silence_without_a_place_to_continue_at(self) -> None:
        """Guards against giving up a silent stream that no other upstream could continue, since
        none of its events has a number yet."""
        rows: list[tuple[str, bytes]] = [
            ("comment", b": wait\n\n"),
            ("event without a number", b"data: wait\n\n"),
        ]
        rest = b"%x\r\n%s\r\n0\r\n\r\n" % (len(FIRST), FIRST)
        for name, begin in rows:
            with self.subTest(name), mock.patch.object(routed, "BODY_SILENCE_S", 0.2):
                silent = Script(chunked(begin, end=b""), "later", 0.6, repeated=rest)
                received = self.relay(RESUMABLE, silent, Script(chunked(FIRST)))
                self.assert_complete(received, begin + FIRST)

    def test_error_of_an_upstream_that_is_said_to_be_a_stream(self) -> None:
        """Guards against breaking off the whole error response of an upstream."""
        for status in (b"404 No", b"500 Oops"):
            for content in (
                response(b"no such draft", status, STREAM),
                unframed(b"no such draft", STREAM, status),
            ):
                with self.subTest(content):
                    received = self.relay(STREAMED, Script(content, "close"))
                    self.assertEqual(received.status, int(status[:3]))
                    self.assertEqual(received.content, b"no such draft")
                    self.assertTrue(received.complete, received)

    def test_invalid_status(self) -> None:
        """Guards against passing on a response whose status is none of HTTP's as the answer of its
        upstream, and against not repeating its request where that is allowed."""
        for status in (b"000", b"099", b"101", b"600", b"999"):
            for name, content in (
                ("length", response(b"yes", status + b" Oops")),
                ("close", unframed(b"yes", IDS, status + b" Oops")),
                ("stream", unframed(FIRST, STREAM, status + b" Oops")),
                ("no reason", response(b"yes", status)),
            ):
                with self.subTest(name, status=status):
                    first = Script(content, "close")
                    for route in (a_route(), STREAMED):
                        self.assert_failed(self.relay(route, first))
                        self.assertEqual(self.attempts_count, 1)
                    whole = Script(response(b"yes"))
                    received = self.relay(a_route(idempotent=True), first, whole)
                    self.assert_complete(received, b"yes")
                    whole = Script(chunked(FIRST + SECOND))
                    self.assert_complete(self.relay(RESUMABLE, first, whole), FIRST + SECOND)
                    received = self.relay(RESUMABLE, BROKEN, first)
                    self.assert_broken_off(received, FIRST)

    def test_malformed_status(self) -> None:
        """Guards against taking a status that is no number of three digits for a valid one."""
        statuses = [b"", b"2", b"20", b"2000", b"0200", b"+20", b"-20", b"+200", b"-200"]
        statuses += [b"2e2", b"abc", b"2.0", b"0x1", b"\xb2\xb2\xb2", b"200,", b"1 200"]
        for status in statuses:
            with self.subTest(status=status):
                first = Script(response(b"yes", status + b" OK"), "close")
                self.assert_failed(self.relay(a_route(), first))
                received = self.relay(a_route(idempotent=True), first, Script(response(b"yes")))
                self.assert_complete(received, b"yes")

    def test_responses_without_a_body(self) -> None:
        """Guards against taking a response that has no body for one that was broken off."""
        rows: list[tuple[str, bytes]] = [
            ("HEAD", unframed(b"")),
            ("HEAD", response(b"yes", headers=STREAM)[:-3]),
            ("HEAD", response(b"yes")[:-3]),
            ("POST", unframed(b"", status=b"204 No")),
            ("POST", response(b"yes", b"304 No")[:-3]),
            ("POST", response(b"", headers=STREAM)),
            ("POST", chunked(b"", end=b"")),
        ]
        for method, content in rows:
            with self.subTest(method=method, content=content):
                call = CALL.replace(b"POST", method.encode())
                received = self.relay(STREAMED, Script(content, "close"), content=call)
                self.assertEqual(received.status, int(content[9:12]))
                self.assertEqual((received.content, received.complete), (b"", True))

    def test_connection_of_a_broken_response(self) -> None:
        """Guards against keeping the connection of a response that was broken off, and against an
        error on it after that response."""
        kept = CALL.replace(b"connection: close\r\n", b"")
        rows: list[tuple[Route, Script]] = [
            (STREAMED, BROKEN),
            (RESUMABLE, BROKEN),
            (RESUMABLE, Script(response(FIRST + SECOND, headers=STREAM)[:-3], "close")),
        ]
        for route, first in rows:
            with self.subTest(route=route, first=first):

                async def run(route: Route = route, first: Script = first) -> bytes:
                    failure = Script(response(b"overloaded", b"500 Oops"))
                    async with relaying(route, first, failure) as relay:
                        return await relay.send(kept)

                received = loop.run(run)
                self.assertEqual(received.count(b"HTTP/1.1"), 1)
                self.assertNotIn(b"overloaded", received)
                self.assertNotIn(b"\r\n0\r\n", received)

    def test_caller_without_chunks(self) -> None:
        """Guards against a broken response that looks complete to a caller that knows no chunks,
        for which a response ends with its connection."""
        old = CALL.replace(b"HTTP/1.1", b"HTTP/1.0")
        received = self.relay(RESUMABLE, BROKEN, content=old)
        self.assertEqual((received.status, self.attempts_count), (400, 0))


if __name__ == "__main__":
    unittest.main()
