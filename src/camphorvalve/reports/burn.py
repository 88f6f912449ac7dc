"""Service-level burn: how fast each team and kind uses up the misses that its objective allows."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypedDict

from camphorvalve.reports.outcomes import Answered, CallerLeft, Failed
from camphorvalve.reports.sketches import Latencies

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.model.teams import KindParameters
    from camphorvalve.reports.outcomes import Finished


class Window(NamedTuple):
    """A sliding window made of fixed buckets."""

    name: str
    window_s: int
    bucket_s: int


WINDOWS = (Window("5m", 300, 60), Window("1h", 3600, 600), Window("6h", 21600, 3600))

SERIES_LIMIT_COUNT = 128
"""Teams and kinds that are tracked; the one that was idle longest is dropped first. A series takes
36 KB when latencies spread by a factor of 10, and at most about 66 KB, so all take 5 to 9 MB."""

CALLER_FAULTS = frozenset(
    {
        "bad_body",
        "conflict",
        "not_allowed",
        "not_found",
        "too_large",
        "unauthorised",
        "unknown_kind",
        "unknown_pool",
        "unknown_team",
    }
)
"""Errors that the caller has to mend; they do not count against the objective."""

BUDGET_FLOOR_RATIO = 1e-4
"""Least part of requests that may miss, so that an objective of 100% has a finite burn rate."""


class WindowReport(TypedDict):
    """Burn within one window."""

    window: str
    good_count: int
    bad_count: int
    burn_rate: float
    """1 uses up the allowed misses exactly; higher is faster."""
    budget_left_ratio: float
    """Part of the allowed misses that is left; negative when there were more."""
    p50_s: float | None
    p95_s: float | None
    p99_s: float | None
    bins: dict[str, float]


class SeriesReport(TypedDict):
    """Burn of one kind of work of one team."""

    team: str
    kind: str
    objective_s: float
    objective_ratio: float
    windows: list[WindowReport]


class BurnReport(TypedDict):
    """Burn as seen by one or several routers."""

    routers: list[str]
    series: list[SeriesReport]
    dropped_count: int
    """Series that were dropped at the bound."""


class Verdict(enum.Enum):
    """How a request counts against its objective."""

    GOOD = enum.auto()
    BAD = enum.auto()
    IGNORED = enum.auto()


@dataclass(slots=True)
class _Bucket:
    number: int
    good_count: int = 0
    bad_count: int = 0
    latencies: Latencies = field(default_factory=Latencies)

    def count(self, verdict: Verdict, latency_s: float | None) -> None:
        self.good_count += verdict is Verdict.GOOD
        self.bad_count += verdict is Verdict.BAD
        if latency_s is not None:
            self.latencies.add(latency_s)


class _Series:
    """Buckets of one team and kind: at most 20, each with a sketch of at most 128 bins."""

    def __init__(self, parameters: KindParameters) -> None:
        self.parameters = parameters
        self._rings: tuple[deque[_Bucket], ...] = tuple(deque() for _ in WINDOWS)

    def count(self, verdict: Verdict, latency_s: float | None, now_s: float) -> None:
        for window, ring in zip(WINDOWS, self._rings, strict=True):
            number = int(now_s // window.bucket_s)
            if not ring or ring[-1].number < number:
                ring.append(_Bucket(number))
            ring[-1].count(verdict, latency_s)
        self.expire(now_s)

    def expire(self, now_s: float) -> None:
        """Drop buckets that ended before their window began; the oldest kept one is cut by it."""
        for window, ring in zip(WINDOWS, self._rings, strict=True):
            first = int((now_s - window.window_s) // window.bucket_s)
            while ring and ring[0].number < first:
                ring.popleft()

    def windows(self) -> Iterator[WindowReport]:
        for window, ring in zip(WINDOWS, self._rings, strict=True):
            latencies = Latencies()
            for bucket in ring:
                latencies.merge(bucket.latencies)
            good_count = sum(bucket.good_count for bucket in ring)
            bad_count = sum(bucket.bad_count for bucket in ring)
            yield _window_report(
                window.name, good_count, bad_count, latencies, self.parameters.objective_ratio
            )


class Burn:
    """Counts finished requests; memory is bounded by the number of series."""

    def __init__(self, router: str, limit_count: int = SERIES_LIMIT_COUNT) -> None:
        """
        Start without any counts.

        :param router: name of this router in reports
        :param limit_count: most series
        """
        self._router = router
        self._limit_count = limit_count
        self._series: OrderedDict[tuple[str, str], _Series] = OrderedDict()
        self._dropped_count = 0

    def record(self, finished: Finished) -> None:
        """
        Count a request.

        :param finished: the request
        """
        exchange = finished.exchange
        verdict = judge(finished)
        if verdict is Verdict.IGNORED:
            return
        key = (exchange.team.name, exchange.kind)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series(exchange.parameters)
            self._drop_idle()
        self._series.move_to_end(key)
        series.parameters = exchange.parameters
        series.count(verdict, finished.first_byte_s, finished.ended_s)

    def report(self, now_s: float) -> BurnReport:
        """
        Report all windows.

        :param now_s: time by the clock of the recorded requests
        :return: a report that can be encoded and merged
        """
        for series in self._series.values():
            series.expire(now_s)
        return {
            "routers": [self._router],
            "series": [
                {
                    "team": team,
                    "kind": kind,
                    "objective_s": series.parameters.objective_s,
                    "objective_ratio": series.parameters.objective_ratio,
                    "windows": list(series.windows()),
                }
                for (team, kind), series in sorted(self._series.items())
            ],
            "dropped_count": self._dropped_count,
        }

    def _drop_idle(self) -> None:
        while len(self._series) > self._limit_count:
            self._series.popitem(last=False)
            self._dropped_count += 1


def judge(finished: Finished) -> Verdict:
    """
    Judge a request against its objective.

    :param finished: the request
    :return: the verdict
    """
    parameters = finished.exchange.parameters
    if parameters is None:
        return Verdict.IGNORED
    first_byte_s = finished.first_byte_s
    on_time = first_byte_s is not None and first_byte_s <= parameters.objective_s
    match finished.outcome:
        case Answered(status):
            return Verdict.GOOD if on_time and status < 500 else Verdict.BAD
        case Failed(code, _):
            return Verdict.IGNORED if code in CALLER_FAULTS else Verdict.BAD
        case CallerLeft():
            if on_time:
                return Verdict.GOOD
            late = finished.total_s > parameters.objective_s
            return Verdict.BAD if late else Verdict.IGNORED


def merge(reports: Iterable[BurnReport]) -> BurnReport:
    """
    Merge the reports of several routers.

    :param reports: reports of different routers; of differing objectives the last one counts
    :return: one report
    """
    merged: BurnReport = {"routers": [], "series": [], "dropped_count": 0}
    found: dict[tuple[str, str], SeriesReport] = {}
    for report in reports:
        merged["routers"].extend(report["routers"])
        merged["dropped_count"] += report["dropped_count"]
        for series in report["series"]:
            key = (series["team"], series["kind"])
            found[key] = _merge_series(found[key], series) if key in found else series
    merged["series"] = [found[key] for key in sorted(found)]
    return merged


def _merge_series(one: SeriesReport, other: SeriesReport) -> SeriesReport:
    windows = [
        _merge_window(left, right, other["objective_ratio"])
        for left, right in zip(one["windows"], other["windows"], strict=True)
    ]
    return {**other, "windows": windows}


def _merge_window(one: WindowReport, other: WindowReport, objective_ratio: float) -> WindowReport:
    latencies = Latencies(one["bins"])
    latencies.merge(Latencies(other["bins"]))
    good_count = one["good_count"] + other["good_count"]
    bad_count = one["bad_count"] + other["bad_count"]
    return _window_report(one["window"], good_count, bad_count, latencies, objective_ratio)


def _window_report(
    window: str, good_count: int, bad_count: int, latencies: Latencies, objective_ratio: float
) -> WindowReport:
    allowed_ratio = max(BUDGET_FLOOR_RATIO, 1 - objective_ratio)
    missed_ratio = bad_count / max(1, good_count + bad_count)
    burn_rate = round(missed_ratio / allowed_ratio, 4)
    return {
        "window": window,
        "good_count": good_count,
        "bad_count": bad_count,
        "burn_rate": burn_rate,
        "budget_left_ratio": round(1 - burn_rate, 4),
        "p50_s": latencies.quantile_s(0.5),
        "p95_s": latencies.quantile_s(0.95),
        "p99_s": latencies.quantile_s(0.99),
        "bins": latencies.bins(),
    }


__all__ = [
    "WINDOWS",
    "Burn",
    "BurnReport",
    "SeriesReport",
    "Verdict",
    "Window",
    "WindowReport",
    "judge",
    "merge",
]
