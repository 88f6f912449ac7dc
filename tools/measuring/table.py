"""Joins the figures of the three policies, checks the targets and prints the table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from tools.measuring.plans import MEAN_SERVICE_MS, MEAN_TOKENS_COUNT, Work

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

SUFFIXES = {"fleet_fair": "", "local_fair": "_local", "first_come": "_fifo"}
GAP_TARGET_S = 2.0
LARGEST_FACTOR = 3.0
"""Largest request in units of the mean; see ``plans.costs``."""


class Row(NamedTuple):
    """One figure and its target of section 1.8 of the design page."""

    name: str
    target: float | None = None
    at_least: bool = False
    by_policy: bool = True

    def is_met(self, value: float) -> bool:
        """
        Compare a value with the target.

        :param value: measured value
        :return: whether the target is met; true without a target
        """
        if self.target is None:
            return True
        return value >= self.target if self.at_least else value <= self.target

    def describe_target(self) -> str:
        """:return: the target as text"""
        if self.target is None:
            return "-"
        return f"{'>=' if self.at_least else '<='} {self.target:g}"


def rows(work: Work) -> list[Row]:
    """
    List the figures of a deployment.

    :param work: the deployment
    :return: figures in the order of the table
    """
    largest_model_s = LARGEST_FACTOR * MEAN_TOKENS_COUNT / work.model_rate
    largest_service_s = LARGEST_FACTOR * MEAN_SERVICE_MS / 1000 / work.service_slots_count
    return [
        Row("fairness_gap_s", round(GAP_TARGET_S + largest_model_s, 3)),
        Row("fairness_gap_services_s", round(GAP_TARGET_S + largest_service_s, 3)),
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


def join(work: Work, trials: Mapping[str, Mapping[str, Any]]) -> dict[str, Any]:
    """
    Join the figures of the policies into one object.

    :param work: the deployment
    :param trials: figures by policy
    :return: figures, those of the baselines with a suffix, and the missed targets
    """
    joined: dict[str, Any] = {}
    missed = []
    for row in rows(work):
        for policy, figures in trials.items():
            value = _value(row.name, figures)
            if value is not None and (row.by_policy or policy == "fleet_fair"):
                joined[suffixed(row.name, policy)] = value
        value = joined.get(row.name)
        if row.target is not None and (value is None or not row.is_met(value)):
            missed.append(row.name)
    joined["targets_missed"] = missed
    return joined


def suffixed(name: str, policy: str) -> str:
    """
    Name a figure of a policy; a unit stays the last part of the name.

    :param name: name of the figure
    :param policy: name of the policy
    :return: such as ``fairness_gap_local_s``
    """
    suffix = SUFFIXES[policy]
    return f"{name[:-2]}{suffix}_s" if name.endswith("_s") else f"{name}{suffix}"


def _value(name: str, figures: Mapping[str, Any]) -> Any:
    if name != "utilisation":
        return figures.get(name)
    parts = [figures.get(f"utilisation_{pool}") for pool in ("models", "services")]
    return None if None in parts else min(parts)


def lines(work: Work, joined: Mapping[str, Any]) -> Iterator[str]:
    """
    Render the table.

    :param work: the deployment
    :param joined: figures of ``join``
    :return: its lines
    """
    yield f"{'figure':28}{'target':>10}{'fleet_fair':>12}{'local_fair':>12}{'first_come':>12}"
    for row in rows(work):
        values = [joined.get(suffixed(row.name, policy)) for policy in SUFFIXES]
        cells = "".join(f"{'-' if one is None else one:>12}" for one in values)
        missed = "  missed" if row.name in joined["targets_missed"] else ""
        yield f"{row.name:28}{row.describe_target():>10}{cells}{missed}"


__all__ = ["Row", "join", "lines", "rows", "suffixed"]
