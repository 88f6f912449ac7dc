"""Adds up the service of each team over the schedulers that serve it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.wire.messages import TotalEntry

if TYPE_CHECKING:
    from camphorvalve.wire.messages import ServiceEntry

SETTLE_S = 3.0
"""Time for which a new aggregator uses the highest total known to any scheduler, as not all have
reported yet."""
WAITING_LIFETIME_S = 3.5
"""A scheduler without a report for this long does not count as one at which a team waits."""


class _Counter(NamedTuple):
    incarnation: int
    served_units: float


@dataclass(slots=True)
class _Sum:
    created_s: float
    retired_units: float = 0.0
    """Service of earlier incarnations of schedulers."""
    base_units: float = 0.0
    """Service from before this aggregator started that is in no counter."""
    known_units: float = 0.0
    """Highest total that a scheduler has reported within ``SETTLE_S`` of the first report."""
    lift_units: float = 0.0
    counters: dict[str, _Counter] = field(default_factory=dict)
    waiting_heard_s: dict[str, float] = field(default_factory=dict)


class Aggregator:
    """Merges cumulative reports, so that lost, repeated or reordered ones do not change totals."""

    def __init__(self) -> None:
        """Start without any reports."""
        self._sums: dict[TeamKey, _Sum] = {}

    def merge(
        self, scheduler_id: str, incarnation: int, entry: ServiceEntry, now_s: float
    ) -> TotalEntry:
        """
        Merge one report.

        :param scheduler_id: the reporting scheduler
        :param incarnation: its incarnation
        :param entry: its cumulative counters
        :param now_s: current time
        :return: the total for that scheduler
        """
        team_sum = self._sums.setdefault(TeamKey(entry.pool, entry.team), _Sum(now_s))
        _merge_counter(team_sum, scheduler_id, _Counter(incarnation, entry.served_units))
        team_sum.lift_units = max(team_sum.lift_units, entry.lift_units)
        if entry.waiting:
            team_sum.waiting_heard_s[scheduler_id] = now_s
        else:
            team_sum.waiting_heard_s.pop(scheduler_id, None)
        served_units = team_sum.retired_units + sum(
            counter.served_units for counter in team_sum.counters.values()
        )
        if now_s - team_sum.created_s < SETTLE_S:
            team_sum.known_units = max(team_sum.known_units, entry.known_total_units)
            team_sum.base_units = max(0.0, team_sum.known_units - served_units)
        total_units = team_sum.base_units + served_units
        waiting_count = sum(
            now_s - heard_s < WAITING_LIFETIME_S for heard_s in team_sum.waiting_heard_s.values()
        )
        return TotalEntry(
            entry.pool, entry.team, total_units, team_sum.lift_units, max(1, waiting_count)
        )


def _merge_counter(team_sum: _Sum, scheduler_id: str, reported: _Counter) -> None:
    current = team_sum.counters.get(scheduler_id)
    if current is None:
        team_sum.counters[scheduler_id] = reported
        return
    if reported.incarnation < current.incarnation:
        return
    if reported.incarnation > current.incarnation:
        team_sum.retired_units += current.served_units
        team_sum.counters[scheduler_id] = reported
        return
    served_units = max(current.served_units, reported.served_units)
    team_sum.counters[scheduler_id] = current._replace(served_units=served_units)


__all__ = ["Aggregator"]
