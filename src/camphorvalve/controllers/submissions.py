"""Commands that wait for their outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import anyio

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import OUTCOME_CODEC
from camphorvalve.wire.messages import SubmitReply

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.registry.commands import Outcome

PENDING_S = 30.0
"""Time after which a command without outcome is no longer waited for."""


class NotLeaderError(Exception):
    """This controller does not lead; nothing was appended."""

    def __init__(self, leader_id: str | None) -> None:
        """
        Name the leader.

        :param leader_id: host id of the leader, if known
        """
        super().__init__(f"the leader is {leader_id or 'not known'}")
        self.leader_id = leader_id


class OutcomeUnknownError(Exception):
    """Leadership ended before the command was committed; it may still take effect."""


class Waiter(NamedTuple):
    """A router that waits for a reply."""

    host_id: str
    submit_id: str


class Pending:
    """Outcome of a command that was submitted at this controller."""

    def __init__(self) -> None:
        """Start without an outcome."""
        self._settled = anyio.Event()
        self._outcome: Outcome | None = None
        self._error: Exception | None = None

    @property
    def settled(self) -> bool:
        """:return: whether ``wait`` returns at once"""
        return self._settled.is_set()

    def settle(self, outcome: Outcome) -> None:
        """
        Store the outcome.

        :param outcome: the outcome
        """
        self._outcome = outcome
        self._settled.set()

    def fail(self, error: Exception) -> None:
        """
        State that no outcome will come.

        :param error: the reason
        """
        self._error = error
        self._settled.set()

    async def wait(self) -> Outcome:
        """
        Wait for the outcome.

        :return: the outcome
        :raises NotLeaderError: nothing was appended
        :raises OutcomeUnknownError: leadership ended; repeat under the same operation id
        """
        await self._settled.wait()
        if self._error is not None:
            raise self._error
        assert self._outcome is not None
        return self._outcome


@dataclass(slots=True)
class _Proposal:
    proposal_id: str
    since_s: float
    waiter: Waiter | Pending | None
    index: int = 0
    term: int = 0


@dataclass(slots=True)
class Submissions:
    """Proposals without outcome, by proposal id and by log index."""

    _by_id: dict[str, _Proposal] = field(default_factory=dict)
    _by_index: dict[int, _Proposal] = field(default_factory=dict)

    def knows(self, proposal_id: str) -> bool:
        """
        Tell whether a proposal waits already.

        :param proposal_id: its id
        :return: whether it does
        """
        return proposal_id in self._by_id

    def add(self, proposal_id: str, waiter: Waiter | Pending | None, now_s: float) -> None:
        """
        Remember a proposal.

        :param proposal_id: its id
        :param waiter: who waits for the outcome, if anybody
        :param now_s: monotonic time
        """
        self._by_id[proposal_id] = _Proposal(proposal_id, now_s, waiter)

    def place(self, proposal_id: str, index: int, term: int) -> None:
        """
        Note where a proposal was appended.

        :param proposal_id: its id
        :param index: log index
        :param term: term of the entry
        """
        proposal = self._by_id[proposal_id]
        proposal.index, proposal.term = index, term
        self._by_index[index] = proposal

    def refuse(self, proposal_id: str, leader_id: str | None) -> Iterator[Outgoing]:
        """
        Answer a proposal that was not appended.

        :param proposal_id: its id
        :param leader_id: host id of the leader, if known
        :return: messages to send
        """
        waiter = self._by_id.pop(proposal_id).waiter
        match waiter:
            case Pending():
                waiter.fail(NotLeaderError(leader_id))
            case Waiter(host_id, submit_id):
                yield Outgoing(host_id, SubmitReply(submit_id, False, leader_id, b""))

    def answer(
        self, index: int, term: int, outcome: Outcome, leader_id: str | None
    ) -> Iterator[Outgoing]:
        """
        Answer the proposal whose entry was applied.

        :param index: log index
        :param term: term of the applied entry; another term's entry has replaced the proposal
        :param outcome: outcome of the entry
        :param leader_id: host id of the leader, if known
        :return: messages to send
        """
        proposal = self._by_index.pop(index, None)
        if proposal is None:
            return
        self._forget(proposal)
        if proposal.term != term:
            _give_up(proposal)
            return
        waiter = proposal.waiter
        match waiter:
            case Pending():
                waiter.settle(outcome)
            case Waiter(host_id, submit_id):
                encoded = OUTCOME_CODEC.encode(outcome)
                yield Outgoing(host_id, SubmitReply(submit_id, True, leader_id, encoded))

    def abandon(self) -> None:
        """
        Forget the ids, as leadership has ended; a resent command is decided by the next leader.

        A router still gets its answer when the entry is committed after all.
        """
        for proposal in self._by_id.values():
            _give_up(proposal)
        self._by_id.clear()

    def expire(self, now_s: float) -> None:
        """
        Forget proposals that have waited too long.

        :param now_s: monotonic time
        """
        for proposal in [*self._by_id.values(), *self._by_index.values()]:
            if now_s - proposal.since_s > PENDING_S:
                _give_up(proposal)
                self._forget(proposal)

    def _forget(self, proposal: _Proposal) -> None:
        if self._by_id.get(proposal.proposal_id) is proposal:
            del self._by_id[proposal.proposal_id]
        if self._by_index.get(proposal.index) is proposal:
            del self._by_index[proposal.index]


def _give_up(proposal: _Proposal) -> None:
    if isinstance(proposal.waiter, Pending):
        proposal.waiter.fail(OutcomeUnknownError("leadership ended before the outcome was known"))
        proposal.waiter = None


__all__ = ["NotLeaderError", "OutcomeUnknownError", "Pending", "Submissions", "Waiter"]
