"""Durations of the phases of a trial, and the workload of each deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from tools.fleet import KHOMAS, PERTH

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from tools.fleet import DeploymentSpec

TOKEN_MS = 60.0
"""Engine time per token, so long that the machine is not the bottleneck: 36 slots give 600 tokens a
second. At 40 ms, three concurrent deployments needed 5 cores and starved each other."""
MEAN_TOKENS_COUNT = 50
MEAN_SERVICE_MS = 400.0
DELAY_MS = 1.5
"""One-way delay between data centres."""
POLICIES = ("fleet_fair", "local_fair", "first_come")


class Plan(NamedTuple):
    """Durations of the phases of one trial."""

    hold_s: float
    """Time with every engine slot occupied and requests waiting: the control plane alone."""
    settle_s: float
    fairness_s: float
    window_s: float
    """Time in which requests of the other teams count, without a flood and with each flood."""
    grace_s: float
    """Time after the window for those requests to finish; all arrivals continue meanwhile."""
    changes_count: int
    """Configuration changes before a router restarts with empty state; below 100 none restarts."""
    together: bool
    """Whether the trials of the three policies run concurrently."""

    def scaled(self, available_s: float) -> Plan:
        """
        Shorten the phases so that they end in time after a slow start.

        :param available_s: time for all phases
        :return: the plan, with phases of at least two fifths of their length
        """
        ratio = min(1.0, max(0.4, available_s / self.total_s()))
        return self._replace(
            settle_s=self.settle_s * ratio,
            fairness_s=self.fairness_s * ratio,
            window_s=self.window_s * ratio,
        )

    def total_s(self) -> float:
        """:return: duration of all phases and the pauses between them"""
        floods_s = 3 * (self.window_s + self.grace_s + 0.5)
        return self.hold_s + self.settle_s + self.fairness_s + floods_s + 1.5


QUICK = Plan(3.0, 1.5, 7.5, 3.5, 4.0, 3, together=True)
FULL = Plan(10.0, 4.0, 40.0, 12.0, 8.0, 300, together=False)


class Kind(NamedTuple):
    """A kind of request that the load generator sends."""

    name: str
    pool: str
    objective_s: float
    uses_model: bool = True
    """Whether requests are completions of a model, not calls of a service."""


class Workload(NamedTuple):
    """A deployment, and the kinds and teams that its load consists of."""

    deployment: DeploymentSpec
    least_urgent: Kind
    most_urgent: Kind
    service: Kind
    service_backlog: Kind
    """Kind added to the templates, as the other service kinds reject requests that wait long."""
    single_router_team: str
    """A large team all of whose callers use the same router."""
    flooding_team: str

    @property
    def model_slots_count(self) -> int:
        """:return: number of slots of all engines"""
        return _slots_count(self.deployment, "engine")

    @property
    def service_slots_count(self) -> int:
        """:return: number of slots of all services"""
        return _slots_count(self.deployment, "service")

    @property
    def model_rate(self) -> float:
        """:return: tokens per second with every slot busy"""
        return self.model_slots_count * 1000 / TOKEN_MS


def _slots_count(deployment: DeploymentSpec, role: str) -> int:
    return sum(
        group.count * group.slots_count for group in deployment.upstreams if group.role == role
    )


def _with_latencies(deployment: DeploymentSpec) -> DeploymentSpec:
    arguments = {"engine": ("--token-ms", str(TOKEN_MS)), "service": ()}
    upstreams = tuple(
        group._replace(arguments=arguments[group.role]) for group in deployment.upstreams
    )
    return deployment._replace(upstreams=upstreams, delay_ms=DELAY_MS)


WORKLOADS = {
    "perth": Workload(
        _with_latencies(PERTH),
        Kind("summary", "camphor-pool", 1800.0),
        Kind("schedule-draft", "camphor-pool", 5.0),
        Kind("slot-check", "booking-desk", 0.5, uses_model=False),
        Kind("bulk-call", "booking-desk", 600.0, uses_model=False),
        "kl-north",
        "kl-south",
    ),
    "khomas": Workload(
        _with_latencies(KHOMAS),
        Kind("stylist-brief", "stylist-models", 20.0),
        Kind("chat", "stylist-models", 1.5),
        Kind("size-lookup", "orders-app", 0.3, uses_model=False),
        Kind("bulk-call", "orders-app", 600.0, uses_model=False),
        "windhoek-central",
        "swakopmund",
    ),
}


def random_costs(rng: random.Random, mean: float, largest_factor: float = 3.0) -> Iterator[float]:
    """
    Generate random request costs with a log-normal distribution.

    :param rng: random number generator
    :param mean: mean cost
    :param largest_factor: largest cost as a multiple of the mean
    :return: an infinite sequence of costs
    """
    while True:
        yield min(largest_factor, max(0.2, rng.lognormvariate(-0.125, 0.5))) * mean


__all__ = [
    "FULL",
    "MEAN_SERVICE_MS",
    "MEAN_TOKENS_COUNT",
    "POLICIES",
    "QUICK",
    "TOKEN_MS",
    "WORKLOADS",
    "Kind",
    "Plan",
    "Workload",
    "random_costs",
]
