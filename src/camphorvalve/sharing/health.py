"""Tracks upstreams that temporarily get no grants: unreachable ones and overloaded ones."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from camphorvalve.upstreams.reports import LoadReport

BLOCK_S = 5.0
"""Time for which an entry router gets no grants for an upstream that it could not connect to."""
BLOCK_REPORTERS_COUNT = 2
"""Routers that must fail to connect before an upstream is blocked for all: the cause may lie in a
single router or its network."""
FAILED_REPORTS_COUNT = 2
"""Consecutive missing load reports after which an upstream gets no grants."""
REPORT_LIFETIME_S = 5.0
"""Age from which a load report is ignored."""


@dataclass(slots=True)
class _Reports:
    failed_count: int = 0
    waiting_count: int = 0
    measured_s: float = float("-inf")


class UpstreamHealth:
    """Failed connection attempts by entry router, and load reports of the scheduled upstreams."""

    def __init__(self) -> None:
        """Start with every upstream usable."""
        self._blocked_until_s: dict[tuple[str, str], float] = {}
        self._reports: dict[str, _Reports] = {}

    def block(self, entry_id: str, upstream_id: str, now_s: float) -> None:
        """
        Record that an entry router could not connect to an upstream.

        :param entry_id: the entry router
        :param upstream_id: the upstream
        :param now_s: current time
        """
        self._blocked_until_s[(entry_id, upstream_id)] = now_s + BLOCK_S

    def report_load(self, upstream_id: str, report: LoadReport, now_s: float) -> None:
        """
        Record a load report.

        :param upstream_id: the upstream
        :param report: the load report, with its age
        :param now_s: current time
        """
        reports = self._reports.setdefault(upstream_id, _Reports())
        reports.failed_count = 0
        reports.waiting_count = report.waiting_count
        reports.measured_s = now_s - report.age_s

    def report_failed(self, upstream_id: str) -> None:
        """
        Record that an upstream delivered no load report.

        :param upstream_id: the upstream
        """
        self._reports.setdefault(upstream_id, _Reports()).failed_count += 1

    def may_use(self, entry_id: str, upstream_id: str, now_s: float) -> bool:
        """
        Tell whether an entry router may get a grant for an upstream.

        :param entry_id: the entry router
        :param upstream_id: the upstream
        :param now_s: current time
        :return: ``False`` while the upstream is blocked, delivers no load reports or, by a recent
            report, has more than one request waiting
        """
        reports = self._reports.get(upstream_id)
        if reports is not None:
            if reports.failed_count >= FAILED_REPORTS_COUNT:
                return False
            # Grants of another scheduler fill the batch; further requests would wait at the engine.
            if reports.waiting_count > 1 and now_s - reports.measured_s < REPORT_LIFETIME_S:
                return False
        reporters = [
            reporter
            for (reporter, blocked_id), until_s in self._blocked_until_s.items()
            if blocked_id == upstream_id and until_s > now_s
        ]
        return entry_id not in reporters and len(reporters) < BLOCK_REPORTERS_COUNT

    def expire(self, now_s: float) -> None:
        """
        Remove blocks that have expired.

        :param now_s: current time
        """
        for blocked in [
            blocked for blocked, until_s in self._blocked_until_s.items() if until_s <= now_s
        ]:
            del self._blocked_until_s[blocked]


__all__ = ["UpstreamHealth"]
