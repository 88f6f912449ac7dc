"""Scheduling policies: order the teams that wait for a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.policies import FirstCome, FleetFair, LocalFair

if TYPE_CHECKING:
    from collections.abc import Mapping

    from camphorvalve.model.policies import Policy
    from camphorvalve.sharing.announced import AnnouncedDemand
    from camphorvalve.sharing.ledger import Ledger, TeamKey
    from camphorvalve.sharing.poolrates import PoolRates

OVERDUE_FACTOR = 2.0
"""A team without a grant for this many times the interval between grants that its share implies
goes first, regardless of its service. Otherwise a team that was ahead at the end of a network
partition would get nothing until all others had caught up."""


class Ranking:
    """Orders the teams that wait at one scheduler."""

    def __init__(
        self, policy: Policy, ledger: Ledger, demand: AnnouncedDemand, rates: PoolRates
    ) -> None:
        """
        Create the ranking.

        :param policy: how teams are ranked
        :param ledger: the service counters
        :param demand: what waits
        :param rates: rates at which the slots serve
        """
        self._policy = policy
        self._ledger = ledger
        self._demand = demand
        self._rates = rates
        self._granted_s: dict[TeamKey, float] = {}
        self.pool_slots: Mapping[str, int] = {}
        """Slots of each pool in the whole deployment."""
        self.own_slots: Mapping[str, int] = {}
        """Slots of each pool at this scheduler."""

    def order(self, pool: str, now_s: float) -> list[TeamKey]:
        """
        Order the teams that wait for a pool.

        :param pool: name of the pool
        :param now_s: current time
        :return: the teams, the one to be served next first
        """
        keys = self._demand.teams(pool)
        overdue = self._overdue(pool, keys, now_s)
        advance = self._urgent_advance(pool)
        return sorted(keys, key=lambda key: (key not in overdue, self._rank(key, advance, now_s)))

    def note_grant(self, key: TeamKey, now_s: float) -> None:
        """
        Record when a team got a slot.

        :param key: pool and team
        :param now_s: current time
        """
        self._granted_s[key] = now_s

    def forget(self, key: TeamKey) -> None:
        """
        Forget a team that no longer waits.

        :param key: pool and team
        """
        self._granted_s.pop(key, None)

    def cap_debt(self, pool: str) -> None:
        """
        Limit the lag of teams to the policy's cap.

        :param pool: name of the pool
        """
        match self._policy:
            case FleetFair(debt_cap_s=cap_s) if self.pool_rate(pool) > 0:
                self._ledger.cap_debt(pool, self._to_virtual(pool, cap_s))
            case _:
                return

    def pool_rate(self, pool: str) -> float:
        """
        Estimate the rate of the whole pool with every slot busy.

        :param pool: name of the pool
        :return: units per second, zero before anything has run
        """
        return self._rates.rate(pool, self.pool_slots.get(pool, 0))

    def _urgent_advance(self, pool: str) -> float:
        """Return the advance that urgent work gives a team, in virtual service."""
        match self._policy:
            case FleetFair(advance_s=advance_s):
                return self._to_virtual(pool, advance_s)
            case _:
                return 0.0

    def _rank(self, key: TeamKey, advance: float, now_s: float) -> float:
        entries = self._demand.entries(key).values()
        match self._policy:
            case FirstCome():
                return -max(waiting.age_s(now_s) for waiting in entries)
            case LocalFair():
                return self._ledger.virtual(key)
            case FleetFair():
                urgent = any(waiting.urgent_count > 0 for waiting in entries)
                return self._ledger.virtual(key) - (advance if urgent else 0.0)

    def _to_virtual(self, pool: str, duration_s: float) -> float:
        """Convert seconds at the whole rate of the pool to virtual service at the mean share."""
        shares = [self._ledger.account(key).share for key in self._demand.teams(pool)]
        if not shares:
            return 0.0
        return duration_s * self.pool_rate(pool) * len(shares) / sum(shares)

    def _overdue(self, pool: str, keys: list[TeamKey], now_s: float) -> set[TeamKey]:
        """Find teams without a grant for ``OVERDUE_FACTOR`` times their interval between grants."""
        match self._policy:
            case FleetFair():
                pass
            case _:
                return set()
        rate = self._rates.rate(pool, self.own_slots.get(pool, 0))
        weights = {key: self._local_weight(key) for key in keys}
        total = sum(weights.values())
        overdue = set()
        for key, weight in weights.items():
            since_s = now_s - self._granted_s.setdefault(key, now_s)
            entries = self._demand.entries(key).values()
            estimate_units = max(waiting.demand.estimate_units for waiting in entries)
            if since_s * rate * weight > OVERDUE_FACTOR * estimate_units * total:
                overdue.add(key)
        return overdue

    def _local_weight(self, key: TeamKey) -> float:
        account = self._ledger.account(key)
        return account.share / max(1, account.schedulers_count)


__all__ = ["OVERDUE_FACTOR", "Ranking"]
