"""Tells how many requests this router may send to each engine, from the views of controllers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import structlog
import xxhash

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.hosts import HostState
from camphorvalve.sharing.engineroom import reserved_count
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.thinning import allowed_count, draw_ticket
from camphorvalve.wire.messages import EngineTally, LoadPoll, LoadRecall, LoadView, WatchedEngine

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.model.routes import Engine
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.sharing.routing import RouteTable
    from camphorvalve.wire.messages import EngineLoad

POLL_S = 1.0
WATCHERS_KEY = "engine loads"
"""Key by which rendezvous hashing selects the controllers that watch engines."""
WATCHERS_COUNT = 4
"""Controllers that divide the engines: each sends a view to each router, so that more of them cost
routers more messages, and fewer cost a controller more bytes."""
MAX_AGE_S = 1.5
"""Age above which a load is not used: three views were lost, or the engine does not answer."""
MIN_POLLING_RATIO = 0.5
"""Part of the routers that have to poll a controller. One that few poll, as in a partition, sees
few of the answers and the requests of all, and would grant its routers nothing."""
MAX_EVEN_PART_COUNT = 1.0
"""Places of an engine for each router from which on a fixed part of them serves a router well."""
SCARCE_MEMORY_TOKENS = 20_000
"""Memory for each place below which the places say little: a long prompt with its answer takes
more, so that an engine does not take long requests at all of its places."""

_log = structlog.get_logger(__name__)


def needs_loads(engine: Engine | None, routers_count: int) -> bool:
    """
    Decide whether routers share the engines of a pool by their reported load.

    :param engine: capacity of each engine, ``None`` for plain services
    :param routers_count: number of routers that accept callers
    :return: whether an even part is below one place, and places are a bad measure of the engines
    """
    if engine is None or engine.memory_tokens_count is None:
        return False
    is_scarce = engine.memory_tokens_count < SCARCE_MEMORY_TOKENS * engine.slots_count
    return is_scarce and engine.slots_count < MAX_EVEN_PART_COUNT * routers_count


class _Load(NamedTuple):
    load: EngineLoad
    read_s: float
    own_wanted_count: int
    """Requests that this router wanted to send in the interval before."""
    ticket: float


@dataclass(slots=True)
class _Engine:
    """What this router knows of an engine, and counts for the next poll."""

    load: _Load | None = None
    sent_count: int = 0
    """Requests sent since the load was received."""
    is_denied: bool = False
    """Whether there was no room for a request since the load was received."""
    wanted_count: int = 0
    answers_count: int = 0
    objective_s_sum: float = 0.0

    def take_tally(self, position: int) -> EngineTally | None:
        """Return the counts since the last poll, ``None`` if nothing happened."""
        counts = (self.wanted_count, self.answers_count, round(1000 * self.objective_s_sum))
        self.wanted_count = self.answers_count = 0
        self.objective_s_sum = 0.0
        return EngineTally(position, *counts) if any(counts) else None


@dataclass(slots=True)
class _Watch:
    """The engines that one controller watches for this router."""

    engines: tuple[WatchedEngine, ...]
    version: int
    is_known: bool = False
    """Whether the controller knows the engines of this version."""
    engine_ids: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        self.engine_ids = frozenset(engine.upstream_id for engine in self.engines)


class RoomsController:
    """Owns the loads of engines as controllers reported them, and this router's requests since."""

    name = "rooms"
    tick_s = POLL_S
    accepts = (LoadView, LoadRecall)

    def __init__(
        self,
        router_id: str,
        controller_ids: Callable[[], Iterable[str]],
        routers_count: Callable[[], int],
        table: Callable[[], RouteTable | None],
        clock: Callable[[], float],
        on_room: Callable[[], None] = lambda: None,
    ) -> None:
        """
        Start without loads.

        :param router_id: id of this router
        :param controller_ids: returns the controllers that answered recently
        :param routers_count: returns the number of routers that accept callers
        :param table: returns the route table in force
        :param clock: monotonic time
        :param on_room: called when engines have room again
        """
        self._on_room = on_room
        self._router_id = router_id
        self._controller_ids = controller_ids
        self._routers_count = routers_count
        self._table = table
        self._clock = clock
        self._upstreams: tuple[Upstream, ...] = ()
        self._assigned: tuple[tuple[WatchedEngine, ...], tuple[str, ...]] = ((), ())
        """Engines and controllers for which the watches were computed."""
        self._shared_pools: frozenset[str] = frozenset()
        self._watches: dict[str, _Watch] = {}
        self._engines: dict[str, _Engine] = {}

    def apply(self, upstreams: Iterable[Upstream]) -> None:
        """
        Replace the list of upstreams.

        :param upstreams: all upstreams, leaving ones included
        """
        self._upstreams = tuple(upstreams)

    def left_count(self, upstream_id: str, ratio: float) -> int | None:
        """
        Return how many more requests this router may send to an engine now.

        :param upstream_id: the engine
        :param ratio: part of its room that the request may use
        :return: the number, ``None`` without a recent load
        """
        engine = self._engines.get(upstream_id)
        if engine is None or engine.load is None:
            return None
        load, read_s, own_wanted_count, ticket = engine.load
        if self._clock() - read_s > MAX_AGE_S:
            return None
        room_count = load.granted_tenths / 10 - reserved_count(load.limit_tenths / 10, ratio)
        allowed = allowed_count(room_count, load.wanted_count, own_wanted_count, ticket)
        return max(0, allowed - engine.sent_count)

    def shares_loads(self, pool: str) -> bool:
        """
        Tell whether routers share the engines of a pool by their reported load.

        :param pool: the pool
        :return: whether they did at the last poll
        """
        return pool in self._shared_pools

    def loads_count(self) -> int:
        """:return: number of engines whose load is known and recent"""
        oldest_s = self._clock() - MAX_AGE_S
        loads = (engine.load for engine in self._engines.values())
        return sum(load is not None and load.read_s >= oldest_s for load in loads)

    def record_sent(self, upstream_id: str) -> None:
        """
        Count a request that was sent to an engine.

        :param upstream_id: the engine
        """
        if (engine := self._engines.get(upstream_id)) is not None:
            engine.sent_count += 1
            engine.wanted_count += 1

    def record_denied(self, upstream_id: str) -> None:
        """
        Count a request that found no room; repeated tries count once for each load.

        :param upstream_id: the engine
        """
        engine = self._engines.get(upstream_id)
        if engine is not None and not engine.is_denied:
            engine.is_denied = True
            engine.wanted_count += 1

    def record_answer(self, upstream_id: str, objective_s: float) -> None:
        """
        Count an answer that began.

        :param upstream_id: the engine
        :param objective_s: objective for the time to its first event
        """
        if (engine := self._engines.get(upstream_id)) is not None:
            engine.answers_count += 1
            engine.objective_s_sum += objective_s

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Apply the loads that a controller has read.

        :param sender: the controller
        :param message: ``LoadView`` or ``LoadRecall``
        :param now_s: monotonic time
        :return: the engines, if the controller does not know them
        """
        watch = self._watches.get(sender.host_id)
        if watch is None or message.version != watch.version:
            return
        match message:
            case LoadRecall():
                watch.is_known = False
                yield Outgoing(sender.host_id, LoadPoll(watch.version, (), watch.engines))
            case LoadView(engines=loads, routers_count=polling_count):
                watch.is_known = True
                if 0 < polling_count < MIN_POLLING_RATIO * self._routers_count():
                    return
                for load in loads:
                    if 0 <= load.position < len(watch.engines):
                        self._apply_load(watch.engines[load.position], load, now_s)
                if any(load.granted_tenths >= 10 for load in loads):
                    self._on_room()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Poll the controllers that watch engines for this router.

        :param now_s: monotonic time
        :return: the polls
        """
        self._assign()
        for controller_id, watch in self._watches.items():
            tallies = (
                self._engines[engine.upstream_id].take_tally(position)
                for position, engine in enumerate(watch.engines)
            )
            engines = () if watch.is_known else watch.engines
            known_tallies = tuple(tally for tally in tallies if tally is not None)
            yield Outgoing(controller_id, LoadPoll(watch.version, known_tallies, engines))

    def _apply_load(self, watched: WatchedEngine, load: EngineLoad, now_s: float) -> None:
        engine = self._engines[watched.upstream_id]
        ticket = draw_ticket(self._router_id, watched.upstream_id, load.sequence)
        own_wanted_count = 0
        if engine.load is not None and now_s - engine.load.read_s <= MAX_AGE_S:
            # Requests of a longer time say nothing about the time until the next report.
            own_wanted_count = engine.sent_count + engine.is_denied
        engine.load = _Load(load, now_s - load.age_ms / 1000, own_wanted_count, ticket)
        engine.sent_count = 0
        engine.is_denied = False

    def _assign(self) -> None:
        table = self._table()
        routers_count = self._routers_count()
        pools = () if table is None else table.pools.values()
        shared = frozenset(pool.name for pool in pools if needs_loads(pool.engine, routers_count))
        self._shared_pools = shared
        watched = tuple(
            WatchedEngine(upstream.upstream_id, upstream.url, upstream.slots_count)
            for upstream in sorted(self._upstreams)
            if upstream.pool in shared and upstream.state is HostState.LIVE
        )
        assigned = (watched, tuple(sorted(self._controller_ids())))
        if assigned == self._assigned:
            return
        was_shared, self._assigned = bool(self._assigned[0]), assigned
        watcher_ids = ranked(WATCHERS_KEY, assigned[1])[:WATCHERS_COUNT]
        by_controller: dict[str, list[WatchedEngine]] = {}
        for engine in watched:
            for controller_id in ranked(engine.upstream_id, watcher_ids)[:1]:
                by_controller.setdefault(controller_id, []).append(engine)
        previous = self._watches
        self._watches = {}
        for controller_id, engines in by_controller.items():
            watch = _Watch(tuple(engines), _version(engines))
            known = previous.get(controller_id)
            same = known is not None and known.version == watch.version
            self._watches[controller_id] = known if known is not None and same else watch
        self._engines = {
            engine.upstream_id: self._engines.get(engine.upstream_id, _Engine())
            for engine in watched
        }
        if not watched and not was_shared:
            return
        _log.info(
            "engines are shared by their load" if watched else "engines are shared in even parts",
            engines_count=len(watched),
            controllers_count=len(by_controller),
            routers_count=routers_count,
        )


def _version(engines: Iterable[WatchedEngine]) -> int:
    return 1 + xxhash.xxh32_intdigest(msgspec.msgpack.encode(list(engines)))


__all__ = ["MAX_AGE_S", "RoomsController", "needs_loads"]
