"""Commands submitted to the replicated log that still wait for their outcome."""

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

PENDING_TIMEOUT_S = 30.0
"""Time after which a proposal without an outcome is dropped."""


class NotLeaderError(Exception):
    """This controller is not the leader; nothing was appended to the log."""

    def __init__(self, leader_id: str | None) -> None:
        """
        Create the error.

        :param leader_id: host id of the leader, if known
        """
        super().__init__(f"not the leader; the leader is {leader_id or 'unknown'}")
        self.leader_id = leader_id


class OutcomeUnknownError(Exception):
    """The leadership ended before the command was committed; it may still take effect."""


class RemoteSubmitter(NamedTuple):
    """Another process that submitted a command and waits for the reply."""

    host_id: str
    submit_id: str


class PendingOutcome:
    """Future for the outcome of a command or read that this process submitted."""

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
        Complete with an outcome.

        :param outcome: returned by ``wait``
        """
        self._outcome = outcome
        self._settled.set()

    def fail(self, error: Exception) -> None:
        """
        Complete without an outcome.

        :param error: raised by ``wait``
        """
        self._error = error
        self._settled.set()

    async def wait(self) -> Outcome:
        """
        Wait for the outcome.

        :return: the outcome
        :raises NotLeaderError: nothing was appended to the log
        :raises OutcomeUnknownError: the leadership ended before the command was committed; resubmit
            it under the same operation id
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
    waiter: RemoteSubmitter | PendingOutcome | None
    index: int = 0
    term: int = 0


@dataclass(slots=True)
class Submissions:
    """Proposals without an outcome, indexed by proposal id and by log index."""

    _by_id: dict[str, _Proposal] = field(default_factory=dict)
    _by_index: dict[int, _Proposal] = field(default_factory=dict)

    def is_pending(self, proposal_id: str) -> bool:
        """
        Check whether a proposal already waits for its outcome.

        :param proposal_id: id of the proposal
        :return: whether it waits
        """
        return proposal_id in self._by_id

    def add(
        self, proposal_id: str, waiter: RemoteSubmitter | PendingOutcome | None, now_s: float
    ) -> None:
        """
        Register a proposal.

        :param proposal_id: id of the proposal
        :param waiter: receives the outcome; ``None`` when nobody waits for it
        :param now_s: monotonic time
        """
        self._by_id[proposal_id] = _Proposal(proposal_id, now_s, waiter)

    def record_position(self, proposal_id: str, index: int, term: int) -> None:
        """
        Record the log position at which a proposal was appended.

        :param proposal_id: id of the proposal
        :param index: log index of the entry
        :param term: term of the entry
        """
        proposal = self._by_id[proposal_id]
        proposal.index, proposal.term = index, term
        self._by_index[index] = proposal

    def refuse(self, proposal_id: str, leader_id: str | None) -> Iterator[Outgoing]:
        """
        Answer the submitter of a proposal that was not appended.

        :param proposal_id: id of the proposal
        :param leader_id: host id of the leader, if known
        :return: messages to send
        """
        waiter = self._by_id.pop(proposal_id).waiter
        match waiter:
            case PendingOutcome():
                waiter.fail(NotLeaderError(leader_id))
            case RemoteSubmitter(host_id, submit_id):
                yield Outgoing(host_id, SubmitReply(submit_id, False, leader_id, b""))

    def answer(
        self, index: int, term: int, outcome: Outcome, leader_id: str | None
    ) -> Iterator[Outgoing]:
        """
        Answer the submitter of the proposal whose entry was applied.

        :param index: log index of the applied entry
        :param term: term of the applied entry; if it differs from the term of the proposal, the
            entry of another leader has replaced the proposal
        :param outcome: outcome of the entry
        :param leader_id: host id of the leader, if known
        :return: messages to send
        """
        proposal = self._by_index.pop(index, None)
        if proposal is None:
            return
        self._forget(proposal)
        if proposal.term != term:
            _fail_if_local(proposal)
            return
        waiter = proposal.waiter
        match waiter:
            case PendingOutcome():
                waiter.settle(outcome)
            case RemoteSubmitter(host_id, submit_id):
                encoded = OUTCOME_CODEC.encode(outcome)
                yield Outgoing(host_id, SubmitReply(submit_id, True, leader_id, encoded))

    def abandon(self) -> None:
        """
        Drop the ids of appended proposals when the leadership ends; the next leader handles resent
        commands.

        A remote submitter still gets its reply if the entry is committed after all. A proposal that
        finds the leadership lost has no position yet, and is refused next.
        """
        for proposal in self._by_index.values():
            _fail_if_local(proposal)
            self._forget_id(proposal)

    def expire(self, now_s: float) -> None:
        """
        Drop proposals that have waited longer than ``PENDING_TIMEOUT_S``.

        :param now_s: monotonic time
        """
        for proposal in [*self._by_id.values(), *self._by_index.values()]:
            if now_s - proposal.since_s > PENDING_TIMEOUT_S:
                _fail_if_local(proposal)
                self._forget(proposal)

    def _forget(self, proposal: _Proposal) -> None:
        self._forget_id(proposal)
        if self._by_index.get(proposal.index) is proposal:
            del self._by_index[proposal.index]

    def _forget_id(self, proposal: _Proposal) -> None:
        # A command that was sent again has a newer proposal under the same id.
        if self._by_id.get(proposal.proposal_id) is proposal:
            del self._by_id[proposal.proposal_id]


def _fail_if_local(proposal: _Proposal) -> None:
    if isinstance(proposal.waiter, PendingOutcome):
        proposal.waiter.fail(OutcomeUnknownError("leadership ended before the outcome was known"))
        proposal.waiter = None


__all__ = [
    "NotLeaderError",
    "OutcomeUnknownError",
    "PendingOutcome",
    "Submissions",
    "RemoteSubmitter",
]
