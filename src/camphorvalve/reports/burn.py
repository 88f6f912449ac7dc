"""Burn rates: how fast each team and kind of work uses up the error budget of its objective."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypedDict

from camphorvalve.reports.outcomes import Answered, CallerLeft, Failed
from camphorvalve.reports.sketches import LatencySketch

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.model.teams import KindParameters
    from camphorvalve.reports.outcomes import Finished


class Window(NamedTuple):
    """A sliding time window that is counted in buckets of fixed length."""

    name: str
    window_s: int
    bucket_s: int


WINDOWS = (Window("5m", 300, 60), Window("1h", 3600, 600), Window("6h", 21600, 3600))

SERIES_LIMIT_COUNT = 128
"""Maximum number of series, one per team and kind; the least recently updated one is evicted first.
A series takes 36 KB when its latencies spread by a factor of 10, and about 66 KB at most, so that
all series together take 5 to 9 MB."""

CALLER_ERROR_CODES = frozenset(
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
"""Codes of errors that the caller has to correct; they do not count against the objective."""

MIN_ERROR_BUDGET_RATIO = 1e-4
"""Lower bound of the error budget, so that an objective of 100% still has a finite burn rate."""


class WindowReport(TypedDict):
    """Burn rate, error budget and latencies within one window."""

    window: str
    good_count: int
    bad_count: int
    burn_rate: float
    """Ratio of missed requests to the error budget; at 1 the budget is used up exactly."""
    budget_left_ratio: float
    """Part of the error budget that is left; negative once it is exceeded."""
    p50_s: float | None
    p95_s: float | None
    p99_s: float | None
    bins: dict[str, float]


class SeriesReport(TypedDict):
    """Burn rates of one kind of work of one team, with its objective."""

    team: str
    kind: str
    objective_s: float
    objective_ratio: float
    windows: list[WindowReport]


class BurnReport(TypedDict):
    """Burn rates of all tracked series, as counted by one or several routers."""

    routers: list[str]
    series: list[SeriesReport]
    dropped_count: int
    """Series that were evicted because the maximum number was reached."""


class ObjectiveResult(enum.Enum):
    """How a request counts against its objective."""

    GOOD = enum.auto()
    BAD = enum.auto()
    IGNORED = enum.auto()


@dataclass(slots=True)
class _Bucket:
    number: int
    good_count: int = 0
    bad_count: int = 0
    latencies: LatencySketch = field(default_factory=LatencySketch)

    def count(self, result: ObjectiveResult, latency_s: float | None) -> None:
        self.good_count += result is ObjectiveResult.GOOD
        self.bad_count += result is ObjectiveResult.BAD
        if latency_s is not None:
            self.latencies.add(latency_s)


class _Series:
    """Buckets of one team and kind: at most 20, each with a latency sketch of at most 128 bins."""

    def __init__(self, parameters: KindParameters) -> None:
        self.parameters = parameters
        self._buckets: tuple[deque[_Bucket], ...] = tuple(deque() for _ in WINDOWS)

    def count(self, result: ObjectiveResult, latency_s: float | None, now_s: float) -> None:
        for window, buckets in zip(WINDOWS, self._buckets, strict=True):
            number = int(now_s // window.bucket_s)
            if not buckets or buckets[-1].number < number:
                buckets.append(_Bucket(number))
            buckets[-1].count(result, latency_s)
        self.expire(now_s)

    def expire(self, now_s: float) -> None:
        """Drop buckets that ended before the window began; the oldest kept may span its start."""
        for window, buckets in zip(WINDOWS, self._buckets, strict=True):
            oldest_number = int((now_s - window.window_s) // window.bucket_s)
            while buckets and buckets[0].number < oldest_number:
                buckets.popleft()

    def windows(self) -> Iterator[WindowReport]:
        for window, buckets in zip(WINDOWS, self._buckets, strict=True):
            latencies = LatencySketch()
            for bucket in buckets:
                latencies.merge(bucket.latencies)
            good_count = sum(bucket.good_count for bucket in buckets)
            bad_count = sum(bucket.bad_count for bucket in buckets)
            yield _window_report(
                window.name, good_count, bad_count, latencies, self.parameters.objective_ratio
            )


class BurnTracker:
    """Counts finished requests by team and kind; the maximum number of series bounds the memory."""

    def __init__(self, router: str, limit_count: int = SERIES_LIMIT_COUNT) -> None:
        """
        Create an instance without any counts.

        :param router: name of this router in reports
        :param limit_count: maximum number of series
        """
        self._router = router
        self._limit_count = limit_count
        self._series: OrderedDict[tuple[str, str], _Series] = OrderedDict()
        self._dropped_count = 0

    def record(self, finished: Finished) -> None:
        """
        Count a finished request.

        :param finished: the request
        """
        exchange = finished.exchange
        result = evaluate(finished)
        if result is ObjectiveResult.IGNORED:
            return
        key = (exchange.team.name, exchange.kind)
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = _Series(exchange.parameters)
            self._evict_series()
        self._series.move_to_end(key)
        series.parameters = exchange.parameters
        series.count(result, finished.first_byte_s, finished.ended_s)

    def report(self, now_s: float) -> BurnReport:
        """
        Report all windows of all series.

        :param now_s: current time, by the clock that gave the end times of the recorded requests
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

    def _evict_series(self) -> None:
        while len(self._series) > self._limit_count:
            self._series.popitem(last=False)
            self._dropped_count += 1


def evaluate(finished: Finished) -> ObjectiveResult:
    """
    Evaluate a request against its objective.

    :param finished: the request
    :return: how it counts
    """
    parameters = finished.exchange.parameters
    if parameters is None:
        return ObjectiveResult.IGNORED
    first_byte_s = finished.first_byte_s
    on_time = first_byte_s is not None and first_byte_s <= parameters.objective_s
    match finished.outcome:
        case Answered(status):
            return ObjectiveResult.GOOD if on_time and status < 500 else ObjectiveResult.BAD
        case Failed(code, _):
            return ObjectiveResult.IGNORED if code in CALLER_ERROR_CODES else ObjectiveResult.BAD
        case CallerLeft():
            if on_time:
                return ObjectiveResult.GOOD
            late = finished.total_s > parameters.objective_s
            return ObjectiveResult.BAD if late else ObjectiveResult.IGNORED


def merge_burn_reports(reports: Iterable[BurnReport]) -> BurnReport:
    """
    Merge the reports of several routers.

    :param reports: reports of different routers; where objectives differ, the last one is used
    :return: one report
    """
    merged: BurnReport = {"routers": [], "series": [], "dropped_count": 0}
    series_by_key: dict[tuple[str, str], SeriesReport] = {}
    for report in reports:
        merged["routers"].extend(report["routers"])
        merged["dropped_count"] += report["dropped_count"]
        for series in report["series"]:
            key = (series["team"], series["kind"])
            series_by_key[key] = (
                _merge_series(series_by_key[key], series) if key in series_by_key else series
            )
    merged["series"] = [series_by_key[key] for key in sorted(series_by_key)]
    return merged


def _merge_series(first: SeriesReport, second: SeriesReport) -> SeriesReport:
    windows = [
        _merge_window(left, right, second["objective_ratio"])
        for left, right in zip(first["windows"], second["windows"], strict=True)
    ]
    return {**second, "windows": windows}


def _merge_window(
    first: WindowReport, second: WindowReport, objective_ratio: float
) -> WindowReport:
    latencies = LatencySketch(first["bins"])
    latencies.merge(LatencySketch(second["bins"]))
    good_count = first["good_count"] + second["good_count"]
    bad_count = first["bad_count"] + second["bad_count"]
    return _window_report(first["window"], good_count, bad_count, latencies, objective_ratio)


def _window_report(
    window: str, good_count: int, bad_count: int, latencies: LatencySketch, objective_ratio: float
) -> WindowReport:
    error_budget_ratio = max(MIN_ERROR_BUDGET_RATIO, 1 - objective_ratio)
    miss_ratio = bad_count / max(1, good_count + bad_count)
    burn_rate = round(miss_ratio / error_budget_ratio, 4)
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
    "BurnReport",
    "BurnTracker",
    "ObjectiveResult",
    "SeriesReport",
    "Window",
    "WindowReport",
    "evaluate",
    "merge_burn_reports",
]
