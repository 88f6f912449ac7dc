"""Guards against checks of streams that accept what two software versions wrote."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from tools.standins.versioned import EVENTS_COUNT, Service

from tests.processes.versionchecks import (
    Outage,
    Share,
    Streams,
    new_share,
    resumption_share,
    version_findings,
    version_summary,
)
from tests.processes.versionedupstreams import NEW, OLD
from tests.versionbuilders import (
    a_refused_try,
    a_text,
    a_try,
    a_version_record,
    a_versioned_run,
    some_versioned_events,
)

if TYPE_CHECKING:
    from tools.standins.versioned import VersionedRun

    from tests.processes.resumingcallers import Text, Try

FIRST_EVENTS = some_versioned_events(1, 10)
NEW_RUN_FIELDS = {"version": NEW, "run_id": "i-2.1"}
NEW_RUN = {**NEW_RUN_FIELDS, "worker_id": "i-2"}
NEW_HEADERS = {"attempt-id": "text-1-2", "server-stamp": "i-2.1"}
TWO_OLD = (Service("i-1", OLD, 0.0), Service("i-3", OLD, 0.0))


def a_broken_try(content: bytes = FIRST_EVENTS, number: int = 1) -> Try:
    return a_try(number, content=content, is_whole=False)


def rules(
    text: Text, *runs: VersionedRun, outages: tuple[Outage, ...] = (), attempts_count: int = 3
) -> list[str]:
    streams = Streams([text], a_version_record(*runs), outages, attempts_count)
    return [line.split(":")[0] for line in version_findings(streams)]


class AnswersTest(unittest.TestCase):
    def test_events_of_one_answer(self) -> None:
        """Guards against events of another version, missing, twice or not the worker's."""
        end = some_versioned_events(11, EVENTS_COUNT)
        other = some_versioned_events(11, EVENTS_COUNT, **NEW_RUN_FIELDS)
        rows: dict[str, tuple[Try, list[str]]] = {
            "whole": (a_try(), []),
            "cut inside an event": (a_broken_try(FIRST_EVENTS + end[:20]), []),
            "two versions": (a_try(content=FIRST_EVENTS + other), ["ORDER"]),
            "event missing": (
                a_try(content=FIRST_EVENTS + some_versioned_events(12, EVENTS_COUNT)),
                ["ORDER"],
            ),
            "event twice": (
                a_try(content=FIRST_EVENTS + some_versioned_events(10, EVENTS_COUNT)),
                ["ORDER"],
            ),
            "whole too early": (a_try(content=FIRST_EVENTS), ["ORDER"]),
            "whole inside an event": (a_try(content=FIRST_EVENTS + end[:20]), ["ORDER"]),
            "no event": (a_broken_try(FIRST_EVENTS + b"HTTP/1.1 500"), ["ORDER"]),
            "another stream": (
                a_broken_try(FIRST_EVENTS + some_versioned_events(11, 12, stream="text-2")),
                ["MIXED"],
            ),
            "other bytes": (a_broken_try(FIRST_EVENTS.replace(b" 7\n\n", b" 8\n\n")), ["MIXED"]),
            "no event inside": (a_broken_try(b"id: 1\n\n" + FIRST_EVENTS), ["MIXED", "MIXED"]),
            "another request's id": (
                a_try(headers={"attempt-id": "text-2-1", "server-stamp": "i-1.1"}),
                ["MIXED"],
            ),
            "another run's stamp": (
                a_try(headers={"attempt-id": "text-1-1", "server-stamp": "i-9.1"}),
                ["MIXED"],
            ),
            "no protocol": (
                a_try(status=0, content=b"", is_whole=False, error="ValueError: 'x'"),
                ["MIXED"],
            ),
        }
        runs = (a_versioned_run(), a_versioned_run(first_number=11, **NEW_RUN))
        for name, (one, found) in rows.items():
            with self.subTest(name):
                self.assertEqual(rules(a_text(one), *runs), found)

    def test_runs(self) -> None:
        """Guards against runs that nobody asked for, or that must not be."""
        runs = [a_versioned_run(run_id=f"i-{number}.1") for number in range(1, 4)]
        self.assertEqual(rules(a_text(a_try()), *runs), [])
        self.assertEqual(rules(a_text(a_try()), *runs, attempts_count=2), ["BUDGET"])
        feed = a_text(a_try(kind="feed"), kind="feed")
        self.assertEqual(rules(feed, *runs), ["TWICE"])
        unasked = a_versioned_run("text-2-1")
        self.assertEqual(rules(a_text(a_try()), a_versioned_run(), unasked), ["UNASKED"])

    def test_run_that_is_not_repeatable_goes_on_elsewhere(self) -> None:
        """Guards against a stream that may not be resumed, resumed at the same version."""
        content = FIRST_EVENTS + some_versioned_events(11, EVENTS_COUNT, run_id="i-3.1")
        runs = (a_versioned_run(), a_versioned_run(run_id="i-3.1", first_number=11))
        self.assertEqual(rules(a_text(a_try(content=content)), *runs), [])
        feed = a_text(a_try(kind="feed", content=content), kind="feed")
        self.assertEqual(rules(feed, *runs), ["ORDER", "TWICE"])


class TriesTest(unittest.TestCase):
    def test_versions_over_the_tries(self) -> None:
        """Guards against a resumed stream that goes on at another version, also the second time."""
        first, first_run = a_broken_try(), a_versioned_run()
        same = a_try(2, 10)
        same_run = a_versioned_run("text-1-2", first_number=11)
        other = a_try(
            2,
            10,
            headers=NEW_HEADERS,
            content=some_versioned_events(11, EVENTS_COUNT, **NEW_RUN_FIELDS),
        )
        other_run = a_versioned_run("text-1-2", first_number=11, **NEW_RUN)
        self.assertEqual(rules(a_text(first, same), first_run, same_run), [])
        self.assertEqual(rules(a_text(first, other), first_run, other_run), ["ORDER"])
        middle = a_try(2, 10, content=some_versioned_events(11, 20), is_whole=False)
        last = a_try(
            3,
            20,
            headers={**NEW_HEADERS, "attempt-id": "text-1-3"},
            content=some_versioned_events(21, EVENTS_COUNT, **NEW_RUN_FIELDS),
        )
        last_run = a_versioned_run("text-1-3", first_number=21, **NEW_RUN)
        text = a_text(first, middle, last)
        self.assertEqual(rules(text, first_run, same_run, last_run), ["ORDER"])

    def test_events_over_the_tries(self) -> None:
        """Guards against a resumption that leaves an event out or sends one twice."""
        runs = (a_versioned_run(), a_versioned_run("text-1-2", first_number=11))
        for first_number in (10, 12):
            content = some_versioned_events(first_number, EVENTS_COUNT)
            text = a_text(a_broken_try(), a_try(2, 10, content=content))
            self.assertEqual(rules(text, *runs), ["ORDER"])

    def test_refusals(self) -> None:
        """Guards against a refusal that comes late, or after a run."""
        run, refused_run = a_versioned_run(), a_versioned_run("text-1-2")
        late = a_refused_try(ended_s=100.9)
        self.assertEqual(rules(a_text(a_broken_try(), a_refused_try()), run), [])
        self.assertEqual(
            rules(a_text(a_broken_try(), a_refused_try()), run, refused_run), ["REFUSED"]
        )
        self.assertEqual(rules(a_text(a_broken_try(), late), run), ["LATE"])
        self.assertEqual(rules(a_text(a_refused_try(1, 0, ended_s=100.9))), [])
        rows = {
            "its router": (Outage("router-1", 99.0, 99.5), []),
            "the controllers": (Outage("", 100.5), []),
            "another router": (Outage("router-2", 99.0, 99.5), ["LATE"]),
            "long before": (Outage("router-1", 97.0, 98.5), ["LATE"]),
        }
        for name, (outage, found) in rows.items():
            with self.subTest(name):
                text = a_text(a_broken_try(), late)
                self.assertEqual(rules(text, run, outages=(outage,)), found)


class SharesTest(unittest.TestCase):
    def streams(self, went_on_count: int, refused_count: int, *services: Service) -> Streams:
        texts = [a_text(a_broken_try(), a_try(2, 10)) for _ in range(went_on_count)]
        texts += [a_text(a_broken_try(), a_refused_try()) for _ in range(refused_count)]
        runs = (a_versioned_run(), a_versioned_run("text-1-2", first_number=11))
        return Streams(texts, a_version_record(*runs, *services))

    def lost(self, streams: Streams) -> bool:
        return any(line.startswith("LOST") for line in version_findings(streams))

    def test_share_of_resumptions(self) -> None:
        """Guards against too few resumptions that go on, while workers of their version serve."""
        self.assertFalse(self.lost(self.streams(6, 6, *TWO_OLD)))
        self.assertTrue(self.lost(self.streams(5, 7, *TWO_OLD)))
        self.assertFalse(self.lost(self.streams(0, 11, *TWO_OLD)))
        self.assertTrue(self.lost(self.streams(0, 12, *TWO_OLD)))

    def test_counted_resumptions(self) -> None:
        """Only resumptions that two known workers could go on with count, at routers in touch."""
        rows: dict[str, tuple[Service, ...]] = {
            "one worker": TWO_OLD[:1],
            "another version": (TWO_OLD[0], Service("i-3", NEW, 0.0)),
            "just started": (TWO_OLD[0], Service("i-3", OLD, 99.0)),
            "ends meanwhile": (TWO_OLD[0], Service("i-3", OLD, 0.0, 100.05)),
        }
        for name, services in rows.items():
            with self.subTest(name):
                self.assertEqual(resumption_share(self.streams(0, 12, *services)), Share())
        streams = self.streams(3, 12, *TWO_OLD)
        self.assertEqual(resumption_share(streams), Share(15, 3))
        self.assertEqual(new_share(streams), Share(15, 15))
        beside = streams._replace(outages=(Outage("", 99.0),))
        self.assertEqual(resumption_share(beside), Share())
        self.assertEqual(resumption_share(beside, anywhere=True), Share(15, 3))
        self.assertEqual(new_share(beside), Share())

    def test_resumptions_that_are_not_proper(self) -> None:
        """Those that name no attempt or another one, or whose route does not allow them."""
        record = a_version_record(a_versioned_run(), *TWO_OLD)
        rows: dict[str, tuple[Text, int]] = {
            "proper": (a_text(a_broken_try(), a_refused_try()), 1),
            "no name": (a_text(a_broken_try(), a_refused_try(named=None)), 0),
            "another name": (a_text(a_broken_try(), a_refused_try(named="text-2-1")), 0),
            "second attempt": (a_text(a_broken_try(), a_refused_try(named="text-1-2")), 0),
            "not resumable": (a_text(a_broken_try(), a_refused_try(), kind="feed"), 0),
        }
        for name, (text, count) in rows.items():
            with self.subTest(name):
                self.assertEqual(resumption_share(Streams([text], record)).count, count)

    def test_summary(self) -> None:
        counts = version_summary(self.streams(3, 12, *TWO_OLD))
        expected = {
            "texts": 15,
            "texts whole": 3,
            "joined in one answer": 0,
            "joined over tries": 0,
            "new: 200 broken off": 15,
            "resumptions: 200": 3,
            "resumptions: 503": 12,
        }
        self.assertEqual({name: counts[name] for name in expected}, expected)


if __name__ == "__main__":
    unittest.main()
