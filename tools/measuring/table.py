"""Merges the figures of the three policies, checks them against targets and formats a table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from tools.measuring.plans import MEAN_SERVICE_MS, MEAN_TOKENS_COUNT, Workload

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

SUFFIXES = {"fleet_fair": "", "local_fair": "_local", "first_come": "_fifo"}
"""Suffixes of the names of figures, by policy."""
FAIRNESS_GAP_TARGET_S = 2.0
LARGEST_FACTOR = 3.0
"""Cost of the largest request as a multiple of the mean; see ``plans.random_costs``."""


class Row(NamedTuple):
    """A figure and its target, from section 1.8 of the design page."""

    name: str
    target: float | None = None
    at_least: bool = False
    by_policy: bool = True

    def is_met(self, value: float) -> bool:
        """
        Compare a value with the target.

        :param value: the measured value
        :return: whether it meets the target; true without a target
        """
        if self.target is None:
            return True
        return value >= self.target if self.at_least else value <= self.target

    def describe_target(self) -> str:
        """:return: the target, formatted for the table"""
        if self.target is None:
            return "-"
        return f"{'>=' if self.at_least else '<='} {self.target:g}"


def rows(workload: Workload) -> list[Row]:
    """
    List the figures of a deployment with their targets.

    :param workload: the deployment and its kinds
    :return: rows in the order of the table
    """
    largest_model_s = LARGEST_FACTOR * MEAN_TOKENS_COUNT / workload.model_rate
    largest_service_s = LARGEST_FACTOR * MEAN_SERVICE_MS / 1000 / workload.service_slots_count
    return [
        Row("fairness_gap_s", round(FAIRNESS_GAP_TARGET_S + largest_model_s, 3)),
        Row("fairness_gap_services_s", round(FAIRNESS_GAP_TARGET_S + largest_service_s, 3)),
        Row("utilisation", 0.97, at_least=True),
        Row("utilisation_models"),
        Row("utilisation_services"),
        Row("flood_kept_least_urgent", 0.95, at_least=True),
        Row("flood_kept_most_urgent", 0.95, at_least=True),
        Row("control_bytes_per_s", 16 * 1024, by_policy=False),
        Row("control_cpu_fraction", 0.017, by_policy=False),
        Row("rss_mb", 64, by_policy=False),
        Row("config_in_force_s", 8, by_policy=False),
    ]


def merge(workload: Workload, trials: Mapping[str, Mapping[str, Any]]) -> dict[str, Any]:
    """
    Merge the figures of all policies into one object.

    :param workload: the deployment and its kinds
    :param trials: figures by policy
    :return: figures, those of the baselines with a suffix, and the names of missed targets
    """
    merged: dict[str, Any] = {}
    missed = []
    for row in rows(workload):
        for policy, figures in trials.items():
            value = _value(row.name, figures)
            if value is not None and (row.by_policy or policy == "fleet_fair"):
                merged[add_suffix(row.name, policy)] = value
        value = merged.get(row.name)
        if row.target is not None and (value is None or not row.is_met(value)):
            missed.append(row.name)
    merged["targets_missed"] = missed
    return merged


def add_suffix(name: str, policy: str) -> str:
    """
    Add the suffix of a policy to the name of a figure, before the unit ``_s``.

    :param name: name of the figure
    :param policy: name of the policy
    :return: the name, for example ``fairness_gap_local_s``
    """
    suffix = SUFFIXES[policy]
    return f"{name[:-2]}{suffix}_s" if name.endswith("_s") else f"{name}{suffix}"


def _value(name: str, figures: Mapping[str, Any]) -> Any:
    if name != "utilisation":
        return figures.get(name)
    ratios = [figures.get(f"utilisation_{pool}") for pool in ("models", "services")]
    return None if None in ratios else min(ratios)


def format_lines(workload: Workload, merged: Mapping[str, Any]) -> Iterator[str]:
    """
    Format the table.

    :param workload: the deployment and its kinds
    :param merged: result of ``merge``
    :return: its lines
    """
    yield f"{'figure':28}{'target':>10}{'fleet_fair':>12}{'local_fair':>12}{'first_come':>12}"
    for row in rows(workload):
        values = [merged.get(add_suffix(row.name, policy)) for policy in SUFFIXES]
        cells = "".join(f"{'-' if value is None else value:>12}" for value in values)
        missed = "  missed" if row.name in merged["targets_missed"] else ""
        yield f"{row.name:28}{row.describe_target():>10}{cells}{missed}"


__all__ = ["Row", "add_suffix", "format_lines", "merge", "rows"]
