"""Guards against treating retries as first attempts, and the reverse."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.patience import WINDOW_S, Patience


class PatienceTest(unittest.TestCase):
    def test_retries_by_kind(self) -> None:
        """Guards against comparing requests of one kind with the patience for another kind."""
        patience = Patience()
        rows = [
            ("drafts", 8.0, False),
            ("drafts", 7.0, False),
            ("drafts", 5.9, True),
            ("drafts", None, False),
            ("digests", 5.0, False),
            ("digests", 4.3, False),
            ("digests", 2.9, True),
        ]
        for kind, patience_s, expected in rows:
            with self.subTest(kind=kind, patience_s=patience_s):
                self.assertEqual(patience.detect_retry(kind, patience_s, 0.0), expected)

    def test_shorter_patience(self) -> None:
        """Guards against treating all requests as retries after a shorter timeout of callers."""
        patience = Patience()
        patience.detect_retry("drafts", 8.0, 0.0)
        self.assertTrue(patience.detect_retry("drafts", 4.0, 1.0))
        for turn in range(2):
            patience.detect_retry("drafts", 4.0, (turn + 1) * (WINDOW_S + 1.0))
        self.assertFalse(patience.detect_retry("drafts", 4.0, 2 * WINDOW_S + 3.0))


if __name__ == "__main__":
    unittest.main()
