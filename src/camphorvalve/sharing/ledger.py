"""
Service counters of one scheduler, and the virtual service by which it ranks teams.

The virtual service of a team is ``(total + m x own service since) / share``: the fleet's total at
the last exchange, extrapolated by the scheduler's own service since then times ``m``, the number of
schedulers at which the team waits. Without this factor, all schedulers would make up for the same
lag at once. Counting service in tokens follows Sheng et al., "Fairness in Serving Large Language
Models" (OSDI 2024).
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
"""A team that waits again within this time does not count as idle and keeps its lag."""

ROUNDING_UNITS = 1.0
"""Tolerance for rounding errors in sums of many counters."""


class TeamKey(NamedTuple):
    """A team in one pool."""

    pool: str
    team: str


@dataclass(slots=True)
class Account:
    """Service of one team in one pool as known to one scheduler."""

    share: float = 1.0
    own_units: float = 0.0
    pending_units: float = 0.0
    """Estimated remaining cost of the running work."""
    lift_units: float = 0.0
    """Added to the received service to cancel lag, such as lag from idle time."""
    total_units: float = 0.0
    """Service in the whole fleet at the last exchange."""
    own_at_report_units: float = 0.0
    own_at_total_units: float = 0.0
    """Own service that ``total_units`` includes."""
    schedulers_count: int = 1
    known: bool = False
    """Whether a total has arrived since this scheduler started."""
    floor_virtual: float = 0.0
    """Least virtual service of the team until the first total arrives."""
    waiting: bool = False
    idle_since_s: float | None = None
    changed: bool = True


class Ledger:
    """Accounts of all teams at one scheduler."""

    def __init__(self, policy: Policy) -> None:
        """
        Start with empty counters.

        :param policy: how service is ranked
        """
        self._policy = policy
        self._accounts: dict[TeamKey, Account] = {}

    def account(self, key: TeamKey) -> Account:
        """
        Return the account of a team, created if missing.

        :param key: pool and team
        :return: the account
        """
        return self._accounts.setdefault(key, Account())

    def serve(self, key: TeamKey, units: float) -> None:
        """
        Count service that a team has received.

        :param key: pool and team
        :param units: service, not negative
        """
        account = self.account(key)
        account.own_units += max(0.0, units)
        account.changed = True

    def virtual(self, key: TeamKey) -> float:
        """
        Return the rank of a team: service per share; teams with less of it are served first.

        :param key: pool and team
        :return: virtual service
        """
        account = self.account(key)
        match self._policy:
            case FleetFair():
                factor = max(1, account.schedulers_count)
                since_units = account.own_units - account.own_at_total_units + account.pending_units
                units = account.total_units + factor * since_units
                floor = 0.0 if account.known else account.floor_virtual
            case LocalFair() | FirstCome():
                units = account.own_units + account.pending_units
                floor = 0.0
        return max(floor, (units + account.lift_units) / account.share)

    def set_waiting(self, key: TeamKey, share: float, now_s: float) -> None:
        """
        Mark a team as waiting; after idling, raise its virtual service to the least of the others.

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
                # The team may have been served elsewhere, which the next total shows.
                account.known = False
                account.floor_virtual = floor
            case LocalFair() | FirstCome():
                self._lift(key, floor)

    def set_idle(self, key: TeamKey, now_s: float) -> None:
        """
        Mark a team as no longer waiting here.

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
        Limit the lag of each waiting team behind the one with the most service.

        :param pool: name of the pool
        :param cap_virtual: maximum lag that is kept, in virtual service
        """
        received = {
            key: self._received_virtual(key)
            for key in self.waiting(pool)
            if self._accounts[key].known
        }
        if len(received) < 2:
            return
        floor = max(received.values()) - cap_virtual
        for key, virtual in received.items():
            self._add_lift(key, floor - virtual)

    def report(self, keys: Iterable[TeamKey]) -> Iterator[ServiceEntry]:
        """
        Yield the counters of some teams to report to their aggregator.

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
        Yield teams that wait or whose counters have changed since the last report.

        :return: pools and teams
        """
        for key, account in self._accounts.items():
            if account.changed or account.waiting:
                yield key

    def merge(self, entry: TotalEntry) -> None:
        """
        Merge a total from the aggregator; totals and lifts never decrease.

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
            self._add_lift(key, account.floor_virtual - self._received_virtual(key))

    def waiting(self, pool: str) -> Iterator[TeamKey]:
        """
        Yield the teams that wait for a pool here.

        :param pool: name of the pool
        :return: pools and teams
        """
        return (
            key for key, account in self._accounts.items() if account.waiting and key.pool == pool
        )

    def _received_virtual(self, key: TeamKey) -> float:
        """
        Return the rank of a team without estimates.

        With estimates of running work, multiplied by the number of schedulers, small teams ranked
        so far ahead that the cap on the lag dropped most of what large teams were due.
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
