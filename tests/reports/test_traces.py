"""Guards against traces that are evicted too early, grow without bound, or keep request bodies."""

from __future__ import annotations

import unittest

from camphorvalve.model.errors import Run
from camphorvalve.model.requests import Stage
from camphorvalve.reports.outcomes import Failed
from camphorvalve.reports.traces import (
    NOTE_LIMIT_CHARS,
    NOTE_LIMIT_COUNT,
    TraceStore,
    open_request_body,
)
from tests.builders import POOL, a_classified_exchange, a_finished, an_exchange, team_parameters


class TraceStoreTest(unittest.TestCase):
    def test_a_trace_contains_outcome_and_notes(self) -> None:
        traces = TraceStore()
        exchange = a_classified_exchange(received_s=100.0)
        exchange.attempt, exchange.upstream_id = 2, "engine-1"
        exchange.note(100.25, "granted engine-1")
        finished = a_finished(outcome=Failed("stream_broken", Run.UNKNOWN), total_s=1.5)
        traces.record(finished._replace(exchange=exchange))
        trace = traces.find_trace("request-1")
        expected = {
            "team": "perth-youth",
            "kind": "draft",
            "outcome": "stream_broken",
            "run": "unknown",
            "attempt": 2,
            "upstream_id": "engine-1",
            "total_ms": 1500.0,
            "notes": [{"at_ms": 250.0, "text": "granted engine-1"}],
        }
        self.assertEqual(trace, {**trace, **expected})
        self.assertIsNone(traces.find_trace("request-2"))

    def test_an_open_request_reports_what_it_waits_for(self) -> None:
        exchange = a_classified_exchange(received_s=100.0)
        cases = [
            (Stage.RECEIVED, None, None),
            (Stage.RECORDING, "a quorum of the controllers", None),
            (Stage.WAITING, f"a slot of pool {POOL}", 4),
            (Stage.RUNNING, "the answer of engine-1", None),
        ]
        for stage, waits_for, ahead_count in cases:
            exchange.stage, exchange.upstream_id = stage, "engine-1"
            body = open_request_body(exchange, 4, 101.5)
            with self.subTest(stage):
                self.assertEqual((body["waits_for"], body["ahead_count"]), (waits_for, ahead_count))
                self.assertEqual((body["state"], body["open_ms"]), (stage.value, 1500.0))

    def test_traces_notes_and_teams_are_bounded(self) -> None:
        traces = TraceStore(traces_count=3, teams_count=2)
        for number in range(5):
            team = team_parameters(f"team-{number % 3}")
            exchange = a_classified_exchange(team, request_id=str(number))
            for step in range(100):
                exchange.note(0.0, f"{step} {'x' * 1000}")
            traces.record(a_finished()._replace(exchange=exchange))
        found = [traces.find_trace(str(number)) for number in range(5)]
        self.assertEqual([one is not None for one in found], [False, False, True, True, True])
        notes = [note["text"] for note in found[4]["notes"]]
        self.assertEqual(len(notes), NOTE_LIMIT_COUNT)
        self.assertLessEqual({len(text) for text in notes}, {NOTE_LIMIT_CHARS})
        self.assertEqual((notes[0].split()[0], notes[-1].split()[0]), ("0", "99"))
        counted = [traces.team_outcomes(f"team-{number}")["outcomes"] for number in range(3)]
        self.assertEqual(counted, [{"answered": 1}, {"answered": 1}, {}])

    def test_limits_hit_are_counted_per_team(self) -> None:
        traces = TraceStore()
        for code in ("queue_full", "queue_full", "wait_too_long", "upstream_failed"):
            traces.record(a_finished(outcome=Failed(code, Run.NO)))
        refused = a_finished(outcome=Failed("unauthorised", Run.NO))
        traces.record(refused._replace(exchange=an_exchange(team="perth-youth")))
        body = traces.team_outcomes("perth-youth")
        expected = {"too_large": 0, "queue_full": 2, "wait_too_long": 1}
        self.assertEqual(body["limits_hit"], expected)
        self.assertNotIn("unauthorised", body["outcomes"], "the claimed team is not verified")
