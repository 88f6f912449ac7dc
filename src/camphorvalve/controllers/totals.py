"""Sums the demand that routers report, in the controller that they have chosen for it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.wire.messages import Asked, AskedTotals, TeamTokens

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.runtime import Sender

REPORT_LIFETIME_S = 2.0
"""Four reports; the callers of a router that is gone are counted at other routers then."""

_log = structlog.get_logger(__name__)


class _Report(NamedTuple):
    asked: Asked
    heard_s: float


class TotalsController:
    """Owns the newest report of each router; soft state, rebuilt within half a second."""

    name = "totals"
    tick_s = 1.0
    accepts = (Asked,)

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[str, _Report] = {}
        self._logged_count = 0

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Take a report and answer it with the sums.

        :param sender: the router
        :param message: ``Asked``
        :param now_s: monotonic time
        :return: the sums
        """
        self._reports[sender.host_id] = _Report(message, now_s)
        asked: Counter[str] = Counter()
        served: Counter[str] = Counter()
        for report in self._reports.values():
            for team, tokens, served_tokens in report.asked.entries:
                asked[team] += tokens
                served[team] += served_tokens
        starved_tokens = sum(report.asked.starved_tokens for report in self._reports.values())
        entries = tuple(TeamTokens(team, asked[team], served[team]) for team in asked)
        yield Outgoing(sender.host_id, AskedTotals(entries, starved_tokens, len(self._reports)))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Drop the reports of routers that fell silent.

        :param now_s: monotonic time
        :return: nothing
        """
        for router_id in [
            one
            for one, report in self._reports.items()
            if now_s - report.heard_s > REPORT_LIFETIME_S
        ]:
            del self._reports[router_id]
        if len(self._reports) != self._logged_count:
            self._logged_count = len(self._reports)
            _log.info("routers report their demand", reports_count=self._logged_count)
        yield from ()


__all__ = ["TotalsController"]
