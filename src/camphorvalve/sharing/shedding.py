"""Decides whether a new request may wait, and which waiting one goes in its place."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from camphorvalve.model.teams import Limits, Urgency

KIND_FLOOR_RATIO = 0.1
"""Part of a team's waiting requests that a kind keeps while other kinds hold more. It mirrors the
scheduler, which gives one grant in ten to the kind that waited longest."""

RETRY_FLOOR_S = 1.0
"""Least time to a retry; without a prediction it is the only hint there is."""


class Newcomer(NamedTuple):
    """A request that asks to wait."""

    team: str
    kind: str
    urgency: Urgency
    share: float
    size_bytes: int
    objective_s: float | None
    """``None`` for deferred work, which has no objective."""


class Holding(NamedTuple):
    """Waiting requests of one kind of one team that may still be rejected."""

    team: str
    kind: str
    urgency: Urgency
    share: float
    count: int
    size_bytes: int


class Backlog(NamedTuple):
    """What waits at this router."""

    team_count: int
    team_bytes: int
    total_count: int
    total_bytes: int
    predicted_wait_s: float | None
    """Wait of the newcomer behind work of its team that is as urgent or more."""
    holdings: Iterable[Holding]
    """Read at a bound only, so it may be a generator."""


class Bounds(NamedTuple):
    """Bounds of the queues."""

    limits: Limits
    total_count: int
    total_bytes: int


@dataclass(frozen=True, slots=True)
class Admit:
    """The newcomer may wait."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The newest waiting request of this team and kind gives way; then decide again."""

    team: str
    kind: str


@dataclass(frozen=True, slots=True)
class Reject:
    """The newcomer is rejected and did not run."""

    code: str
    message: str
    retry_after_s: float | None


Decision = Admit | Shed | Reject


def decide(newcomer: Newcomer, backlog: Backlog, bounds: Bounds) -> Decision:
    """
    Decide on a newcomer.

    :param newcomer: the request
    :param backlog: what waits already
    :param bounds: bounds of the queues
    :return: the decision
    """
    limits = bounds.limits
    size_bytes = newcomer.size_bytes
    if size_bytes > limits.request_bytes:
        message = f"the body has {size_bytes} bytes, the team's limit is {limits.request_bytes}"
        return Reject("too_large", message, None)
    wait_s = backlog.predicted_wait_s
    objective_s = newcomer.objective_s
    if wait_s is not None and objective_s is not None and wait_s > objective_s:
        message = f"the predicted wait is {wait_s:.1f} s, the objective {objective_s:g} s"
        return Reject("wait_too_long", message, max(RETRY_FLOOR_S, wait_s - objective_s))
    if _over(backlog.team_count, backlog.team_bytes, size_bytes, *limits[:2]):
        own = [one for one in backlog.holdings if one.team == newcomer.team]
        message = f"queue of team {newcomer.team!r} is full"
        return _shed_or_reject(newcomer, own, message, wait_s)
    if _over(
        backlog.total_count, backlog.total_bytes, size_bytes, bounds.total_count, bounds.total_bytes
    ):
        team_holdings = _furthest_over(newcomer, backlog, bounds)
        return _shed_or_reject(newcomer, team_holdings, "queue of the router is full", wait_s)
    return Admit()


def _over(count: int, held_bytes: int, size_bytes: int, max_count: int, max_bytes: int) -> bool:
    return count + 1 > max_count or held_bytes + size_bytes > max_bytes


def _furthest_over(newcomer: Newcomer, backlog: Backlog, bounds: Bounds) -> list[Holding]:
    """Holdings of the team that is furthest over its share of the exceeded bound."""
    by_bytes = backlog.total_count + 1 <= bounds.total_count
    own = Holding(*newcomer[:4], count=0, size_bytes=0)
    by_team: dict[str, list[Holding]] = defaultdict(list)
    for one in (own, *backlog.holdings):
        by_team[one.team].append(one)
    used = {
        team: sum(one.size_bytes if by_bytes else one.count for one in holdings)
        for team, holdings in by_team.items()
    }
    used[newcomer.team] += newcomer.size_bytes if by_bytes else 1
    unit_share = sum(used.values()) / sum(one[0].share for one in by_team.values())
    # The excess counts, not its ratio to the share: a small team would be over by a large ratio
    # with its first request. Of equal teams the newcomer's comes first and gives way.
    worst = max(by_team, key=lambda team: used[team] - unit_share * by_team[team][0].share)
    return [one for one in by_team[worst] if one is not own]


def _shed_or_reject(
    newcomer: Newcomer, holdings: list[Holding], message: str, wait_s: float | None
) -> Decision:
    victim = _least_urgent(_with_newcomer(newcomer, holdings))
    if (victim.team, victim.kind) != (newcomer.team, newcomer.kind):
        return Shed(victim.team, victim.kind)
    retry_after_s = max(RETRY_FLOOR_S, wait_s or 0.0)
    return Reject("queue_full", message, retry_after_s)


def _with_newcomer(newcomer: Newcomer, holdings: list[Holding]) -> list[Holding]:
    """Count the newcomer as the newest of its kind, if its team is the one that gives way."""
    if holdings and holdings[0].team != newcomer.team:
        return holdings
    mine = Holding(*newcomer[:4], count=1, size_bytes=newcomer.size_bytes)
    others = []
    for one in holdings:
        if one.kind == newcomer.kind:
            count, size_bytes = one.count + 1, one.size_bytes + newcomer.size_bytes
            mine = mine._replace(count=count, size_bytes=size_bytes)
        else:
            others.append(one)
    return [*others, mine]


def _least_urgent(holdings: list[Holding]) -> Holding:
    """Find the least urgent kind that holds more than its floor; of equal ones the largest."""
    floor_count = KIND_FLOOR_RATIO * sum(one.count for one in holdings)
    above = [one for one in holdings if one.count > floor_count]
    return min(above or holdings, key=lambda one: (one.urgency, -one.count))


__all__ = [
    "Admit",
    "Backlog",
    "Bounds",
    "Decision",
    "Holding",
    "Newcomer",
    "Reject",
    "Shed",
    "decide",
]
