"""Admission to the queues: decides whether a new request may wait and which one is shed for it."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from camphorvalve.model.teams import Limits, Urgency

KIND_FLOOR_RATIO = 0.1
"""Part of a team's waiting requests below which a kind is not shed while other kinds have more. It
matches the grants, one in ten of which goes to the request that has waited longest."""

MIN_RETRY_AFTER_S = 1.0
"""Shortest time after which a rejected caller is told to retry; also used without a predicted
wait."""


class IncomingRequest(NamedTuple):
    """A new request that is to be queued."""

    team: str
    kind: str
    urgency: Urgency
    share: float
    size_bytes: int
    objective_s: float | None
    """``None`` for deferred work, which has no objective."""


class SheddableRequests(NamedTuple):
    """Waiting requests of one team and kind that may still be shed."""

    team: str
    kind: str
    urgency: Urgency
    share: float
    count: int
    size_bytes: int


class Backlog(NamedTuple):
    """Size of the queues of this router, and the predicted wait of the incoming request."""

    team_count: int
    team_bytes: int
    total_count: int
    total_bytes: int
    predicted_wait_s: float | None
    """Wait behind work of the same team that is at least as urgent, ``None`` if not known."""
    sheddable: Iterable[SheddableRequests]
    """Waiting requests by team and kind; read only when a bound is exceeded, so that it may be a
    generator."""


class Bounds(NamedTuple):
    """Limits of the queues of a team and of the whole router."""

    limits: Limits
    total_count: int
    total_bytes: int


@dataclass(frozen=True, slots=True)
class Admit:
    """The incoming request may wait."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The newest waiting request of this team and kind is to be shed; then decide again."""

    team: str
    kind: str


@dataclass(frozen=True, slots=True)
class Reject:
    """The incoming request is rejected without having been executed."""

    code: str
    message: str
    retry_after_s: float | None


Decision = Admit | Shed | Reject


def decide(incoming: IncomingRequest, backlog: Backlog, bounds: Bounds) -> Decision:
    """
    Decide whether a request may wait.

    :param incoming: the new request
    :param backlog: what waits already
    :param bounds: limits of the queues
    :return: the decision
    """
    limits = bounds.limits
    size_bytes = incoming.size_bytes
    if size_bytes > limits.request_bytes:
        message = f"body of {size_bytes} bytes exceeds the team's limit of {limits.request_bytes}"
        return Reject("too_large", message, None)
    wait_s = backlog.predicted_wait_s
    objective_s = incoming.objective_s
    if wait_s is not None and objective_s is not None and wait_s > objective_s:
        message = f"predicted wait of {wait_s:.1f} s exceeds the objective of {objective_s:g} s"
        return Reject("wait_too_long", message, max(MIN_RETRY_AFTER_S, wait_s - objective_s))
    if _exceeds(backlog.team_count, backlog.team_bytes, size_bytes, *limits[:2]):
        own = [group for group in backlog.sheddable if group.team == incoming.team]
        message = f"queue of team {incoming.team!r} is full"
        return _shed_or_reject(incoming, own, message, wait_s)
    if _exceeds(
        backlog.total_count, backlog.total_bytes, size_bytes, bounds.total_count, bounds.total_bytes
    ):
        team_sheddable = _most_over_share(incoming, backlog, bounds)
        return _shed_or_reject(incoming, team_sheddable, "queue of the router is full", wait_s)
    return Admit()


def _exceeds(
    count: int, waiting_bytes: int, size_bytes: int, max_count: int, max_bytes: int
) -> bool:
    return count + 1 > max_count or waiting_bytes + size_bytes > max_bytes


def _most_over_share(
    incoming: IncomingRequest, backlog: Backlog, bounds: Bounds
) -> list[SheddableRequests]:
    """Find the requests of the team that exceeds its share of the exceeded bound by the most."""
    bytes_exceeded = backlog.total_count + 1 <= bounds.total_count
    own = SheddableRequests(*incoming[:4], count=0, size_bytes=0)
    by_team: dict[str, list[SheddableRequests]] = defaultdict(list)
    for group in (own, *backlog.sheddable):
        by_team[group.team].append(group)
    usage = {
        team: sum(group.size_bytes if bytes_exceeded else group.count for group in sheddable)
        for team, sheddable in by_team.items()
    }
    usage[incoming.team] += incoming.size_bytes if bytes_exceeded else 1
    units_per_share = sum(usage.values()) / sum(
        sheddable[0].share for sheddable in by_team.values()
    )
    # Compares the excess and not its ratio to the share: a small team would exceed its share by a
    # large ratio with its first request. Of equal teams, that of the incoming request comes first
    # and is chosen.
    team_over_most = max(
        by_team, key=lambda team: usage[team] - units_per_share * by_team[team][0].share
    )
    return [group for group in by_team[team_over_most] if group is not own]


def _shed_or_reject(
    incoming: IncomingRequest,
    sheddable: list[SheddableRequests],
    message: str,
    wait_s: float | None,
) -> Decision:
    victim = _least_urgent(_with_incoming(incoming, sheddable))
    if (victim.team, victim.kind) != (incoming.team, incoming.kind):
        return Shed(victim.team, victim.kind)
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s or 0.0)
    return Reject("queue_full", message, retry_after_s)


def _with_incoming(
    incoming: IncomingRequest, sheddable: list[SheddableRequests]
) -> list[SheddableRequests]:
    """Add the incoming request to those of its kind, if its team is the one to shed from."""
    if sheddable and sheddable[0].team != incoming.team:
        return sheddable
    same_kind = SheddableRequests(*incoming[:4], count=1, size_bytes=incoming.size_bytes)
    others = []
    for group in sheddable:
        if group.kind == incoming.kind:
            count, size_bytes = group.count + 1, group.size_bytes + incoming.size_bytes
            same_kind = same_kind._replace(count=count, size_bytes=size_bytes)
        else:
            others.append(group)
    return [*others, same_kind]


def _least_urgent(sheddable: list[SheddableRequests]) -> SheddableRequests:
    """Find the least urgent kind that has more than its floor; of equal ones the largest."""
    floor_count = KIND_FLOOR_RATIO * sum(group.count for group in sheddable)
    above = [group for group in sheddable if group.count > floor_count]
    return min(above or sheddable, key=lambda group: (group.urgency, -group.count))


__all__ = [
    "Admit",
    "Backlog",
    "Bounds",
    "Decision",
    "IncomingRequest",
    "Reject",
    "Shed",
    "SheddableRequests",
    "decide",
]
