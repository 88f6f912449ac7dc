"""Load of a process: event-loop lag, counters and gauges, logged each second."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

LAG_INTERVAL_S = 0.05
"""Interval between measurements of the event loop's lag; under any load the loop wakes up more
often anyway."""
MEAN_LAG_WEIGHT = LAG_INTERVAL_S
"""Weight of the newest measurement in the mean, which then covers about a second."""
REPORT_INTERVAL_S = 1.0

_log = structlog.get_logger(__name__)


class LevelReport(NamedTuple):
    """Values of one report."""

    lag_ms: float
    """Greatest lag of the event loop since the previous report."""
    counts: dict[str, int]
    """Number of events since the previous report, by name of the counter."""
    gauges: dict[str, float]
    """Values at the time of the report, by name of the gauge."""


class LevelReporter:
    """Measures the lag of the event loop and logs it each second, with counters and gauges."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_lag: Callable[[float], None] = lambda lag_s: None,
    ) -> None:
        """
        Create a reporter without counters and gauges.

        :param clock: monotonic time
        :param on_lag: called with each measurement of the lag, in seconds
        """
        self._clock = clock
        self._on_lag = on_lag
        self._counters: dict[str, Callable[[], int]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._last_counts: dict[str, int] = {}
        self._longest_lag_s = 0.0
        self._reported_s = clock()
        self.lag_s = 0.0
        """Lag of the event loop at the last measurement; routers also export it as a metric."""
        self.mean_lag_s = 0.0
        """Mean lag of about the last second."""

    def add_counter(self, name: str, read: Callable[[], int]) -> None:
        """
        Register a counter, which is reported as the increase since the previous report.

        :param name: name of the field in the log line
        :param read: returns the number of events since the process started
        """
        self._counters[name] = read
        self._last_counts[name] = read()

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """
        Register a gauge.

        :param name: name of the field in the log line
        :param read: returns the current value
        """
        self._gauges[name] = read

    def measure(self, lag_s: float) -> None:
        """
        Record a measurement of the lag.

        :param lag_s: time by which the event loop was late; a negative value counts as zero
        """
        self.lag_s = max(0.0, lag_s)
        self.mean_lag_s += MEAN_LAG_WEIGHT * (self.lag_s - self.mean_lag_s)
        self._longest_lag_s = max(self._longest_lag_s, self.lag_s)
        self._on_lag(self.lag_s)

    def report(self) -> LevelReport:
        """:return: the values since the previous report; resets them"""
        counts = {name: read() for name, read in self._counters.items()}
        levels = LevelReport(
            lag_ms=round(1000 * self._longest_lag_s, 1),
            counts={name: count - self._last_counts[name] for name, count in counts.items()},
            gauges={name: read() for name, read in self._gauges.items()},
        )
        self._last_counts = counts
        self._longest_lag_s = 0.0
        self._reported_s = self._clock()
        return levels

    async def run(self) -> None:
        """Measure the lag and log a report each second, until cancelled."""
        self._schedule_wake_up(asyncio.get_running_loop())
        try:
            await anyio.sleep_forever()
        finally:
            self._timer.cancel()

    def _schedule_wake_up(self, loop: asyncio.AbstractEventLoop) -> None:
        # A sleeping task takes a third more processor time than a timer of the event loop.
        due_s = self._clock() + LAG_INTERVAL_S
        self._timer = loop.call_later(LAG_INTERVAL_S, self._wake_up, loop, due_s)

    def _wake_up(self, loop: asyncio.AbstractEventLoop, due_s: float) -> None:
        now_s = self._clock()
        self.measure(now_s - due_s)
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            levels = self.report()
            _log.info("levels", lag_ms=levels.lag_ms, **levels.counts, **levels.gauges)
        self._schedule_wake_up(loop)


__all__ = ["LevelReport", "LevelReporter"]
