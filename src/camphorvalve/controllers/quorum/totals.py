"""Sums the demand that routers report; runs in the controllers that the routers select for it."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.sharing.silentrouters import SilentRouters
from camphorvalve.wire.messages import Asked, AskedTotals, whole_tokens

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.runtime import Sender

REPORT_LIFETIME_S = 2.0
"""Four report intervals. By then, the callers of a failed router use other routers, which report
their demand."""
MAX_PRESSED_COUNT = 64
"""Most pressed routers that the sums name, so that they stay small."""

_log = structlog.get_logger(__name__)


class _Report(NamedTuple):
    asked: Asked
    heard_s: float


class TotalsController:
    """Owns the latest report of each router; soft state, rebuilt from reports in half a second."""

    name = "totals"
    tick_s = 1.0
    accepts = (Asked,)

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        self._asked: Counter[str] = Counter()
        self._served: Counter[str] = Counter()
        self._starved: Counter[str] = Counter()
        self._pressed_ids: dict[str, None] = {}
        """Ids of routers that report to be pressed, the longest pressed first."""
        self._silent_routers = SilentRouters()
        self._logged_reports_count = 0

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Store a report and answer it with the sums.

        :param sender: the router
        :param message: ``Asked``
        :param now_s: monotonic time
        :return: the sums
        """
        self._replace_report(sender.host_id, _Report(message, now_s))
        self._silent_routers.record_report(sender.host_id, now_s)
        entries = tuple(
            whole_tokens(team, tokens, self._served[team], self._starved[team])
            for team, tokens in self._asked.items()
        )
        pressed_ids = tuple(islice(self._pressed_ids, MAX_PRESSED_COUNT))
        silent_ids = self._silent_routers.ids(now_s)
        yield Outgoing(
            sender.host_id, AskedTotals(entries, len(self._reports), pressed_ids, silent_ids)
        )

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Drop the reports of routers that have stopped reporting.

        :param now_s: monotonic time
        :return: nothing
        """
        for router_id in [
            reporter_id
            for reporter_id, report in self._reports.items()
            if now_s - report.heard_s > REPORT_LIFETIME_S
        ]:
            self._replace_report(router_id, None)
        if len(self._reports) != self._logged_reports_count:
            self._logged_reports_count = len(self._reports)
            _log.info("routers report their demand", reports_count=self._logged_reports_count)
        yield from ()

    def _replace_report(self, router_id: str, report: _Report | None) -> None:
        """
        Replace a report and update the sums by the difference.

        Adding up all reports each time would cost the square of the number of routers.
        """
        previous = self._reports.pop(router_id, None)
        if previous is not None:
            self._add_to_sums(previous.asked, -1.0)
        if report is None or not report.asked.is_pressed:
            self._pressed_ids.pop(router_id, None)
        else:
            self._pressed_ids.setdefault(router_id)
        if report is not None:
            self._reports[router_id] = report
            self._add_to_sums(report.asked, 1.0)
        self._asked = +self._asked

    def _add_to_sums(self, asked: Asked, sign: float) -> None:
        for team, tokens, served_tokens, starved_tokens in asked.entries:
            self._asked[team] += sign * tokens
            self._served[team] += sign * served_tokens
            self._starved[team] += sign * starved_tokens


__all__ = ["TotalsController"]
