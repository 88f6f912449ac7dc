"""Guards against treating retries as first attempts, and the reverse."""

from __future__ import annotations

import unittest

from camphorvalve.sharing.retrydetection import WINDOW_S, RetryDetector


class RetryDetectorTest(unittest.TestCase):
    def test_retries_by_kind(self) -> None:
        """Guards against comparing requests of one kind with the timeouts of another kind."""
        detector = RetryDetector()
        rows = [
            ("drafts", 8.0, False),
            ("drafts", 7.0, False),
            ("drafts", 5.9, True),
            ("drafts", None, False),
            ("digests", 5.0, False),
            ("digests", 4.3, False),
            ("digests", 2.9, True),
        ]
        for kind, caller_timeout_s, expected in rows:
            with self.subTest(kind=kind, caller_timeout_s=caller_timeout_s):
                self.assertEqual(detector.detect_retry(kind, caller_timeout_s, 0.0), expected)

    def test_shorter_timeout(self) -> None:
        """Guards against treating all requests as retries after a shorter timeout of callers."""
        detector = RetryDetector()
        detector.detect_retry("drafts", 8.0, 0.0)
        self.assertTrue(detector.detect_retry("drafts", 4.0, 1.0))
        for turn in range(2):
            detector.detect_retry("drafts", 4.0, (turn + 1) * (WINDOW_S + 1.0))
        self.assertFalse(detector.detect_retry("drafts", 4.0, 2 * WINDOW_S + 3.0))


if __name__ == "__main__":
    unittest.main()
