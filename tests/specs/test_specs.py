"""Guards against a protocol that breaks its invariants, and a checker that would not notice."""

from __future__ import annotations

import dataclasses
import unittest

from minicheck import check_safety

from specs import at_most_once, fenced_order, member_removal, replicated_log

MODULES = (replicated_log, member_removal, at_most_once, fenced_order)
# The shortest violations lie within this many states; the whole space of a defect is larger.
DEFECT_STATES = 40_000
FOUND = {
    replicated_log: {"one leader per term", "committed entries never change"},
    member_removal: {"committed entries never change"},
    at_most_once: {"at most one run"},
    fenced_order: {"no stale order where numbers are ignored"},
}
# What the sound protocol has to reach, so that its invariants do not hold for want of events.
REACHED = {
    replicated_log: lambda state: any(entry.members == (0, 1, 3) for entry in state["committed"]),
    member_removal: lambda state: any(one.members == (1, 2, 3) for one in state["committed"]),
    at_most_once: lambda state: state["outcome"] == "answer" and state["second"].sent,
    fenced_order: lambda state: state["newest"] == (2, 2),
}


class SpecificationsTest(unittest.TestCase):
    def test_the_protocols_hold_in_every_state(self) -> None:
        for module in MODULES:
            with self.subTest(module.__name__):
                protocol = module.protocol(defect=False)
                reached = REACHED[module]
                invariants = {
                    **protocol.invariants,
                    "reached": lambda state, reached=reached: not reached(state),
                }
                result = check_safety(dataclasses.replace(protocol, invariants=invariants))
                self.assertTrue(result["exhaustive"])
                holds = {name: one["holds"] for name, one in result["properties"].items()}
                self.assertFalse(holds.pop("reached"))
                self.assertEqual(set(holds.values()), {True}, holds)

    def test_the_checker_finds_each_defect(self) -> None:
        for module in MODULES:
            with self.subTest(module.__name__):
                result = check_safety(module.protocol(defect=True), DEFECT_STATES)
                properties = result["properties"]
                found = {name for name, one in properties.items() if one["holds"] is False}
                self.assertEqual(found, FOUND[module])
