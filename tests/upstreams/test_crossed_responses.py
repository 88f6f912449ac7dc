"""Guards against taking a second response of an upstream for the one to another request."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import TYPE_CHECKING, NamedTuple
from unittest import mock

import anyio
import httpcore

from camphorvalve.upstreams import client as client_module
from camphorvalve.upstreams.attempt import open_attempt
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.engine import cancel
from camphorvalve.upstreams.errors import WrongAnswer
from camphorvalve.upstreams.options import AttemptOptions
from camphorvalve.upstreams.reports import read_load
from camphorvalve.upstreams.transcript import DONE
from tests.builders import a_service, a_service_exchange, a_stream_exchange, an_upstream
from tests.rawpeers import Script, upstream
from tests.upstreams.test_attempt import JSON_BODY, AttemptResult, collect

if TYPE_CHECKING:
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.client import UpstreamClient

LOAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 60\r\n\r\n"
    b'{"running": 1, "waiting": 0, "slots": 4, "measured_at_s": 1}'
)
OPTIONS = AttemptOptions(inactivity_timeout_s=5.0, connect_timeout_s=5.0)
REQUESTS_COUNT = 4
PAUSE_S = 0.03
"""Delay of a late response; twice as much passes between two requests."""
CANCELLED = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 19\r\n\r\n"
    b'{"cancelled": true}'
)


class Kind(NamedTuple):
    """A kind of call, and the bodies of its responses."""

    exchange: Exchange
    upstream: Upstream
    content_type: bytes
    body: bytes
    """Has a ``%d`` for the number of the request."""


def a_kind(name: str, request_id: str = "id-0") -> Kind:
    match name:
        case "stream":
            events = b'id: 1\ndata: {"text": "a %d"}\n\nid: 2\ndata: {"text": "b"}\n\n' + DONE
            exchange = a_stream_exchange(request_id=request_id)
            return Kind(exchange, an_upstream(), b"text/event-stream", events)
        case "completion":
            exchange = a_stream_exchange(request_id=request_id, body=JSON_BODY)
            return Kind(exchange, an_upstream(), b"application/json", b'{"text": "%d"}')
        case _:
            exchange = a_service_exchange(request_id=request_id)
            return Kind(exchange, a_service(), b"text/plain", b"slot %d")


def a_response(
    kind: Kind,
    number: int,
    *,
    names: bytes = b"id attempt",
    framing: str = "length",
    attempt: int = 1,
) -> bytes:
    """Build the response to an attempt of a request."""
    body = kind.body % number
    head = b"HTTP/1.1 200 OK\r\ncontent-type: " + kind.content_type + b"\r\n"
    if b"id" in names:
        head += b"x-request-id: id-%d\r\n" % number
    if b"attempt" in names:
        head += b"x-attempt: %d\r\n" % attempt
    match framing:
        case "length":
            return head + b"content-length: %d\r\n\r\n" % len(body) + body
        case "chunks":
            return head + b"transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
                len(body),
                body,
            )
        case _:
            return head + b"\r\n" + body


def a_script(form: str, content: bytes, *, closes: bool) -> Script:
    """Build the script of a response that is sent twice."""
    match form:
        case "same write":
            return Script(content * 2, "close" if closes else "keep")
        case "later":
            ending = "later then close" if closes else "later"
            return Script(content, ending, PAUSE_S, repeated=content)
        case "two pieces":
            ending = "later then close" if closes else "later"
            return Script(content + content[:40], ending, PAUSE_S, repeated=content[40:])
        case "cut off":
            return Script(content + content[:40], "close")
        case _:
            return Script(content, "close" if closes else "next")


async def run(
    client: UpstreamClient, url: str, kind: Kind, attempt: int = 1, *, fresh: bool = False
) -> AttemptResult:
    target = kind.upstream._replace(url=url)
    options = OPTIONS._replace(fresh_connection=fresh)
    return await collect(open_attempt(client, target, kind.exchange, attempt, options))


class CrossedResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.client = await self.enterAsyncContext(create_client())

    async def check_form(self, name: str, form: str, framing: str, names: bytes) -> None:
        served = [
            a_script(
                form,
                a_response(a_kind(name), number, names=names, framing=framing),
                closes=framing == "close",
            )
            for number in range(REQUESTS_COUNT)
        ]
        async with upstream(*served, cancel_response=CANCELLED) as (url, _):
            for number in range(REQUESTS_COUNT):
                kind = a_kind(name, f"id-{number}")
                result = await run(self.client, url, kind)
                own = kind.body % number
                with self.subTest(name, form=form, framing=framing, names=names, number=number):
                    if result.error is None:
                        self.assertEqual((result.status, result.content), (200, own))
                    else:
                        self.assertTrue(own.startswith(result.content), result)
                await anyio.sleep(2 * PAUSE_S)

    async def test_forms_of_a_second_response(self) -> None:
        """Guards against a body that belongs to an earlier request, or goes on with one."""
        rows = itertools.product(
            ("stream", "completion", "service"),
            ("same write", "later", "two pieces", "cut off", "in the place of the next"),
            ("length", "chunks", "close"),
            (b"id attempt", b"id", b""),
        )
        await asyncio.gather(*(self.check_form(*row) for row in rows))

    async def test_response_to_another_call(self) -> None:
        """Guards against taking the response to a cancel or a load report, which has no id, for
        the one to the next request on its connection."""
        for name in ("stream", "completion", "service"):
            for form in ("cancel in between", "report twice"):
                with self.subTest(name, form=form):
                    kind = a_kind(name, "id-1")
                    first, own = (Script(a_response(kind, number), "next") for number in (0, 1))
                    if form == "report twice":
                        first = Script(LOAD * 2)
                    async with upstream(first, own, own, cancel_response=CANCELLED) as (url, _):
                        target = kind.upstream._replace(url=url)
                        if form == "report twice":
                            await read_load(self.client, target, 5.0)
                        else:
                            await run(self.client, url, a_kind(name, "id-0"))
                            await cancel(self.client, target, "id-0", 1)
                        result = await run(self.client, url, kind)
                    self.assertIn(result.content, (b"", kind.body % 1))
                    self.assertEqual(result.error is None, result.content != b"", result)

    async def test_response_to_an_earlier_attempt(self) -> None:
        """Guards against taking a second response to an earlier attempt of the same request for
        the one to this attempt."""
        for name in ("stream", "completion", "service"):
            for names in (b"id attempt", b"id", b""):
                for ending in ("next", "keep"):
                    with self.subTest(name, names=names, ending=ending):
                        kind = a_kind(name)
                        first = a_response(kind, 0, names=names)
                        copies_count = 2 if ending == "keep" else 1
                        later = kind._replace(body=kind.body.replace(b"%d", b"own %d"))
                        own = a_response(later, 0, names=names, attempt=2)
                        # While a script is left, cancels get their response.
                        served = (Script(first * copies_count, ending), Script(own), Script(own))
                        async with upstream(*served, cancel_response=CANCELLED) as (url, _):
                            await run(self.client, url, kind)
                            result = await run(self.client, url, a_kind(name), attempt=2)
                        if result.error is None:
                            expected = AttemptResult(200, later.body % 0, None)
                            self.assertEqual(result, expected)
                        else:
                            self.assertIsInstance(result.error, WrongAnswer)
                            self.assertEqual(result.content, b"")

    async def test_bytes_after_the_end_marker(self) -> None:
        """Guards against events after the end of a stream, and against a stream that ends only
        when its connection does."""
        kind = a_kind("stream")
        own, extra = kind.body % 0, kind.body % 1
        for framing in ("chunks", "close"):
            for rest in (extra, extra[:30], extra[-len(DONE) :], b"garbage\n\n"):
                for ending in ("close", "keep"):
                    with self.subTest(framing=framing, rest=rest, ending=ending):
                        whole = kind._replace(body=kind.body + rest)
                        content = a_response(whole, 0, framing=framing)
                        async with upstream(Script(content, ending)) as (url, _):
                            with anyio.fail_after(OPTIONS.inactivity_timeout_s / 2):
                                result = await run(self.client, url, kind)
                        self.assertEqual(result, AttemptResult(200, own, None))

    async def test_bytes_without_end_after_the_end_marker(self) -> None:
        """Guards against a stream that never ends although its end marker has arrived."""
        kind = a_kind("stream")
        more = b"6\r\n: no\n\n\r\n"
        for framing, repeated in (("chunks", more), ("close", b": no\n\n")):
            with self.subTest(framing):
                content = a_response(kind, 0, framing=framing).removesuffix(b"0\r\n\r\n")
                script = Script(content, "endless", repeated=repeated, repeat_pause_s=0.01)
                async with upstream(script) as (url, peer):
                    with anyio.fail_after(OPTIONS.inactivity_timeout_s):
                        result = await run(self.client, url, kind)
                        await peer.closed_by_caller.wait()
                self.assertEqual(result, AttemptResult(200, kind.body % 0, None))

    async def test_first_response_without_an_id(self) -> None:
        """Guards against refusing a plain service that does not send the ids back."""
        for name in ("stream", "completion", "service"):
            for fresh in (False, True):
                with self.subTest(name, fresh=fresh):
                    kind = a_kind(name)
                    async with upstream(Script(a_response(kind, 0, names=b""))) as (url, _):
                        result = await run(self.client, url, kind, fresh=fresh)
                    self.assertEqual(result, AttemptResult(200, kind.body % 0, None))

    async def test_responses_without_an_id_over_another_backend(self) -> None:
        """Guards against rejecting all responses of a service that returns no id, if its
        connections are those of httpcore, as encrypted ones are."""
        scripts = [Script(a_response(a_kind("service"), 0, names=b""))] * REQUESTS_COUNT
        with mock.patch.object(client_module, "Backend", httpcore.AnyIOBackend):
            async with upstream(*scripts) as (url, _):
                for _ in range(REQUESTS_COUNT):
                    kind = a_kind("service")
                    result = await run(self.client, url, kind)
                    self.assertEqual(result, AttemptResult(200, kind.body % 0, None))


if __name__ == "__main__":
    unittest.main()
