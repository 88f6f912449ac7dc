"""Guards against joining the first part of a second response with the response that follows it."""

from __future__ import annotations

import contextlib
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio.abc import SocketAttribute

from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import FailedAnswer, WrongAnswer
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams.test_routed import AttemptResult, attempt, response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

SAFE = a_route(idempotent=True)


def head(status: bytes, *fields: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.1 " + status, *fields, b"", b""])


class Repeat(NamedTuple):
    """Two responses that an upstream sends on one connection, and a part between them."""

    first: bytes
    part: bytes
    """Sent when the second request has arrived, in front of its response."""
    second: bytes
    first_id: str = "id-0"
    """Id of the first request; the second one is ``id-1``."""


@asynccontextmanager
async def repeating_upstream(repeat: Repeat) -> AsyncIterator[str]:
    """Run an upstream that sends the part on connections that carry a second request."""

    async def handle(stream: SocketStream) -> None:
        responses_count = 0
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while request := await stream.receive():
                    is_first = repeat.first_id.encode() in request and responses_count == 0
                    sent = repeat.first if is_first else repeat.second
                    await stream.send(repeat.part + sent if responses_count else sent)
                    responses_count += 1

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


async def second_result(repeat: Repeat) -> AttemptResult:
    """Send both requests with one client, and return what the second attempt yields."""
    async with repeating_upstream(repeat) as url, create_client() as client:
        with anyio.fail_after(5):
            for request_id in (repeat.first_id, "id-1"):
                exchange = a_routed_exchange(SAFE, request_id=request_id, body=request_id.encode())
                result = await attempt(url, exchange, client)
            return result


class PartialCopyTest(unittest.TestCase):
    def check(self, repeat: Repeat, expected: AttemptResult) -> None:
        """The second attempt yields the right response, or none."""
        result = anyio.run(second_result, repeat)
        match result.error:
            case WrongAnswer():
                self.assertEqual((result.status, result.content), (None, b""))
            case FailedAnswer(head=failed_head, content=content):
                self.assertEqual((failed_head.status, content), (expected.status, expected.content))
            case None:
                self.assertEqual(result, expected)
            case error:
                # The connection may fail, but no response may be made up of two.
                self.assertEqual((result.status, result.content), (None, b""), repr(error))

    def test_parts_of_a_head(self) -> None:
        """Guards against the status of an earlier response, whose first line the right head
        completes, and against its headers."""
        first = response(b"older", b"500 Oops", b"x-id: id-0\r\nx-proof: q\r\n")
        parts = {
            "inside the reason": first[: first.index(b"Oops") + 1],
            "inside the name of the first header": first[: first.index(b"x-id") + 2],
            "inside a header that does not matter": b"HTTP/1.1 500 Oops\r\nDate: Sun",
            "inside a header behind the id": first[: first.index(b"x-proof") + 9],
            "of a refusal": b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 0",
            "inside the version": first[:7],
        }
        for name, part in parts.items():
            with self.subTest(name):
                second = response(b"yes")
                self.check(Repeat(first, part, second), AttemptResult(200, b"yes", None))

    def test_failure_behind_a_part_of_a_success(self) -> None:
        """Guards against passing on an error of the upstream with the status of a success."""
        first = response(b"older", headers=b"x-id: id-0\r\nx-proof: q\r\n")
        second = response(b"no", b"500 Oops")
        part = first[: first.index(b"OK") + 1]
        self.check(Repeat(first, part, second), AttemptResult(500, b"no", None))

    def test_parts_of_a_body(self) -> None:
        """Guards against a body of an earlier attempt of the same request that is filled up with
        the response to the repeated one."""
        first = response(b"no" * 100, b"500 Oops")
        second = response(b"yes" * 100)
        part = first[:-100]
        self.check(
            Repeat(first, part, second, first_id="id-1"), AttemptResult(200, b"yes" * 100, None)
        )


if __name__ == "__main__":
    unittest.main()
