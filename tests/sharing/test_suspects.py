"""Guards against verdicts on sound parts, verdicts that depend on the order of messages, and state
that callers can grow."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from camphorvalve.model.requests import REQUEST_KEY_PREFIX
from camphorvalve.sharing import suspectends
from camphorvalve.sharing.suspectends import (
    LIFETIME_S,
    MAX_ENDS_COUNT,
    End,
    Ended,
)
from camphorvalve.sharing.suspects import (
    MAX_ANSWERED_COUNT,
    MAX_ENDED_COUNT,
    MAX_LISTED_COUNT,
    MAX_PARTS_COUNT,
    TRIM_COUNT,
    Condemned,
    Listing,
    Sound,
    Suspected,
    SuspectRecord,
)

if TYPE_CHECKING:
    import random

NOW_S = 100.0
REQUEST = REQUEST_KEY_PREFIX + "r"
KEYS = ("a", "b", REQUEST)
MERGES = st.one_of(
    st.tuples(
        st.sampled_from(KEYS),
        st.sampled_from(("up-1", "up-2", "up-3", "up-4", "up-5")),
        st.integers(0, 20).map(lambda tenths: NOW_S + tenths / 10),
        st.booleans(),
    ),
    st.tuples(
        st.none(),
        st.sampled_from(("up-1", "up-2", "up-6", "up-7")),
        st.integers(0, 20).map(lambda tenths: NOW_S + tenths / 10),
        st.booleans(),
    ),
)


def ended_at(*times_s: float, part: str = "a") -> SuspectRecord:
    """Build the state after upstreams ended while a part waited."""
    parts = SuspectRecord()
    for number, at_s in enumerate(times_s):
        parts.record_end((part,), f"up-{number}", at_s)
    return parts


def merged(
    merges: list[tuple[str | None, str, float, bool]], *, polled: bool = False
) -> SuspectRecord:
    """Build the state after messages in this order, with or without polls between them."""
    parts = SuspectRecord()
    for part_id, upstream, at_s, flag in merges:
        if polled:
            parts.suspected()
            parts.unsuspected()
        if part_id is None:
            parts.merge_ended(upstream, Ended(at_s, survived=flag), NOW_S + 3.0)
        else:
            parts.merge(part_id, {upstream: End(at_s, cleared=flag)}, NOW_S + 3.0)
    return parts


class VerdictTest(unittest.TestCase):
    def test_ends(self) -> None:
        cases = {
            "none": ((), Sound()),
            "one": ((1.0,), Sound()),
            "two": ((1.0, 2.0), Suspected(("a",))),
            "three": ((1.0, 2.0, 3.0), Condemned("a")),
            "three in a moment": ((1.0, 1.3, 1.6), Suspected(("a",))),
            "four in a second": ((1.0, 1.3, 1.6, 2.1), Condemned("a")),
            "power cut": ((1.0, 1.05, 1.1, 1.2), Sound()),
            "power cut after an end": ((1.0, 3.0, 3.05, 3.1, 3.2), Suspected(("a",))),
        }
        for name, (times_s, verdict) in cases.items():
            with self.subTest(name):
                self.assertEqual(ended_at(*times_s).judge(("other", "a")), verdict)

    def test_one_upstream(self) -> None:
        """Guards against a verdict because one upstream breaks many connections."""
        parts = SuspectRecord()
        for number in range(20):
            parts.record_end(("a",), "up", 1.0 + number)
        self.assertEqual(parts.judge(("a",)), Sound())

    def test_an_answer_clears(self) -> None:
        """Guards against refusing a part whose requests are answered."""
        parts = ended_at(1.0, 2.0, 3.0)
        self.assertEqual(parts.record_answer(("a",), 2.5), ["a"])
        self.assertEqual(parts.judge(("a",)), Sound())
        parts.record_end(("a",), "up-9", 3.5)
        self.assertEqual(parts.judge(("a",)), Suspected(("a",)))
        parts.record_answer(("a",), 4.0)
        self.assertEqual(parts.count("a"), 0)

    def test_an_answer_that_began_before(self) -> None:
        """Guards against clearing a part by an answer that began before the part was deadly."""
        parts = ended_at(1.0, 2.0, 3.0)
        self.assertEqual(parts.record_answer(("a",), 0.9), [])
        self.assertEqual(parts.judge(("a",)), Condemned("a"))

    def test_ends_that_are_heard_late(self) -> None:
        """Guards against a verdict from ends elsewhere before an answer that was given here."""
        parts = SuspectRecord()
        parts.record_answer(("a",), 5.0)
        ends = {f"up-{number}": End(1.0 + number, cleared=False) for number in range(3)}
        parts.merge("a", ends, 6.0)
        self.assertEqual(parts.judge(("a",)), Sound())

    def test_ends_that_the_part_does_not_explain(self) -> None:
        """Guards against a verdict on a sound part that waited by chance at some of the upstreams
        that ended one after another, and against none if it waits at all of them."""
        parts = ended_at(1.0, 2.0, 3.0)
        for number, at_s in enumerate((1.5, 2.5)):
            parts.merge_ended(f"other-{number}", Ended(at_s, survived=False), 3.0)
        self.assertEqual(parts.judge(("a",)), Suspected(("a",)))
        parts.merge_ended("other-0", Ended(1.5, survived=True), 3.0)
        self.assertEqual(parts.judge(("a",)), Suspected(("a",)))
        parts.merge_ended("other-1", Ended(2.5, survived=True), 3.0)
        self.assertEqual(parts.judge(("a",)), Condemned("a"))
        many = ended_at(*range(1, 6))
        for number in range(1, 5):
            many.merge_ended(f"other-{number}", Ended(number + 0.5, survived=False), 6.0)
        self.assertEqual(many.judge(("a",)), Condemned("a"))

    def test_neighbours_of_a_deadly_part(self) -> None:
        """Guards against a verdict on parts that waited beside the deadly one."""
        parts = ended_at(1.0, 2.0, 3.0, 4.0)
        for number in range(3):
            parts.record_end(("b",), f"up-{number}", 1.0 + number)
        self.assertEqual(parts.judge(("b",)), Suspected(("b",)))
        parts.record_end(("c",), "up-0", 1.0)
        parts.record_end(("c",), "up-1", 2.0)
        self.assertEqual(parts.judge(("c",)), Sound())
        self.assertIsInstance(parts.judge(("b", "a")), Condemned)

    def test_parts_that_came_together(self) -> None:
        """Guards against refusing all prompts with a first part because the three with the deadly
        part had no other requests between them: nobody could clear it for 300 s."""
        parts = SuspectRecord()
        for number in range(3):
            parts.record_end(("first", "deadly"), f"up-{number}", 1.0 + number)
        self.assertIsInstance(parts.judge(("first", "deadly")), Condemned)
        self.assertEqual(parts.judge(("first", "sound")), Suspected(("first",)))
        parts.record_end(("first", "rare"), "up-9", 3.5)
        self.assertIsInstance(parts.judge(("first", "deadly")), Condemned)
        self.assertEqual(parts.judge(("first", "sound")), Suspected(("first",)))
        parts.record_answer(("first", "sound"), 5.0)
        self.assertEqual(parts.judge(("first", "sound")), Sound())
        self.assertEqual(parts.judge(("first", "deadly")), Condemned("deadly"))

    def test_a_deadly_first_part(self) -> None:
        """Guards against trials without end of a first part that is itself deadly."""
        parts = SuspectRecord()
        for number in range(3):
            parts.record_end(("first", "sound"), f"up-{number}", 1.0 + number)
        for number in range(2):
            self.assertEqual(parts.judge(("first", "other")), Suspected(("first",)))
            parts.record_end(("first", f"other-{number}"), f"up-{number + 3}", 4.0 + number)
        self.assertEqual(parts.judge(("first", "third")), Condemned("first"))

    def test_many_ends_at_a_time(self) -> None:
        """Guards against forgetting the earlier ends of a part when many upstreams end in a moment:
        those that are left would count once."""
        parts = ended_at(1.0, 2.0, 3.0)
        for number in range(2 * MAX_ENDS_COUNT):
            parts.record_end(("a",), f"burst-{number}", 5.0 + number / 1000)
        self.assertEqual(len(parts.ends("a")), MAX_ENDS_COUNT)
        self.assertEqual(parts.count("a"), 4)
        self.assertEqual(parts.judge(("a",)), Condemned("a"))

    def test_neighbours_in_the_first_of_many_crashes(self) -> None:
        """Guards against refusing the parts beside a deadly one because the ends that it explains
        have been forgotten."""
        parts = SuspectRecord()
        for number in range(12):
            part_ids = ("deadly", "neighbour") if number < 4 else ("deadly",)
            parts.record_end(part_ids, f"up-{number}", 1.0 + 0.4 * number)
        self.assertEqual(parts.judge(("deadly",)), Condemned("deadly"))
        self.assertEqual(parts.judge(("neighbour",)), Suspected(("neighbour",)))

    def test_an_upstream_that_lives_on(self) -> None:
        """Guards against counting an upstream that closed connections and answers others."""
        parts = ended_at(1.0, 2.0, 3.0)
        self.assertFalse(parts.record_survival("up-1", 2.1))
        self.assertTrue(parts.record_survival("up-1", 2.6))
        self.assertEqual(parts.judge(("a",)), Suspected(("a",)))

    def test_a_restart_is_no_survival(self) -> None:
        """Guards against taking the answers of the next start under the same id for survival."""
        parts = ended_at(1.0, 2.0, 3.0)
        self.assertFalse(parts.record_survival("up-1", 5.0))
        self.assertEqual(parts.judge(("a",)), Condemned("a"))

    def test_expiry(self) -> None:
        """Guards against refusing a part for ever that may be sound again."""
        parts = ended_at(1.0, 2.0, 3.0)
        self.assertEqual(parts.expire(LIFETIME_S), [])
        self.assertEqual(parts.expire(1.5 + LIFETIME_S), ["a"])
        self.assertEqual(parts.judge(("a",)), Suspected(("a",)))
        parts.expire(3.5 + LIFETIME_S)
        self.assertEqual(parts.judge(("a",)), Sound())
        self.assertEqual(parts.suspected().keys, ())


class WholeRequestTest(unittest.TestCase):
    def test_ends(self) -> None:
        suspected, condemned = Suspected((REQUEST,)), Condemned(REQUEST)
        cases = {
            "two": ((1.0, 3.0), Sound()),
            "three in a moment": ((1.0, 1.1, 1.2), suspected),
            "all of a service": ((1.0, 1.05, 1.1, 1.2, 1.25), suspected),
            "two series": ((1.0, 1.1, 1.2, 4.5), condemned),
            "a second series at once": ((1.0, 1.1, 1.2, 2.0), suspected),
            "three moments": ((1.0, 1.5, 2.1), condemned),
            "three moments in less than a second": ((1.0, 1.4, 1.8), suspected),
        }
        for name, (times_s, verdict) in cases.items():
            with self.subTest(name):
                self.assertEqual(ended_at(*times_s, part=REQUEST).judge(("a", REQUEST)), verdict)

    def test_power_failures(self) -> None:
        """Guards against refusing a request that waited as the upstreams lost power, twice."""
        parts = ended_at(1.0, 1.05, 1.1, 5.0, part=REQUEST)
        self.assertEqual(parts.judge((REQUEST,)), Condemned(REQUEST))
        parts.merge_ended("other", Ended(5.05, survived=False), 5.1)
        self.assertEqual(parts.judge((REQUEST,)), Suspected((REQUEST,)))
        parts.record_end((REQUEST,), "up-9", 9.0)
        self.assertEqual(parts.judge((REQUEST,)), Condemned(REQUEST))

    def test_other_ends_in_between(self) -> None:
        """Guards against going on to crash upstreams because others end for other reasons."""
        parts = ended_at(1.0, 1.1, 1.2, 5.0, part=REQUEST)
        for number in range(20):
            parts.merge_ended(f"other-{number}", Ended(1.5 + 0.15 * number, survived=False), 5.1)
        self.assertEqual(parts.judge((REQUEST,)), Condemned(REQUEST))

    def test_an_answered_request(self) -> None:
        """Guards against refusing a request that many callers send, and that waited by chance."""
        parts = SuspectRecord()
        parts.record_answer((REQUEST,), 0.5)
        for upstream, at_s in enumerate((1.0, 1.1, 1.2, 4.5)):
            parts.record_end((REQUEST,), f"up-{upstream}", at_s)
        self.assertEqual(parts.judge((REQUEST,)), Suspected((REQUEST,)))
        parts.record_end((REQUEST,), "up-9", 5.5)
        self.assertEqual(parts.judge((REQUEST,)), Condemned(REQUEST))
        parts.record_answer((REQUEST,), 6.0)
        self.assertEqual(parts.judge((REQUEST,)), Sound())

    def test_neighbours(self) -> None:
        """Guards against refusing what waited beside a deadly request, or a part of its prompt."""
        other = REQUEST + "-other"
        parts = SuspectRecord()
        for upstream, at_s in enumerate((1.0, 1.5, 2.0, 4.5)):
            parts.record_end((REQUEST, "part"), f"up-{upstream}", at_s)
            if upstream != 2:
                parts.record_end((other, "near"), f"up-{upstream}", at_s)
        self.assertEqual(parts.judge(("part", REQUEST)), Condemned("part"))
        self.assertEqual(parts.judge((REQUEST,)), Suspected((REQUEST,)))
        parts.record_answer(("part",), 5.0)
        self.assertEqual(parts.judge(("part", REQUEST)), Condemned(REQUEST))
        self.assertEqual(parts.judge(("near", other)), Suspected((other,)))

    def test_when_it_is_judged_again(self) -> None:
        parts = ended_at(1.0, 1.1, 1.2, 4.5, part=REQUEST)
        self.assertEqual(parts.condemned_between_s(REQUEST), (4.5, 1.0 + LIFETIME_S))
        parts.record_end((REQUEST,), "up-9", 8.0)
        parts.record_end((REQUEST,), "up-10", 12.0)
        self.assertEqual(parts.condemned_between_s(REQUEST), (12.0, 4.5 + LIFETIME_S))

    def test_requests_that_do_not_come_again(self) -> None:
        """Guards against listings that fill up with all requests that waited at a crash."""
        parts = ended_at(1.0, part="part")
        for number in range(2 * MAX_LISTED_COUNT):
            parts.record_end((f"{REQUEST}-{number}",), "up-0", 1.0)
        self.assertEqual(parts.unsuspected().keys, ("part",))


class MergeTest(unittest.TestCase):
    @settings(deadline=None, max_examples=200, derandomize=True)
    @given(st.lists(MERGES, max_size=25), st.randoms(use_true_random=False))
    def test_order_and_repetition(
        self, merges: list[tuple[str | None, str, float, bool]], rng: random.Random
    ) -> None:
        """Guards against verdicts that depend on the order, loss or repetition of messages."""
        other = [*merges, *rng.sample(merges, len(merges) // 2)]
        rng.shuffle(other)
        one, two = merged(merges), merged(other, polled=True)
        for part_id in KEYS:
            self.assertEqual(one.ends(part_id), two.ends(part_id))
            self.assertEqual(one.judge((part_id,)), two.judge((part_id,)))
        self.assertEqual(one.suspected(), two.suspected())
        self.assertEqual(one.unsuspected(), two.unsuspected())


class ListingTest(unittest.TestCase):
    def test_times_of_expiry(self) -> None:
        """Guards against listings and counts that keep what has been forgotten."""
        parts = ended_at(1.0, 2.0)
        parts.record_end(("b",), "up-9", 3.0)
        self.assertEqual(parts.suspected().keys, ("a",))
        self.assertEqual(parts.unsuspected().keys, ("b",))
        parts.expire(1.5 + LIFETIME_S)
        self.assertEqual(parts.suspected(), Listing((), 0))
        self.assertEqual(parts.unsuspected().keys, ("a", "b"))
        parts.expire(2.5 + LIFETIME_S)
        self.assertEqual(parts.unsuspected().keys, ("b",))
        self.assertEqual(parts.expire(3.5 + LIFETIME_S), ["b"])
        self.assertEqual(parts.unsuspected(), Listing((), 0))
        parts.record_end(("a",), "up-1", 4.0 + LIFETIME_S)
        self.assertEqual(parts.expire(5.0 + LIFETIME_S), [])
        self.assertEqual(parts.expire(4.5 + 2 * LIFETIME_S), ["a"])

    def test_changes_of_an_end(self) -> None:
        """Guards against a checksum that misses a change which leaves the number of ends as it is,
        or one that clears them."""
        parts = ended_at(1.0, 2.0)
        version = parts.suspected().version
        parts.record_end(("a",), "up-9", 1.1)
        self.assertEqual(parts.count("a"), 2)
        self.assertNotEqual(parts.suspected().version, version)
        parts.record_answer(("a",), 1.5)
        self.assertEqual(parts.suspected(), Listing((), 0))
        self.assertEqual(parts.unsuspected().keys, ("a",))
        parts.record_answer(("a",), 2.5)
        self.assertEqual(parts.unsuspected(), Listing((), 0))

    def test_quiet_polls(self) -> None:
        """Guards against going through all parts at each poll of each router."""
        parts = ended_at(1.0, 2.0, 3.0)
        for number in range(200):
            parts.record_end((f"b-{number}",), "up-9", 3.0)
        listings = parts.suspected(), parts.unsuspected()
        parts._suspects = None
        self.assertEqual(parts.expire(4.0), [])
        self.assertEqual((parts.suspected(), parts.unsuspected()), listings)

    def test_dropped_parts(self) -> None:
        """Guards against listings of parts that the bound has dropped."""
        parts = SuspectRecord()
        for number in range(MAX_PARTS_COUNT + TRIM_COUNT + 1):
            parts.record_end((f"a-{number}",), "up-1", 1.0)
        self.assertEqual(len(parts._suspects), MAX_PARTS_COUNT)
        self.assertEqual(sorted(part_id for _, part_id in parts._ranking), sorted(parts._suspects))
        self.assertEqual(parts._counts.keys(), parts._suspects.keys())
        self.assertLessEqual(set(parts.unsuspected().keys), parts._suspects.keys())


class BoundsTest(unittest.TestCase):
    def test_many_condemned_parts(self) -> None:
        """Guards against going through all condemned parts for each part of a prompt."""
        parts = SuspectRecord()
        part_ids = tuple(f"a-{number}" for number in range(200))
        for number in range(3):
            parts.record_end(part_ids, f"up-{number}", 1.0 + number)
        self.assertEqual(parts.condemned_count(), 200)
        with mock.patch.object(
            suspectends, "count_causes", wraps=suspectends.count_causes
        ) as counted:
            self.assertEqual(parts.judge(part_ids[:64]), Suspected(part_ids[:64]))
        self.assertLessEqual(counted.call_count, 2 * 64)

    def test_a_flood_of_parts(self) -> None:
        """Guards against new names that push a condemned part out of the bounded state."""
        parts = ended_at(1.0, 2.0, 3.0)
        for number in range(MAX_PARTS_COUNT + 2 * TRIM_COUNT):
            parts.record_end((f"flood-{number}",), "up-9", 10.0 + number / 1e6)
            parts.record_answer((f"flood-{number}", f"{REQUEST_KEY_PREFIX}{number}"), 5.0)
        self.assertEqual(parts.judge(("a",)), Condemned("a"))
        self.assertLessEqual(len(parts._suspects), MAX_PARTS_COUNT + TRIM_COUNT)
        for answered_s in parts._answered_s.values():
            self.assertLessEqual(len(answered_s), MAX_ANSWERED_COUNT)
        self.assertEqual(len(parts.unsuspected().keys), MAX_LISTED_COUNT)

    def test_many_ends_in_a_moment(self) -> None:
        """Guards against acquitting a part when the ends of one moment push out earlier ones."""
        parts = ended_at(1.0, 2.0, 3.0)
        for number in range(2 * MAX_ENDS_COUNT):
            parts.record_end(("a",), f"more-{number}", 4.0 + number / 1000)
        self.assertEqual(parts.judge(("a",)), Condemned("a"))
        self.assertLessEqual(len(parts.ends("a")), MAX_ENDS_COUNT)

    def test_a_flood_of_upstreams(self) -> None:
        parts = SuspectRecord()
        for number in range(2 * MAX_ENDED_COUNT):
            parts.record_end(("a",), f"up-{number}", 1.0 + number / 100)
        self.assertLessEqual(len(parts._ended), MAX_ENDED_COUNT)
        self.assertLessEqual(len(parts.ends("a")), MAX_ENDS_COUNT)
