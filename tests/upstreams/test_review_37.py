"""Guards against faults that the review of the fixes against second responses found."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio
import httpcore

from camphorvalve.upstreams import client as client_module
from camphorvalve.upstreams.attempt import open_attempt
from camphorvalve.upstreams.client import create_client
from tests.builders import a_service, a_service_exchange
from tests.rawpeers import Script, upstream
from tests.routebuilders import a_route, a_routed_exchange
from tests.upstreams import test_attempt
from tests.upstreams.test_routed import AttemptResult, attempt, response
from tests.upstreams.test_second_response import unframed

SAFE = a_route(idempotent=True)
REQUESTS_COUNT = 3


class ReviewTest(unittest.TestCase):
    def test_service_without_ids_behind_another_backend(self) -> None:
        """Guards against rejecting all responses of a service that returns no id, if its
        connections are those of httpcore, as encrypted ones are."""

        async def run() -> list[test_attempt.AttemptResult]:
            plain = response(b"yes", headers=b"")
            scripts = [Script(plain)] * REQUESTS_COUNT
            async with upstream(*scripts) as (url, _), create_client() as client:
                return [
                    await test_attempt.collect(
                        open_attempt(client, a_service(url=url), a_service_exchange(), 1)
                    )
                    for _ in range(REQUESTS_COUNT)
                ]

        with mock.patch.object(client_module, "Backend", httpcore.AnyIOBackend):
            results = anyio.run(run)
        expected = test_attempt.AttemptResult(200, b"yes", None)
        self.assertEqual(results, [expected] * REQUESTS_COUNT)

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

    async def result_of(self, script: Script) -> AttemptResult:
        async with upstream(script) as (url, _):
            with anyio.fail_after(5):
                return await attempt(url, a_routed_exchange(SAFE))


if __name__ == "__main__":
    unittest.main()
