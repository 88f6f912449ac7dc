"""Upstreams for routed requests: one object for the filters over list, loads, records, choice."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from camphorvalve.controllers.router.bounds import EvenParts, NeverCold
from camphorvalve.controllers.router.choice import UpstreamChoice
from camphorvalve.controllers.router.claims import OriginClaims
from camphorvalve.controllers.router.occupancy import Occupancy
from camphorvalve.controllers.router.upstreamlist import UpstreamList
from camphorvalve.controllers.router.upstreamrecords import UpstreamRecords

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Mapping

    from camphorvalve.controllers.router.bounds import ColdStarts, Rooms
    from camphorvalve.controllers.router.occupancy import Placement
    from camphorvalve.model.requests import Exchange, StreamOrigin
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.notices import Notice
    from camphorvalve.sharing.routing import RouteTable

_log = structlog.get_logger(__name__)


class PlacementInputs(NamedTuple):
    """Inputs of a placement decision, written to the log."""

    running_count: int | None
    """Requests that this router has running at the upstream."""
    waiting_count: int | None
    """Of these, requests whose answers have not started."""
    list_age_s: float
    """Time since the list of upstreams was read."""
    manifest_version: int
    weight: float
    """Part of each engine that this router may use."""
    left_count: int | None = None
    """Requests that this router may send to the engine before its next report, ``None`` without a
    recent load."""


class Pools:
    """Owns the list of upstreams and the number of requests that this router runs at each."""

    def __init__(
        self,
        table: Callable[[], RouteTable | None],
        engine_part: Callable[[], float],
        data_centre: str,
        rng: random.Random,
        cold: ColdStarts | None = None,
        rooms: Rooms | None = None,
    ) -> None:
        """
        Start without upstreams.

        :param table: returns the route table in force
        :param engine_part: returns the part of each engine that this router may use
        :param data_centre: data centre of this router; its upstreams are preferred for calls
            without a shared prefix or with a short one
        :param rng: source of random choices
        :param cold: bounds the requests to cold upstreams; without it, none is cold
        :param rooms: tells how many requests engines take; without it, their places are divided
        """
        self._cold = cold or NeverCold()
        self._table = table
        self._engine_part = engine_part
        self._listed = UpstreamList(data_centre)
        self._records = UpstreamRecords(self._listed)
        self.claims = OriginClaims(self._listed)
        """Streams whose version the list has not confirmed."""
        self._occupancy = Occupancy(table, engine_part, rooms or EvenParts())
        self._choice = UpstreamChoice(self._listed, self._records, self._occupancy, self._cold, rng)
        self._capacity_freed = anyio.Event()
        self._waiters_count = 0

    def apply(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """
        Replace the list of upstreams.

        :param upstreams: all upstreams, leaving ones included
        :param now_s: when the list was read, in monotonic time
        """
        self._follow_list(self._listed.apply(upstreams, now_s), now_s)
        self.claims.compare()

    def set_engine_pools(self, pools: frozenset[str]) -> None:
        """
        Use only model engines in the pools that the manifest declares as such.

        :param pools: all pools of model engines
        """
        previous = self._listed.set_engine_pools(pools)
        if previous is not None:
            self._follow_list(previous, self._listed.read_s)

    def evacuate(self, data_centres: frozenset[str], now_s: float) -> None:
        """
        Send no new requests to the upstreams of these data centres, and to all others again.

        :param data_centres: all that are evacuated
        :param now_s: monotonic time
        """
        returned = self._listed.evacuate(data_centres)
        if returned is None:
            return
        upstreams = self._listed.upstreams.values()
        self._cold.suspect(
            (upstream for upstream in upstreams if upstream.data_centre in returned),
            "evacuation ended",
        )
        self.notify_waiters()
        _log.info(
            "evacuations in force",
            data_centres=sorted(data_centres),
            upstreams_count=self._listed.usable_count(),
            list_age_s=round(now_s - self._listed.read_s, 3),
        )

    def confirm(self, read_s: float) -> None:
        """
        Record that the list was read again without changes.

        :param read_s: when the list was read, in monotonic time
        """
        self._listed.read_s = read_s
        self.claims.compare()
        if self._cold.confirm(read_s):
            self.notify_waiters()

    def upstream(self, upstream_id: str) -> Upstream | None:
        """
        Look up an upstream.

        :param upstream_id: id of the upstream
        :return: the upstream, ``None`` if it is not listed
        """
        return self._listed.upstreams.get(upstream_id)

    def inputs(self, upstream_id: str | None, now_s: float) -> PlacementInputs:
        """
        Return the inputs of a placement decision.

        :param upstream_id: the chosen upstream, if any
        :param now_s: monotonic time
        :return: the inputs
        """
        table = self._table()
        load = None if upstream_id is None else self._occupancy.load(upstream_id)
        return PlacementInputs(
            None if load is None else load.requests_count,
            None if load is None else load.waiting_count,
            round(now_s - self._listed.read_s, 3),
            0 if table is None else table.manifest.version,
            round(self._engine_part(), 3),
            None if upstream_id is None else self._occupancy.left_count(upstream_id),
        )

    def begin(self, exchange: Exchange, now_s: float) -> Placement:
        """
        Choose an upstream and count the request as running there.

        :param exchange: the request
        :param now_s: monotonic time
        :return: the placement, which the caller passes to ``end``
        :raises RequestError: no upstream is listed, or those that may serve it are full
        """
        upstream = self._listed.upstreams[self._choice.choose(exchange, now_s)]
        placement = self._occupancy.begin(upstream, exchange)
        if self._records.is_unreachable(upstream.upstream_id):
            # It may have started again under its id.
            self._cold.suspect([upstream], "reached again")
        self._cold.record_request(upstream.upstream_id, now_s)
        return placement

    def has_alternative(self, exchange: Exchange, now_s: float) -> bool:
        """
        Tell whether another upstream has room for a request that runs at one.

        :param exchange: the request
        :param now_s: monotonic time
        :return: whether ``begin`` would find an upstream if the current one had failed
        """
        return self._choice.has_alternative(exchange, now_s)

    def has_version(self, origin: StreamOrigin) -> bool:
        """
        Tell whether a stream can go on.

        :param origin: where it began
        :return: whether an upstream of that version is listed that is not leaving
        """
        return bool(self._listed.of_version(origin))

    def has_reachable(self, exchange: Exchange) -> bool:
        """
        Tell whether a request has not yet tried an upstream that may be reached.

        :param exchange: the request
        :return: whether one is listed to which the last connection did not fail
        """
        return self._choice.has_reachable(exchange)

    def hold_off_left_s(self, exchange: Exchange, now_s: float) -> float | None:
        """
        Return when an upstream that asked for a pause may be used for a request.

        :param exchange: the request
        :param now_s: monotonic time
        :return: time left in seconds, ``None`` if no upstream that it may use asked for one
        """
        return self._choice.hold_off_left_s(exchange, now_s)

    def end(self, placement: Placement) -> None:
        """
        Count a request as ended.

        :param placement: from ``begin``
        """
        self._occupancy.end(placement)
        self.notify_waiters()

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
        self._occupancy.record_answer_start(placement, objective_s, wait_s, now_s)
        self.notify_waiters()

    async def wait_for_capacity(self) -> None:
        """Wait until capacity may have been freed; another waiting request may take it first."""
        if self._capacity_freed.is_set():
            self._capacity_freed = anyio.Event()
        self._waiters_count += 1
        try:
            await self._capacity_freed.wait()
        finally:
            self._waiters_count -= 1

    def notify_waiters(self) -> None:
        """Let requests that wait look for capacity, as a cold upstream may take one."""
        if self._waiters_count:
            self._capacity_freed.set()

    def record_success(self, upstream_id: str) -> None:
        """
        Record a successful request.

        :param upstream_id: the upstream
        """
        self._records.record_success(upstream_id)

    def record_failure(self, upstream_id: str, now_s: float, *, unreachable: bool) -> None:
        """
        Record a failed request.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :param unreachable: whether no connection could be established
        """
        self._records.record_failure(upstream_id, now_s, unreachable=unreachable)

    def record_silence(self, exchange: Exchange, now_s: float) -> None:
        """
        Record that an upstream is silent while a request waits for it, which may have ended.

        :param exchange: the request
        :param now_s: monotonic time
        """
        if exchange.upstream_id is not None:
            self.record_failure(exchange.upstream_id, now_s, unreachable=False)

    def record_end(self, upstream_id: str, now_s: float) -> None:
        """
        Record that an upstream has refused or ended a connection, as one does that starts again.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        """
        self._records.record_end(upstream_id, now_s)

    def record_idle_end(self, url: str, now_s: float) -> None:
        """
        Record that the upstream at an address has ended an idle connection.

        :param url: scheme, host and port
        :param now_s: monotonic time
        """
        self._records.record_idle_end(url, now_s)

    def record_same_start(self, upstream: Upstream, asked_s: float) -> None:
        """
        Record that an upstream has not started again since it was listed.

        :param upstream: the upstream as it was listed
        :param asked_s: when it was asked, in monotonic time
        """
        self._records.record_same_start(upstream, asked_s)

    def is_start_confirmed(self, upstream: Upstream, since_s: float) -> bool:
        """
        Tell whether an upstream is known to have had its listed start at some time or later.

        :param upstream: the upstream as it was listed
        :param since_s: monotonic time
        :return: whether it is
        """
        return self._records.is_start_confirmed(upstream, since_s)

    def may_have_restarted(self, upstream_id: str) -> bool:
        """
        Tell whether an upstream may have started again since it was listed.

        :param upstream_id: the upstream
        :return: whether it ended a connection, and the list may not show what followed
        """
        return self._records.may_have_restarted(upstream_id)

    def record_notice(self, upstream_id: str, notice: Notice, now_s: float) -> None:
        """
        Record what an upstream said of itself in an answer.

        :param upstream_id: the upstream
        :param notice: the notice
        :param now_s: monotonic time
        """
        self._records.record_notice(upstream_id, notice, now_s)

    def is_held_off(self, upstream_id: str, now_s: float) -> bool:
        """
        Tell whether an upstream wants no requests from this router now.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :return: whether it has said so and the time has not ended
        """
        return self._records.is_held_off(upstream_id, now_s)

    def noticed_leaving_ids(self) -> list[str]:
        """:return: upstreams that said that they are leaving, and that the list has as live"""
        return self._records.noticed_leaving_ids()

    def is_cold(self, upstream_id: str, now_s: float) -> bool:
        """
        Tell whether an upstream is cold or may be.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :return: whether its requests are bounded
        """
        return bool(self._cold.cold_ids([upstream_id], now_s))

    def _follow_list(self, previous: Mapping[str, Upstream], read_s: float) -> None:
        """Let the other parts follow a change of the upstreams in use."""
        self._records.apply(previous, read_s)
        self._occupancy.keep_only(set(self._listed.upstreams))
        self._cold.apply(previous, self._listed.upstreams, read_s)
        self._listed.log_changes(previous)
        self.notify_waiters()


__all__ = ["PlacementInputs", "Pools"]
