"""
Demand that entry routers have announced to one scheduler.

An entry router is the router that received a request from its caller; it queues the request until a
scheduler grants it a slot of an upstream.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from camphorvalve.sharing.ledger import TeamKey

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.wire.messages import Demand

LIFETIME_S = 6.0
"""Demand that is not announced again within this time is dropped."""


@dataclass(slots=True)
class EntryDemand:
    """Waiting requests of one team at one entry router; each grant reduces the count."""

    demand: Demand
    waiting_count: int
    urgent_count: int
    heard_s: float

    def age_s(self, now_s: float) -> float:
        """
        Return how long the oldest request has waited.

        :param now_s: current time
        :return: seconds
        """
        return self.demand.oldest_age_s + now_s - self.heard_s


class AnnouncedDemand:
    """Demand by team and entry router; teams without demand are not kept."""

    def __init__(self) -> None:
        """Start empty."""
        self._teams: dict[TeamKey, dict[str, EntryDemand]] = {}

    def put(self, entry_id: str, demand: Demand, now_s: float) -> None:
        """
        Replace the demand that an entry router has announced for a team.

        :param entry_id: the entry router
        :param demand: what waits there now; a count of 0 drops the demand
        :param now_s: current time
        """
        key = TeamKey(demand.pool, demand.team)
        if demand.waiting_count <= 0:
            self.drop(key, entry_id)
            return
        waiting = EntryDemand(demand, demand.waiting_count, demand.urgent_count, now_s)
        self._teams.setdefault(key, {})[entry_id] = waiting

    def get(self, key: TeamKey, entry_id: str) -> EntryDemand | None:
        """
        Return the demand of one team at one entry router.

        :param key: pool and team
        :param entry_id: the entry router
        :return: the demand, ``None`` without one
        """
        return self._teams.get(key, {}).get(entry_id)

    def entries(self, key: TeamKey) -> dict[str, EntryDemand]:
        """
        Return the demand of one team.

        :param key: pool and team
        :return: demand by entry router
        """
        return self._teams.get(key, {})

    def teams(self, pool: str) -> list[TeamKey]:
        """
        List the teams with demand for a pool.

        :param pool: name of the pool
        :return: pools and teams
        """
        return [key for key in self._teams if key.pool == pool]

    def pools(self) -> set[str]:
        """:return: pools with demand"""
        return {key.pool for key in self._teams}

    def take(self, key: TeamKey, entry_id: str) -> Demand:
        """
        Count one request as granted.

        :param key: pool and team
        :param entry_id: the entry router, which must have demand of the team
        :return: the announced demand
        """
        waiting = self._teams[key][entry_id]
        waiting.waiting_count -= 1
        waiting.urgent_count = max(0, waiting.urgent_count - 1)
        if waiting.waiting_count <= 0:
            self.drop(key, entry_id)
        return waiting.demand

    def drop(self, key: TeamKey, entry_id: str) -> None:
        """
        Forget the demand of one team at one entry router.

        :param key: pool and team
        :param entry_id: the entry router
        """
        entries = self._teams.get(key, {})
        entries.pop(entry_id, None)
        if not entries:
            self._teams.pop(key, None)

    def teams_at_entry(self, entry_id: str) -> list[TeamKey]:
        """
        List the teams with demand at an entry router.

        :param entry_id: the entry router
        :return: pools and teams
        """
        return [key for key, entries in self._teams.items() if entry_id in entries]

    def expired(self, now_s: float) -> Iterator[tuple[TeamKey, str]]:
        """
        Find demand that was not announced again within ``LIFETIME_S``.

        :param now_s: current time
        :return: pairs of team and entry router
        """
        for key, entries in self._teams.items():
            for entry_id, waiting in entries.items():
                if now_s - waiting.heard_s > LIFETIME_S:
                    yield key, entry_id


__all__ = ["AnnouncedDemand", "EntryDemand"]
