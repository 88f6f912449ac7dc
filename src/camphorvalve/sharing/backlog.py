"""Requests that wait at an entry router, until a grant picks one."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from camphorvalve.model.errors import RequestError
    from camphorvalve.model.teams import Urgency
    from camphorvalve.sharing.ledger import TeamKey
    from camphorvalve.wire.messages import Grant

AFFINITY_COUNT = 8
"""Requests among which a cached prefix decides; more would let old ones wait too long."""
FLOOR_EVERY_COUNT = 10
"""One grant in this many goes to the request that has waited longest, whatever its urgency."""


@dataclass(slots=True)
class Waiter:
    """One waiting request; either a grant or an error ends the wait."""

    key: TeamKey
    kind: str
    urgency: Urgency
    size_bytes: int
    estimate_units: float
    arrived_s: float
    deadline_s: float
    """When the wait ends without a grant."""
    wake: Callable[[], None]
    accepted: bool = False
    """Accepted work is never shed."""
    affine_upstream: str | None = None
    """Upstream that may have the prompt's prefix in its cache."""
    excluded_upstreams: frozenset[str] = frozenset()
    grant: Grant | None = None
    scheduler_id: str = ""
    error: RequestError | None = None


@dataclass(slots=True)
class _Queue:
    waiters: list[Waiter] = field(default_factory=list)
    granted_count: int = 0


class Size(NamedTuple):
    """How much waits."""

    count: int = 0
    size_bytes: int = 0

    def plus(self, waiter: Waiter, sign: int) -> Size:
        """
        Add or remove one request.

        :param waiter: the request
        :param sign: 1 or -1
        :return: the new size
        """
        return Size(self.count + sign, self.size_bytes + sign * waiter.size_bytes)


class Backlog:
    """Waiting requests by pool and team, in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self._queues: dict[TeamKey, _Queue] = {}
        self._team_sizes: dict[str, Size] = {}
        self.total = Size()

    def team_size(self, team: str) -> Size:
        """
        Tell how much waits for a team in all pools.

        :param team: name of the team
        :return: count and bytes
        """
        return self._team_sizes.get(team, Size())

    def add(self, waiter: Waiter) -> None:
        """
        Append a request.

        :param waiter: the request
        """
        self._queues.setdefault(waiter.key, _Queue()).waiters.append(waiter)
        self._count(waiter, 1)

    def remove(self, waiter: Waiter) -> None:
        """
        Remove a request whose caller has left; harmless when it was picked.

        :param waiter: the request
        """
        queue = self._queues.get(waiter.key)
        if queue is not None and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            self._count(waiter, -1)
            self._drop_if_empty(waiter.key)

    def pick(self, key: TeamKey, upstream_id: str, live: frozenset[str]) -> Waiter | None:
        """
        Take the request that a grant is used for.

        :param key: pool and team of the grant
        :param upstream_id: upstream of the grant
        :param live: all upstreams of the pool; a request that failed at each may try any again
        :return: the most urgent and then oldest request; at times the oldest of all
        """
        queue = self._queues.get(key)
        if queue is None:
            return None
        fitting = [
            one
            for one in queue.waiters
            if upstream_id not in one.excluded_upstreams or live <= one.excluded_upstreams
        ]
        if not fitting:
            return None
        queue.granted_count += 1
        if queue.granted_count % FLOOR_EVERY_COUNT == 0:
            chosen = fitting[0]
        else:
            chosen = _most_urgent(fitting, upstream_id)
        queue.waiters.remove(chosen)
        self._count(chosen, -1)
        self._drop_if_empty(key)
        return chosen

    def newest(self, team: str, kind: str) -> Waiter | None:
        """
        Find the request that is shed first.

        :param team: name of the team
        :param kind: kind of work
        :return: its newest request of that kind
        """
        waiters = [
            one
            for key, queue in self._queues.items()
            if key.team == team
            for one in queue.waiters
            if one.kind == kind and not one.accepted
        ]
        return max(waiters, key=lambda one: one.arrived_s, default=None)

    def waiting(self, key: TeamKey) -> list[Waiter]:
        """
        List what waits for a team in a pool.

        :param key: pool and team
        :return: requests in order of arrival
        """
        queue = self._queues.get(key)
        return queue.waiters if queue is not None else []

    def keys_waiting(self) -> Iterator[TeamKey]:
        """:return: pools and teams for which something waits"""
        yield from self._queues

    def all(self) -> Iterator[Waiter]:
        """:return: every waiting request"""
        for queue in self._queues.values():
            yield from queue.waiters

    def _count(self, waiter: Waiter, sign: int) -> None:
        team = waiter.key.team
        self.total = self.total.plus(waiter, sign)
        size = self.team_size(team).plus(waiter, sign)
        if size.count > 0:
            self._team_sizes[team] = size
        else:
            self._team_sizes.pop(team, None)

    def _drop_if_empty(self, key: TeamKey) -> None:
        if not self._queues[key].waiters:
            del self._queues[key]


def _most_urgent(waiters: list[Waiter], upstream_id: str) -> Waiter:
    """Choose the oldest of the most urgent; among the first few, one with its prefix cached."""
    urgency = max(one.urgency for one in waiters)
    oldest = list(islice((one for one in waiters if one.urgency == urgency), AFFINITY_COUNT))
    return next((one for one in oldest if one.affine_upstream == upstream_id), oldest[0])


__all__ = ["Backlog", "Size", "Waiter"]
