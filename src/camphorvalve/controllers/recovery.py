"""What the leader proposes for the work of lost routers, and for old records."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import AbortRun, AssignWork, Command, ExpireRecords, LoseRun
from camphorvalve.wire.messages import Assignment

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.controllers.presence import Presence, Router
    from camphorvalve.registry.records import Records
    from camphorvalve.registry.runs import Record

RETRY_S = 2.0
"""Time after which a proposal or an assignment is repeated."""
EXPIRY_INTERVAL_S = 5.0
ROUND_COUNT = 256
"""Proposals and assignments of one round; a lost router may have held thousands of records."""


@dataclass(slots=True)
class Recovery:
    """Proposals of one leadership; kept apart from the replicated state."""

    retention_s: float
    store_bytes: int
    tried_s: dict[str, float] = field(default_factory=dict)
    """When a record was last proposed or assigned."""
    expired_s: float = float("-inf")

    def proposals(self, records: Records, presence: Presence, now_s: float) -> Iterator[Command]:
        """
        Decide what becomes of unsettled records whose router is lost.

        :param records: the replicated records
        :param presence: the routers
        :param now_s: monotonic time
        :return: commands to propose
        """
        live = sorted(presence.live(now_s), key=lambda router: router.router_id)
        self._forget(records)
        count = 0
        for record in records.unsettled():
            command = _decide(record, presence, live, now_s)
            if command is not None and self._due(record.record_id, now_s):
                yield command
                count += 1
            if count >= ROUND_COUNT:
                return

    def assignments(self, records: Records, presence: Presence, now_s: float) -> Iterator[Outgoing]:
        """
        Hand moved work to its router until the router has started it.

        :param records: the replicated records
        :param presence: the routers
        :param now_s: monotonic time
        :return: messages to send
        """
        count = 0
        for record in records.unsettled():
            claim, work = record.claim, record.work
            if claim is None or work is None or record.start is not None:
                continue
            moved = claim.index != record.accepted_index
            if not moved or presence.is_lost(claim.router_id, claim.incarnation, now_s):
                continue
            if self._due(f"{record.record_id}/{claim.attempt}", now_s):
                assignment = Assignment(record.record_id, claim.attempt, work.payload)
                yield Outgoing(claim.router_id, assignment)
                count += 1
            if count >= ROUND_COUNT:
                return

    def expiry(self, records: Records, wall_s: float, now_s: float) -> Command | None:
        """
        Decide whether old records have to be removed.

        :param records: the replicated records
        :param wall_s: wall-clock time
        :param now_s: monotonic time
        :return: the command to propose
        """
        if now_s - self.expired_s < EXPIRY_INTERVAL_S:
            return None
        self.expired_s = now_s
        before_s = records.expired_before_s(wall_s - self.retention_s, self.store_bytes)
        return None if before_s is None else ExpireRecords(before_s)

    def _due(self, key: str, now_s: float) -> bool:
        if now_s - self.tried_s.get(key, float("-inf")) < RETRY_S:
            return False
        self.tried_s[key] = now_s
        return True

    def _forget(self, records: Records) -> None:
        for key in list(self.tried_s):
            record = records.get(key) or records.get(key.rpartition("/")[0])
            if record is None or record.settled:
                del self.tried_s[key]


def _decide(record: Record, presence: Presence, live: list[Router], now_s: float) -> Command | None:
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
    # Spread by a checksum, so that the work of a lost router does not go to a single one.
    chosen = live[zlib.crc32(f"{record.record_id}/{attempt}".encode()) % len(live)]
    return AssignWork(record.record_id, attempt, chosen.router_id, chosen.incarnation)


__all__ = ["Recovery"]
