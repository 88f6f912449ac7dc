"""Guards against taking outdated or incomplete reports for the current state."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack
from typing import Any

import anyio
from tools.standins.engine import Engine
from tools.standins.prefixes import CacheSettings
from tools.standins.serving import serve_app

from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.reports import (
    CacheEvent,
    PrefixHints,
    ReportError,
    prefix_keys,
    read_cache_events,
    read_load,
)
from tests.builders import an_upstream

PROMPT = "the second movement of the symphony in C " * 8
KEYS = list(prefix_keys(PROMPT))


def an_event(number: int, **fields: Any) -> CacheEvent:
    values = {"number": number, "at_s": 100.0 + number, "kind": "stored", "prefix": "0"}
    return CacheEvent(**{**values, **fields})


class PrefixHintsTest(unittest.TestCase):
    def test_events_with_gaps_reset_the_hints(self) -> None:
        first, second = (an_event(n + 1, prefix=KEYS[n]) for n in range(2))
        third = an_event(3, prefix=KEYS[2])
        cases = {
            "in order": ([first, second], 2, 2),
            "evicted": ([first, second, an_event(3, kind="evicted", prefix=KEYS[1])], 1, 3),
            "repeated": ([first, second, first, second], 2, 2),
            "gap": ([first, third], 0, 3),
            "gap, then the first prefix again": ([second, an_event(3, prefix=KEYS[0])], 2, 3),
        }
        for name, (events, blocks_count, after) in cases.items():
            with self.subTest(name):
                hints = PrefixHints()
                hints.apply({"last": events[-1]["number"], "events": events})
                self.assertEqual(hints.cached_blocks_count(PROMPT), blocks_count)
                self.assertEqual(hints.after, after)
                self.assertEqual(hints.age_s(110.0), 110.0 - events[-1]["at_s"])

    def test_a_restarted_engine_is_read_from_the_start(self) -> None:
        hints = PrefixHints()
        hints.apply({"last": 1, "events": [an_event(1, prefix=KEYS[0])]})
        hints.apply({"last": 0, "events": []})
        self.assertEqual((hints.after, hints.cached_blocks_count(PROMPT)), (0, 0))


class ReportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.engine = Engine(cache=CacheSettings(event_lag_s=0.2), load_lag_s=0.3)
        url = await stack.enter_async_context(serve_app(self.engine))
        self.upstream = an_upstream(url=url)
        self.client = await stack.enter_async_context(create_client())

    async def test_load_reports_carry_their_age(self) -> None:
        await anyio.sleep(0.4)
        now_s = self.engine._measure_load()["measured_at_s"]
        report = await read_load(self.client, self.upstream, now_s)
        self.assertEqual((report.running_count, report.slots_count), (0, 4))
        self.assertGreaterEqual(report.age_s, 0.2)
        report = await read_load(self.client, self.upstream, now_s - 3600)
        self.assertEqual(report.age_s, 0.0)

    async def test_delayed_events_of_an_engine_are_applied(self) -> None:
        hints = PrefixHints()
        self.engine.cache.use(PROMPT, 0.0)
        hints.apply(await read_cache_events(self.client, self.upstream, hints.after))
        self.assertEqual(hints.cached_blocks_count(PROMPT), len(KEYS))

    async def test_an_unreadable_report_is_an_error(self) -> None:
        cases = {"unreachable": "http://127.0.0.1:1", "not found": self.upstream.url + "/none"}
        for name, url in cases.items():
            with self.subTest(name), self.assertRaises(ReportError) as caught:
                await read_load(self.client, an_upstream(url=url), 0.0)
            self.assertIn("engine-1", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
