"""Requests that wait at an entry router until a scheduler grants them a slot."""

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

AFFINITY_WINDOW_COUNT = 8
"""Number of the oldest requests among which one with a cached prefix is preferred; with more of
them, old requests would wait too long."""
OLDEST_EVERY_COUNT = 10
"""One in this many grants goes to the request that has waited longest, regardless of its
urgency."""


@dataclass(slots=True)
class Waiter:
    """A waiting request; a grant or an error ends its wait."""

    key: TeamKey
    kind: str
    urgency: Urgency
    size_bytes: int
    estimate_units: float
    arrived_s: float
    deadline_s: float
    """Time at which the wait ends without a grant."""
    wake: Callable[[], None]
    accepted: bool = False
    """Whether the work was accepted already; accepted work is never shed."""
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
    """Number and size of waiting requests."""

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
        Return the size of what waits for a team in all pools.

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
        Remove a request that no longer waits; does nothing if it was picked already.

        :param waiter: the request
        """
        queue = self._queues.get(waiter.key)
        if queue is not None and waiter in queue.waiters:
            queue.waiters.remove(waiter)
            self._count(waiter, -1)
            self._drop_if_empty(waiter.key)

    def pick(self, key: TeamKey, upstream_id: str, live_ids: frozenset[str]) -> Waiter | None:
        """
        Remove and return the request that a grant is used for.

        :param key: pool and team of the grant
        :param upstream_id: upstream of the grant
        :param live_ids: live upstreams of the pool; a request that all of them failed may use any
        :return: the oldest of the most urgent requests, or the oldest of all once in
            ``OLDEST_EVERY_COUNT`` grants; ``None`` if no request may use the upstream
        """
        queue = self._queues.get(key)
        if queue is None:
            return None
        candidates = [
            waiter
            for waiter in queue.waiters
            if upstream_id not in waiter.excluded_upstreams or live_ids <= waiter.excluded_upstreams
        ]
        if not candidates:
            return None
        queue.granted_count += 1
        if queue.granted_count % OLDEST_EVERY_COUNT == 0:
            chosen = candidates[0]
        else:
            chosen = _most_urgent(candidates, upstream_id)
        queue.waiters.remove(chosen)
        self._count(chosen, -1)
        self._drop_if_empty(key)
        return chosen

    def newest(self, team: str, kind: str) -> Waiter | None:
        """
        Find the request of a team and kind that is shed first.

        :param team: name of the team
        :param kind: kind of work
        :return: the newest request that is not accepted, ``None`` without one
        """
        waiters = [
            waiter
            for key, queue in self._queues.items()
            if key.team == team
            for waiter in queue.waiters
            if waiter.kind == kind and not waiter.accepted
        ]
        return max(waiters, key=lambda waiter: waiter.arrived_s, default=None)

    def waiting(self, key: TeamKey) -> list[Waiter]:
        """
        List the requests of a team that wait for a pool.

        :param key: pool and team
        :return: requests in order of arrival
        """
        queue = self._queues.get(key)
        return queue.waiters if queue is not None else []

    def waiting_keys(self) -> Iterator[TeamKey]:
        """:return: pools and teams with waiting requests"""
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
    """Choose among the oldest of the most urgent; one whose prefix is cached goes first."""
    urgency = max(waiter.urgency for waiter in waiters)
    oldest = list(
        islice((waiter for waiter in waiters if waiter.urgency == urgency), AFFINITY_WINDOW_COUNT)
    )
    return next((waiter for waiter in oldest if waiter.affine_upstream == upstream_id), oldest[0])


__all__ = ["Backlog", "Size", "Waiter"]
