"""Guards against simulated engines that admit, slow down or cancel runs unlike real engines."""

from __future__ import annotations

import unittest

from tools.standins.batch import Batch, BatchSettings, Run, token_text
from tools.standins.prefixes import CacheSettings, PrefixCache, block_keys

from camphorvalve.upstreams.reports import prefix_keys


def a_run(request_id: str = "run", max_tokens: int = 3) -> Run:
    return Run(request_id, 1, None, {"prompt": "p", "max_tokens": max_tokens})


class BatchTest(unittest.TestCase):
    def setUp(self) -> None:
        self.batch = Batch(BatchSettings(slots_count=2, batch_count=3, token_ms=10.0))

    def test_runs_are_admitted_in_arrival_order_while_there_is_room(self) -> None:
        runs = [a_run(str(number)) for number in range(5)]
        for run in runs:
            run.readers_count = 1
            self.batch.add(run)
        self.assertEqual(list(self.batch.admit(0.0)), runs[:3])
        self.assertEqual(list(self.batch.admit(0.0)), [])
        for now_s in range(1, 4):
            self.batch.step(float(now_s))
        self.assertEqual([run.outcome for run in runs[:3]], ["finished"] * 3)
        self.assertEqual(list(self.batch.admit(4.0)), runs[3:])
        self.assertEqual(runs[0].texts, [token_text("p", index) for index in range(1, 4)])

    def test_more_runs_than_slots_slow_each_other_down(self) -> None:
        for count, step_s in ((1, 0.01), (2, 0.01), (3, 0.015)):
            with self.subTest(count=count):
                self.batch.running = [a_run()] * count
                self.assertAlmostEqual(self.batch.step_s(), step_s)

    def test_a_run_without_readers_ends(self) -> None:
        run = a_run(max_tokens=1000)
        self.batch.add(run)
        list(self.batch.admit(0.0))
        self.batch.step(run.unread_since_s + 4.9)
        self.assertEqual(run.outcome, "running")
        self.batch.step(run.unread_since_s + 5.1)
        self.assertEqual((run.outcome, self.batch.running), ("cancelled", []))


class PrefixCacheTest(unittest.TestCase):
    def test_a_cached_prefix_saves_prompt_tokens(self) -> None:
        cache = PrefixCache(CacheSettings(blocks_count=4))
        prompt = "a" * 128
        self.assertEqual(cache.use(prompt, 0.0), 32)
        self.assertEqual(cache.use(prompt + "b" * 64, 0.0), 16)
        for number in range(4):
            cache.use(str(number) * 64, 0.0)
        self.assertEqual(cache.use(prompt, 0.0), 32, "evicted")

    def test_events_come_late_and_with_gaps(self) -> None:
        seed = 7
        cache = PrefixCache(CacheSettings(event_lag_s=2.0, gap_ratio=0.5, seed=seed))
        for number in range(20):
            cache.use(chr(ord("a") + number) * 64, float(number))
        numbers = [event["number"] for event in cache.feed(0, 12.0)["events"]]
        self.assertLessEqual(max(numbers), 11, "event younger than the lag of two seconds")
        self.assertLess(len(numbers), 11, f"no gaps with seed {seed}")
        self.assertEqual(cache.feed(numbers[-1], 12.0)["events"], [])

    def test_prefixes_are_named_as_the_router_names_them(self) -> None:
        prompt = "Größe M, " * 40
        self.assertEqual(list(block_keys(prompt)), list(prefix_keys(prompt)))


if __name__ == "__main__":
    unittest.main()
