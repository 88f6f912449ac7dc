"""How busy a process is: a log line each second, and the same figures for the metrics address."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

LAG_PERIOD_S = 0.05
"""Time between two measurements of the loop's lag; the loop wakes up more often under any load."""
REPORT_S = 1.0

_log = structlog.get_logger(__name__)


class Levels(NamedTuple):
    """Figures of one report."""

    lag_ms: float
    """Longest time by which the loop was late since the last report."""
    counts: dict[str, int]
    """Events since the last report, by name."""
    gauges: dict[str, float]
    """Values at the report, by name."""


class LevelReporter:
    """Measures the lag of the loop and logs it once a second with counters of the process."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        on_lag: Callable[[float], None] = lambda lag_s: None,
    ) -> None:
        """
        Start without counters.

        :param clock: monotonic time
        :param on_lag: takes each measurement of the lag, in seconds
        """
        self._clock = clock
        self._on_lag = on_lag
        self._counters: dict[str, Callable[[], int]] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._last_counts: dict[str, int] = {}
        self._longest_lag_s = 0.0
        self._reported_s = clock()
        self.lag_s = 0.0
        """Lag of the loop at the last measurement."""

    def count(self, name: str, read: Callable[[], int]) -> None:
        """
        Report a counter by what it has grown.

        :param name: name of the field
        :param read: tells the events since the start
        """
        self._counters[name] = read
        self._last_counts[name] = read()

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """
        Report a value.

        :param name: name of the field
        :param read: tells the value
        """
        self._gauges[name] = read

    def measure(self, lag_s: float) -> None:
        """
        Take a measurement.

        :param lag_s: time by which the loop was late
        """
        self.lag_s = max(0.0, lag_s)
        self._longest_lag_s = max(self._longest_lag_s, self.lag_s)
        self._on_lag(self.lag_s)

    def report(self) -> Levels:
        """:return: the figures since the last report; starts the next one"""
        counts = {name: read() for name, read in self._counters.items()}
        levels = Levels(
            lag_ms=round(1000 * self._longest_lag_s, 1),
            counts={name: count - self._last_counts[name] for name, count in counts.items()},
            gauges={name: read() for name, read in self._gauges.items()},
        )
        self._last_counts = counts
        self._longest_lag_s = 0.0
        self._reported_s = self._clock()
        return levels

    async def run(self) -> None:
        """Measure, and log a report each second, until cancelled."""
        self._wake_up_in(asyncio.get_running_loop())
        try:
            await anyio.sleep_forever()
        finally:
            self._timer.cancel()

    def _wake_up_in(self, loop: asyncio.AbstractEventLoop) -> None:
        # A task that sleeps takes a third more processor time than a timer of the loop.
        due_s = self._clock() + LAG_PERIOD_S
        self._timer = loop.call_later(LAG_PERIOD_S, self._wake_up, loop, due_s)

    def _wake_up(self, loop: asyncio.AbstractEventLoop, due_s: float) -> None:
        now_s = self._clock()
        self.measure(now_s - due_s)
        if now_s - self._reported_s >= REPORT_S:
            levels = self.report()
            _log.info("levels", lag_ms=levels.lag_ms, **levels.counts, **levels.gauges)
        self._wake_up_in(loop)


__all__ = ["LevelReporter", "Levels"]
