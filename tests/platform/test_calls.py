"""Guards against a wrong cost estimate from the headers of a request."""

from __future__ import annotations

import unittest

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import Resumption, RoutedCall
from camphorvalve.sharing import homes
from camphorvalve_platform import calls

SCOPE = {"type": "http", "method": "POST", "path": "/a/1", "raw_path": b"/a/1", "query_string": b""}


class CostTest(unittest.TestCase):
    def test_cost_of_headers(self) -> None:
        """Guards against a wrong cost, and malformed headers that raise instead of costing 0."""
        rows = [
            ({"token-count": "1460,80"}, 1620.0),
            ({"token-count": "1460,80", "prompt-prefix": "5c1e:800,91bd:660"}, 1620.0),
            ({"token-count": "1460"}, 1460.0),
            ({}, 0.0),
            ({"token-count": "many"}, 0.0),
        ]
        for headers, expected in rows:
            with self.subTest(headers):
                self.assertEqual(calls.cost_tokens(headers), expected)

    def test_same_cost_as_decoded_call(self) -> None:
        """Guards against demand that is counted differently before and after decoding."""
        head = {"token-count": "17020,120", "prompt-prefix": "5c1e:13300,91bd:3720"}
        headers = [(name.encode(), value.encode()) for name, value in head.items()]
        call = calls.decode({**SCOPE, "headers": headers}).call
        self.assertIsInstance(call, RoutedCall)
        self.assertEqual(calls.cost_tokens(head), homes.cost_tokens(call))

    def test_bad_numbers(self) -> None:
        """Guards against an internal error for a number that cannot be a time."""
        for value in (b"nan", b"inf", b"1e999", b"soon"):
            with self.subTest(value), self.assertRaisesRegex(RequestError, "deadline-ms"):
                calls.decode({**SCOPE, "headers": [(b"deadline-ms", value)]})


class ResumptionTest(unittest.TestCase):
    def resumption(self, *headers: tuple[bytes, bytes]) -> Resumption | None:
        call = calls.decode({**SCOPE, "headers": headers}).call
        self.assertIsInstance(call, RoutedCall)
        return call.resumption

    def test_named_stream(self) -> None:
        """Guards against a stream that goes on at any version although its caller names it."""
        self.assertIsNone(self.resumption((b"resumes", b"id-1")))
        self.assertEqual(
            self.resumption((b"last-event-id", b"12"), (b"resumes", b"id-1")),
            Resumption("id-1", 12),
        )
        for unnamed in ((), ((b"resumes", b""),)):
            self.assertEqual(
                self.resumption((b"last-event-id", b"12"), *unnamed), Resumption(None, 12)
            )

    def test_new_stream(self) -> None:
        """Guards against new streams that are refused because they seem to be resumed."""
        for number in (b"", b"0", b"000", b" 0 "):
            with self.subTest(number):
                self.assertIsNone(self.resumption((b"last-event-id", number)))

    def test_odd_numbers(self) -> None:
        """Guards against a stream that goes on at any version because only the upstream can read
        the number of its last event."""
        rows = [b"0" * 20 + b"12", b"+12", b"1_2", b"1" * 19, b"1" * 5000, b"part-12"]
        for number in rows:
            with self.subTest(number[:30]):
                self.assertIsNotNone(self.resumption((b"last-event-id", number)))
        for numbers in ((b"12", b"0"), (b"0", b"12")):
            with self.subTest(numbers):
                headers = [(b"last-event-id", number) for number in numbers]
                self.assertIsNotNone(self.resumption(*headers))


if __name__ == "__main__":
    unittest.main()
