"""Guards against requests with the wrong kind or pool, and against bodies that engines reject."""

from __future__ import annotations

import unittest

from camphorvalve.filters.classify import classify
from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Completion, ServiceCall
from camphorvalve.model.upstreams import ChecksFencing, ModelEngine, PlainService
from tests.builders import POOL, a_kind, an_exchange, team_parameters
from tests.filters.harness import response_handler, run_filter

DESK = "booking-desk"
INTERFACES = {POOL: ModelEngine(ChecksFencing()), DESK: PlainService()}
DESK_KINDS = {"slot": a_kind(pool=DESK), "check": a_kind(pool=DESK)}
MODEL_KINDS = {"chat": a_kind(), "draft": a_kind()}
CALL = ServiceCall("GET", "/x")


class ClassifyTest(unittest.IsolatedAsyncioTestCase):
    async def test_kind_and_pool(self) -> None:
        both = {**DESK_KINDS, **MODEL_KINDS}
        desk = {"call": CALL, "pool": DESK, "kind": "slot"}
        cases = [
            ("header", both, {"kind": "chat"}, "chat", POOL),
            ("body", both, {"body": b'{"model":"m","prompt":"","kind":"draft"}'}, "draft", POOL),
            ("the only one", {"chat": a_kind(), **DESK_KINDS}, {}, "chat", POOL),
            ("service", both, desk, "slot", DESK),
            ("unseen pool", {"k": a_kind(pool="new")}, {"call": CALL, "pool": "new"}, "k", "new"),
            ("opaque", DESK_KINDS, {**desk, "body": b"\xff"}, "slot", DESK),
        ]
        for name, kinds, fields, kind, pool in cases:
            with self.subTest(name):
                exchange = an_exchange(**fields)
                exchange.team = team_parameters(kinds=kinds)
                await run_filter(classify(INTERFACES.get), exchange, response_handler())
                self.assertEqual((exchange.kind, exchange.request.pool), (kind, pool))
                self.assertIs(exchange.parameters, exchange.team.kinds[kind])

    async def test_streamed_is_read_from_the_body(self) -> None:
        for text, streamed in (("true", True), ("false", False)):
            body = b'{"model":"m","prompt":"p","max_tokens":5,"stream":%s}' % text.encode()
            exchange = an_exchange(body=body, kind="chat")
            exchange.team = team_parameters()
            await run_filter(classify(INTERFACES.get), exchange, response_handler())
            self.assertEqual(exchange.request.call, Completion(streamed))

    async def test_rejections(self) -> None:
        kinds = {**DESK_KINDS, **MODEL_KINDS}
        cases = [
            ({}, "unknown_kind", "chat, draft"),
            ({"kind": "slot"}, "unknown_kind", "chat, draft"),
            ({"kind": "other"}, "unknown_kind", "chat, draft"),
            ({"call": CALL, "pool": DESK}, "unknown_kind", "check, slot"),
            ({"call": CALL, "pool": DESK, "kind": "chat"}, "unknown_kind", "check, slot"),
            ({"call": CALL, "pool": POOL}, "unknown_pool", "/v1/completions"),
            ({"call": CALL, "pool": "other"}, "unknown_pool", f"{DESK}, {POOL}"),
            ({"body": b""}, "bad_body", "body"),
            ({"body": b"[]"}, "bad_body", "object"),
            ({"body": b'{"prompt":"p"}'}, "bad_body", "model"),
            ({"body": b'{"model":"m"}'}, "bad_body", "prompt"),
            ({"body": b'{"model":"","prompt":"p"}'}, "bad_body", "$.model"),
            ({"body": b'{"model":"m","prompt":["p"]}'}, "bad_body", "$.prompt"),
            ({"body": b'{"model":"m","prompt":"\xff"}'}, "bad_body", "body"),
            ({"body": b'{"model":"m","prompt":"p","max_tokens":0}'}, "bad_body", "$.max_tokens"),
            ({"body": b'{"model":"m","prompt":"p","stream":1}'}, "bad_body", "$.stream"),
            (
                {"body": b'{"model":"m","prompt":"p","stream":true}', "deferred": True},
                "bad_body",
                "stream",
            ),
        ]
        for fields, code, text in cases:
            with self.subTest(**fields):
                exchange = an_exchange(**fields)
                exchange.team = team_parameters(kinds=kinds)
                with self.assertRaises(RequestError) as caught:
                    await run_filter(classify(INTERFACES.get), exchange, response_handler())
                self.assertEqual(caught.exception.code, code)
                self.assertIn(text, caught.exception.message)
