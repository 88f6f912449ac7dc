"""Formats reports as text for a terminal."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from camphorvalve.reports.burn import BurnReport, SeriesReport, WindowReport

_HEADINGS = (
    "team",
    "kind",
    "objective",
    "window",
    "requests",
    "missed",
    "burn",
    "budget left",
    "p50",
    "p95",
    "p99",
)
_LEFT_ALIGNED_COUNT = 4


def burn_table(report: BurnReport) -> str:
    """
    Format a burn report as a table.

    :param report: report of one or several routers
    :return: lines, the headings first
    """
    rows = [_HEADINGS, *(row for series in report["series"] for row in _series_rows(series))]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADINGS))]
    lines = [_format_row(row, widths) for row in rows]
    if report["dropped_count"]:
        lines.append(f"{report['dropped_count']} idle series were dropped at the limit")
    return "\n".join(lines)


def _series_rows(series: SeriesReport) -> Iterator[tuple[str, ...]]:
    objective = f"{series['objective_ratio']:.4g} in {series['objective_s']:g}s"
    for window in series["windows"]:
        yield (series["team"], series["kind"], objective, *_window_cells(window))


def _window_cells(window: WindowReport) -> tuple[str, ...]:
    return (
        window["window"],
        str(window["good_count"] + window["bad_count"]),
        str(window["bad_count"]),
        f"{window['burn_rate']:.2f}",
        f"{window['budget_left_ratio']:.0%}",
        *(_format_duration(window[name]) for name in ("p50_s", "p95_s", "p99_s")),
    )


def _format_duration(duration_s: float | None) -> str:
    return "-" if duration_s is None else f"{duration_s:.3g}s"


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [
        cell.ljust(width) if column < _LEFT_ALIGNED_COUNT else cell.rjust(width)
        for column, (cell, width) in enumerate(zip(row, widths, strict=True))
    ]
    return "  ".join(cells).rstrip()


__all__ = ["burn_table"]
