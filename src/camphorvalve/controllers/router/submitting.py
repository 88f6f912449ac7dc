"""Submits commands from a router to the controllers and receives the work they assign to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import COMMAND_CODEC, OUTCOME_CODEC
from camphorvalve.wire.messages import Assignment, Lookup, Submit, SubmitReply

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator, Sequence

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.registry.commands import Command, Outcome

RESEND_AFTER_S = 0.4
"""Longer than the message exchange of an election, so that a resend reaches the new leader."""


@dataclass(slots=True)
class PendingMessage:
    """A submitted command or lookup; ``event`` is set once it has an outcome or has timed out."""

    message: Submit | Lookup
    sent_s: float
    deadline_s: float
    event: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None
    on_outcome: Callable[[Outcome], None] | None = None
    """Called with the outcome, even if nobody waits for ``event`` any more."""


class SubmissionController:
    """Owns the commands and lookups that wait for a reply of the controllers."""

    name = "recording"
    tick_s = 0.1
    accepts = (SubmitReply, Assignment)

    def __init__(
        self,
        controller_ids: Sequence[str],
        rng: random.Random,
        on_assigned: Callable[[Assignment], None],
    ) -> None:
        """
        Start with nothing pending.

        :param controller_ids: ids of all controllers
        :param rng: random source for submit ids
        :param on_assigned: called with work that the leader assigns to this router
        """
        self._controller_ids = controller_ids
        self._rng = rng
        self._on_assigned = on_assigned
        self._leader_id = controller_ids[0]
        self._pending: dict[str, PendingMessage] = {}

    def begin(
        self,
        command: Command,
        now_s: float,
        timeout_s: float,
        on_outcome: Callable[[Outcome], None] | None = None,
    ) -> PendingMessage:
        """
        Register a command; call ``resend`` to send it.

        :param command: the command
        :param now_s: monotonic time
        :param timeout_s: time after which it is no longer resent
        :param on_outcome: called with the outcome
        :return: the pending command
        """
        message = Submit(self._new_id(), COMMAND_CODEC.encode(command))
        pending = self._register(message, now_s, timeout_s)
        pending.on_outcome = on_outcome
        return pending

    def begin_lookup(self, record_id: str, now_s: float, timeout_s: float) -> PendingMessage:
        """
        Register a lookup; call ``resend`` to send it.

        :param record_id: id of the record or work
        :param now_s: monotonic time
        :param timeout_s: time after which it is no longer resent
        :return: the pending lookup
        """
        return self._register(Lookup(self._new_id(), record_id), now_s, timeout_s)

    def resend(self, pending: PendingMessage, now_s: float) -> Iterator[Outgoing]:
        """
        Send a command or lookup to the presumed leader.

        :param pending: from ``begin`` or ``begin_lookup``
        :param now_s: monotonic time
        :return: the message
        """
        pending.sent_s = now_s
        yield Outgoing(self._leader_id, pending.message)

    def drop(self, pending: PendingMessage) -> None:
        """
        Stop resending a command or lookup.

        :param pending: from ``begin`` or ``begin_lookup``
        """
        self._pending.pop(pending.message.submit_id, None)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Complete a command, follow a hint to another leader, or accept assigned work.

        :param sender: the controller
        :param message: ``SubmitReply`` or ``Assignment``
        :param now_s: monotonic time
        :return: the resent message, if any
        """
        match message:
            case Assignment():
                self._on_assigned(message)
            case SubmitReply(submit_id, accepted, leader_id, outcome):
                pending = self._pending.get(submit_id)
                if pending is None:
                    return
                if accepted:
                    self._leader_id = sender.host_id
                    pending.outcome = OUTCOME_CODEC.decode(outcome)
                    del self._pending[submit_id]
                    pending.event.set()
                    if pending.on_outcome is not None:
                        pending.on_outcome(pending.outcome)
                elif leader_id in self._controller_ids and leader_id != sender.host_id:
                    self._leader_id = leader_id
                    yield from self.resend(pending, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Drop timed-out messages and resend overdue ones to the next controller in turn.

        :param now_s: monotonic time
        :return: the resent messages
        """
        for submit_id, pending in list(self._pending.items()):
            if now_s >= pending.deadline_s:
                del self._pending[submit_id]
                pending.event.set()
        overdue = [
            pending for pending in self._pending.values() if now_s - pending.sent_s > RESEND_AFTER_S
        ]
        if overdue:
            position = self._controller_ids.index(self._leader_id)
            self._leader_id = self._controller_ids[(position + 1) % len(self._controller_ids)]
        for pending in overdue:
            yield from self.resend(pending, now_s)

    def _new_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _register(self, message: Submit | Lookup, now_s: float, timeout_s: float) -> PendingMessage:
        pending = PendingMessage(message, now_s, now_s + timeout_s)
        self._pending[message.submit_id] = pending
        return pending


__all__ = ["PendingMessage", "SubmissionController"]
