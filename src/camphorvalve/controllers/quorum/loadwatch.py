"""Watches the loads of engines for the routers that poll, and finds how many requests they take."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.sharing.engineroom import EngineRoom, RoomChange
from camphorvalve.wire.messages import EngineLoad, LoadPoll, LoadRecall, LoadView

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.wire.messages import EngineTally, WatchedEngine

VIEW_S = 0.4
"""Interval of the reads and of the views that are sent to routers."""
POLL_LIFETIME_S = 3.0
"""How long a router gets views after its last poll: three poll intervals."""
MIN_POLL_PAUSE_S = 0.4
"""Pause before a poll below which its tallies are not counted: the polls that waited while this
process was frozen come at once, and would be taken for those of one interval."""
MAX_ENGINES_COUNT = 512
"""Most engines that one router may name."""
MAX_LISTS_COUNT = 16
"""Most lists of engines that are kept; routers that know the same upstreams name the same one."""
WANTS_WINDOW_S = 1.0
"""Time over which wants are summed: the poll interval, so that each router is counted once."""
LOGGED_CHANGE_RATIO = 0.15
"""Change of a limit since its last log line that is logged."""

_log = structlog.get_logger(__name__)


class LoadReport(NamedTuple):
    """What an engine says of its load, some 100 ms late."""

    running_count: int
    queued_count: int


class RoomStatus(TypedDict):
    """What operators see of a watched engine."""

    upstream_id: str
    nominal_count: int
    """Places that the engine is said to have."""
    found_count: float
    """Requests that it may run and queue at once."""
    bound_count: int | None
    """Most of them that an operator allows."""
    taken_count: int
    """Those that it had at its last report."""
    answers_per_s: float
    read_s: float | None
    """Age of its last report, ``None`` if it has not been read."""
    before_count: float | None
    """Requests that it might have before the last change."""
    changed_s: float | None
    """Time since the last change, ``None`` if there was none."""
    reason: str | None
    """Why it was changed."""


class _RoomChanged(NamedTuple):
    at_s: float
    before_count: float
    change: RoomChange


class _Wants(NamedTuple):
    at_s: float
    wanted_count: int


class _Watched:
    """State of one engine."""

    def __init__(self, engine: WatchedEngine) -> None:
        self.nominal_count = engine.slots_count
        self.room = EngineRoom(engine.slots_count)
        self.changed: _RoomChanged | None = None
        self.sequence = 0
        self.read_s = float("-inf")
        self.sent_sequence = 0
        self.wants: deque[_Wants] = deque()
        self.logged_count = self.room.limit_count

    def wanted_count(self, now_s: float) -> float:
        while self.wants and self.wants[0].at_s < now_s - WANTS_WINDOW_S:
            self.wants.popleft()
        return VIEW_S / WANTS_WINDOW_S * sum(wants.wanted_count for wants in self.wants)


class LoadWatcher:
    """Owns the found room of each engine that routers name; soft state, found again in seconds."""

    name = "loadwatch"
    tick_s = VIEW_S
    accepts = (LoadPoll,)

    def __init__(self, bounds: Callable[[], Mapping[str, int]] = dict) -> None:
        """
        Start without engines.

        :param bounds: returns the most requests of an engine that operators allow, by its id
        """
        self._bounds = bounds
        self._lists: dict[int, tuple[WatchedEngine, ...]] = {}
        self._polls: dict[str, tuple[int, float]] = {}
        """Version and time of each router's last poll."""
        self._watched: dict[str, _Watched] = {}

    def engines(self) -> list[WatchedEngine]:
        """:return: engines to read, each once"""
        by_id = {
            engine.upstream_id: engine for engines in self._lists.values() for engine in engines
        }
        return list(by_id.values())

    def engines_count(self) -> int:
        """:return: number of watched engines"""
        return len(self._watched)

    def found_count(self) -> float:
        """:return: requests that the watched engines take well, all together"""
        return sum(watched.room.limit_count for watched in self._watched.values())

    def rooms(self, now_s: float) -> list[RoomStatus]:
        """
        Describe the watched engines for operators.

        :param now_s: monotonic time
        :return: a row for each engine, by id
        """
        bounds = self._bounds()
        return [
            {
                "upstream_id": upstream_id,
                "nominal_count": watched.nominal_count,
                "found_count": round(watched.room.limit_count, 1),
                "bound_count": bounds.get(upstream_id),
                "taken_count": watched.room.taken_count,
                "answers_per_s": round(watched.room.answers_per_s(), 1),
                "read_s": round(now_s - watched.read_s, 1) if watched.sequence else None,
                "before_count": round(changed.before_count, 1) if changed else None,
                "changed_s": round(now_s - changed.at_s, 1) if changed else None,
                "reason": changed.change.value if changed else None,
            }
            for upstream_id, watched in sorted(self._watched.items())
            for changed in (watched.changed,)
        ]

    def accept_report(self, engine: WatchedEngine, report: LoadReport, now_s: float) -> None:
        """
        Apply the report of an engine.

        :param engine: the engine
        :param report: its load
        :param now_s: when it was read, in monotonic time
        """
        watched = self._watched.get(engine.upstream_id)
        if watched is None:
            return
        watched.sequence += 1
        watched.read_s = now_s
        before_count = watched.room.limit_count
        change = watched.room.record_report(report.running_count, report.queued_count, now_s)
        if change is None:
            return
        watched.changed = _RoomChanged(now_s, before_count, change)
        limit_count = watched.room.limit_count
        if abs(limit_count - watched.logged_count) < LOGGED_CHANGE_RATIO * watched.logged_count:
            return
        _log.info(
            "room of an engine found",
            upstream_id=engine.upstream_id,
            reason=change.value,
            limit_count=round(limit_count, 1),
            before_count=round(watched.logged_count, 1),
            slots_count=engine.slots_count,
            running_count=report.running_count,
            queued_count=report.queued_count,
            target_queue_count=round(watched.room.target_queue_count(), 1),
            answers_per_s=round(watched.room.answers_per_s(), 1),
        )
        watched.logged_count = limit_count

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Record a router's poll and what it saw of the engines.

        :param sender: the router
        :param message: ``LoadPoll``
        :param now_s: monotonic time
        :return: a question for the engines if they are not known
        """
        version = message.version
        if message.engines and version not in self._lists:
            self._add_list(version, message.engines[:MAX_ENGINES_COUNT])
        engines = self._lists.get(version)
        if engines is None:
            yield Outgoing(sender.host_id, LoadRecall(version))
            return
        _, polled_s = self._polls.get(sender.host_id, (version, float("-inf")))
        self._polls[sender.host_id] = (version, now_s)
        if now_s - polled_s < MIN_POLL_PAUSE_S:
            return
        for tally in message.tallies:
            if 0 <= tally.position < len(engines):
                self._apply(engines[tally.position], tally, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Send what was read since the last time, and forget what no router names any more.

        :param now_s: monotonic time
        :return: the views
        """
        self._forget(now_s)
        bounds = self._bounds()
        for upstream_id, watched in self._watched.items():
            watched.room.bound_count = bounds.get(upstream_id)
        views = {version: self._view(version, now_s) for version in self._lists}
        for watched in self._watched.values():
            watched.sent_sequence = watched.sequence
        for router_id, (version, _) in self._polls.items():
            if views[version].engines:
                yield Outgoing(router_id, views[version])

    def _add_list(self, version: int, engines: tuple[WatchedEngine, ...]) -> None:
        if len(self._lists) >= MAX_LISTS_COUNT:
            oldest = next(iter(self._lists))
            del self._lists[oldest]
            self._polls = {key: poll for key, poll in self._polls.items() if poll[0] != oldest}
        self._lists[version] = engines
        for engine in engines:
            if engine.upstream_id not in self._watched:
                self._watched[engine.upstream_id] = _Watched(engine)

    def _apply(self, engine: WatchedEngine, tally: EngineTally, now_s: float) -> None:
        watched = self._watched[engine.upstream_id]
        watched.wants.append(_Wants(now_s, max(0, tally.wanted_count)))
        watched.wanted_count(now_s)  # An engine that can't be read is in no view.
        if tally.answers_count > 0:
            objective_s_sum = max(0, tally.objective_ms) / 1000
            watched.room.record_answers(tally.answers_count, objective_s_sum, now_s)

    def _view(self, version: int, now_s: float) -> LoadView:
        engines = enumerate(self._lists[version])
        return LoadView(
            version,
            tuple(
                EngineLoad(
                    position,
                    watched.sequence,
                    int(1000 * (now_s - watched.read_s)),
                    int(10 * watched.room.granted_count(VIEW_S)),
                    int(10 * watched.room.used_limit_count()),
                    round(watched.wanted_count(now_s)),
                )
                for position, engine in engines
                if (watched := self._watched[engine.upstream_id]).sequence != watched.sent_sequence
            ),
            len(self._polls),
        )

    def _forget(self, now_s: float) -> None:
        self._polls = {
            router_id: poll
            for router_id, poll in self._polls.items()
            if now_s - poll[1] <= POLL_LIFETIME_S
        }
        versions = {version for version, _ in self._polls.values()}
        self._lists = {key: engines for key, engines in self._lists.items() if key in versions}
        named_ids = {engine.upstream_id for engine in self.engines()}
        self._watched = {key: item for key, item in self._watched.items() if key in named_ids}


__all__ = ["VIEW_S", "LoadReport", "LoadWatcher", "RoomStatus"]
