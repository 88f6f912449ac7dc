"""Computes the fairness gap and the utilisation from runs that upstreams logged, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

GRID_STEP_S = 0.1
BACKLOGGED_RATIO = 0.98
"""Fraction of a window from which on a team with waiting requests counts as backlogged."""


class Run(NamedTuple):
    """The execution of one request at an upstream."""

    upstream_id: str
    team: str
    start_s: float
    end_s: float
    units: float

    def units_before(self, at_s: float) -> float:
        """
        Count the units served until a time, at a constant rate over the run.

        :param at_s: wall-clock time
        :return: units served
        """
        if at_s <= self.start_s:
            return 0.0
        if at_s >= self.end_s:
            return self.units
        return self.units * (at_s - self.start_s) / (self.end_s - self.start_s)


class Window(NamedTuple):
    """A measurement interval, in wall-clock time."""

    start_s: float
    end_s: float

    @property
    def duration_s(self) -> float:
        """:return: duration of the window"""
        return self.end_s - self.start_s

    def grid(self) -> list[float]:
        """:return: times at which the service of teams is compared"""
        count = int(self.duration_s / GRID_STEP_S)
        return [self.start_s + GRID_STEP_S * step for step in range(count + 1)]


class Gap(NamedTuple):
    """The largest difference in service per share, between which teams and in which interval."""

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
    Find the worst gap of any two teams over any interval, as ``tests/sharing/pooltrial.py`` does.

    :param runs: runs at the upstreams of the pool
    :param shares: shares of the backlogged teams
    :param window: the measurement interval
    :param pool_rate: units per second with every slot busy
    :param mean_share: mean share of all teams of the deployment
    :return: the gap, in seconds of the pool's full rate at the mean share
    """
    times = window.grid()
    units_by_team = served_units(runs, shares, times)
    normalised = {
        team: [units * mean_share / shares[team] / pool_rate for units in series]
        for team, series in units_by_team.items()
    }
    worst = Gap()
    teams = sorted(normalised)
    for ahead in teams:
        for behind in teams:
            if ahead != behind:
                rise = _largest_rise(normalised[ahead], normalised[behind])
                if rise[0] > worst.gap_s:
                    worst = Gap(
                        rise[0], ahead, behind, rise[1] * GRID_STEP_S, rise[2] * GRID_STEP_S
                    )
    return worst


def _largest_rise(first: Sequence[float], second: Sequence[float]) -> tuple[float, int, int]:
    """Find the largest rise of ``first - second`` and the steps at which it starts and ends."""
    lowest, lowest_step = first[0] - second[0], 0
    largest = (0.0, 0, 0)
    for step, (first_units, second_units) in enumerate(zip(first, second, strict=True)):
        difference = first_units - second_units
        if difference < lowest:
            lowest, lowest_step = difference, step
        if difference - lowest > largest[0]:
            largest = (difference - lowest, lowest_step, step)
    return largest


def served_units(
    runs: Iterable[Run], teams: Iterable[str], times: Sequence[float]
) -> dict[str, list[float]]:
    """
    Sum the units served to each team until each of the given times.

    :param runs: runs at the upstreams of the pool
    :param teams: teams to include
    :param times: wall-clock times, ascending
    :return: cumulative units at each time, by team
    """
    series = {team: [0.0] * len(times) for team in teams}
    for run in runs:
        if run.team in series and run.end_s > times[0]:
            units = series[run.team]
            for index, at_s in enumerate(times):
                units[index] += run.units_before(at_s)
    return series


def utilisation(runs: Iterable[Run], slots: Mapping[str, int], window: Window) -> float:
    """
    Compute the fraction of slot time in use; runs beyond an upstream's slots do not count.

    :param runs: runs at the upstreams of the pool
    :param slots: number of slots by upstream
    :param window: the measurement interval
    :return: 0 to 1
    """
    busy_s = 0.0
    changes_by_upstream: dict[str, list[tuple[float, int]]] = {}
    for run in runs:
        start_s, end_s = max(run.start_s, window.start_s), min(run.end_s, window.end_s)
        if start_s < end_s:
            changes_by_upstream.setdefault(run.upstream_id, []).extend([(start_s, 1), (end_s, -1)])
    for upstream_id, changes in changes_by_upstream.items():
        running_count, since_s = 0, window.start_s
        for at_s, change in sorted(changes):
            busy_s += min(running_count, slots[upstream_id]) * (at_s - since_s)
            running_count, since_s = running_count + change, at_s
    return busy_s / (sum(slots.values()) * window.duration_s)


def backlogged_ratio(waits: Iterable[tuple[float, float]], window: Window) -> float:
    """
    Compute the fraction of a window in which at least one request waited.

    :param waits: for each request, when it was sent and when it started at an upstream
    :param window: the measurement interval
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
    "served_units",
    "utilisation",
    "worst_gap",
]
