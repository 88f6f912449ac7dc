"""Guards against prefixes that change their home, and against overloaded homes."""

from __future__ import annotations

import unittest
from collections import Counter

from camphorvalve.sharing.homes import HOMES_COUNT, Load, least_loaded, place, prefix_key
from camphorvalve.sharing.placement import ranked
from tests.routebuilders import a_prompt

UPSTREAMS = [f"up-{number}" for number in range(9)]


def has_room(upstream_id: str) -> bool:
    return True


class PrefixKeyTest(unittest.TestCase):
    def test_keys(self) -> None:
        """Guards against a key that includes the last part of the prompt, which is not shared."""
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
        """Guards against routers that choose different homes and so process a prefix twice."""
        for number in range(50):
            forwards = place(ranked(f"prefix-{number}", UPSTREAMS), {}, has_room)
            backwards = place(ranked(f"prefix-{number}", UPSTREAMS[::-1]), {}, has_room)
            self.assertEqual(forwards, backwards)

    def test_homes_move_little(self) -> None:
        """Guards against the loss of an upstream moving prefixes that have other homes."""
        before = {n: place(ranked(f"prefix-{n}", UPSTREAMS), {}, has_room) for n in range(200)}
        after = {n: place(ranked(f"prefix-{n}", UPSTREAMS[1:]), {}, has_room) for n in range(200)}
        moved = [n for n in before if before[n] != after[n] and before[n] != UPSTREAMS[0]]
        self.assertEqual(moved, [])

    def test_loaded_home_is_skipped(self) -> None:
        """Guards against overloading the home of a popular prefix."""
        home = place(ranked("hot", UPSTREAMS), {}, has_room)
        second = place(ranked("hot", UPSTREAMS), {home: Load(1, 0, 1_000_000)}, has_room)
        self.assertNotEqual(second, home)

    def test_full_homes_refuse(self) -> None:
        """Guards against spilling over to an upstream, which would evict other prefixes there."""
        full: set[str] = set()
        for _ in range(HOMES_COUNT):
            home = place(ranked("hot", UPSTREAMS), {}, lambda upstream_id: upstream_id not in full)
            self.assertIsNotNone(home)
            full.add(home)
        self.assertIsNone(
            place(ranked("hot", UPSTREAMS), {}, lambda upstream_id: upstream_id not in full)
        )

    def test_spread(self) -> None:
        """Guards against a hash that distributes prefixes unevenly."""
        counts = Counter(place(ranked(f"prefix-{n}", UPSTREAMS), {}, has_room) for n in range(900))
        self.assertGreater(min(counts.values()), 50)

    def test_least_loaded(self) -> None:
        """Guards against choosing a busy upstream while another one is free."""
        loads = {"up-0": Load(3, 0, 0), "up-1": Load(1, 0, 0)}
        self.assertEqual(least_loaded(["up-0", "up-1"], loads, has_room), "up-1")
        self.assertIsNone(least_loaded(["up-0", "up-1"], loads, lambda upstream_id: False))
        self.assertIsNone(least_loaded([], loads, has_room))


if __name__ == "__main__":
    unittest.main()
