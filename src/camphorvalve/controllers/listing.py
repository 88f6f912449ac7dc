"""Distribution of the list of upstreams: one controller reads it for all routers that poll it."""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING, Any

import anyio
import msgspec
import structlog
import xxhash

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.hosts import HostState
from camphorvalve.model.upstreams import IgnoresFencing, ModelEngine, PlainService, Upstream
from camphorvalve.sharing.coldends import ColdEnds
from camphorvalve.sharing.notices import LeavingMarks
from camphorvalve.sharing.placement import ranked
from camphorvalve.sharing.versions import VersionHistory
from camphorvalve.wire.messages import ListedUpstream, ListPoll, ListUnchanged, ListUpdate

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Mapping

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.model.upstreams import UpstreamList
    from camphorvalve.wire.messages import VersionReport

LIST_KEY = "list of upstreams"
"""Key by which rendezvous hashing selects the controllers that read the list."""
POLL_S = 0.5
INITIAL_POLL_S = 0.2
"""Poll interval until the first list is received: answers are dropped until the controller has
connected back."""
SECOND_CONTROLLER_AGE_S = 1.3
"""Age of the list above which a second controller is polled as well; the first one reports the age
once a second."""
SELF_READ_AGE_S = 2.0
"""Age of the list above which a router reads it itself: an upstream must get no new requests later
than 3 s after it is listed as leaving. A lower value would cost extra calls whenever a message is
late."""
SELF_READ_JITTER_S = 0.4
"""Random addition to that age, so that the routers do not all read at once."""
POLL_LIFETIME_S = 3.0
"""How long a controller keeps reading the list after a router's last poll: six poll intervals."""

TRANSIT_DIFFERENCE_S = 0.25
"""Longest difference between the times that two messages with the same list are under way."""
MAX_LEAVING_COUNT = 16
"""Most leaving upstreams that one poll reports; the others follow with the next polls."""

_log = structlog.get_logger(__name__)


class ListFollower:
    """Owns the version and age of a router's list of upstreams, and polls for newer lists."""

    name = "listing"
    accepts = (ListUpdate, ListUnchanged)

    def __init__(
        self,
        controller_ids: Callable[[], Iterable[str]],
        apply: Callable[[Iterable[Upstream], float], None],
        confirm: Callable[[float], None],
        rng: random.Random,
        now_s: float,
        leaving_ids: Callable[[], Iterable[str]] = tuple,
        versions: VersionHistory | None = None,
    ) -> None:
        """
        Start without a list.

        :param controller_ids: returns the controllers that answered recently
        :param apply: called with each new list and the time at which it was read
        :param confirm: called with the time of a newer read if the list has not changed
        :param rng: source of the jitter of this router's own reads
        :param now_s: monotonic time
        :param leaving_ids: returns upstreams that told this router that they are leaving, and that
            its list has as live
        :param versions: the versions that each pool has had, by default a new history
        """
        self._controller_ids = controller_ids
        self._leaving_ids = leaving_ids
        self._on_list = apply
        self._on_confirmation = confirm
        self._rng = rng
        self._version = 0
        self._read_s = now_s
        self._read_again = anyio.Event()
        """Replaced by a new one each time it is set."""
        self.versions = VersionHistory() if versions is None else versions
        self._self_read_age_s = SELF_READ_AGE_S + SELF_READ_JITTER_S * rng.random()

    @property
    def tick_s(self) -> float:
        """:return: time until the next poll"""
        return POLL_S if self._version else INITIAL_POLL_S

    @property
    def has_list(self) -> bool:
        """:return: whether a list has been received"""
        return self._version != 0

    async def wait_for_read(self, since_s: float) -> None:
        """
        Wait for a list that was read at some time or later.

        :param since_s: monotonic time
        """
        while self._read_s < since_s:
            await self._read_again.wait()

    def must_read(self, now_s: float) -> bool:
        """
        Decide whether this router has to read the list itself.

        :param now_s: monotonic time
        :return: whether no controller has provided a recent list for too long
        """
        return now_s - self._read_s > self._self_read_age_s

    def accept_list(self, upstream_list: UpstreamList, now_s: float) -> None:
        """
        Apply a list that this router has read itself.

        :param upstream_list: the list
        :param now_s: monotonic time
        """
        listed = tuple(map(_encode, upstream_list.upstreams))
        _log.info("list of upstreams read here", age_s=round(now_s - self._read_s, 3))
        self._self_read_age_s = SELF_READ_AGE_S + SELF_READ_JITTER_S * self._rng.random()
        self._use_list(_content_version(listed), listed, now_s)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Apply a new list, or record that the current one is still valid.

        :param sender: the controller
        :param message: ``ListUpdate`` or ``ListUnchanged``
        :param now_s: monotonic time
        :return: nothing
        """
        match message:
            case ListUpdate(version, age_s, upstreams, history) if self._is_current(now_s - age_s):
                self._use_list(version, upstreams, max(self._read_s, now_s - age_s))
                self._merge_history(history, now_s)
            case ListUnchanged(version, age_s, history) if version == self._version:
                self._set_read(max(self._read_s, now_s - age_s))
                self.versions.confirm(self._read_s)
                self._merge_history(history, now_s)
                self._on_confirmation(self._read_s)
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Poll the controller that all routers select, and a second one if the list becomes too old.

        :param now_s: monotonic time
        :return: polls
        """
        count = 2 if now_s - self._read_s > SECOND_CONTROLLER_AGE_S else 1
        leaving = tuple(islice(self._leaving_ids(), MAX_LEAVING_COUNT))
        for controller_id in ranked(LIST_KEY, self._controller_ids())[:count]:
            history = self.versions.report(now_s) if self._version else None
            yield Outgoing(controller_id, ListPoll(self._version, leaving, history))

    def _is_current(self, read_s: float) -> bool:
        # The same list is sent again when an upstream is found to be leaving.
        return read_s >= self._read_s - TRANSIT_DIFFERENCE_S

    def _use_list(self, version: int, listed: tuple[ListedUpstream, ...], read_s: float) -> None:
        self._version = version
        self.versions.apply(listed, read_s)
        self._on_list(map(_decode, listed), read_s)
        self._set_read(read_s)

    def _set_read(self, read_s: float) -> None:
        self._read_s = read_s
        self._read_again.set()
        self._read_again = anyio.Event()

    def _merge_history(self, history: VersionReport | None, now_s: float) -> None:
        if history is not None:
            self.versions.merge(history, now_s)


class ListPublisher:
    """Owns the list that a controller has read, and tracks the routers that poll for it."""

    name = "listing"
    tick_s = 1.0
    accepts = (ListPoll,)

    def __init__(self) -> None:
        """Start without a list."""
        self._polled_s: dict[str, float] = {}
        self._router_versions: dict[str, int] = {}
        """Version of the list that each router reported in its last poll."""
        self._read: tuple[ListedUpstream, ...] = ()
        """The list as it was read."""
        self._leaving = LeavingMarks()
        """Upstreams that told a router that they are leaving."""
        self._listed: tuple[ListedUpstream, ...] = ()
        """The list as it is sent, with these upstreams as leaving."""
        self._version = 0
        self._read_s = 0.0
        self._continued_until_s = float("-inf")
        self.versions = VersionHistory()
        self._cold_ends = ColdEnds()
        self.skipped_count = 0
        """Entries of the list read last that could not be used."""

    def is_needed(self, now_s: float) -> bool:
        """
        Decide whether the list has to be read.

        :param now_s: monotonic time
        :return: whether any router has polled recently, or a former process was reading it
        """
        return now_s < self._continued_until_s or any(
            now_s - polled_s <= POLL_LIFETIME_S for polled_s in self._polled_s.values()
        )

    def continue_reading(self, now_s: float) -> None:
        """
        Read the list although no router has polled yet, so that its history has no gap.

        :param now_s: monotonic time
        """
        self._continued_until_s = now_s + POLL_LIFETIME_S

    def accept_list(self, upstream_list: UpstreamList, now_s: float) -> Iterator[Outgoing]:
        """
        Store a list that was read, and send it to the routers that poll.

        :param upstream_list: the list
        :param now_s: monotonic time
        :return: the list for routers that have another version, only its age for the others
        """
        self.skipped_count = upstream_list.skipped_count
        self._read = tuple(map(_encode, upstream_list.upstreams))
        self._read_s = now_s
        self.versions.apply(self._read, now_s)
        self._leaving.apply_list(self._read, now_s)
        self._cold_ends.apply_list(self._read, now_s)
        self._mark_leaving()
        history = self.versions.report(now_s)
        for router_id in self._polled_s:
            yield self._answer(router_id, now_s, history)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Record a router's poll and answer it.

        :param sender: the router
        :param message: ``ListPoll``
        :param now_s: monotonic time
        :return: an answer if the list is recent and the router is new or has another version
        """
        is_new = sender.host_id not in self._polled_s
        self._polled_s[sender.host_id] = now_s
        self._router_versions[sender.host_id] = message.version
        if message.history is not None and message.version == self._version:
            self.versions.merge(message.history, now_s)
        if message.leaving:
            self._record_leaving(sender.host_id, message.leaving, now_s)
        is_outdated = message.version != self._version
        if self._version and now_s - self._read_s <= SELF_READ_AGE_S and (is_new or is_outdated):
            yield self._answer(sender.host_id, now_s, self.versions.report(now_s))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget routers that no longer poll.

        :param now_s: monotonic time
        :return: nothing
        """
        self._polled_s = {
            router_id: polled_s
            for router_id, polled_s in self._polled_s.items()
            if now_s - polled_s <= POLL_LIFETIME_S
        }
        self._router_versions = {
            router_id: version
            for router_id, version in self._router_versions.items()
            if router_id in self._polled_s
        }
        yield from ()

    def _record_leaving(self, router_id: str, leaving: tuple[str, ...], now_s: float) -> None:
        started_ms = {listed.upstream_id: listed.started_ms for listed in self._read}
        new_ids = [
            upstream_id
            for upstream_id in leaving
            if upstream_id in started_ms
            and self._leaving.add(upstream_id, started_ms[upstream_id], now_s)
        ]
        if new_ids:
            _log.info("upstreams told a router that they leave", router_id=router_id, ids=new_ids)
            self._mark_leaving()

    def _mark_leaving(self) -> None:
        self._listed = tuple(
            listed._replace(leaving=listed.leaving or listed.upstream_id in self._leaving)
            for listed in self._read
        )
        self._version = _content_version(self._listed, self._cold_ends.stamps())

    def _answer(self, router_id: str, now_s: float, history: VersionReport) -> Outgoing:
        age_s = now_s - self._read_s
        if self._router_versions.get(router_id) == self._version:
            return Outgoing(router_id, ListUnchanged(self._version, age_s, history))
        return Outgoing(router_id, ListUpdate(self._version, age_s, self._listed, history))


def _content_version(
    listed: tuple[ListedUpstream, ...], cold_ends_s: Mapping[str, int] | None = None
) -> int:
    """Compute a version from the content, so that all controllers assign the same version."""
    in_order = sorted(listed, key=lambda upstream: upstream.upstream_id)
    # Decreases with each read; an end that is later than known counts in its place.
    in_order = [
        upstream._replace(cold_ms=(cold_ends_s or {}).get(upstream.upstream_id, 0))
        for upstream in in_order
    ]
    return 1 + xxhash.xxh32_intdigest(msgspec.msgpack.encode(in_order))


def _encode(upstream: Upstream) -> ListedUpstream:
    match upstream.interface:
        case ModelEngine():
            is_engine = True
        case PlainService():
            is_engine = False
    return ListedUpstream(
        upstream.upstream_id,
        upstream.pool,
        upstream.data_centre,
        upstream.url,
        upstream.slots_count,
        is_engine,
        upstream.state is HostState.LEAVING,
        upstream.started_ms,
        upstream.software,
        math.ceil(1000 * upstream.cold_left_s),
    )


def _decode(listed: ListedUpstream) -> Upstream:
    return Upstream(
        listed.upstream_id,
        listed.pool,
        listed.data_centre,
        listed.url,
        listed.slots_count,
        ModelEngine(IgnoresFencing()) if listed.is_engine else PlainService(),
        HostState.LEAVING if listed.leaving else HostState.LIVE,
        listed.started_ms,
        listed.software,
        listed.cold_ms / 1000,
    )


__all__ = ["ListFollower", "ListPublisher"]
