"""Sums the service of a team over the schedulers that serve it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.sharing.ledger import TeamKey
from camphorvalve.wire.messages import TotalEntry

if TYPE_CHECKING:
    from camphorvalve.wire.messages import ServiceEntry

SETTLE_S = 3.0
"""A new aggregator believes the highest total that schedulers heard of until all have reported."""
WAITING_LIFETIME_S = 3.5
"""A scheduler that did not report for this long does not count among those where a team waits."""


class _Counter(NamedTuple):
    incarnation: int
    served_units: float


@dataclass(slots=True)
class _Sum:
    created_s: float
    retired_units: float = 0.0
    """Service of schedulers' earlier incarnations."""
    base_units: float = 0.0
    """Service from before this aggregator that no counter holds."""
    known_units: float = 0.0
    lift_units: float = 0.0
    counters: dict[str, _Counter] = field(default_factory=dict)
    waiting_heard_s: dict[str, float] = field(default_factory=dict)


class Aggregator:
    """Merges cumulative reports; loss, repetition and reordering of reports do no harm."""

    def __init__(self) -> None:
        """Start without sums."""
        self._sums: dict[TeamKey, _Sum] = {}

    def merge(
        self, scheduler_id: str, incarnation: int, entry: ServiceEntry, now_s: float
    ) -> TotalEntry:
        """
        Take in one report.

        :param scheduler_id: the reporting scheduler
        :param incarnation: its incarnation
        :param entry: its cumulative counters
        :param now_s: current time
        :return: the total for that scheduler
        """
        one = self._sums.setdefault(TeamKey(entry.pool, entry.team), _Sum(now_s))
        _merge_counter(one, scheduler_id, _Counter(incarnation, entry.served_units))
        one.lift_units = max(one.lift_units, entry.lift_units)
        if entry.waiting:
            one.waiting_heard_s[scheduler_id] = now_s
        else:
            one.waiting_heard_s.pop(scheduler_id, None)
        served = one.retired_units + sum(c.served_units for c in one.counters.values())
        if now_s - one.created_s < SETTLE_S:
            one.known_units = max(one.known_units, entry.known_total_units)
            one.base_units = max(0.0, one.known_units - served)
        total = one.base_units + served
        waiting_count = sum(
            now_s - heard_s < WAITING_LIFETIME_S for heard_s in one.waiting_heard_s.values()
        )
        return TotalEntry(entry.pool, entry.team, total, one.lift_units, max(1, waiting_count))


def _merge_counter(one: _Sum, scheduler_id: str, reported: _Counter) -> None:
    current = one.counters.get(scheduler_id)
    if current is None:
        one.counters[scheduler_id] = reported
        return
    if reported.incarnation < current.incarnation:
        return
    if reported.incarnation > current.incarnation:
        one.retired_units += current.served_units
        one.counters[scheduler_id] = reported
        return
    served_units = max(current.served_units, reported.served_units)
    one.counters[scheduler_id] = current._replace(served_units=served_units)


__all__ = ["Aggregator"]
