"""The requests that this router runs at each upstream, and whether one more fits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from camphorvalve.sharing.homes import Load, cost_tokens
from camphorvalve.sharing.limits import AdaptiveLimits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from camphorvalve.controllers.router.bounds import Rooms
    from camphorvalve.model.requests import Exchange
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.homes import HasRoom
    from camphorvalve.sharing.routing import RouteTable

INITIAL_FILL_RATIO = 0.6
"""Initial limit: the part of an engine's slots that all routers together may use before its latency
is known. With half of the slots, first tokens arrived within the objective."""
MIN_FILL_RATIO = 0.45
"""Lower bound of the adaptive limit. With 0.25, a router short of processor time, which saw every
answer start late, refused 63% of the requests within shares where others refused 20%."""
MAX_FILL_RATIO = 0.8
"""Upper bound of the adaptive limit."""
FILL_BOUNDS = (MIN_FILL_RATIO, MAX_FILL_RATIO, INITIAL_FILL_RATIO)
MIN_SLOTS_COUNT = 3.75
"""Minimum number of slots of an engine for each router, however many routers there are: with the
initial fill ratio, two requests fit. With room for only one, requests with the same preferred
engine blocked each other in a fleet where an even split gives each router 0.18 slots."""
OVER_SHARE_RATIO = 0.6
"""Part of the limit that requests over their team's share may use; the rest stays free for other
teams."""
WAITING_RATIO = 0.25
"""Part of the limit that may wait for the first token. Engines process prompts one after another:
the median time to first token was 90 ms with one of this router's requests waiting at the engine,
170 ms with two, and 360 to 570 ms with three to eight."""
MIN_WAITING_COUNT = 2
"""Requests that may always wait, however low the limit; over the team's share, only one may."""
URGENCY_STEP_RATIO = 0.1
"""Part of the limit that is reserved for each higher urgency rank, so that more urgent requests are
placed at once while engines fill up."""
MIN_URGENCY_RATIO = 0.6
"""Minimum part of the limit for the least urgent requests, however many ranks there are."""
MAX_SERVICE_REQUESTS_COUNT = 12
"""Maximum requests of one router at a plain service, which has 6 slots and rejects requests that
it cannot queue."""


@dataclass(slots=True)
class Placement:
    """A request that counts as running at an upstream."""

    upstream: Upstream
    tokens_count: float
    has_started: bool = False
    """Whether its answer has started."""


class Occupancy:
    """Owns the loads that this router causes at upstreams, and their adaptive limits."""

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        engine_part: Callable[[], float],
        rooms: Rooms,
    ) -> None:
        """
        Start without requests.

        :param table: returns the route table in force
        :param engine_part: returns the part of each engine that this router may use
        :param rooms: tells how many requests engines take
        """
        self._table = table
        self._engine_part = engine_part
        self._rooms = rooms
        self._limits = AdaptiveLimits()
        self.loads: dict[str, Load] = {}
        """Loads of the upstreams at which requests run."""

    def load(self, upstream_id: str) -> Load:
        """
        Return the load that this router causes at an upstream.

        :param upstream_id: the upstream
        :return: its load
        """
        return self.loads.get(upstream_id, Load())

    def left_count(self, upstream_id: str, ratio: float = 1.0) -> int | None:
        """
        Return how many requests this router may send to an engine before its next report.

        :param upstream_id: the engine
        :param ratio: part of its room that the request may use
        :return: the number, ``None`` without a recent load
        """
        return self._rooms.left_count(upstream_id, ratio)

    def room_check(self, pool: str, exchange: Exchange) -> HasRoom:
        """
        Return how to tell whether an upstream has room for a request.

        :param pool: pool of the upstreams
        :param exchange: the request
        :return: tells for an upstream of the pool whether one more request fits
        """
        table = self._table()
        definition = None if table is None else table.pools.get(pool)
        if definition is None or definition.engine is None:
            return lambda upstream_id: (
                self.load(upstream_id).requests_count < MAX_SERVICE_REQUESTS_COUNT
            )
        usable_slots = max(MIN_SLOTS_COUNT, self._engine_part() * definition.engine.slots_count)
        if exchange.precedes_new_requests:
            # Only some upstreams can go on with a stream, and its caller has a part of it.
            return lambda upstream_id: self.load(upstream_id).requests_count + 1 <= usable_slots
        ratio = _usable_limit_ratio(exchange)

        def has_room(upstream_id: str) -> bool:
            if (has_reported := self._has_reported_room(upstream_id, ratio)) is not None:
                return has_reported
            load = self.load(upstream_id)
            limit = ratio * usable_slots * self._limits.get(upstream_id, *FILL_BOUNDS)
            waiting_limit = 1.0
            if exchange.within_share:
                waiting_limit = max(MIN_WAITING_COUNT, WAITING_RATIO * limit)
            fits = load.requests_count + 1 <= max(1.0, limit)
            return fits and load.waiting_count + 1 <= waiting_limit

        return has_room

    def begin(self, upstream: Upstream, exchange: Exchange) -> Placement:
        """
        Count a request as running at an upstream.

        :param upstream: the upstream
        :param exchange: the request
        :return: the placement, which the caller passes to ``end``
        """
        placement = Placement(upstream, cost_tokens(exchange.request.call))
        self._adjust(upstream.upstream_id, 1, 1, placement.tokens_count)
        self._rooms.record_sent(upstream.upstream_id)
        return placement

    def end(self, placement: Placement) -> None:
        """
        Count a request as ended.

        :param placement: from ``begin``
        """
        waiting = 0 if placement.has_started else -1
        self._adjust(placement.upstream.upstream_id, -1, waiting, -placement.tokens_count)

    def record_answer_start(
        self, placement: Placement, objective_s: float, wait_s: float, now_s: float
    ) -> None:
        """
        Record the start of an answer and adapt the upstream's limit to its latency.

        :param placement: from ``begin``
        :param objective_s: objective for the time to first token
        :param wait_s: time from sending the request to the start of its answer
        :param now_s: monotonic time
        """
        placement.has_started = True
        upstream_id = placement.upstream.upstream_id
        self._adjust(upstream_id, 0, -1, 0.0)
        self._limits.record_answer_start(upstream_id, wait_s, objective_s, now_s)
        self._rooms.record_answer(upstream_id, objective_s)

    def shares_loads(self, pool: str) -> bool:
        """
        Tell whether denied requests count, as routers share a pool's engines by their load.

        :param pool: the pool
        :return: whether they do
        """
        return self._rooms.shares_loads(pool)

    def record_denied(self, upstream_ids: Iterable[str]) -> None:
        """
        Record that a request found no room at upstreams.

        :param upstream_ids: the upstreams
        """
        for upstream_id in upstream_ids:
            self._rooms.record_denied(upstream_id)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """
        Forget the limits of all other upstreams.

        :param upstream_ids: the upstreams that are listed
        """
        self._limits.keep_only(upstream_ids)

    def _has_reported_room(self, upstream_id: str, ratio: float) -> bool | None:
        """Tell whether an engine has room by its reported load; ``None`` without a load."""
        left_count = self.left_count(upstream_id, ratio)
        return None if left_count is None else left_count > 0

    def _adjust(self, upstream_id: str, requests: int, waiting: int, tokens: float) -> None:
        load = self.load(upstream_id)
        if load.requests_count + requests == 0:
            self.loads.pop(upstream_id, None)
            return
        self.loads[upstream_id] = Load(
            load.requests_count + requests,
            load.waiting_count + waiting,
            load.tokens_count + tokens,
        )


def _usable_limit_ratio(exchange: Exchange) -> float:
    share_ratio = 1.0 if exchange.within_share else OVER_SHARE_RATIO
    return share_ratio * max(
        MIN_URGENCY_RATIO, 1.0 - URGENCY_STEP_RATIO * exchange.more_urgent_ranks_count
    )


__all__ = ["Occupancy", "Placement"]
