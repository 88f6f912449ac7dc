"""Schedules of other work and of floods, and the part of that work that is kept."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from tools.measuring.load import Call, mean_cost, routers_of
from tools.measuring.plans import MEAN_TOKENS_COUNT, costs

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from tools.measuring.load import Result
    from tools.measuring.plans import Kind, Work

OTHER_LOAD_RATIO = 0.6
"""Other work's part of the capacity of the model pool; every team stays below its share."""
OTHER_SERVICE_MS = 100.0
OTHER_SERVICE_PER_S = 12.0
OTHER_TOKENS_COUNT = 30
OTHER_LARGEST_FACTOR = 1.5
"""Smaller than the flood's, so that nearly all that arrives in the window can end in time."""
FLOOD_FACTOR = 10.0
"""Arrivals of the flood in units of the pool's capacity."""


def other_work(
    work: Work,
    shares: Mapping[str, float],
    router_ids: Sequence[str],
    window_s: float,
    seed: int,
) -> list[tuple[float, Call]]:
    """
    Plan the work of all teams but the flooding one; the same for the same arguments.

    :param work: the deployment
    :param shares: shares by team
    :param router_ids: routers
    :param window_s: length of the schedule
    :param seed: seed
    :return: times and calls, in order
    """
    rng = random.Random(seed)
    others = {team: share for team, share in shares.items() if team != work.flooding_team}
    model_per_s = OTHER_LOAD_RATIO * work.model_rate / OTHER_TOKENS_COUNT
    model_kinds = (work.most_urgent, work.least_urgent)
    places = {team: place for place, team in enumerate(shares)}
    calls = [
        *_spaced(others, model_per_s, window_s, model_kinds, rng),
        *_spaced(others, OTHER_SERVICE_PER_S, window_s, (work.service,), rng),
    ]
    calls.sort(key=lambda one: one[0])
    planned = []
    for at_s, team, kind, cost in calls:
        own = routers_of(places[team], router_ids)
        router_id = router_ids[0] if team == work.single_router_team else rng.choice(own)
        planned.append((at_s, Call(team, kind, router_id, cost)))
    return planned


def _spaced(
    shares: Mapping[str, float],
    per_s: float,
    window_s: float,
    kinds: Sequence[Kind],
    rng: random.Random,
) -> Iterator[tuple[float, str, Kind, float]]:
    """Space calls evenly; each team gets its part as evenly as can be."""
    sizes = {kind.name: costs(rng, _mean(kind), OTHER_LARGEST_FACTOR) for kind in kinds}
    total = sum(shares.values())
    credit = dict.fromkeys(shares, 0.0)
    sent = dict.fromkeys(shares, rng.randrange(len(kinds)))
    for number in range(int(per_s * window_s)):
        for team, share in shares.items():
            credit[team] += share / total
        team = max(credit, key=lambda one: credit[one])
        credit[team] -= 1.0
        kind = kinds[sent[team] % len(kinds)]
        sent[team] += 1
        yield number / per_s, team, kind, next(sizes[kind.name])


def _mean(kind: Kind) -> float:
    return OTHER_TOKENS_COUNT if kind.model else OTHER_SERVICE_MS


def flood(
    work: Work, kind: Kind, router_ids: Sequence[str], duration_s: float, seed: int
) -> Iterator[tuple[float, Call]]:
    """
    Plan a flood of one team's kind over all routers.

    :param work: the deployment
    :param kind: the kind of work
    :param router_ids: routers
    :param duration_s: length of the flood
    :param seed: seed
    :return: times and calls, in order
    """
    rng = random.Random(seed)
    per_s = FLOOD_FACTOR * work.model_rate / MEAN_TOKENS_COUNT
    sizes = costs(rng, mean_cost(kind))
    for number in range(int(per_s * duration_s)):
        router_id = router_ids[number % len(router_ids)]
        yield number / per_s, Call(work.flooding_team, kind, router_id, next(sizes), streamed=False)


def on_time_counts(results: Sequence[Result], flooding_team: str) -> dict[str, int]:
    """
    Count other work that was served on time, by pool.

    :param results: results of one phase
    :param flooding_team: team that does not count
    :return: counts by pool
    """
    counts: dict[str, int] = {}
    for one in results:
        pool = one.call.kind.pool
        if one.call.team != flooding_team:
            counts[pool] = counts.get(pool, 0) + one.on_time
    return counts


def kept_ratio(with_flood: Mapping[str, int], without: Mapping[str, int]) -> float:
    """
    Compare on-time completions; the pool that lost most counts.

    :param with_flood: counts by pool during a flood
    :param without: counts by pool of the same work without it
    :return: 0 to about 1
    """
    return min(with_flood.get(pool, 0) / max(1, count) for pool, count in without.items())


__all__ = ["flood", "kept_ratio", "on_time_counts", "other_work"]
