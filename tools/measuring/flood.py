"""Schedules one team's flood and the other teams' requests, and counts those served on time."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from tools.measuring.load import Call, mean_cost, select_routers
from tools.measuring.plans import MEAN_TOKENS_COUNT, random_costs

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from tools.measuring.load import Result
    from tools.measuring.plans import Kind, Workload

OTHER_LOAD_RATIO = 0.6
"""Load of the other teams as a ratio of the model pool's capacity; each stays below its share."""
OTHER_SERVICE_MS = 100.0
OTHER_SERVICE_PER_S = 12.0
OTHER_TOKENS_COUNT = 30
OTHER_LARGEST_FACTOR = 1.5
"""Cost of the largest request as a multiple of the mean; smaller than that of the flood, so that
nearly all requests of the window can finish in time."""
FLOOD_FACTOR = 10.0
"""Load of the flood as a multiple of the pool's capacity."""


def schedule_others(
    workload: Workload,
    shares: Mapping[str, float],
    router_ids: Sequence[str],
    window_s: float,
    seed: int,
) -> list[tuple[float, Call]]:
    """
    Schedule requests of all teams except the flooding one; equal arguments give equal schedules.

    :param workload: the deployment and its kinds
    :param shares: shares by team
    :param router_ids: all routers
    :param window_s: length of the schedule
    :param seed: seed of the random costs and choices
    :return: seconds from the start, ascending, each with a request
    """
    rng = random.Random(seed)
    others = {team: share for team, share in shares.items() if team != workload.flooding_team}
    model_per_s = OTHER_LOAD_RATIO * workload.model_rate / OTHER_TOKENS_COUNT
    model_kinds = (workload.most_urgent, workload.least_urgent)
    team_indexes = {team: index for index, team in enumerate(shares)}
    calls = [
        *_evenly_spaced(others, model_per_s, window_s, model_kinds, rng),
        *_evenly_spaced(others, OTHER_SERVICE_PER_S, window_s, (workload.service,), rng),
    ]
    calls.sort(key=lambda call: call[0])
    schedule = []
    for at_s, team, kind, cost in calls:
        team_router_ids = select_routers(team_indexes[team], router_ids)
        router_id = (
            router_ids[0] if team == workload.single_router_team else rng.choice(team_router_ids)
        )
        schedule.append((at_s, Call(team, kind, router_id, cost)))
    return schedule


def _evenly_spaced(
    shares: Mapping[str, float],
    per_s: float,
    window_s: float,
    kinds: Sequence[Kind],
    rng: random.Random,
) -> Iterator[tuple[float, str, Kind, float]]:
    """Space requests evenly, and interleave teams in proportion to their shares."""
    costs = {kind.name: random_costs(rng, _mean_cost(kind), OTHER_LARGEST_FACTOR) for kind in kinds}
    total = sum(shares.values())
    credit = dict.fromkeys(shares, 0.0)
    next_kind_indexes = dict.fromkeys(shares, rng.randrange(len(kinds)))
    for number in range(int(per_s * window_s)):
        for team, share in shares.items():
            credit[team] += share / total
        team = max(credit, key=lambda name: credit[name])
        credit[team] -= 1.0
        kind = kinds[next_kind_indexes[team] % len(kinds)]
        next_kind_indexes[team] += 1
        yield number / per_s, team, kind, next(costs[kind.name])


def _mean_cost(kind: Kind) -> float:
    return OTHER_TOKENS_COUNT if kind.uses_model else OTHER_SERVICE_MS


def schedule_flood(
    workload: Workload, kind: Kind, router_ids: Sequence[str], duration_s: float, seed: int
) -> Iterator[tuple[float, Call]]:
    """
    Schedule a flood of requests of one team and kind, spread over all routers.

    :param workload: the deployment and its kinds
    :param kind: kind of the requests
    :param router_ids: all routers
    :param duration_s: length of the flood
    :param seed: seed of the random costs and choices
    :return: seconds from the start, ascending, each with a request
    """
    rng = random.Random(seed)
    per_s = FLOOD_FACTOR * workload.model_rate / MEAN_TOKENS_COUNT
    costs = random_costs(rng, mean_cost(kind))
    for number in range(int(per_s * duration_s)):
        router_id = router_ids[number % len(router_ids)]
        yield (
            number / per_s,
            Call(workload.flooding_team, kind, router_id, next(costs), streamed=False),
        )


def on_time_counts(results: Sequence[Result], flooding_team: str) -> dict[str, int]:
    """
    Count the other teams' requests that were served on time.

    :param results: results of one phase
    :param flooding_team: team whose requests are not counted
    :return: counts by pool
    """
    counts: dict[str, int] = {}
    for result in results:
        pool = result.call.kind.pool
        if result.call.team != flooding_team:
            counts[pool] = counts.get(pool, 0) + result.on_time
    return counts


def kept_ratio(with_flood: Mapping[str, int], without: Mapping[str, int]) -> float:
    """
    Compute the ratio of requests still served on time during a flood, for the worst pool.

    :param with_flood: counts by pool during a flood
    :param without: counts by pool of the same requests without a flood
    :return: 0 to about 1
    """
    return min(with_flood.get(pool, 0) / max(1, count) for pool, count in without.items())


__all__ = ["kept_ratio", "on_time_counts", "schedule_flood", "schedule_others"]
