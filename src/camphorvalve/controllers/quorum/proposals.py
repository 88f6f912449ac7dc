"""Proposes commands to the replicated log and answers lookups of records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import Propose
from camphorvalve.controllers.quorum.submissions import RemoteSubmitter
from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import (
    COMMAND_CODEC,
    OUTCOME_CODEC,
    AcceptWork,
    Exhausted,
    Invalid,
)
from camphorvalve.wire.codec import DecodeError
from camphorvalve.wire.messages import SubmitReply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from camphorvalve.consensus.events import Event
    from camphorvalve.consensus.replica import Replica
    from camphorvalve.controllers.quorum.machine import RegistryMachine
    from camphorvalve.controllers.quorum.submissions import PendingOutcome, Submissions
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.registry.commands import Command
    from camphorvalve.wire.messages import Lookup, Submit

    StepReplica = Callable[[Event, float], Iterator[Outgoing]]
    """Passes an event to the replica and returns the messages that it sends."""


class Proposer:
    """Proposes commands and refuses those that must not enter the log."""

    def __init__(
        self,
        replica: Replica,
        machine: RegistryMachine,
        submissions: Submissions,
        step_replica: StepReplica,
        leader_id: Callable[[], str | None],
        store_bytes: int,
    ) -> None:
        """
        Prepare the proposer.

        :param replica: tells whether this controller leads and holds a valid lease
        :param machine: the replicated state as far as it is committed here
        :param submissions: submitters that wait for outcomes
        :param step_replica: passes an event to the replica
        :param leader_id: returns the host id of the leader, if known
        :param store_bytes: limit on the accepted work and results that are held
        """
        self._replica = replica
        self._machine = machine
        self._submissions = submissions
        self._step_replica = step_replica
        self._leader_id = leader_id
        self._store_bytes = store_bytes
        self._count = 0

    def submit(self, sender: Sender, message: Submit, now_s: float) -> Iterator[Outgoing]:
        """
        Propose a command of another process; a duplicate of a pending message is dropped.

        :param sender: the process that submitted it
        :param message: the message with the command
        :param now_s: monotonic time
        :return: messages to send
        """
        proposal_id = f"{sender.host_id}/{sender.incarnation}/{message.submit_id}"
        if self._submissions.is_pending(proposal_id):
            return
        if (refusal := self._refusal(message.command)) is not None:
            yield self._reply(sender, message, OUTCOME_CODEC.encode(refusal))
            return
        self._submissions.add(
            proposal_id, RemoteSubmitter(sender.host_id, message.submit_id), now_s
        )
        yield from self._step_replica(Propose(proposal_id, message.command), now_s)

    def propose(
        self, command: Command, pending: PendingOutcome | None, now_s: float
    ) -> Iterator[Outgoing]:
        """
        Propose a command of this process.

        :param command: the command
        :param pending: completed with the outcome; ``None`` when nobody waits for it
        :param now_s: monotonic time
        :return: messages to send
        """
        self._count += 1
        proposal_id = f"local/{self._count}"
        self._submissions.add(proposal_id, pending, now_s)
        yield from self._step_replica(Propose(proposal_id, COMMAND_CODEC.encode(command)), now_s)

    def look_up(self, sender: Sender, message: Lookup, now_s: float) -> Outgoing:
        """
        Look up the state of a record.

        Only a leader with a valid lease can tell that its state is the newest one.

        :param sender: the router that asks
        :param message: names the record
        :param now_s: monotonic time
        :return: the answer
        """
        if not self._replica.lease_valid(now_s):
            return self._reply(sender, message, None)
        outcome = self._machine.state.records.outcome_of(message.record_id)
        return self._reply(sender, message, OUTCOME_CODEC.encode(outcome))

    def _reply(self, sender: Sender, message: Submit | Lookup, outcome: bytes | None) -> Outgoing:
        """Build a reply; an outcome of ``None`` means that this controller cannot answer."""
        accepted = outcome is not None
        reply = SubmitReply(message.submit_id, accepted, self._leader_id(), outcome or b"")
        return Outgoing(sender.host_id, reply)

    def _refusal(self, encoded: bytes) -> Invalid | Exhausted | None:
        """Return why a command must not be appended, ``None`` if it may be."""
        try:
            command = COMMAND_CODEC.decode(encoded)
        except DecodeError as error:
            return Invalid(str(error))
        state = self._replica.state
        match command:
            case AcceptWork(work_id=work_id, payload=payload) if state.leader == state.identity:
                records = self._machine.state.records
                over_limit = records.held_bytes + len(payload) > self._store_bytes
                if over_limit and records.get(work_id) is None:
                    return Exhausted(records.held_bytes)
        return None


__all__ = ["Proposer"]
