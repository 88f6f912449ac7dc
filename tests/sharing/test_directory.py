"""Guards against callers that are sent to few routers, to far ones, or to ones that are pressed."""

from __future__ import annotations

import unittest
from collections import defaultdict

from camphorvalve.sharing.directory import CallerPlace, NamedRouter, choose_routers
from tests.routebuilders import ZONES, a_caller_place, some_named_routers

MAX_COUNT = 64


class DirectoryTest(unittest.TestCase):
    def parts(self, routers: list[NamedRouter], zones: list[str]) -> dict[str, float]:
        """Return the expected number of callers at each router; each picks one of its answer."""
        parts: dict[str, float] = defaultdict(float)
        for number in range(4000):
            place = a_caller_place(zones[number % len(zones)], f"caller-{number}")
            answer = choose_routers(routers, place, MAX_COUNT)
            self.assertTrue(0 < len(answer) <= MAX_COUNT)
            for address in answer:
                parts[address] += 1 / len(answer)
        return parts

    def assert_even(self, parts: dict[str, float], addresses: list[str]) -> None:
        even = sum(parts.values()) / len(addresses)
        for address in addresses:
            self.assertLess(abs(parts[address] - even), 0.25 * even, address)
        self.assertEqual(set(parts), set(addresses))

    def test_large_fleet(self) -> None:
        """Guards against an answer whose limit hides most of the routers: with 191 routers sorted
        by address, callers came to 64 of them, of two data centres."""
        routers = some_named_routers(191, *ZONES)
        self.assert_even(self.parts(routers, ZONES), [router.address for router in routers])

    def test_large_data_centre(self) -> None:
        """Guards against routers that the limit hides in a data centre of more than 64."""
        routers = some_named_routers(200, ZONES[0])
        self.assert_even(self.parts(routers, ZONES[:1]), [router.address for router in routers])

    def test_near_routers(self) -> None:
        """Guards against traffic between data centres while the near routers have room."""
        routers = some_named_routers(191, *ZONES)
        answer = choose_routers(routers, a_caller_place("perth-c"), MAX_COUNT)
        near = [router.address for router in routers if router.data_centre == "perth-c"]
        self.assertEqual(answer, near)

    def test_choked_router(self) -> None:
        """Guards against naming a router that answers nobody."""
        routers = some_named_routers(3, ZONES[0], pressed=frozenset({1}))
        addresses = [routers[0].address, routers[2].address]
        self.assert_even(self.parts(routers, ZONES[:1]), addresses)

    def test_flood(self) -> None:
        """Guards against routers that idle while all those near a flood refuse."""
        pressed = frozenset(number for number in range(191) if number % 6 == 1)
        routers = some_named_routers(191, *ZONES, pressed=pressed)
        idle = [router.address for router in routers if not router.is_pressed]
        self.assert_even(self.parts(routers, ["perth-b"]), idle)

    def test_few_pressed(self) -> None:
        """Guards against sending all callers of a data centre away because one of its routers is
        pressed."""
        routers = some_named_routers(191, *ZONES, pressed=frozenset({1}))
        answer = choose_routers(routers, a_caller_place("perth-b"), MAX_COUNT)
        far = [r.address for r in routers if r.data_centre != "perth-b" and r.address in answer]
        self.assertEqual((len(answer), len(far)), (32, 1))

    def test_never_empty(self) -> None:
        """Guards against an empty answer while a router is there, and an unknown place."""
        routers = some_named_routers(2, *ZONES, pressed=frozenset({0, 1}))
        self.assertEqual(len(choose_routers(routers, a_caller_place("perth-a"), MAX_COUNT)), 2)
        self.assertEqual(len(choose_routers(routers, CallerPlace("c", ()), MAX_COUNT)), 2)
        self.assertEqual(choose_routers([], a_caller_place("perth-a"), MAX_COUNT), [])

    def test_fail_over(self) -> None:
        """Guards against naming a single router that may have failed a moment ago."""
        routers = some_named_routers(6, *ZONES)
        self.assertEqual(len(choose_routers(routers, a_caller_place("perth-a"), MAX_COUNT)), 3)

    def test_stable(self) -> None:
        """Guards against answers that change without a reason: callers then close connections."""
        routers = some_named_routers(300, ZONES[0])
        place = a_caller_place(ZONES[0])
        first = choose_routers(routers, place, MAX_COUNT)
        without_other = [router for router in routers if router.address not in first[:1]]
        self.assertEqual(choose_routers(without_other, place, MAX_COUNT)[:-1], first[1:])
        self.assertEqual(choose_routers(routers[::-1], place, MAX_COUNT), first)


if __name__ == "__main__":
    unittest.main()
