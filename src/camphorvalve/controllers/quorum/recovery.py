"""Recovers the work of lost routers and expires old records, on the leader."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import AbortRun, AssignWork, Command, LoseRun
from camphorvalve.wire.messages import Assignment

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.quorum.presence import Presence, Router
    from camphorvalve.registry.records import Records
    from camphorvalve.registry.runs import Record

RETRY_S = 2.0
"""Time after which a proposal or an assignment is repeated."""
EXPIRY_INTERVAL_S = 5.0
MAX_PER_ROUND_COUNT = 256
"""Limit for the proposals, and for the assignments, of one round; a lost router may have held
thousands of records."""


@dataclass(slots=True)
class Recovery:
    """What one leadership has proposed and assigned; not part of the replicated state."""

    retention_s: float
    store_bytes: int
    last_sent_s: dict[str, float] = field(default_factory=dict)
    """Time of the last proposal, by record id, or assignment, by record id and attempt."""
    last_expiry_s: float = float("-inf")

    def proposals(self, records: Records, presence: Presence, now_s: float) -> Iterator[Command]:
        """
        Decide what happens to unsettled records whose router is lost.

        :param records: the replicated records
        :param presence: liveness of the routers
        :param now_s: monotonic time
        :return: commands to propose
        """
        live = sorted(presence.live(now_s), key=lambda router: router.router_id)
        self._forget_settled(records)
        count = 0
        for record in records.unsettled():
            command = _recovery_command(record, presence, live, now_s)
            if command is not None and self._mark_if_due(record.record_id, now_s):
                yield command
                count += 1
            if count >= MAX_PER_ROUND_COUNT:
                return

    def assignments(self, records: Records, presence: Presence, now_s: float) -> Iterator[Outgoing]:
        """
        Send reassigned work to its new router, repeatedly until that router has started it.

        :param records: the replicated records
        :param presence: liveness of the routers
        :param now_s: monotonic time
        :return: messages to send
        """
        count = 0
        for record in records.unsettled():
            claim, work = record.claim, record.work
            if claim is None or work is None or record.start is not None:
                continue
            reassigned = claim.index != record.accepted_index
            if not reassigned or presence.is_lost(claim.router_id, claim.incarnation, now_s):
                continue
            if self._mark_if_due(f"{record.record_id}/{claim.attempt}", now_s):
                assignment = Assignment(record.record_id, claim.attempt, work.payload)
                yield Outgoing(claim.router_id, assignment)
                count += 1
            if count >= MAX_PER_ROUND_COUNT:
                return

    def expiry(self, records: Records, wall_s: float, now_s: float) -> Command | None:
        """
        Decide whether old records have to be removed, at most every ``EXPIRY_INTERVAL_S``.

        :param records: the replicated records
        :param wall_s: wall-clock time
        :param now_s: monotonic time
        :return: the command to propose, ``None`` if there is nothing to remove
        """
        if now_s - self.last_expiry_s < EXPIRY_INTERVAL_S:
            return None
        self.last_expiry_s = now_s
        return records.expiry(wall_s - self.retention_s, self.store_bytes)

    def _mark_if_due(self, key: str, now_s: float) -> bool:
        """Return whether a message is due, and record it as sent if so."""
        if now_s - self.last_sent_s.get(key, float("-inf")) < RETRY_S:
            return False
        self.last_sent_s[key] = now_s
        return True

    def _forget_settled(self, records: Records) -> None:
        for key in list(self.last_sent_s):
            record = records.get(key) or records.get(key.rpartition("/")[0])
            if record is None or record.settled:
                del self.last_sent_s[key]


def _recovery_command(
    record: Record, presence: Presence, live: list[Router], now_s: float
) -> Command | None:
    """Return the command, if any, for a record whose router is lost."""
    start, claim = record.start, record.claim
    if start is not None and not record.idempotent:
        if presence.is_lost(start.router_id, start.incarnation, now_s):
            return LoseRun(record.record_id, start.request_id, start.attempt)
        return None
    if start is not None and claim is None:
        if presence.is_lost(start.router_id, start.incarnation, now_s):
            return AbortRun(record.record_id, start.request_id, start.attempt)
        return None
    if claim is None or not live:
        return None
    if not presence.is_lost(claim.router_id, claim.incarnation, now_s):
        return None
    attempt = claim.attempt + 1
    # The checksum spreads the work of a lost router over all live ones.
    assignee = live[zlib.crc32(f"{record.record_id}/{attempt}".encode()) % len(live)]
    return AssignWork(record.record_id, attempt, assignee.router_id, assignee.incarnation)


__all__ = ["Recovery"]
