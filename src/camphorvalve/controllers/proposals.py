"""Commands on their way into the replicated log, and the state of records that routers ask for."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import Propose
from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.controllers.submissions import Waiter
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
    from camphorvalve.controllers.machine import RegistryMachine
    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.controllers.submissions import Pending, Submissions
    from camphorvalve.registry.commands import Command
    from camphorvalve.wire.messages import Lookup, Submit

    Step = Callable[[Event, float], Iterator[Outgoing]]
    """Lets the replica take an event."""


class Proposals:
    """Refuses what must not enter the log, and proposes the rest."""

    def __init__(
        self,
        replica: Replica,
        machine: RegistryMachine,
        submissions: Submissions,
        step: Step,
        leader_id: Callable[[], str | None],
        store_bytes: int,
    ) -> None:
        """
        Join the parts.

        :param replica: the replica, to know whether it leads
        :param machine: the replicated state as far as it is committed
        :param submissions: who waits for outcomes
        :param step: lets the replica take an event
        :param leader_id: tells the host of the leader, if known
        :param store_bytes: accepted work and results that may be held
        """
        self._replica = replica
        self._machine = machine
        self._submissions = submissions
        self._step = step
        self._leader_id = leader_id
        self._store_bytes = store_bytes
        self._count = 0

    def submit(self, sender: Sender, message: Submit, now_s: float) -> Iterator[Outgoing]:
        """
        Take a command of another process; a repeated message is dropped.

        :param sender: the process
        :param message: the command
        :param now_s: monotonic time
        :return: messages to send
        """
        proposal_id = f"{sender.host_id}/{sender.incarnation}/{message.submit_id}"
        if self._submissions.knows(proposal_id):
            return
        if (refusal := self._refusal(message.command)) is not None:
            yield self._reply(sender, message, OUTCOME_CODEC.encode(refusal))
            return
        self._submissions.add(proposal_id, Waiter(sender.host_id, message.submit_id), now_s)
        yield from self._step(Propose(proposal_id, message.command), now_s)

    def propose(
        self, command: Command, pending: Pending | None, now_s: float
    ) -> Iterator[Outgoing]:
        """
        Propose a command of this process.

        :param command: the command
        :param pending: waits for the outcome, if anybody does
        :param now_s: monotonic time
        :return: messages to send
        """
        self._count += 1
        proposal_id = f"local/{self._count}"
        self._submissions.add(proposal_id, pending, now_s)
        yield from self._step(Propose(proposal_id, COMMAND_CODEC.encode(command)), now_s)

    def look_up(self, sender: Sender, message: Lookup, now_s: float) -> Outgoing:
        """
        Tell the state of a record; only a leader with a valid lease knows that none is newer.

        :param sender: the router that asks
        :param message: the record
        :param now_s: monotonic time
        :return: the answer
        """
        if not self._replica.lease_valid(now_s):
            return self._reply(sender, message, None)
        outcome = self._machine.state.records.state_of(message.record_id)
        return self._reply(sender, message, OUTCOME_CODEC.encode(outcome))

    def _reply(self, sender: Sender, message: Submit | Lookup, outcome: bytes | None) -> Outgoing:
        """Answer with an outcome, ``None`` where this controller cannot tell one."""
        decided = outcome is not None
        reply = SubmitReply(message.submit_id, decided, self._leader_id(), outcome or b"")
        return Outgoing(sender.host_id, reply)

    def _refusal(self, encoded: bytes) -> Invalid | Exhausted | None:
        """Say why a command is not to be appended."""
        try:
            command = COMMAND_CODEC.decode(encoded)
        except DecodeError as error:
            return Invalid(str(error))
        state = self._replica.state
        match command:
            case AcceptWork(work_id=work_id, payload=payload) if state.leader == state.identity:
                records = self._machine.state.records
                full = records.held_bytes + len(payload) > self._store_bytes
                if full and records.get(work_id) is None:
                    return Exhausted(records.held_bytes)
        return None


__all__ = ["Proposals"]
