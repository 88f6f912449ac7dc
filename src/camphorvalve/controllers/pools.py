"""The upstreams of all pools as a router without schedulers uses them: list, load and failures."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import structlog

from camphorvalve.model.errors import RequestError
from camphorvalve.model.hosts import HostState
from camphorvalve.model.requests import RoutedCall
from camphorvalve.sharing.ejection import Ejections
from camphorvalve.sharing.homes import (
    Limit,
    Load,
    cost_tokens,
    least_loaded,
    place,
    prefers_near,
    prefix_key,
)
from camphorvalve.sharing.limits import AdaptiveLimits

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.routing import RouteTable

START_FILL_RATIO = 0.6
"""Part of an engine's slots that the routers fill together before they know how soon it answers;
with half of them, first tokens came within the objective in the trials of docs/platform.md."""
LEAST_FILL_RATIO = 0.25
"""Lowest limit; an engine that answers late even then is slow for another reason."""
MOST_FILL_RATIO = 1.0
OVER_SHARE_RATIO = 0.6
"""Part of the limit that requests beyond their team's share may use, so that the other teams find
room at once."""
SERVICE_LIMIT_COUNT = 12
"""Requests of one router at a plain service; it has 6 slots and rejects what it cannot queue."""
NEAR_COUNT = 2
"""Requests that a plain service in the own data centre gets before the others are considered: with
three routers in a data centre, that fills its 6 slots."""
RETRY_AFTER_S = 0.4
"""When a refused caller may try again: about the time in which an engine ends a request."""

_log = structlog.get_logger(__name__)


class Placement(NamedTuple):
    """A request that is counted as running at an upstream."""

    upstream: Upstream
    tokens_count: float


class Pools:
    """Owns the list of upstreams, and what this router has running at each."""

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        routers_count: Callable[[], int],
        data_centre: str,
        rng: random.Random,
    ) -> None:
        """
        Start without upstreams.

        :param table: routes in force
        :param routers_count: live routers, this one included
        :param data_centre: of this router, whose upstreams are preferred where it costs nothing
        :param rng: source of random choices
        """
        self._table = table
        self._routers_count = routers_count
        self._data_centre = data_centre
        self._rng = rng
        self._upstreams: dict[str, Upstream] = {}
        self._by_pool: dict[str, list[str]] = {}
        self._loads: dict[str, Load] = {}
        self._ejections = Ejections()
        self._limits = AdaptiveLimits()

    def apply(self, upstreams: Iterable[Upstream]) -> None:
        """
        Replace the list.

        :param upstreams: all upstreams, leaving ones included
        """
        before = self._upstreams
        self._upstreams = {one.upstream_id: one for one in upstreams}
        self._by_pool = {}
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

    def upstream(self, upstream_id: str) -> Upstream | None:
        """
        Look up an upstream.

        :param upstream_id: id of the upstream
        :return: the upstream
        """
        return self._upstreams.get(upstream_id)

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
        self._count(placement, 1)
        return placement

    def end(self, placement: Placement) -> None:
        """
        Count a request as ended.

        :param placement: from ``begin``
        """
        self._count(placement, -1)

    def began(self, exchange: Exchange, wait_s: float, now_s: float) -> None:
        """
        Learn from the start of an answer.

        :param exchange: the request
        :param wait_s: time from sending it
        :param now_s: monotonic time
        """
        upstream_id = exchange.upstream_id or ""
        self._limits.began(upstream_id, wait_s, exchange.parameters.objective_s, now_s)

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

    def _choose(self, exchange: Exchange, pool: str, usable: Sequence[str]) -> str | None:
        ratio = 1.0 if exchange.within_share else OVER_SHARE_RATIO
        limit = self._limit(pool, ratio)
        near = [one for one in usable if self._is_near(one)]
        match exchange.request.call:
            case RoutedCall(prompt=prompt) if (key := prefix_key(prompt)) is not None:
                if prefers_near(prompt) and (found := place(key, near, self._loads, limit)):
                    return found
                return place(key, usable, self._loads, limit)
        if found := least_loaded(near, self._loads, lambda one: NEAR_COUNT):
            return found
        shuffled = self._rng.sample(usable, len(usable))
        return least_loaded(shuffled, self._loads, limit)

    def _is_near(self, upstream_id: str) -> bool:
        return self._upstreams[upstream_id].data_centre == self._data_centre

    def _limit(self, pool: str, ratio: float) -> Limit:
        table = self._table()
        found = None if table is None else table.pools.get(pool)
        if found is None or found.engine is None:
            return lambda upstream_id: SERVICE_LIMIT_COUNT
        part = found.engine.slots_count / max(1, self._routers_count())
        bounds = (
            max(1.0, LEAST_FILL_RATIO * part),
            max(1.0, MOST_FILL_RATIO * part),
            max(1.0, START_FILL_RATIO * part),
        )
        return lambda upstream_id: max(1.0, ratio * self._limits.get(upstream_id, *bounds))

    def _retry_after_s(self) -> float:
        # Spread, so that refused callers do not come back together.
        return RETRY_AFTER_S * (1 + self._rng.random())

    def _count(self, placement: Placement, sign: int) -> None:
        upstream_id = placement.upstream.upstream_id
        load = self._loads.get(upstream_id, Load())
        requests_count = load.requests_count + sign
        if requests_count == 0:
            self._loads.pop(upstream_id, None)
            return
        tokens_count = load.tokens_count + sign * placement.tokens_count
        self._loads[upstream_id] = Load(requests_count, tokens_count)


__all__ = ["Placement", "Pools"]
