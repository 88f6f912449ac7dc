"""What is measured for how long, and the work of each deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from tools.fleet import KHOMAS, PERTH

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from tools.fleet import Shape

TOKEN_MS = 60.0
"""Slow tokens keep the machine from being the bottleneck: 36 slots give 600 tokens a second. With
40 ms, three deployments at the same time needed 5 cores and starved each other."""
MEAN_TOKENS_COUNT = 50
MEAN_SERVICE_MS = 400.0
DELAY_MS = 1.5
POLICIES = ("fleet_fair", "local_fair", "first_come")


class Plan(NamedTuple):
    """Durations of the phases of one trial."""

    hold_s: float
    """Every slot is held, work waits: the cost of control alone."""
    settle_s: float
    fairness_s: float
    window_s: float
    """Arrivals of other work, without a flood and with each flood."""
    grace_s: float
    """Time after the window in which that work may still end; all arrivals go on meanwhile."""
    changes_count: int
    """Changes of the configuration before a router restarts empty; none restarts below 100."""
    together: bool
    """Whether the trials of the three policies run at the same time."""

    def scaled(self, available_s: float) -> Plan:
        """
        Shorten the phases so that they end in time after a slow start.

        :param available_s: time for all phases
        :return: the plan, at most shortened to two fifths
        """
        ratio = min(1.0, max(0.4, available_s / self.total_s()))
        return self._replace(
            settle_s=self.settle_s * ratio,
            fairness_s=self.fairness_s * ratio,
            window_s=self.window_s * ratio,
        )

    def total_s(self) -> float:
        """:return: time of all phases with the pauses between them"""
        floods_s = 3 * (self.window_s + self.grace_s + 0.5)
        return self.hold_s + self.settle_s + self.fairness_s + floods_s + 1.5


QUICK = Plan(3.0, 1.5, 7.5, 3.5, 4.0, 3, together=True)
FULL = Plan(10.0, 4.0, 40.0, 12.0, 8.0, 300, together=False)


class Kind(NamedTuple):
    """A kind of work as the load generator sends it."""

    name: str
    pool: str
    objective_s: float
    model: bool = True


class Work(NamedTuple):
    """The kinds of a deployment that the load consists of."""

    shape: Shape
    least_urgent: Kind
    most_urgent: Kind
    service: Kind
    service_backlog: Kind
    """Added to the templates, as the other kinds of services reject what waits for long."""
    single_router_team: str
    """A large team whose callers all use one router."""
    flooding_team: str

    @property
    def model_slots_count(self) -> int:
        """:return: slots of all engines"""
        return _slots_count(self.shape, "engine")

    @property
    def service_slots_count(self) -> int:
        """:return: slots of all services"""
        return _slots_count(self.shape, "service")

    @property
    def model_rate(self) -> float:
        """:return: tokens a second with every slot busy"""
        return self.model_slots_count * 1000 / TOKEN_MS


def _slots_count(shape: Shape, role: str) -> int:
    return sum(one.count * one.slots_count for one in shape.upstreams if one.role == role)


def _slowed(shape: Shape) -> Shape:
    arguments = {"engine": ("--token-ms", str(TOKEN_MS)), "service": ()}
    upstreams = tuple(one._replace(arguments=arguments[one.role]) for one in shape.upstreams)
    return shape._replace(upstreams=upstreams, delay_ms=DELAY_MS)


WORKS = {
    "perth": Work(
        _slowed(PERTH),
        Kind("summary", "camphor-pool", 1800.0),
        Kind("schedule-draft", "camphor-pool", 5.0),
        Kind("slot-check", "booking-desk", 0.5, model=False),
        Kind("bulk-call", "booking-desk", 600.0, model=False),
        "kl-north",
        "kl-south",
    ),
    "khomas": Work(
        _slowed(KHOMAS),
        Kind("stylist-brief", "stylist-models", 20.0),
        Kind("chat", "stylist-models", 1.5),
        Kind("size-lookup", "orders-app", 0.3, model=False),
        Kind("bulk-call", "orders-app", 600.0, model=False),
        "windhoek-central",
        "swakopmund",
    ),
}


def costs(rng: random.Random, mean: float, largest_factor: float = 3.0) -> Iterator[float]:
    """
    Draw costs of requests.

    :param rng: source of randomness
    :param mean: mean cost
    :param largest_factor: largest cost in units of the mean
    :return: an endless series
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
    "WORKS",
    "Kind",
    "Plan",
    "Work",
    "costs",
]
