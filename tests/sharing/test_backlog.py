"""Which waiting request a grant picks."""

from __future__ import annotations

import unittest

from camphorvalve.model.teams import Urgency
from camphorvalve.sharing.backlog import Backlog, Waiter
from camphorvalve.sharing.ledger import TeamKey

KEY = TeamKey("pool", "team")


def _waiter(*excluded: str) -> Waiter:
    return Waiter(
        KEY, "kind", Urgency.URGENT, 1, 1.0, 0.0, 60.0, lambda: None, False, frozenset(excluded)
    )


class BacklogTest(unittest.TestCase):
    """Guards against a request that no grant ever fits."""

    def test_excluded_upstreams(self) -> None:
        """Each case: upstreams that failed, live ones, and whether a grant of ``a`` is used."""
        cases = (
            ("other upstream is left", ("a",), {"a", "b"}, False),
            ("only upstream", ("a",), {"a"}, True),
            ("all have failed", ("a", "b"), {"a", "b"}, True),
            ("nothing failed", (), {"a"}, True),
        )
        for name, excluded, live, expected in cases:
            with self.subTest(name):
                backlog = Backlog()
                backlog.add(_waiter(*excluded))
                self.assertEqual(expected, backlog.pick(KEY, "a", frozenset(live)) is not None)


if __name__ == "__main__":
    unittest.main()
