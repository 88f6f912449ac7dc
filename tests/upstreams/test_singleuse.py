"""Behaviour of the client towards upstreams that respond more than once."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

import anyio
from structlog.testing import capture_logs

from camphorvalve.upstreams import singleuse
from camphorvalve.upstreams.attempt import open_attempt
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.errors import WrongAnswer
from camphorvalve.upstreams.singleuse import SingleUseOrigins
from tests.builders import a_service, a_service_exchange
from tests.rawpeers import Script, repeating_upstream, upstream
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams import test_attempt
from tests.upstreams.test_routed import AttemptResult, attempt, response

if TYPE_CHECKING:
    from camphorvalve.upstreams.client import UpstreamClient

EVENT = "connections limited to one request"
SHORT_TIME_S = 0.3


def a_response(number: int) -> bytes:
    headers = b"x-id: id-%d\r\nx-proof: p\r\nx-request-id: id-%d\r\n" % (number, number)
    return response(b"%d" % number, headers=headers)


async def attempt_safely(url: str, number: int, client: UpstreamClient) -> AttemptResult:
    exchange = a_routed_exchange(a_route(idempotent=True), request_id=f"id-{number}")
    return await attempt(url, exchange, client)


class SingleUseTest(unittest.TestCase):
    def test_response_to_another_request(self) -> None:
        """Guards against losing attempt after attempt to earlier responses on kept connections,
        and against a log line for each."""
        contents = [a_response(number) for number in range(8)]

        async def run() -> list[AttemptResult]:
            async with repeating_upstream(*contents) as (url, _), create_client() as client:
                return [await attempt_safely(url, number, client) for number in range(8)]

        with capture_logs() as lines:
            first, second, *others = anyio.run(run)
        self.assertEqual(first, AttemptResult(200, b"0", None))
        self.assertIsInstance(second.error, WrongAnswer)
        expected = [AttemptResult(200, b"%d" % number, None) for number in range(2, 8)]
        self.assertEqual(others, expected)
        reasons = [line["reason"] for line in lines if line["event"] == EVENT]
        self.assertEqual(reasons, ["response to request 'id-0'"])

    def test_call_to_a_service(self) -> None:
        """Guards against an interface of upstreams whose check reports nothing to the client."""
        contents = [a_response(number) for number in range(5)]

        async def run() -> list[test_attempt.AttemptResult]:
            async with repeating_upstream(*contents) as (url, _), create_client() as client:
                exchanges = [a_service_exchange(request_id=f"id-{number}") for number in range(5)]
                return [
                    await test_attempt.collect(
                        open_attempt(client, a_service(url=url), exchange, 1)
                    )
                    for exchange in exchanges
                ]

        results = anyio.run(run)
        self.assertIsInstance(results.pop(1).error, WrongAnswer)
        self.assertEqual([result.content for result in results], [b"0", b"2", b"3", b"4"])

    def test_bytes_behind_a_response(self) -> None:
        """Guards against trusting an upstream whose second responses have met no request yet."""
        rows = {
            "same packet": Script(a_response(0) * 2),
            "next packet": Script(a_response(0), "extra", 0.05),
        }
        for name, script in rows.items():

            async def run(script: Script = script) -> int:
                scripts = [script, *(Script(a_response(number)) for number in (1, 2, 3))]
                async with upstream(*scripts) as (url, peer), create_client() as client:
                    for number in range(4):
                        result = await attempt_safely(url, number, client)
                        self.assertEqual(result.content, b"%d" % number)
                        await anyio.sleep(0.1)
                    return peer.connections_count

            with self.subTest(name), capture_logs() as lines:
                self.assertEqual(anyio.run(run), 4)
                reasons = [line["reason"] for line in lines if line["event"] == EVENT]
                self.assertEqual(reasons, ["bytes behind a complete response"])

    def test_second_response_in_a_body(self) -> None:
        """Guards against trusting the kept connections of an upstream that sends a second response
        where only the end of a connection ends the first one."""
        unframed = b"HTTP/1.1 200 OK\r\nx-id: id-0\r\nx-proof: p\r\n\r\n0"
        rows = {"body": unframed * 2, "head": b"HTTP/1.1 200 O" + a_response(0)}
        for name, content in rows.items():

            async def run(content: bytes = content) -> int:
                scripts = [Script(content, "close"), *(Script(a_response(n)) for n in (1, 2))]
                async with upstream(*scripts) as (url, peer), create_client() as client:
                    for number in range(3):
                        await attempt_safely(url, number, client)
                    return peer.connections_count

            with self.subTest(name):
                self.assertEqual(anyio.run(run), 3)

    def test_end(self) -> None:
        """Guards against an upstream that responded twice once and never gets a kept connection
        again, and against other upstreams that share its fate."""

        async def run() -> list[int]:
            doubled = [Script(a_response(0) * 2), *(Script(a_response(n)) for n in (1, 2, 3))]
            sound = [Script(a_response(number)) for number in (0, 1)]
            async with (
                upstream(*doubled) as (url, peer),
                upstream(*sound) as (other_url, other_peer),
                create_client() as client,
            ):
                counts = []
                for number in range(4):
                    if number == 2:
                        await anyio.sleep(2 * SHORT_TIME_S)
                    await attempt_safely(url, number, client)
                    counts.append(peer.connections_count)
                for number in range(2):
                    await attempt_safely(other_url, number, client)
                return [*counts, other_peer.connections_count]

        with mock.patch.object(singleuse, "SINGLE_USE_S", SHORT_TIME_S):
            self.assertEqual(anyio.run(run), [1, 2, 3, 3, 1])

    def test_size(self) -> None:
        """Guards against memory that grows with the upstreams that have ever responded twice."""
        origins = SingleUseOrigins()
        with mock.patch.object(singleuse, "SINGLE_USE_S", 0.0):
            for number in range(100):
                origins.add(f"http://127.0.0.1:{number}", "test")
        self.assertNotIn("http://127.0.0.1:1", origins)
        self.assertEqual(len(origins), 1)


if __name__ == "__main__":
    unittest.main()
