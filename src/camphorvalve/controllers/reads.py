"""Reads that have to see everything committed before them; a majority confirms the leader first."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.controllers.submissions import NotLeaderError, Pending
from camphorvalve.registry.commands import Done
from camphorvalve.wire.messages import ReadReply

if TYPE_CHECKING:
    from collections.abc import Iterator

READ_LIFETIME_S = 5.0
"""Callers of the operator port have moved on to another controller by then."""
NOT_LEADER_INDEX = -1


@dataclass(frozen=True, slots=True)
class LocalRead:
    """A read of this process."""

    pending: Pending


@dataclass(frozen=True, slots=True)
class FollowerRead:
    """A read of another controller, which asks this leader."""

    host_id: str
    read_id: int


Read = LocalRead | FollowerRead


class _Begun(NamedTuple):
    read: Read
    index: int
    began_s: float


class _Asked(NamedTuple):
    read: LocalRead
    asked_s: float


@dataclass(slots=True)
class Reads:
    """Reads that wait: at the leader for a majority, at a follower for the leader or the state."""

    _begun: list[_Begun] = field(default_factory=list)
    """At the leader: wait until a message that was sent later is answered by a majority."""
    _asked: dict[int, _Asked] = field(default_factory=dict)
    """At a follower: wait for the leader's answer."""
    _confirmed: list[tuple[LocalRead, int, float]] = field(default_factory=list)
    """Wait until the state has been applied up to an index."""
    _count: int = 0

    @property
    def waiting(self) -> bool:
        """:return: whether ``settle`` may have something to do"""
        return bool(self._begun or self._confirmed)

    def begin(self, read: Read, index: int, now_s: float) -> None:
        """
        Start a read at the leader.

        :param read: the read
        :param index: newest committed entry
        :param now_s: monotonic time
        """
        self._begun.append(_Begun(read, index, now_s))

    def ask(self, read: LocalRead, now_s: float) -> int:
        """
        Start a read at a follower.

        :param read: the read
        :param now_s: monotonic time
        :return: id for the request to the leader
        """
        self._count += 1
        self._asked[self._count] = _Asked(read, now_s)
        return self._count

    def answer(self, reply: ReadReply) -> None:
        """
        Take the leader's answer.

        :param reply: the answer
        """
        asked = self._asked.pop(reply.read_id, None)
        if asked is None:
            return
        if reply.index == NOT_LEADER_INDEX:
            asked.read.pending.fail(NotLeaderError(None))
        else:
            self._confirmed.append((asked.read, reply.index, asked.asked_s))

    def refuse(self, read: Read) -> Iterator[Outgoing]:
        """
        Answer a read that this process cannot serve.

        :param read: the read
        :return: messages to send
        """
        match read:
            case LocalRead(pending):
                pending.fail(NotLeaderError(None))
            case FollowerRead(host_id, read_id):
                yield Outgoing(host_id, ReadReply(read_id, NOT_LEADER_INDEX))

    def settle(self, confirmed_s: float | None, applied_index: int) -> Iterator[Outgoing]:
        """
        Answer the reads that a majority has confirmed.

        :param confirmed_s: see ``Replica.confirmed_s``
        :param applied_index: newest entry that the state holds
        :return: messages to send
        """
        begun, self._begun = self._begun, []
        for one in begun:
            if confirmed_s is None:
                yield from self.refuse(one.read)
            elif confirmed_s <= one.began_s:
                self._begun.append(one)
            else:
                yield from self._confirm(one)
        still = []
        for read, index, since_s in self._confirmed:
            if applied_index >= index:
                read.pending.settle(Done(0, index))
            else:
                still.append((read, index, since_s))
        self._confirmed = still

    def expire(self, now_s: float) -> None:
        """
        Fail reads that have waited too long.

        :param now_s: monotonic time
        """
        for read_id in [
            one for one, asked in self._asked.items() if now_s - asked.asked_s > READ_LIFETIME_S
        ]:
            self._asked.pop(read_id).read.pending.fail(NotLeaderError(None))
        self._begun = [one for one in self._begun if now_s - one.began_s <= READ_LIFETIME_S]
        self._confirmed = [one for one in self._confirmed if now_s - one[2] <= READ_LIFETIME_S]

    def _confirm(self, one: _Begun) -> Iterator[Outgoing]:
        match one.read:
            case LocalRead() as read:
                self._confirmed.append((read, one.index, one.began_s))
            case FollowerRead(host_id, read_id):
                yield Outgoing(host_id, ReadReply(read_id, one.index))


__all__ = ["NOT_LEADER_INDEX", "FollowerRead", "LocalRead", "Read", "Reads"]
