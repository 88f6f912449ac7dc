"""
Service counters of one scheduler, and the virtual service by which it ranks teams.

The virtual service of a team is ``(total + m x own service since) / share``: the fleet's total at
the last exchange, extrapolated by the scheduler's own service since then times the number of
schedulers at which the team waits. Without the factor all schedulers repair the same lag at once.
The idea of counting service in tokens is that of Sheng et al., Fairness in Serving Large Language
Models (OSDI 2024).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.policies import FirstCome, FleetFair, LocalFair
from camphorvalve.wire.messages import ServiceEntry

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.model.policies import Policy
    from camphorvalve.wire.messages import TotalEntry

IDLE_GRACE_S = 1.0
"""A team that waits again sooner than this has not been idle and keeps its lag."""


ROUNDING_UNITS = 1.0
"""Sums of many counters differ by rounding."""


class TeamKey(NamedTuple):
    """A team in one pool."""

    pool: str
    team: str


@dataclass(slots=True)
class Account:
    """What one scheduler knows of the service of one team in one pool."""

    share: float = 1.0
    own_units: float = 0.0
    pending_units: float = 0.0
    """Estimated rest of what is running."""
    lift_units: float = 0.0
    total_units: float = 0.0
    own_at_report_units: float = 0.0
    own_at_total_units: float = 0.0
    """Own service that ``total_units`` includes."""
    schedulers_count: int = 1
    known: bool = False
    """Whether a total has arrived since this scheduler started."""
    floor_virtual: float = 0.0
    """Rank of the team until the first total arrives."""
    waiting: bool = False
    idle_since_s: float | None = None
    changed: bool = True


class Ledger:
    """All accounts of one scheduler."""

    def __init__(self, policy: Policy) -> None:
        """
        Start with empty counters.

        :param policy: how service is ranked
        """
        self._policy = policy
        self._accounts: dict[TeamKey, Account] = {}

    def account(self, key: TeamKey) -> Account:
        """
        Get the account of a team, made when missing.

        :param key: pool and team
        :return: the account
        """
        return self._accounts.setdefault(key, Account())

    def serve(self, key: TeamKey, units: float) -> None:
        """
        Count service that was really given.

        :param key: pool and team
        :param units: service, not negative
        """
        account = self.account(key)
        account.own_units += max(0.0, units)
        account.changed = True

    def virtual(self, key: TeamKey) -> float:
        """
        Rank a team: service received per share, the less the sooner.

        :param key: pool and team
        :return: virtual service
        """
        account = self.account(key)
        match self._policy:
            case FleetFair():
                factor = max(1, account.schedulers_count)
                since = account.own_units - account.own_at_total_units + account.pending_units
                units = account.total_units + factor * since
                floor = 0.0 if account.known else account.floor_virtual
            case LocalFair() | FirstCome():
                units = account.own_units + account.pending_units
                floor = 0.0
        return max(floor, (units + account.lift_units) / account.share)

    def set_waiting(self, key: TeamKey, share: float, now_s: float) -> None:
        """
        Note that a team waits; after real idleness it starts at the least of the backlogged teams.

        :param key: pool and team
        :param share: the team's share
        :param now_s: current time
        """
        account = self.account(key)
        account.share = share
        if account.waiting:
            return
        idle = account.idle_since_s is None or now_s - account.idle_since_s > IDLE_GRACE_S
        others = [self.virtual(other) for other in self.waiting(key.pool)]
        account.waiting = True
        account.changed = True
        if not others or not idle:
            return
        floor = min(others)
        match self._policy:
            case FleetFair():
                # The team may be busy elsewhere; the next total tells.
                account.known = False
                account.floor_virtual = floor
            case LocalFair() | FirstCome():
                self._lift(key, floor)

    def set_idle(self, key: TeamKey, now_s: float) -> None:
        """
        Note that nothing of a team waits here any more.

        :param key: pool and team
        :param now_s: current time
        """
        account = self.account(key)
        if account.waiting:
            account.waiting = False
            account.idle_since_s = now_s
            account.changed = True

    def cap_debt(self, pool: str, cap_virtual: float) -> None:
        """
        Drop what a team lags behind the furthest waiting team beyond a cap.

        :param pool: name of the pool
        :param cap_virtual: largest lag that stays, in virtual service
        """
        settled = {
            key: self._settled(key) for key in self.waiting(pool) if self._accounts[key].known
        }
        if len(settled) < 2:
            return
        floor = max(settled.values()) - cap_virtual
        for key, virtual in settled.items():
            self._add_lift(key, floor - virtual)

    def report(self, keys: Iterable[TeamKey]) -> Iterator[ServiceEntry]:
        """
        Yield the counters of some teams for their aggregator.

        :param keys: pools and teams
        :return: cumulative counters
        """
        for key in keys:
            account = self.account(key)
            account.changed = False
            account.own_at_report_units = account.own_units
            yield ServiceEntry(
                key.pool,
                key.team,
                account.own_units,
                account.lift_units,
                account.total_units,
                account.waiting,
            )

    def changed(self) -> Iterator[TeamKey]:
        """
        Yield teams whose counters have changed since they were reported, or which wait.

        :return: pools and teams
        """
        for key, account in self._accounts.items():
            if account.changed or account.waiting:
                yield key

    def merge(self, entry: TotalEntry) -> None:
        """
        Take in a total from the aggregator; totals and lifts only grow.

        :param entry: the total
        """
        key = TeamKey(entry.pool, entry.team)
        account = self.account(key)
        own_since_units = account.own_at_report_units - account.own_at_total_units
        was_idle = entry.total_units <= account.total_units + own_since_units + ROUNDING_UNITS
        was_known, account.known = account.known, True
        account.schedulers_count = entry.schedulers_count
        account.lift_units = max(account.lift_units, entry.lift_units)
        if entry.total_units >= account.total_units:
            account.total_units = entry.total_units
            account.own_at_total_units = account.own_at_report_units
        if not was_known and was_idle:
            self._add_lift(key, account.floor_virtual - self._settled(key))

    def waiting(self, pool: str) -> Iterator[TeamKey]:
        """
        Find the teams that wait for a pool here.

        :param pool: name of the pool
        :return: pools and teams
        """
        return (key for key, one in self._accounts.items() if one.waiting and key.pool == pool)

    def _settled(self, key: TeamKey) -> float:
        """
        Rank a team by service that was really given.

        Estimates of running work, times the number of schedulers, put small teams so far ahead that
        the cap on debt dropped most of what large teams were due.
        """
        account = self._accounts[key]
        since_units = account.own_units - account.own_at_total_units
        return (account.total_units + since_units + account.lift_units) / account.share

    def _lift(self, key: TeamKey, floor_virtual: float) -> None:
        self._add_lift(key, floor_virtual - self.virtual(key))

    def _add_lift(self, key: TeamKey, lag_virtual: float) -> None:
        account = self._accounts[key]
        if lag_virtual > 0:
            account.lift_units += lag_virtual * account.share
            account.changed = True


__all__ = ["Account", "Ledger", "TeamKey"]
