"""Where streams began: routers keep it, and tell controllers while a pool has two versions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.requests import UNKNOWN_ORIGIN, StreamOrigin
from camphorvalve.sharing.origins import MAX_KEPT_S, OriginRecord, longest_doubt_s
from camphorvalve.sharing.placement import ranked
from camphorvalve.wire.messages import (
    OriginGroup,
    OriginQuery,
    OriginRecall,
    OriginReply,
    OriginReport,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from camphorvalve.controllers.inforce import ManifestInForce
    from camphorvalve.controllers.router.roster import KnownControllers
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.sharing.origins import KeptOrigin
    from camphorvalve.sharing.versions import VersionHistory

KEEPERS_COUNT = 2
"""Controllers that keep the streams of one router."""
MAX_GROUP_COUNT = 1000
"""Most streams in one report."""

_log = structlog.get_logger(__name__)


class SoleOrigins:
    """Tells where the streams of a pool can only have begun, by the list and the manifests."""

    def __init__(self, manifest: ManifestInForce, versions: VersionHistory) -> None:
        """
        Set what the conclusions are drawn from.

        :param manifest: the routes
        :param versions: the versions that each pool has had, and when routes led to other pools
        """
        self._manifest = manifest
        self._versions = versions

    def find(self, pool: str, now_s: float) -> StreamOrigin | None:
        """
        Find the only origin of the streams of a pool that callers may still resume.

        :param pool: name of the pool
        :param now_s: monotonic time
        :return: the origin, ``None`` if there may be several
        """
        table = self._manifest.table()
        if table is None:
            return None
        doubt_s = longest_doubt_s(table, pool)
        if not self._versions.is_alone(pool, doubt_s, now_s):
            return None
        return StreamOrigin(pool, next(iter(self._versions.listed(pool))))


class OriginQuestion:
    """A question to all controllers where a stream began, until it is closed."""

    def __init__(self, query: OriginQuery, controllers: KnownControllers) -> None:
        """
        Open a question.

        :param query: sent to each controller
        :param controllers: the controllers; all known ones are asked, as those that have not
            answered this router lately may know the stream
        """
        self.query = query
        self.origin: StreamOrigin | None = None
        """Where the stream began, by the first controller that knows it."""
        self.settled = anyio.Event()
        """Set when a controller knows the stream, or none of them does."""
        self._controllers = controllers
        self._unanswered = {*controllers.known_ids, *controllers.live_ids}
        self._has_answer = False

    @property
    def is_denied(self) -> bool:
        """:return: whether a controller that keeps the stream has answered that it isn't known"""
        if self.origin is not None or not self._has_answer:
            return False
        member_ids = self._controllers.member_ids
        missing_count = len(self._unanswered.intersection(member_ids))
        return bool(member_ids) and missing_count < KEEPERS_COUNT

    @property
    def has_live_answers(self) -> bool:
        """:return: whether only controllers have not answered that may have ended"""
        live_ids = self._controllers.live_ids
        return self._has_answer and self._unanswered.isdisjoint(live_ids)

    def queries(self) -> list[Outgoing]:
        """:return: the query for each controller that has not answered"""
        return [Outgoing(controller_id, self.query) for controller_id in self._unanswered]

    def add(self, controller_id: str, origin: StreamOrigin | None) -> None:
        """
        Add an answer.

        :param controller_id: the controller
        :param origin: where the stream began, if the controller knows it
        """
        self._has_answer = True
        self._unanswered.discard(controller_id)
        self.origin = self.origin or origin
        if origin is not None or not self._unanswered:
            self.settled.set()


class OriginsFollower:
    """Owns where the streams of a router began, and asks the controllers about those of others."""

    name = "origins"
    tick_s = 0.5
    accepts = (OriginReply, OriginRecall)

    def __init__(
        self,
        router_id: str,
        controllers: Callable[[], KnownControllers],
        is_in_doubt: Callable[[str, float], bool],
        rng: random.Random,
    ) -> None:
        """
        Start without streams.

        :param router_id: id of this router
        :param controllers: returns the controllers
        :param is_in_doubt: tells whether a pool may have had two versions lately, at a time
        :param rng: source of the first id of the queries
        """
        self._router_id = router_id
        self._controllers = controllers
        self._is_in_doubt = is_in_doubt
        self._record = OriginRecord()
        self._told_pools: dict[str, frozenset[str]] = {}
        """Pools whose streams each controller has been told."""
        # Answers to a former process under this id must not match.
        self._next_query_id = rng.getrandbits(48)
        self._questions: dict[int, OriginQuestion] = {}

    def record(
        self,
        key: int,
        origin: StreamOrigin,
        until_s: float,
        now_s: float,
        *,
        is_split: bool = False,
    ) -> Iterator[Outgoing]:
        """
        Record where a stream began, once the caller gets a part of it.

        :param key: from ``stream_key``
        :param origin: where it began
        :param until_s: monotonic time until which it may be resumed
        :param now_s: monotonic time
        :param is_split: whether streams of its route begin at several pools
        :return: reports, if another router could not tell where it began
        """
        self._record.add(key, None if origin == UNKNOWN_ORIGIN else origin, until_s, now_s)
        kept = self._record.find(key, now_s)
        if kept is not None and (is_split or self._must_tell(kept, now_s)):
            for report in _reports([(key, kept)], now_s):
                for controller_id in self._keeper_ids():
                    yield Outgoing(controller_id, report)

    def find(self, key: int, now_s: float) -> KeptOrigin | None:
        """
        Look a stream up among those that this router knows.

        :param key: from ``stream_key``
        :param now_s: monotonic time
        :return: where it began, ``None`` if this router does not know
        """
        return self._record.find(key, now_s)

    def ask(self, key: int) -> OriginQuestion:
        """
        Open a question about a stream to all controllers.

        :param key: from ``stream_key``
        :return: the question, whose queries have to be sent; passed to ``close`` in the end
        """
        query = OriginQuery(self._next_query_id, key)
        self._next_query_id += 1
        question = OriginQuestion(query, self._controllers())
        self._questions[query.query_id] = question
        return question

    def close(self, question: OriginQuestion) -> None:
        """
        Ignore further answers.

        :param question: from ``ask``
        """
        self._questions.pop(question.query.query_id, None)

    def streams_count(self) -> int:
        """:return: number of streams that this router knows"""
        return len(self._record)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Pass an answer to the question that waits for it, or tell a controller all streams again.

        :param sender: the controller
        :param message: ``OriginReply`` or ``OriginRecall``
        :param now_s: monotonic time
        :return: nothing; reports follow with the next tick
        """
        match message:
            case OriginReply(query_id, is_known, pool, software):
                question = self._questions.get(query_id)
                if question is not None:
                    question.add(sender.host_id, StreamOrigin(pool, software) if is_known else None)
            case OriginRecall():
                self._told_pools.pop(sender.host_id, None)
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget ended streams, and tell those of pools in doubt to controllers that lack them.

        :param now_s: monotonic time
        :return: reports
        """
        self._record.expire(now_s)
        kept = list(self._record.all(now_s))
        pools = {_pool_of(stream): stream for _, stream in kept}
        in_doubt = frozenset(
            pool for pool, stream in pools.items() if self._must_tell(stream, now_s)
        )
        told_pools = self._told_pools
        self._told_pools = dict.fromkeys(self._keeper_ids(), in_doubt)
        for controller_id in list(self._told_pools):
            untold = in_doubt - told_pools.get(controller_id, frozenset())
            streams = [(key, stream) for key, stream in kept if _pool_of(stream) in untold]
            if streams:
                _log.info(
                    "streams told to a controller",
                    controller_id=controller_id,
                    pools=sorted(untold),
                    streams_count=len(streams),
                )
            for report in _reports(streams, now_s, is_whole=True):
                yield Outgoing(controller_id, report)

    def _must_tell(self, stream: KeptOrigin, now_s: float) -> bool:
        """Tell whether other routers could not conclude from their lists where a stream began."""
        return stream.origin is None or self._is_in_doubt(stream.origin.pool, now_s)

    def _keeper_ids(self) -> list[str]:
        # Ranked for each router, so that all controllers bear a part.
        key = f"streams of {self._router_id}"
        return ranked(key, self._controllers().live_ids)[:KEEPERS_COUNT]


class OriginsKeeper:
    """Owns where streams of the routers began, for routers at which callers take them up."""

    name = "origins"
    tick_s = 1.0
    accepts = (OriginReport, OriginQuery)

    def __init__(self) -> None:
        """Start without streams."""
        self._record = OriginRecord()
        self._heard_s: dict[str, float] = {}
        """When each router has reported last."""
        self._unsaved: dict[int, None] = {}
        """Keys of streams that were reported since ``take_unsaved``."""
        self._reported = anyio.Event()

    def streams_count(self) -> int:
        """:return: number of streams that may be resumed"""
        return len(self._record)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Keep the streams of a report, or answer a query.

        :param sender: the router
        :param message: ``OriginReport`` or ``OriginQuery``
        :param now_s: monotonic time
        :return: the answer to a query; a recall to a router whose earlier streams may be missing
        """
        match message:
            case OriginReport(groups):
                if sender.host_id not in self._heard_s and not message.is_whole:
                    yield Outgoing(sender.host_id, OriginRecall())
                self._heard_s[sender.host_id] = now_s
                for pool, software, streams in groups:
                    origin = StreamOrigin(pool, software) if pool else None
                    for key, left_ms in streams:
                        self._record.add(key, origin, now_s + left_ms / 1000, now_s)
                        self._unsaved[key] = None
                self._reported.set()
            case OriginQuery(query_id, key):
                kept = self._record.find(key, now_s)
                if kept is None:
                    yield Outgoing(sender.host_id, OriginReply(query_id, is_known=False))
                else:
                    pool, software = kept.origin or UNKNOWN_ORIGIN
                    reply = OriginReply(query_id, is_known=True, pool=pool, software=software)
                    yield Outgoing(sender.host_id, reply)

    async def wait_for_report(self) -> None:
        """Wait until a router has reported streams since the last call."""
        await self._reported.wait()
        self._reported = anyio.Event()

    @property
    def unsaved_count(self) -> int:
        """:return: number of streams that were reported since they were saved last"""
        return len(self._unsaved)

    def take_unsaved(self, now_s: float) -> list[OriginGroup]:
        """
        Return the streams that were reported since the last call.

        :param now_s: monotonic time
        :return: the streams, for ``restore``
        """
        found = ((key, self._record.find(key, now_s)) for key in self._unsaved)
        groups = _groups(((key, kept) for key, kept in found if kept is not None), now_s)
        self._unsaved = {}
        return groups

    def save(self, now_s: float) -> list[OriginGroup]:
        """
        Return all streams that may be resumed.

        :param now_s: monotonic time
        :return: the streams, for ``restore``
        """
        self._unsaved = {}
        return _groups(self._record.all(now_s), now_s)

    def restore(self, groups: Iterable[OriginGroup], saved_s: float, now_s: float) -> None:
        """
        Add the streams that a former process has saved, in the order in which it did.

        :param groups: from ``take_unsaved`` or ``save``
        :param saved_s: when they were saved, in monotonic time
        :param now_s: monotonic time
        """
        for pool, software, streams in groups:
            origin = StreamOrigin(pool, software) if pool else None
            for key, left_ms in streams:
                until_s = saved_s + left_ms / 1000
                if until_s > now_s:
                    self._record.add(key, origin, until_s, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget streams that can't be resumed any more.

        :param now_s: monotonic time
        :return: nothing
        """
        self._record.expire(now_s)
        self._heard_s = {
            router_id: heard_s
            for router_id, heard_s in self._heard_s.items()
            if now_s - heard_s <= MAX_KEPT_S
        }
        yield from ()


def _reports(
    streams: Iterable[tuple[int, KeptOrigin]], now_s: float, *, is_whole: bool = False
) -> Iterator[OriginReport]:
    """Encode streams as reports of bounded size."""
    for pool, software, entries in _groups(streams, now_s):
        for start in range(0, len(entries), MAX_GROUP_COUNT):
            part = tuple(entries[start : start + MAX_GROUP_COUNT])
            yield OriginReport((OriginGroup(pool, software, part),), is_whole)


def _pool_of(stream: KeptOrigin) -> str:
    return (stream.origin or UNKNOWN_ORIGIN).pool


def _groups(streams: Iterable[tuple[int, KeptOrigin]], now_s: float) -> list[OriginGroup]:
    """Group streams by origin; those without a known one have no pool."""
    by_origin: dict[StreamOrigin, list[tuple[int, int]]] = {}
    for key, (origin, until_s) in streams:
        left_ms = int(1000 * (until_s - now_s))
        by_origin.setdefault(origin or UNKNOWN_ORIGIN, []).append((key, left_ms))
    return [
        OriginGroup(pool, software, tuple(entries))
        for (pool, software), entries in by_origin.items()
    ]


__all__ = ["OriginQuestion", "OriginsFollower", "OriginsKeeper", "SoleOrigins"]
