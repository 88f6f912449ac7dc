"""Guards against callers that resume streams in another way than the protocol says."""

from __future__ import annotations

import unittest

from tools.standins.versioned import EVENTS_COUNT, VersionedWorkers, VersionShares

from tests.processes.resumingcallers import (
    MAX_ANEW_COUNT,
    MAX_RESUMPTIONS_COUNT,
    Habits,
    NamesNothing,
    NamesOtherRoute,
    NamesOtherTeam,
    NamesUnknown,
    ResumingCallers,
    Text,
    run_resuming_callers,
)

SEED = 7
SOUND = VersionShares()
RESETTING = VersionShares(reset=1.0)
NO_HABITS = Habits()


class ResumingCallersTest(unittest.IsolatedAsyncioTestCase):
    async def read_texts(
        self,
        *peers: tuple[VersionShares, int],
        habits: Habits = NO_HABITS,
        callers_count: int = 1,
        duration_s: float = 0.0,
    ) -> list[Text]:
        """Run callers before workers with these shares and slots in place of routers."""
        ports = {}
        for number, (shares, slots_count) in enumerate(peers):
            workers = VersionedWorkers("engines", SEED + number, shares, slots_count)
            self.addAsyncCleanup(workers.close)
            ports[f"router-{number}"] = await workers.start(f"i-{number}", "v1")
        callers = ResumingCallers(
            lambda name: ("127.0.0.1", ports[name]), list(ports), habits, SEED
        )
        await run_resuming_callers(callers, callers_count, duration_s)
        return callers.texts

    async def test_resumptions(self) -> None:
        """Each goes to the next router, and names the first attempt and the last whole event."""
        (text,) = await self.read_texts((RESETTING, 1), (RESETTING, 1))
        self.assertGreaterEqual(len(text.tries), 3)
        self.assertLessEqual(len(text.tries), 1 + MAX_RESUMPTIONS_COUNT)
        first, *others = text.tries
        self.assertEqual(first.received.call.headers, ())
        for earlier, one in zip(text.tries, others, strict=False):
            self.assertNotEqual(one.received.router, earlier.received.router)
            self.assertNotEqual(one.received.call.request_id, earlier.received.call.request_id)
            expected = {
                "Resumes": first.received.call.request_id,
                "Last-Event-Id": str(earlier.last_number),
            }
            self.assertEqual(dict(one.received.call.headers), expected)
            self.assertGreaterEqual(one.last_number, one.last_event_id)

    async def test_refused_resumption(self) -> None:
        """The stream begins anew, without the headers of a resumption."""
        callers_count = 4
        texts = await self.read_texts(
            (RESETTING, callers_count), (SOUND, 0), callers_count=callers_count
        )
        refusals_count = sum(one.is_refused for text in texts for one in text.tries)
        self.assertEqual(refusals_count, callers_count * (1 + MAX_ANEW_COUNT))
        for text in texts:
            self.assertEqual(text.tries[0].received.call.headers, ())
        refused = [one for text in texts for one in text.tries[1:] if one.is_refused]
        self.assertTrue(refused)
        self.assertEqual({one.received.router for one in refused}, {"router-1"})
        self.assertTrue(all(one.received.call.headers for one in refused))

    async def test_dropped_connections(self) -> None:
        habits = Habits(drop_share=1.0)
        (text,) = await self.read_texts((SOUND, 1), (SOUND, 1), habits=habits)
        first, second, *_ = text.tries
        self.assertTrue(first.is_dropped)
        self.assertEqual(second.last_event_id, first.last_number)
        self.assertIn(first.last_number, range(1, EVENTS_COUNT))

    async def test_names_of_resumptions(self) -> None:
        """Guards against habits without an effect on the attempt that a resumption names."""
        base = Habits(0.5, naming_share=1.0, kinds=("stream", "feed"), keys=("key-1", "key-2"))
        rows = {
            "nothing": NamesNothing(),
            "unknown": NamesUnknown(),
            "other route": NamesOtherRoute(),
            "other team": NamesOtherTeam(),
        }
        for name, naming in rows.items():
            with self.subTest(name):
                habits = base._replace(naming=naming)
                texts = await self.read_texts(
                    (SOUND, 40), (SOUND, 40), habits=habits, callers_count=12, duration_s=0.5
                )
                calls = {
                    one.received.call.request_id: one.received.call
                    for text in texts
                    for one in text.tries
                }
                named = [
                    (call, calls.get(dict(call.headers).get("Resumes", "")))
                    for call in calls.values()
                    if call.headers
                ]
                self.assertGreater(len(named), 3)
                found = [other for _, other in named if other is not None]
                match naming:
                    case NamesNothing() | NamesUnknown():
                        self.assertEqual(found, [])
                    case NamesOtherRoute():
                        self.assertTrue(found)
                        self.assertTrue(
                            all(
                                o is None or (o.kind != c.kind and o.key == c.key) for c, o in named
                            )
                        )
                    case _:
                        self.assertTrue(found)
                        self.assertTrue(
                            all(
                                o is None or (o.kind == c.kind and o.key != c.key) for c, o in named
                            )
                        )


if __name__ == "__main__":
    unittest.main()
