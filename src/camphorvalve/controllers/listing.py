"""The list of upstreams: read by one controller, which tells the routers that ask it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import structlog
import xxhash

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.hosts import HostState
from camphorvalve.model.upstreams import IgnoresFencing, ModelEngine, PlainService, Upstream
from camphorvalve.sharing.placement import ranked
from camphorvalve.wire.messages import ListedUpstream, ListPoll, ListUnchanged, ListUpdate

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from camphorvalve.controllers.runtime import Sender

LIST_KEY = "list of upstreams"
POLL_S = 0.5
FIRST_POLL_S = 0.2
"""Until a list has come: answers are dropped until a connection back stands."""
SECOND_AGE_S = 1.3
"""Age from which a second controller is asked; the first one tells the age once a second."""
OWN_AGE_S = 2.0
"""Age from which a router reads the list itself: an upstream that leaves has to get nothing 3 s
after it is listed so. Sooner would cost calls whenever a message is late."""
OWN_JITTER_S = 0.4
"""Spread of that age, so that the routers do not all read at once."""
WANTED_S = 3.0
"""How long a controller goes on reading for a router that asked; six of its polls."""

_log = structlog.get_logger(__name__)


class ListFollower:
    """Owns the age of the list that a router uses, and asks controllers for newer ones."""

    name = "listing"
    accepts = (ListUpdate, ListUnchanged)

    def __init__(
        self,
        controller_ids: Callable[[], Iterable[str]],
        apply: Callable[[Iterable[Upstream], float], None],
        confirm: Callable[[float], None],
        rng: random.Random,
        now_s: float,
    ) -> None:
        """
        Start without a list.

        :param controller_ids: controllers that answered lately
        :param apply: takes each new list and when it was read
        :param confirm: takes when the held list was read again
        :param rng: source of the spread of own reads
        :param now_s: monotonic time
        """
        self._controller_ids = controller_ids
        self._apply = apply
        self._confirm = confirm
        self._rng = rng
        self._version = 0
        self._read_s = now_s
        self._own_age_s = OWN_AGE_S + OWN_JITTER_S * rng.random()

    @property
    def tick_s(self) -> float:
        """:return: time until the next poll"""
        return POLL_S if self._version else FIRST_POLL_S

    @property
    def known(self) -> bool:
        """:return: whether a list has come"""
        return self._version != 0

    def reads_itself(self, now_s: float) -> bool:
        """
        Tell whether no controller has told of a list for too long.

        :param now_s: monotonic time
        :return: whether this router has to read the list
        """
        return now_s - self._read_s > self._own_age_s

    def read(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """
        Take a list that this router has read.

        :param upstreams: all upstreams
        :param now_s: monotonic time
        """
        listed = tuple(map(_encode, upstreams))
        _log.info("list of upstreams read here", age_s=round(now_s - self._read_s, 3))
        self._own_age_s = OWN_AGE_S + OWN_JITTER_S * self._rng.random()
        self._take(_version(listed), listed, now_s)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Take a list, or note that the held one is still valid.

        :param sender: the controller
        :param message: ``ListUpdate`` or ``ListUnchanged``
        :param now_s: monotonic time
        :return: nothing
        """
        match message:
            case ListUpdate(version, age_s, upstreams) if now_s - age_s >= self._read_s:
                self._take(version, upstreams, now_s - age_s)
            case ListUnchanged(version, age_s) if version == self._version:
                self._read_s = max(self._read_s, now_s - age_s)
                self._confirm(self._read_s)
        yield from ()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Ask the controller that all routers choose, and another one when it falls silent.

        :param now_s: monotonic time
        :return: polls
        """
        count = 2 if now_s - self._read_s > SECOND_AGE_S else 1
        for controller_id in ranked(LIST_KEY, self._controller_ids())[:count]:
            yield Outgoing(controller_id, ListPoll(self._version))

    def _take(self, version: int, listed: tuple[ListedUpstream, ...], read_s: float) -> None:
        self._version = version
        self._read_s = read_s
        self._apply(map(_decode, listed), read_s)


class ListKeeper:
    """Owns the list that a controller has read, and knows which routers want it."""

    name = "listing"
    tick_s = 1.0
    accepts = (ListPoll,)

    def __init__(self) -> None:
        """Start without a list."""
        self._asked_s: dict[str, float] = {}
        self._held: dict[str, int] = {}
        """Version that each router has, as far as it told."""
        self._listed: tuple[ListedUpstream, ...] = ()
        self._version = 0
        self._read_s = 0.0

    def wanted(self, now_s: float) -> bool:
        """
        Tell whether a router asked lately.

        :param now_s: monotonic time
        :return: whether the list has to be read
        """
        return any(now_s - asked_s <= WANTED_S for asked_s in self._asked_s.values())

    def read(self, upstreams: Iterable[Upstream], now_s: float) -> Iterator[Outgoing]:
        """
        Take a list that was read, and tell the routers.

        :param upstreams: all upstreams
        :param now_s: monotonic time
        :return: the list to routers that have another one, its age to the others
        """
        self._listed = tuple(map(_encode, upstreams))
        self._version = _version(self._listed)
        self._read_s = now_s
        for router_id in self._asked_s:
            yield self._answer(router_id, now_s)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Note a router that wants the list, and answer it.

        :param sender: the router
        :param message: ``ListPoll``
        :param now_s: monotonic time
        :return: the list if there is a fresh one
        """
        first = sender.host_id not in self._asked_s
        self._asked_s[sender.host_id] = now_s
        self._held[sender.host_id] = message.version
        behind = message.version != self._version
        if self._version and now_s - self._read_s <= OWN_AGE_S and (first or behind):
            yield self._answer(sender.host_id, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Forget routers that no longer ask.

        :param now_s: monotonic time
        :return: nothing
        """
        self._asked_s = {one: at for one, at in self._asked_s.items() if now_s - at <= WANTED_S}
        self._held = {one: version for one, version in self._held.items() if one in self._asked_s}
        yield from ()

    def _answer(self, router_id: str, now_s: float) -> Outgoing:
        age_s = now_s - self._read_s
        if self._held.get(router_id) == self._version:
            return Outgoing(router_id, ListUnchanged(self._version, age_s))
        return Outgoing(router_id, ListUpdate(self._version, age_s, self._listed))


def _version(listed: tuple[ListedUpstream, ...]) -> int:
    """Number a list by its content, so that all controllers give it the same number."""
    return 1 + xxhash.xxh32_intdigest(msgspec.msgpack.encode(sorted(listed)))


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
    )


__all__ = ["ListFollower", "ListKeeper"]
