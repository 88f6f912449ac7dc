"""What callers receive when an upstream responds before it has read a long request."""

from __future__ import annotations

import itertools
import unittest
from typing import TYPE_CHECKING

from camphorvalve import loop
from camphorvalve.filters.chain import compose
from camphorvalve.filters.dispatch import Dispatch
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.upstreams.client import create_client
from tests.builders import a_service
from tests.filters.test_dispatch import OneUpstream, granted
from tests.http.earlypeers import Close, Early, HalfClose, Keep, ReadOn, Reset, early_upstream
from tests.http.rawresponses import FIRST, IDS, SECOND, STREAM, chunked, response, unframed
from tests.http.relaying import Received, parse, relaying
from tests.http.serving import caller_app, serving
from tests.http.test_second_responses import classified
from tests.rawpeers import Script, exchange_bytes
from tests.routebuilders import a_route

if TYPE_CHECKING:
    from camphorvalve.model.routes import Route

ROUTE = a_route(timeout_s=2.0)
SAFE = a_route(idempotent=True)
STREAMED = a_route(streamed=True, timeout_s=2.0)
RESUMABLE = a_route(streamed=True, resumable=True)
MANY_BYTES = b"x" * 70_000
"""More than is read ahead of a response."""
EXPECT = b"expect: 100-continue\r\n"
PAUSES_S = (0.0, 0.05)
RESETS = (Reset(), Close())


def a_call(size_bytes: int, *, in_chunks: bool = False, headers: bytes = b"") -> bytes:
    """Build a request with a long body whose parts tell where they belong."""
    head = b"POST /drafts/1 HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n" + headers
    body = a_body(size_bytes)
    if not in_chunks:
        return head + b"content-length: %d\r\n\r\n%s" % (size_bytes, body)
    pieces = (body[start : start + 65_536] for start in range(0, size_bytes, 65_536))
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def a_body(size_bytes: int) -> bytes:
    return b"".join(b"%07d\n" % number for number in range(size_bytes // 8))


CALLS = {
    "4 MiB": a_call(4 << 20),
    "16 MiB": a_call(16 << 20),
    "4 MiB in chunks": a_call(4 << 20, in_chunks=True),
    "expectation": a_call(4 << 20, headers=EXPECT),
}
BODIES = {name: a_body((16 if name == "16 MiB" else 4) << 20) for name in CALLS}


async def at_own_port(early: Early, call: bytes) -> Received:
    """Serve one call to a plain service that may not be repeated."""
    async with early_upstream(early) as (url, _), create_client() as client:
        dispatch = Dispatch(client, OneUpstream(a_service(url=url)))
        filters = (classified(idempotent=False), RetryFilter(RetryBudget()))
        async with serving(caller_app(compose(filters, granted(dispatch)))) as served:
            return parse(await exchange_bytes(served.port, call, wait_s=10.0))


class EarlyResponsesTest(unittest.TestCase):
    def relay(self, route: Route, call: bytes, *scripts: Script | Early) -> Received:
        """Serve one call, and keep what the upstreams received."""

        async def run() -> Received:
            async with relaying(route, *scripts) as relay:
                received = await relay.call(call)
                self.requests = [request for peer in relay.peers for request in peer.received]
                return received

        return loop.run(run)

    def assert_refused(self, received: Received) -> None:
        """Check for an error of the router."""
        self.assertIn(received.status, (502, 504))
        self.assertNotIn("x-proof", received.headers)

    def test_reset(self) -> None:
        """Guards against a part that is passed on as a whole response, because its connection was
        reset while the request was still being written."""
        whole = Script(response(b"yes"))
        for (name, call), ending, pause_s in itertools.product(CALLS.items(), RESETS, PAUSES_S):
            for part in (b"ye", MANY_BYTES):
                with self.subTest(name, ending=ending, pause_s=pause_s, part_bytes=len(part)):
                    first = Early(unframed(part, IDS), ending, pause_s)
                    self.assert_refused(self.relay(ROUTE, call, first))
                    received = self.relay(SAFE, call, first, whole)
                    self.assertEqual((received.status, received.content), (200, b"yes"))

    def test_reset_of_a_framed_response(self) -> None:
        """Guards against a part of a response with a length or in chunks that looks whole."""
        for (name, call), ending in itertools.product(CALLS.items(), RESETS):
            for content in (response(b"yes")[:-1], chunked(b"yes", b"", IDS)):
                with self.subTest(name, ending=ending, content=content):
                    early = Early(content, ending, PAUSES_S[1])
                    self.assert_refused(self.relay(ROUTE, call, early))

    def test_reset_of_a_stream(self) -> None:
        """Guards against a stream that looks complete although its connection was reset while the
        request was still being written."""
        rest = Script(chunked(FIRST + SECOND))
        for (name, call), ending, pause_s in itertools.product(CALLS.items(), RESETS, PAUSES_S):
            for part in (FIRST, FIRST + SECOND[:-1]):
                with self.subTest(name, ending=ending, pause_s=pause_s, part=part):
                    first = Early(unframed(part, STREAM), ending, pause_s)
                    received = self.relay(STREAMED, call, first)
                    if received.status == 200:
                        self.assertEqual((received.content, received.complete), (FIRST, False))
                    else:
                        self.assert_refused(received)
                    received = self.relay(RESUMABLE, call, first, rest)
                    self.assertEqual((received.content, received.complete), (FIRST + SECOND, True))

    def test_request_that_is_read_later(self) -> None:
        """Guards against losing an early response, and against other bytes than the rest of the
        body on the connection of an upstream that reads on."""
        for name, call in CALLS.items():
            for content in (response(b"yes"), chunked(b"yes", headers=IDS)):
                for route in (ROUTE, SAFE):
                    with self.subTest(name, content=content, idempotent=route is SAFE):
                        received = self.relay(route, call, Early(content, ReadOn(), PAUSES_S[1]))
                        self.assertEqual((received.status, received.content), (200, b"yes"))
                        (request,) = self.requests
                        self.assertTrue(BODIES[name].startswith(request.partition(b"\r\n\r\n")[2]))

    def test_request_that_is_never_read(self) -> None:
        """Guards against another request where the rest of a body is due, and against a part of a
        response that is passed on as whole at the deadline."""
        for ending in (Keep(), HalfClose()):
            for content in (response(b"yes"), unframed(b"yes", IDS)):
                with self.subTest(ending=ending, content=content):
                    received = self.relay(ROUTE, CALLS["16 MiB"], Early(content, ending))
                    if received.status == 200:
                        self.assertEqual((received.content, received.complete), (b"yes", True))
                    else:
                        self.assert_refused(received)
                    (request,) = self.requests
                    self.assertTrue(BODIES["16 MiB"].startswith(request.partition(b"\r\n\r\n")[2]))

    def test_interim_response_behind_the_final_one(self) -> None:
        """Guards against an interim response in the body of the response before it."""
        contents = {
            "length": response(b"yes"),
            "chunks": chunked(b"yes", headers=IDS),
            "close": unframed(b"yes", IDS),
        }
        interims = (b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 100 Continue\n\n")
        for (name, content), interim in itertools.product(contents.items(), interims):
            for early in (
                Early(content + interim, HalfClose()),
                Early(content, HalfClose(), PAUSES_S[1], interim),
            ):
                with self.subTest(name, early=early):
                    received = self.relay(ROUTE, a_call(8, headers=EXPECT), early)
                    if name == "close":
                        self.assert_refused(received)
                    else:
                        self.assertEqual((received.content, received.complete), (b"yes", True))

    def test_interim_response_before_the_final_one(self) -> None:
        """Guards against losing a response behind those that come before it."""
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: </a>\r\n\r\n"
        for name, call in CALLS.items():
            with self.subTest(name):
                early = Early(interim + response(b"yes"), ReadOn())
                received = self.relay(ROUTE, call, early)
                self.assertEqual((received.status, received.content), (200, b"yes"))

    def test_interim_responses_without_end(self) -> None:
        """Guards against an interim response that is passed on as the final one."""
        interim = b"HTTP/1.1 102 Wait\r\nx-id: id-1\r\nx-proof: p\r\n\r\n"
        for repeat_pause_s in (0.0, 0.02):
            with self.subTest(repeat_pause_s=repeat_pause_s):
                script = Script(interim, "endless", 0.0, False, interim, repeat_pause_s)
                self.assert_refused(self.relay(ROUTE, a_call(8), script))

    def test_reset_at_the_own_port(self) -> None:
        """Guards against the same at the port for callers of engines and services: a short part
        fails, and one that has been passed on breaks off."""
        call = a_call(4 << 20).replace(b"/drafts/1", b"/v1/services/booking-desk/slots/1")
        for ending, pause_s in itertools.product(RESETS, PAUSES_S):
            for part in (b"ye", MANY_BYTES, 10 * MANY_BYTES):
                with self.subTest(ending=ending, pause_s=pause_s, part_bytes=len(part)):
                    early = Early(unframed(part, b""), ending, pause_s)
                    received = loop.run(lambda early=early: at_own_port(early, call))
                    if received.status == 200:
                        self.assertGreater(len(received.content), len(MANY_BYTES))
                        self.assertFalse(received.complete)
                    else:
                        self.assert_refused(received)


if __name__ == "__main__":
    unittest.main()
