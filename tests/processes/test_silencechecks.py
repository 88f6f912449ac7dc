"""Guards against checks of silent upstreams that accept a lost response."""

from __future__ import annotations

import json
import unittest
from typing import Any

from tests.processes.silencechecks import Bounds, Stop, silence_findings
from tests.responsebuilders import a_call, a_received, a_record, a_reply, a_run

CALL = a_call(deadline_ms=6000)
BOUNDS = Bounds(timeout_s=8.0, attempts_count=2)
STOPPED = BOUNDS._replace(stops=(Stop("router-1", 100.0, 8.0),))
CUT: dict[str, Any] = {"content": b"y", "is_whole": False, "error": "EOFError"}
CLOSED: dict[str, Any] = {**CUT, "status": 0, "headers": {}, "content": b""}


def an_error(status: int, run: str) -> dict[str, Any]:
    content = json.dumps({"error": {"code": "any", "run": run}}).encode()
    return {"status": status, "headers": {}, "content": content}


class SilenceChecksTest(unittest.TestCase):
    def rules(self, *, runs_count: int = 1, bounds: Bounds = BOUNDS, **fields: Any) -> list[str]:
        numbers = range(1, runs_count + 1)
        runs = [a_run(CALL, stamp=f"stamp-{number}") for number in numbers]
        replies = [a_reply(CALL, stamp=f"stamp-{number}") for number in numbers]
        received = a_received(CALL, **{"sent_s": 100.0, "ended_s": 101.0, **fields})
        found = silence_findings([received], a_record(*runs, *replies), bounds)
        return [line.split(":")[0] for line in found]

    def test_responses(self) -> None:
        rows: dict[str, tuple[dict[str, Any], list[str]]] = {
            "whole": ({}, []),
            "broken off": (CUT, ["LOST"]),
            "closed": (CLOSED, ["LOST"]),
            "closed at once, not sent on": ({**CLOSED, "ended_s": 100.1, "runs_count": 0}, []),
            "held and closed": ({**CLOSED, "ended_s": 101.1, "runs_count": 0}, ["LOST"]),
            "failure": (an_error(502, "unknown"), ["LOST"]),
            "unknown outcome": (an_error(503, "unknown"), ["LOST"]),
            "refusal": ({**an_error(503, "no"), "runs_count": 0}, []),
            "refusal of what ran": (an_error(503, "no"), ["REFUSED"]),
            "timeout": ({**an_error(504, "unknown"), "ended_s": 106.0}, []),
            "early timeout": ({**an_error(504, "unknown"), "ended_s": 105.9}, ["LOST"]),
            "too many runs": ({"runs_count": 3}, ["BUDGET"]),
        }
        for name, (fields, rules) in rows.items():
            with self.subTest(name):
                self.assertEqual(self.rules(**fields), rules)

    def test_stops(self) -> None:
        """Only a response that was begun early and lasts until the end of the stop may be cut."""
        rows: dict[str, tuple[dict[str, Any], list[str]]] = {
            "at the end": ({"sent_s": 102.9, "ended_s": 107.3}, []),
            "taken late": ({"sent_s": 103.1, "ended_s": 107.3}, ["LOST"]),
            "cut early": ({"sent_s": 102.9, "ended_s": 106.6}, ["LOST"]),
            "of another router": (
                {"router": "router-2", "sent_s": 102.9, "ended_s": 107.3},
                ["LOST"],
            ),
        }
        for name, (fields, rules) in rows.items():
            with self.subTest(name):
                self.assertEqual(self.rules(bounds=STOPPED, **CUT, **fields), rules)


if __name__ == "__main__":
    unittest.main()
