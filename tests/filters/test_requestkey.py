"""Guards against requests that come again and are not known, and against keys that collide."""

from __future__ import annotations

import unittest

from structlog.testing import capture_logs

from camphorvalve.filters.retry import RetryFilter
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import REQUEST_KEY_PREFIX, request_key, shared_part_ids
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.upstreams.errors import NoAnswer, NotSent
from tests.filters.harness import run_filter
from tests.routebuilders import a_prompt, a_routed_exchange


class RequestKeyTest(unittest.IsolatedAsyncioTestCase):
    def test_what_identifies_a_request(self) -> None:
        key = request_key("youth", "/drafts/1", b"violins")
        self.assertEqual(request_key("youth", "/drafts/1", b"violins"), key)
        cases = {
            "caller": ("youths", "/drafts/1", b"violins"),
            "target": ("youth", "/drafts/1?a", b"violins"),
            "body": ("youth", "/drafts/1", b""),
            "border": ("youth", "/drafts/1\nviolin", b"s"),
        }
        for name, (caller, target, body) in cases.items():
            with self.subTest(name):
                self.assertNotEqual(request_key(caller, target, body), key)

    def test_not_a_part(self) -> None:
        """Guards against a caller that names a part of a prompt like another caller's request."""
        key = request_key("youth", "/drafts/1", b"violins")
        exchange = a_routed_exchange(prompt=a_prompt(key, "a", "last"))
        part_ids = shared_part_ids(exchange.request.call)
        self.assertNotIn(key, part_ids)
        self.assertFalse(any(part_id.startswith(REQUEST_KEY_PREFIX) for part_id in part_ids))
        self.assertEqual(len(part_ids), 2)

    async def test_log(self) -> None:
        """Guards against a log that doesn't show that a request came again."""
        errors = {
            "ended": NoAnswer("up-1", "closed", connection_ended=True),
            "refused": NotSent("up-1", "refused"),
        }
        for name, error in errors.items():
            with self.subTest(name), capture_logs() as logs:

                async def attempt(exchange, error=error):
                    raise error
                    yield

                exchange = a_routed_exchange()
                retries = RetryFilter(RetryBudget(ratio=0.2, floor_count=lambda: 0))
                with self.assertRaises(RequestError):
                    await run_filter(retries, exchange, attempt)
                (line,) = [line for line in logs if line["event"] == "attempt failed"]
                expected = request_key("key-1", "/drafts/1?part=2", b"violins")
                self.assertEqual(line["request_key"], expected if name == "ended" else None)
