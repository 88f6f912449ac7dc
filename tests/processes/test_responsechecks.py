"""Guards against checks of the process tests that accept a response they should report."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from tools.standins.stutter import Reset

from tests.processes.responsechecks import findings
from tests.responsebuilders import (
    a_call,
    a_received,
    a_record,
    a_reply,
    a_run,
    some_events,
)

if TYPE_CHECKING:
    from tools.standins.stutter import WorkerRecord

    from tests.processes.keptcallers import Received

OWN_ID = {"attempt-id": "id-1"}


class ResponseChecksTest(unittest.TestCase):
    def assert_found(
        self, received: Received, record: WorkerRecord, *rules: str, more: tuple[Any, ...] = ()
    ) -> None:
        found = [line.split(":")[0] for line in findings([received, *more], record)]
        self.assertEqual(found, list(rules))

    def test_bodies(self) -> None:
        """Guards against a status, an id, a stamp or bytes that are not the worker's."""
        call = a_call()
        record = a_record(a_run(call), a_reply(call))
        rows: dict[str, tuple[dict[str, Any], tuple[str, ...]]] = {
            "right": ({}, ()),
            "cut": ({"content": b"ye", "is_whole": False}, ()),
            "own error of the router": ({"status": 502, "headers": {}, "content": b"{}"}, ()),
            "no response": ({"status": 0, "headers": {}, "is_whole": False}, ()),
            "no head": (
                {"status": 0, "headers": {}, "is_whole": False, "error": "ValueError: a"},
                ("MIXED",),
            ),
            "too short": ({"content": b"ye"}, ("MIXED",)),
            "too long": ({"content": b"yesHTTP/1.1 200 OK"}, ("MIXED",)),
            "other bytes, cut": ({"content": b"no", "is_whole": False}, ("MIXED",)),
            "other status": ({"status": 500}, ("MIXED",)),
            "other stamp": ({"headers": {**OWN_ID, "server-stamp": "stamp-2"}}, ("MIXED",)),
            "no stamp": ({"headers": OWN_ID}, ("MIXED",)),
            "no id": ({"headers": {"server-stamp": "stamp-1"}}, ("MIXED",)),
            "other id": ({"headers": {"attempt-id": "id-0"}, "status": 502}, ("MIXED",)),
        }
        for name, (fields, rules) in rows.items():
            with self.subTest(name):
                self.assert_found(a_received(call, **fields), record, *rules)
        reset = a_record(a_run(call), a_reply(call, fault=Reset(0.5, 0.0)))
        self.assert_found(a_received(call), reset, "MIXED")

    def test_streams(self) -> None:
        """Guards against events that are missing, joined, or not of this request."""
        rows: dict[str, tuple[str, bytes, bool, tuple[str, ...]]] = {
            "right": ("feed", some_events(1, 2, 3), True, ()),
            "cut": ("feed", some_events(1, 2, 3)[:-30], False, ()),
            "ended too soon": ("feed", some_events(1, 2), True, ("ORDER",)),
            "twice": ("feed", some_events(1, 2, 2, 3), True, ("ORDER",)),
            "left out": ("stream", some_events(1, 3), True, ("ORDER",)),
            "too many": ("feed", some_events(1, 2, 3, 4), True, ("ORDER",)),
            "of another request": (
                "feed",
                some_events(1) + some_events(2, request_id="id-0"),
                False,
                ("ORDER",),
            ),
            "a head": ("feed", some_events(1) + b"HTTP/1.1 200 OK\r\n", False, ("ORDER",)),
            "continued": (
                "stream",
                some_events(1) + some_events(2, 3, stamp="stamp-2"),
                True,
                (),
            ),
            "continued elsewhere": (
                "stream",
                some_events(1, 2) + some_events(3, stamp="stamp-2"),
                True,
                ("ORDER",),
            ),
        }
        for name, (kind, content, is_whole, rules) in rows.items():
            with self.subTest(name):
                call = a_call(kind)
                runs = [a_run(call)]
                if kind == "stream":
                    runs.append(a_run(call, stamp="stamp-2", first_number=2))
                record = a_record(*runs, a_reply(call))
                self.assert_found(
                    a_received(call, content=content, is_whole=is_whole), record, *rules
                )

    def test_runs(self) -> None:
        """Guards against second runs, false promises, and requests that nobody sent."""
        for kind, rules in (("once", ("TWICE",)), ("feed", ("TWICE",)), ("safe", ())):
            with self.subTest(kind):
                call = a_call(kind)
                record = a_record(a_run(call), a_run(call, stamp="stamp-2"), a_reply(call))
                received = a_received(call, status=502, headers={})
                self.assert_found(received, record, *rules)
                for status in (408, 421, 429, 503):
                    refused = a_received(call, status=status, headers={})
                    record = a_record(a_run(call))
                    self.assert_found(refused, record, *(["REFUSED"] if rules else []))
                    self.assert_found(refused, a_record())
        call = a_call()
        received = a_received(call)
        for run in (a_run(call, body=b"other"), a_run(call, target="/safe/id-1")):
            self.assert_found(received, a_record(run, a_reply(call)), "UNASKED")
        record = a_record(a_run(call), a_reply(call), a_run(a_call(request_id="id-0")))
        self.assert_found(received, record, "UNASKED")


if __name__ == "__main__":
    unittest.main()
