"""Guards against prompts that lose their home, and against homes that are overloaded."""

from __future__ import annotations

import unittest
from collections import Counter

from camphorvalve.sharing.homes import HOMES_COUNT, Load, least_loaded, place, prefix_key
from camphorvalve.sharing.placement import ranked
from tests.routebuilders import a_prompt

UPSTREAMS = [f"up-{number}" for number in range(9)]


def any_upstream(upstream_id: str) -> bool:
    return True


class PrefixKeyTest(unittest.TestCase):
    def test_keys(self) -> None:
        """Guards against a key that holds the request's own part, which nobody shares."""
        rows = [
            (None, None),
            (a_prompt("own"), None),
            (a_prompt("a", "own"), "a"),
            (a_prompt("a", "b", "own"), "a/b"),
            (a_prompt("a", "b", "c", "own"), "a/b"),
        ]
        for prompt, expected in rows:
            with self.subTest(prompt=prompt):
                self.assertEqual(prefix_key(prompt), expected)


class PlaceTest(unittest.TestCase):
    def test_same_home_everywhere(self) -> None:
        """Guards against routers that place a prefix differently and so read it twice."""
        for number in range(50):
            forwards = place(ranked(f"prefix-{number}", UPSTREAMS), {}, any_upstream)
            backwards = place(ranked(f"prefix-{number}", UPSTREAMS[::-1]), {}, any_upstream)
            self.assertEqual(forwards, backwards)

    def test_homes_move_little(self) -> None:
        """Guards against a lost upstream that moves the homes of the others' prefixes."""
        before = {n: place(ranked(f"prefix-{n}", UPSTREAMS), {}, any_upstream) for n in range(200)}
        after = {
            n: place(ranked(f"prefix-{n}", UPSTREAMS[1:]), {}, any_upstream) for n in range(200)
        }
        moved = [n for n in before if before[n] != after[n] and before[n] != UPSTREAMS[0]]
        self.assertEqual(moved, [])

    def test_loaded_home_is_passed_over(self) -> None:
        """Guards against a hot prefix that piles up at its home."""
        home = place(ranked("hot", UPSTREAMS), {}, any_upstream)
        second = place(ranked("hot", UPSTREAMS), {home: Load(1, 0, 1_000_000)}, any_upstream)
        self.assertNotEqual(second, home)

    def test_full_homes_refuse(self) -> None:
        """Guards against spilling to an upstream that would evict other prefixes."""
        full: set[str] = set()
        for _ in range(HOMES_COUNT):
            home = place(ranked("hot", UPSTREAMS), {}, lambda one: one not in full)
            self.assertIsNotNone(home)
            full.add(home)
        self.assertIsNone(place(ranked("hot", UPSTREAMS), {}, lambda one: one not in full))

    def test_spread(self) -> None:
        """Guards against a hash that favours some upstreams."""
        counts = Counter(
            place(ranked(f"prefix-{n}", UPSTREAMS), {}, any_upstream) for n in range(900)
        )
        self.assertGreater(min(counts.values()), 50)

    def test_least_loaded(self) -> None:
        """Guards against requests that wait at a busy upstream while another is free."""
        loads = {"up-0": Load(3, 0, 0), "up-1": Load(1, 0, 0)}
        self.assertEqual(least_loaded(["up-0", "up-1"], loads, any_upstream), "up-1")
        self.assertIsNone(least_loaded(["up-0", "up-1"], loads, lambda one: False))
        self.assertIsNone(least_loaded([], loads, any_upstream))


if __name__ == "__main__":
    unittest.main()
