"""Linearizable reads: the leader answers only after a majority has confirmed its leadership."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.controllers.quorum.submissions import NotLeaderError, PendingOutcome
from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import Done
from camphorvalve.wire.messages import ReadReply

if TYPE_CHECKING:
    from collections.abc import Iterator

READ_TIMEOUT_S = 5.0
"""By then, clients of the operator port have switched to another controller."""
NOT_LEADER_INDEX = -1


@dataclass(frozen=True, slots=True)
class LocalRead:
    """A read requested by this process."""

    pending: PendingOutcome


@dataclass(frozen=True, slots=True)
class FollowerRead:
    """A read that a follower has forwarded to this leader."""

    host_id: str
    read_id: int


Read = LocalRead | FollowerRead


class _UnconfirmedRead(NamedTuple):
    read: Read
    index: int
    started_s: float


class _ForwardedRead(NamedTuple):
    read: LocalRead
    forwarded_s: float


@dataclass(slots=True)
class LinearizableReads:
    """
    Reads in progress.

    At the leader they wait for a majority; at a follower for the leader's reply and then for the
    local state to be applied far enough.
    """

    newest_id: int
    """Id of the newest forwarded read. Each start of the process begins with another one, since the
    leader may still reply to reads of the one before."""
    _unconfirmed: list[_UnconfirmedRead] = field(default_factory=list)
    """At the leader: wait until a majority has answered a message sent after the read started."""
    _forwarded: dict[int, _ForwardedRead] = field(default_factory=dict)
    """At a follower, by read id: wait for the reply of the leader."""
    _confirmed: list[tuple[LocalRead, int, float]] = field(default_factory=list)
    """Wait until the local state is applied up to the index; the last item is the start time."""

    @property
    def has_open(self) -> bool:
        """:return: whether ``complete`` may have reads to complete"""
        return bool(self._unconfirmed or self._confirmed)

    def start(self, read: Read, index: int, now_s: float) -> None:
        """
        Start a read at the leader.

        :param read: the read
        :param index: index of the newest committed entry
        :param now_s: monotonic time
        """
        self._unconfirmed.append(_UnconfirmedRead(read, index, now_s))

    def forward(self, read: LocalRead, now_s: float) -> int:
        """
        Register a read that is forwarded to the leader.

        :param read: the read
        :param now_s: monotonic time
        :return: read id for the request to the leader
        """
        self.newest_id += 1
        self._forwarded[self.newest_id] = _ForwardedRead(read, now_s)
        return self.newest_id

    def handle_reply(self, reply: ReadReply) -> None:
        """
        Process the reply of the leader to a forwarded read.

        :param reply: the reply
        """
        forwarded = self._forwarded.pop(reply.read_id, None)
        if forwarded is None:
            return
        if reply.index == NOT_LEADER_INDEX:
            forwarded.read.pending.fail(NotLeaderError(None))
        else:
            self._confirmed.append((forwarded.read, reply.index, forwarded.forwarded_s))

    def refuse(self, read: Read) -> Iterator[Outgoing]:
        """
        Fail a read, as this process is not a confirmed leader.

        :param read: the read
        :return: messages to send
        """
        match read:
            case LocalRead(pending):
                pending.fail(NotLeaderError(None))
            case FollowerRead(host_id, read_id):
                yield Outgoing(host_id, ReadReply(read_id, NOT_LEADER_INDEX))

    def complete(self, majority_acked_s: float | None, applied_index: int) -> Iterator[Outgoing]:
        """
        Complete the reads that a majority has confirmed and whose entries have been applied.

        :param majority_acked_s: see ``Replica.majority_acked_s``
        :param applied_index: index of the newest entry applied to the local state
        :return: messages to send
        """
        unconfirmed, self._unconfirmed = self._unconfirmed, []
        for open_read in unconfirmed:
            if majority_acked_s is None:
                yield from self.refuse(open_read.read)
            elif majority_acked_s <= open_read.started_s:
                self._unconfirmed.append(open_read)
            else:
                yield from self._confirm(open_read)
        remaining = []
        for read, index, started_s in self._confirmed:
            if applied_index >= index:
                read.pending.settle(Done(0, index))
            else:
                remaining.append((read, index, started_s))
        self._confirmed = remaining

    def expire(self, now_s: float) -> None:
        """
        Drop reads that are older than ``READ_TIMEOUT_S``.

        Forwarded reads fail; callers of the others time out on their own.

        :param now_s: monotonic time
        """
        for read_id in [
            key
            for key, open_read in self._forwarded.items()
            if now_s - open_read.forwarded_s > READ_TIMEOUT_S
        ]:
            self._forwarded.pop(read_id).read.pending.fail(NotLeaderError(None))
        self._unconfirmed = [
            open_read
            for open_read in self._unconfirmed
            if now_s - open_read.started_s <= READ_TIMEOUT_S
        ]
        self._confirmed = [
            open_read for open_read in self._confirmed if now_s - open_read[2] <= READ_TIMEOUT_S
        ]

    def _confirm(self, open_read: _UnconfirmedRead) -> Iterator[Outgoing]:
        match open_read.read:
            case LocalRead() as read:
                self._confirmed.append((read, open_read.index, open_read.started_s))
            case FollowerRead(host_id, read_id):
                yield Outgoing(host_id, ReadReply(read_id, open_read.index))


__all__ = ["NOT_LEADER_INDEX", "FollowerRead", "LocalRead", "Read", "LinearizableReads"]
