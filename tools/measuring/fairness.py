"""Fairness gap and utilisation from the logs of the upstreams; no input or output."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

GRID_S = 0.1
BACKLOGGED_RATIO = 0.98
"""Part of the window in which a team has to wait to count as backlogged in all of it."""


class Run(NamedTuple):
    """Service that an upstream gave to one request."""

    upstream_id: str
    team: str
    start_s: float
    end_s: float
    units: float

    def units_before(self, at_s: float) -> float:
        """
        Count service until a time, as an upstream serves a run evenly.

        :param at_s: wall-clock time
        :return: units
        """
        if at_s <= self.start_s:
            return 0.0
        if at_s >= self.end_s:
            return self.units
        return self.units * (at_s - self.start_s) / (self.end_s - self.start_s)


class Window(NamedTuple):
    """A part of the run, in wall-clock time."""

    start_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """:return: length of the window"""
        return self.end_s - self.start_s

    def grid(self) -> list[float]:
        """:return: times at which service is compared"""
        count = int(self.duration_s / GRID_S)
        return [self.start_s + GRID_S * step for step in range(count + 1)]


class Gap(NamedTuple):
    """The worst gap, and between whom."""

    gap_s: float = 0.0
    ahead: str = ""
    behind: str = ""
    from_s: float = 0.0
    """Seconds after the start of the window."""
    to_s: float = 0.0


def worst_gap(
    runs: Iterable[Run],
    shares: Mapping[str, float],
    window: Window,
    pool_rate: float,
    mean_share: float,
) -> Gap:
    """
    Find the worst gap of any two teams over any interval, as ``tests/sharing/pooltrial.py``.

    :param runs: service of the pool
    :param shares: shares of the backlogged teams
    :param window: where to look
    :param pool_rate: units a second with every slot busy
    :param mean_share: mean over all teams of the deployment
    :return: the gap in seconds of the pool's whole rate
    """
    times = window.grid()
    by_team = served(runs, shares, times)
    scaled = {
        team: [units * mean_share / shares[team] / pool_rate for units in series]
        for team, series in by_team.items()
    }
    worst = Gap()
    names = sorted(scaled)
    for one in names:
        for other in names:
            if one != other:
                found = _rise(scaled[one], scaled[other])
                if found[0] > worst.gap_s:
                    worst = Gap(found[0], one, other, found[1] * GRID_S, found[2] * GRID_S)
    return worst


def _rise(one: Sequence[float], other: Sequence[float]) -> tuple[float, int, int]:
    """Find the largest rise of ``one - other`` over any interval."""
    lowest, lowest_at = one[0] - other[0], 0
    best = (0.0, 0, 0)
    for step, (ahead, behind) in enumerate(zip(one, other, strict=True)):
        lead = ahead - behind
        if lead < lowest:
            lowest, lowest_at = lead, step
        if lead - lowest > best[0]:
            best = (lead - lowest, lowest_at, step)
    return best


def served(
    runs: Iterable[Run], teams: Iterable[str], times: Sequence[float]
) -> dict[str, list[float]]:
    """
    Sum service by team over time.

    :param runs: service of the pool
    :param teams: teams to look at
    :param times: times, ascending
    :return: cumulative units by team
    """
    series = {team: [0.0] * len(times) for team in teams}
    for run in runs:
        if run.team in series and run.end_s > times[0]:
            sums = series[run.team]
            for place, at_s in enumerate(times):
                sums[place] += run.units_before(at_s)
    return series


def utilisation(runs: Iterable[Run], slots: Mapping[str, int], window: Window) -> float:
    """
    Compute the busy part of the slots; runs beyond an upstream's slots do not count.

    :param runs: service of the pool
    :param slots: slots by upstream
    :param window: where to look
    :return: 0 to 1
    """
    busy_s = 0.0
    by_upstream: dict[str, list[tuple[float, int]]] = {}
    for run in runs:
        start_s, end_s = max(run.start_s, window.start_s), min(run.end_s, window.end_s)
        if start_s < end_s:
            by_upstream.setdefault(run.upstream_id, []).extend([(start_s, 1), (end_s, -1)])
    for upstream_id, changes in by_upstream.items():
        running_count, since_s = 0, window.start_s
        for at_s, change in sorted(changes):
            busy_s += min(running_count, slots[upstream_id]) * (at_s - since_s)
            running_count, since_s = running_count + change, at_s
    return busy_s / (sum(slots.values()) * window.duration_s)


def backlogged_ratio(waits: Iterable[tuple[float, float]], window: Window) -> float:
    """
    Compute in which part of a window at least one request waited.

    :param waits: from sending to the start at an upstream
    :param window: where to look
    :return: 0 to 1
    """
    covered_s, reached_s = 0.0, window.start_s
    for start_s, end_s in sorted(waits):
        start_s, end_s = max(start_s, reached_s), min(end_s, window.end_s)
        if end_s > start_s:
            covered_s += end_s - start_s
            reached_s = end_s
    return covered_s / window.duration_s


__all__ = [
    "BACKLOGGED_RATIO",
    "Gap",
    "Run",
    "Window",
    "backlogged_ratio",
    "served",
    "utilisation",
    "worst_gap",
]
