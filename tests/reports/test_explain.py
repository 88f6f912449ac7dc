"""Guards against look-ups of ``RouterReport`` that omit finished requests or call wrong methods."""

from __future__ import annotations

import unittest
from types import SimpleNamespace

from camphorvalve.filters.observe import ObserveFilter
from camphorvalve.model.errors import Run
from camphorvalve.registry.configuration import EMPTY_CONFIGURATION
from camphorvalve.reports.burn import BurnTracker
from camphorvalve.reports.explain import RouterReport
from camphorvalve.reports.outcomes import Failed
from camphorvalve.reports.traces import TraceStore
from tests.builders import a_finished, a_team, a_template, team_parameters


class RouterReportTest(unittest.TestCase):
    def test_finished_requests_appear_in_every_look_up(self) -> None:
        configuration = EMPTY_CONFIGURATION._replace(
            templates={"orchestra": a_template(kinds={})}, teams={"a": a_team(name="a")}
        )
        following = SimpleNamespace(configuration=configuration)
        unused = {"membership": None, "demand": None, "scheduler": None, "runtime": None}
        report = RouterReport(
            "router-1",
            following=following,
            burn=BurnTracker("router-1"),
            traces=TraceStore(),
            observe=ObserveFilter(),
            **unused,
        )
        finished = a_finished(team_parameters("a"), outcome=Failed("queue_full", Run.NO))
        for record in report.recorders():
            record(finished)
        self.assertEqual(report.explain_request("request-1")["outcome"], "queue_full")
        self.assertIsNone(report.explain_request("request-2"))
        self.assertEqual(report.explain_team("a")["limits_hit"]["queue_full"], 1)
        self.assertIsNone(report.explain_team("b"))
        self.assertEqual([series["team"] for series in report.burn()["series"]], ["a"])
