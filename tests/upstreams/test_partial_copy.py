"""Guards against joining the first part of a second response with the response that follows it."""

from __future__ import annotations

import contextlib
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio.abc import SocketAttribute

from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import Declined, FailedAnswer
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams.test_routed import AttemptResult, attempt, response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

SAFE = a_route(idempotent=True)


class Repeat(NamedTuple):
    """Two responses that an upstream sends on one connection, and a part between them."""

    first: bytes
    part: bytes
    second: bytes
    first_id: str = "id-0"
    """Id of the first request; the second one is ``id-1``."""
    is_late: bool = True
    """Whether the part is sent when the second request has arrived, in front of its response,
    instead of in one write with the first response."""


@asynccontextmanager
async def joining_upstream(repeat: Repeat) -> AsyncIterator[str]:
    """Run an upstream that sends the part on connections that carry a second request."""

    first_is_due = True

    async def handle(stream: SocketStream) -> None:
        nonlocal first_is_due
        carried_first = False
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while await stream.receive():
                    if first_is_due:
                        first_is_due, carried_first = False, True
                        await stream.send(repeat.first + (b"" if repeat.is_late else repeat.part))
                    else:
                        sends_part = carried_first and repeat.is_late
                        await stream.send((repeat.part if sends_part else b"") + repeat.second)
                        carried_first = False

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


async def second_result(repeat: Repeat) -> AttemptResult:
    """Send both requests with one client, and return what the second attempt yields."""
    async with joining_upstream(repeat) as url, create_client() as client:
        with anyio.fail_after(5):
            is_repeated = repeat.first_id == "id-1"
            for request_id, number in ((repeat.first_id, 1), ("id-1", 2 if is_repeated else 1)):
                exchange = a_routed_exchange(SAFE, request_id=request_id, body=request_id.encode())
                exchange.attempt = number
                result = await attempt(url, exchange, client)
            return result


class PartialCopyTest(unittest.TestCase):
    def check(self, expected: AttemptResult, *repeats: Repeat) -> None:
        """The second attempt yields the right response, or none that is made up of two."""
        joined = [
            (repeat.part, is_late, result)
            for repeat in repeats
            for is_late in (True, False)
            if not self.is_right(
                result := anyio.run(second_result, repeat._replace(is_late=is_late)), expected
            )
        ]
        self.assertEqual(joined, [])

    def is_right(self, result: AttemptResult, expected: AttemptResult) -> bool:
        match result.error:
            case None:
                return result == expected
            case FailedAnswer(head=head, content=content):
                return (head.status, content) == (expected.status, expected.content)
            case Declined():
                return False
            case _:
                return (result.status, result.content) == (None, b"")

    def test_parts_of_a_head(self) -> None:
        """Guards against the status of an earlier response, whose first line the right head
        completes, and against its headers."""
        first = response(b"older", b"500 Oops", b"x-id: id-0\r\nx-proof: q\r\n")
        parts = [
            *(first[:length] for length in range(1, first.index(b"\r\n\r\n") + 4)),
            b"HTTP/1.1 500 Oops\r\nDate: Sun",
            b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nRetry-After: 0",
        ]
        repeats = [Repeat(first, part, response(b"yes")) for part in parts]
        self.check(AttemptResult(200, b"yes", None), *repeats)

    def test_failure_behind_a_part_of_a_success(self) -> None:
        """Guards against passing on an error of the upstream with the status of a success."""
        first = response(b"older", headers=b"x-id: id-0\r\nx-proof: q\r\n")
        part = first[: first.index(b"OK") + 1]
        repeat = Repeat(first, part, response(b"no", b"500 Oops"))
        self.check(AttemptResult(500, b"no", None), repeat)

    def test_parts_of_a_body(self) -> None:
        """Guards against a body of an earlier attempt of the same request that is filled up with
        the response to the repeated one."""
        first = response(b"no" * 100, b"500 Oops")
        content = b"yes" * 100
        repeat = Repeat(first, first[:-100], response(content), first_id="id-1")
        self.check(AttemptResult(200, content, None), repeat)


if __name__ == "__main__":
    unittest.main()
