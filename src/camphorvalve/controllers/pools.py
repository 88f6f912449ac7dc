"""The upstreams of all pools as a router without schedulers uses them: list, load and failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from camphorvalve.model.errors import RequestError
from camphorvalve.model.hosts import HostState
from camphorvalve.model.requests import RoutedCall
from camphorvalve.sharing.ejection import Ejections
from camphorvalve.sharing.homes import (
    HasRoom,
    Load,
    cost_tokens,
    least_loaded,
    place,
    prefers_near,
    prefix_key,
)
from camphorvalve.sharing.limits import AdaptiveLimits
from camphorvalve.sharing.placement import ranked

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.routing import RouteTable

START_FILL_RATIO = 0.6
"""Part of an engine's slots that the routers fill together before they know how soon it answers;
with half of them, first tokens came within the objective in the trials of docs/platform.md."""
LEAST_FILL_RATIO = 0.45
"""Lowest part; with 0.25 a router that was short of processor time, and so saw every answer begin
late, kept 63% of the requests within shares out where others kept 20% (scale-1)."""
MOST_FILL_RATIO = 0.8
FILL_BOUNDS = (LEAST_FILL_RATIO, MOST_FILL_RATIO, START_FILL_RATIO)
LEAST_SLOTS_COUNT = 3.75
"""Slots of an engine that a router counts as its own however many routers there are: with the start
ratio, two requests fit. With one, requests for the same home stood in each other's way on
karri-auditions-grown, where the even part of a router is 0.18 slots."""
OVER_SHARE_RATIO = 0.6
"""Part of the limit that requests beyond their team's share may use, so that the other teams find
room at once."""
WAITING_RATIO = 0.25
"""Part of the limit that may wait for the first token. Engines read prompts one after another: on
karri-auditions trouble-2, answers began after 90 ms at the median with one of this router's own
requests waiting there, after 170 ms with two, and after 360 to 570 ms with three to eight."""
LEAST_WAITING_COUNT = 2
"""Requests that may wait however small the limit; those beyond their team's share only alone."""
STEP_RATIO = 0.1
"""Part of the limit that is kept free for each rank of more urgent work, so that this finds room at
once where engines fill up."""
LEAST_URGENT_RATIO = 0.6
"""Part that the least urgent work may use, however many ranks there are."""
HOMES_KEPT_COUNT = 4096
"""Prefixes whose homes are remembered; ranking takes 1 us for each upstream."""
SERVICE_LIMIT_COUNT = 12
"""Requests of one router at a plain service; it has 6 slots and rejects what it cannot queue."""
NEAR_COUNT = 2
"""Requests that a plain service in the own data centre gets before the others are considered: with
three routers in a data centre, that fills its 6 slots."""
RETRY_AFTER_S = 0.4
"""When a refused caller may try again: about the time in which an engine ends a request."""

_log = structlog.get_logger(__name__)


class Inputs(NamedTuple):
    """What a placement was decided by, for the logs."""

    running_count: int | None
    """Requests of this router at the upstream."""
    waiting_count: int | None
    """Of these, requests whose answers have not begun."""
    list_age_s: float
    """Time since the list of upstreams was read."""
    manifest_version: int
    weight: float
    """Part of each engine that this router may use."""


@dataclass(slots=True)
class Placement:
    """A request that is counted as running at an upstream."""

    upstream: Upstream
    tokens_count: float
    began: bool = False
    """Whether its answer has begun."""


class Pools:
    """Owns the list of upstreams, and what this router has running at each."""

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        weight: Callable[[], float],
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """
        Start without upstreams.

        :param table: routes in force
        :param weight: part of each engine that this router may use
        :param data_centre: of this router, whose upstreams are preferred where it costs nothing
        :param rng: source of random choices
        """
        self._table = table
        self._weight = weight
        self._data_centre = data_centre
        self._rng = rng
        self._upstreams: dict[str, Upstream] = {}
        self._by_pool: dict[str, list[str]] = {}
        self._homes: dict[tuple[str, str], list[str]] = {}
        self._loads: dict[str, Load] = {}
        self._ejections = Ejections()
        self._limits = AdaptiveLimits()
        self._listed_s = float("-inf")
        self._room = anyio.Event()
        self._queued_count = 0

    def apply(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """
        Replace the list.

        :param upstreams: all upstreams, leaving ones included
        :param now_s: monotonic time
        """
        self._listed_s = now_s
        before = self._upstreams
        self._upstreams = {one.upstream_id: one for one in upstreams}
        self._by_pool = {}
        self._homes.clear()
        for one in self._upstreams.values():
            if one.state is HostState.LIVE:
                self._by_pool.setdefault(one.pool, []).append(one.upstream_id)
        self._ejections.keep_only(set(self._upstreams))
        self._limits.keep_only(set(self._upstreams))
        for one in self._upstreams.values():
            if before.get(one.upstream_id) != one:
                _log.info(
                    "upstream listed",
                    upstream_id=one.upstream_id,
                    pool=one.pool,
                    url=one.url,
                    state=one.state.value,
                )
        for gone in before.keys() - self._upstreams.keys():
            _log.info("upstream gone", upstream_id=gone, pool=before[gone].pool)

    def confirm(self, read_s: float) -> None:
        """
        Note that the list was read again and has not changed.

        :param read_s: when, in monotonic time
        """
        self._listed_s = read_s

    def upstream(self, upstream_id: str) -> Upstream | None:
        """
        Look up an upstream.

        :param upstream_id: id of the upstream
        :return: the upstream
        """
        return self._upstreams.get(upstream_id)

    def inputs(self, upstream_id: str | None, now_s: float) -> Inputs:
        """
        Tell what placements are decided by.

        :param upstream_id: the chosen upstream, if any
        :param now_s: monotonic time
        :return: the inputs and their age
        """
        table = self._table()
        return Inputs(
            None if upstream_id is None else self._load(upstream_id).requests_count,
            None if upstream_id is None else self._load(upstream_id).waiting_count,
            round(now_s - self._listed_s, 3),
            0 if table is None else table.manifest.version,
            round(self._weight(), 3),
        )

    def begin(self, exchange: Exchange, now_s: float) -> Placement:
        """
        Choose an upstream and count the request as running there.

        :param exchange: the request
        :param now_s: monotonic time
        :return: the placement, to be ended
        :raises RequestError: no upstream is listed, or those that may serve it are full
        """
        pool = exchange.parameters.pool
        listed = self._by_pool.get(pool, [])
        usable = self._ejections.usable(listed, now_s)
        usable = [one for one in usable if one not in exchange.failed_upstreams]
        if not usable:
            message = f"pool {pool!r}: {len(listed)} upstreams are listed and none may be used"
            raise RequestError("no_upstream", message, retry_after_s=RETRY_AFTER_S)
        chosen = self._choose(exchange, pool, usable)
        if chosen is None:
            message = f"pool {pool!r}: the upstreams for this request are full"
            raise RequestError("overloaded", message, retry_after_s=self._retry_after_s())
        placement = Placement(self._upstreams[chosen], cost_tokens(exchange.request.call))
        self._count(chosen, 1, 1, placement.tokens_count)
        return placement

    def end(self, placement: Placement) -> None:
        """
        Count a request as ended.

        :param placement: from ``begin``
        """
        waiting = 0 if placement.began else -1
        self._count(placement.upstream.upstream_id, -1, waiting, -placement.tokens_count)
        self._announce_room()

    async def wait_for_room(self) -> None:
        """Wait until some request has ended; the place may be taken by another one that waits."""
        if self._room.is_set():
            self._room = anyio.Event()
        self._queued_count += 1
        try:
            await self._room.wait()
        finally:
            self._queued_count -= 1

    def began(self, placement: Placement, objective_s: float, wait_s: float, now_s: float) -> None:
        """
        Note that an answer has begun, and learn from how long that took.

        :param placement: from ``begin``
        :param objective_s: time that counts as on time
        :param wait_s: time from sending the request
        :param now_s: monotonic time
        """
        placement.began = True
        upstream_id = placement.upstream.upstream_id
        self._count(upstream_id, 0, -1, 0.0)
        self._limits.began(upstream_id, wait_s, objective_s, now_s)
        self._announce_room()

    def succeed(self, upstream_id: str) -> None:
        """
        Note an answer.

        :param upstream_id: the upstream
        """
        self._ejections.succeed(upstream_id)

    def fail(self, upstream_id: str, now_s: float, *, unreachable: bool) -> None:
        """
        Note a failed request.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :param unreachable: whether no connection came about
        """
        if self._ejections.fail(upstream_id, now_s, unreachable=unreachable):
            _log.warning("upstream left out", upstream_id=upstream_id, unreachable=unreachable)

    def _announce_room(self) -> None:
        if self._queued_count:
            self._room.set()

    def _choose(self, exchange: Exchange, pool: str, usable: Sequence[str]) -> str | None:
        has_room = self._room_at(pool, exchange)
        near = [one for one in usable if self._is_near(one)]
        match exchange.request.call:
            case RoutedCall(prompt=prompt) if (key := prefix_key(prompt)) is not None:
                homes = self._ranked(pool, key, usable)
                near_homes = [one for one in homes if self._is_near(one)]
                if prefers_near(prompt) and (found := place(near_homes, self._loads, has_room)):
                    return found
                return place(homes, self._loads, has_room)
        if found := least_loaded(near, self._loads, self._is_quiet):
            return found
        shuffled = self._rng.sample(usable, len(usable))
        return least_loaded(shuffled, self._loads, has_room)

    def _ranked(self, pool: str, key: str, usable: Sequence[str]) -> list[str]:
        """Rank upstreams for a key; requests that wait for a place ask again and again."""
        homes = self._homes.get((pool, key))
        if homes is None:
            if len(self._homes) >= HOMES_KEPT_COUNT:
                self._homes.clear()
            homes = self._homes[pool, key] = ranked(key, self._by_pool[pool])
        if len(usable) == len(homes):
            return homes
        kept = set(usable)
        return [one for one in homes if one in kept]

    def _is_near(self, upstream_id: str) -> bool:
        return self._upstreams[upstream_id].data_centre == self._data_centre

    def _room_at(self, pool: str, exchange: Exchange) -> HasRoom:
        table = self._table()
        found = None if table is None else table.pools.get(pool)
        if found is None or found.engine is None:
            return lambda one: self._load(one).requests_count < SERVICE_LIMIT_COUNT
        part = max(LEAST_SLOTS_COUNT, self._weight() * found.engine.slots_count)
        ratio = _part_of_limit(exchange)

        def has_room(upstream_id: str) -> bool:
            load = self._load(upstream_id)
            limit = ratio * part * self._limits.get(upstream_id, *FILL_BOUNDS)
            waiting_limit = 1.0
            if exchange.within_share:
                waiting_limit = max(LEAST_WAITING_COUNT, WAITING_RATIO * limit)
            fits = load.requests_count + 1 <= max(1.0, limit)
            return fits and load.waiting_count + 1 <= waiting_limit

        return has_room

    def _is_quiet(self, upstream_id: str) -> bool:
        return self._load(upstream_id).requests_count < NEAR_COUNT

    def _load(self, upstream_id: str) -> Load:
        return self._loads.get(upstream_id, Load())

    def _retry_after_s(self) -> float:
        # Spread, so that refused callers do not come back together.
        return RETRY_AFTER_S * (1 + self._rng.random())

    def _count(self, upstream_id: str, requests: int, waiting: int, tokens: float) -> None:
        load = self._load(upstream_id)
        if load.requests_count + requests == 0:
            self._loads.pop(upstream_id, None)
            return
        self._loads[upstream_id] = Load(
            load.requests_count + requests,
            load.waiting_count + waiting,
            load.tokens_count + tokens,
        )


def _part_of_limit(exchange: Exchange) -> float:
    share_ratio = 1.0 if exchange.within_share else OVER_SHARE_RATIO
    return share_ratio * max(LEAST_URGENT_RATIO, 1.0 - STEP_RATIO * exchange.steps_behind)


__all__ = ["Inputs", "Placement", "Pools"]
