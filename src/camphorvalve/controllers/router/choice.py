"""Choice of an upstream for a request: which may serve it, and which of these has room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.errors import RequestError
from camphorvalve.model.requests import RoutedCall
from camphorvalve.sharing.homes import (
    HOMES_COUNT,
    least_loaded,
    place,
    prefers_local,
    prefix_key,
)
from camphorvalve.sharing.regions import describe

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence, Set

    from camphorvalve.controllers.router.bounds import ColdStarts
    from camphorvalve.controllers.router.occupancy import Occupancy
    from camphorvalve.controllers.router.upstreamlist import UpstreamList
    from camphorvalve.controllers.router.upstreamrecords import UpstreamRecords
    from camphorvalve.model.requests import Exchange

LOCAL_FIRST_COUNT = 2
"""Requests that this router sends to a plain service in its own data centre before it considers
other data centres: with three routers in a data centre, this fills the service's 6 slots."""
REFUSED_PAUSE_S = 0.1
"""Time after which an upstream that refused a request may be asked again; it ends several requests
in it."""
RETRY_AFTER_S = 0.4
"""Minimum delay before a refused caller retries: about the time an engine takes for a request."""


class UpstreamChoice:
    """Chooses upstreams by what other parts know of them; it has no state of its own."""

    def __init__(
        self,
        listed: UpstreamList,
        records: UpstreamRecords,
        occupancy: Occupancy,
        cold: ColdStarts,
        rng: random.Random,
    ) -> None:
        """
        Create the choice.

        :param listed: the list of upstreams
        :param records: what this router has seen of them
        :param occupancy: its requests at them
        :param cold: bounds the requests to cold upstreams
        :param rng: source of random choices
        """
        self._listed = listed
        self._records = records
        self._occupancy = occupancy
        self._cold = cold
        self._rng = rng

    def choose(self, exchange: Exchange, now_s: float) -> str:
        """
        Choose an upstream for a request.

        :param exchange: the request
        :param now_s: monotonic time
        :return: id of the upstream
        :raises RequestError: no upstream is listed, or those that may serve it are full
        """
        pool = exchange.parameters.pool
        tried = self._tried(exchange, now_s)
        usable = self._usable(exchange, tried, now_s)
        if not usable:
            listed = self._listed.for_request(exchange)
            untried = [upstream_id for upstream_id in listed if upstream_id not in tried]
            if self._cold.cold_ids(untried, now_s):
                message = f"pool {pool!r}: the upstreams for this request are cold"
                raise RequestError("overloaded", message, retry_after_s=self._retry_after_s())
            bound = describe(exchange.allowed_data_centres)
            message = (
                f"pool {pool!r}: {len(listed)} upstreams are listed{bound} and none may be used"
            )
            left_s = self.hold_off_left_s(exchange, now_s)
            raise RequestError("no_upstream", message, retry_after_s=left_s or RETRY_AFTER_S)
        chosen = self._choose(exchange, pool, usable) or self._choose_cold(exchange, usable, now_s)
        if chosen is None:
            self._record_denied(exchange, pool, usable)
            message = f"pool {pool!r}: the upstreams for this request are full"
            raise RequestError("overloaded", message, retry_after_s=self._retry_after_s())
        return chosen

    def has_alternative(self, exchange: Exchange, now_s: float) -> bool:
        """
        Tell whether another upstream has room for a request that runs at one.

        :param exchange: the request
        :param now_s: monotonic time
        :return: whether ``choose`` would find an upstream if the current one had failed
        """
        tried = {*exchange.failed_upstreams, exchange.upstream_id or ""}
        others = [
            upstream_id
            for upstream_id in self._usable(exchange, tried, now_s)
            if not self._records.is_unreachable(upstream_id)
        ]
        return bool(others) and self._choose(exchange, exchange.parameters.pool, others) is not None

    def has_reachable(self, exchange: Exchange) -> bool:
        """
        Tell whether a request has not yet tried an upstream that may be reached.

        :param exchange: the request
        :return: whether one is listed to which the last connection did not fail
        """
        return any(
            upstream_id not in exchange.failed_upstreams
            and not self._records.is_unreachable(upstream_id)
            for upstream_id in self._listed.for_request(exchange)
        )

    def hold_off_left_s(self, exchange: Exchange, now_s: float) -> float | None:
        """
        Return when an upstream that asked for a pause may be used for a request.

        :param exchange: the request
        :param now_s: monotonic time
        :return: time left in seconds, ``None`` if no upstream that it may use asked for one
        """
        listed = self._listed.for_request(exchange)
        untried = [
            upstream_id for upstream_id in listed if upstream_id not in exchange.failed_upstreams
        ]
        waits_s = [self._records.hold_off_left_s(untried, now_s)]
        for upstream_id in listed if exchange.may_have_run else ():
            if (refused_s := exchange.refused_at_s.get(upstream_id)) is not None:
                held_s = self._records.hold_off_left_s([upstream_id], now_s) or 0.0
                waits_s.append(max(refused_s + REFUSED_PAUSE_S - now_s, held_s))
        return min((wait_s for wait_s in waits_s if wait_s is not None), default=None)

    def _tried(self, exchange: Exchange, now_s: float) -> Set[str]:
        """Return the upstreams to which a request is not sent again now."""
        failed = exchange.failed_upstreams
        # Other requests can be refused, and come back later.
        if not exchange.may_have_run or self._usable(exchange, failed, now_s):
            return failed
        paused_since_s = now_s - REFUSED_PAUSE_S
        refused = {key for key, at_s in exchange.refused_at_s.items() if at_s <= paused_since_s}
        return failed - refused

    def _usable(self, exchange: Exchange, tried: Set[str], now_s: float) -> Sequence[str]:
        listed = self._listed.for_request(exchange)
        open_ids = self._records.accepting(listed, now_s)
        untried = [upstream_id for upstream_id in open_ids if upstream_id not in tried]
        warm = self._cold.usable(untried, now_s)
        return self._records.sound(warm, now_s, may_probe=not tried)

    def _choose_cold(self, exchange: Exchange, usable: Sequence[str], now_s: float) -> str | None:
        """Choose a cold upstream for a request whose homes are full: its seat is free now."""
        cold_ids = self._cold.cold_ids(usable, now_s)
        if not cold_ids:
            return None
        has_room = self._occupancy.room_check(exchange.parameters.pool, exchange)
        shuffled = self._rng.sample(cold_ids, len(cold_ids))
        return least_loaded(shuffled, self._occupancy.loads, has_room)

    def _choose(self, exchange: Exchange, pool: str, usable: Sequence[str]) -> str | None:
        has_room = self._occupancy.room_check(pool, exchange)
        local = [upstream_id for upstream_id in usable if self._listed.is_local(upstream_id)]
        match exchange.request.call:
            case RoutedCall(prompt=prompt) if (key := prefix_key(prompt)) is not None:
                ranked_ids = self._listed.ranked(pool, key, usable)
                local_ranked_ids = [
                    upstream_id for upstream_id in ranked_ids if self._listed.is_local(upstream_id)
                ]
                if prefers_local(prompt) and (
                    chosen := place(local_ranked_ids, self._occupancy.loads, has_room)
                ):
                    return chosen
                chosen = place(ranked_ids, self._occupancy.loads, has_room)
                if chosen is not None or exchange.origin is None:
                    return chosen
        if chosen := least_loaded(local, self._occupancy.loads, self._has_few_requests):
            return chosen
        shuffled = self._rng.sample(usable, len(usable))
        return least_loaded(shuffled, self._occupancy.loads, has_room)

    def _record_denied(self, exchange: Exchange, pool: str, usable: Sequence[str]) -> None:
        if not self._occupancy.shares_loads(pool):
            return
        match exchange.request.call:
            case RoutedCall(prompt=prompt) if (key := prefix_key(prompt)) is not None:
                denied_ids = self._listed.ranked(pool, key, usable)[:HOMES_COUNT]
            case _:
                denied_ids = [self._rng.choice(usable)]
        self._occupancy.record_denied(denied_ids)

    def _has_few_requests(self, upstream_id: str) -> bool:
        return self._occupancy.load(upstream_id).requests_count < LOCAL_FIRST_COUNT

    def _retry_after_s(self) -> float:
        # Jitter, so that refused callers do not all retry at once.
        return RETRY_AFTER_S * (1 + self._rng.random())


__all__ = ["UpstreamChoice"]
