"""Commands that a router submits to the controllers, and the work that they assign to it."""

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

RESEND_S = 0.4
"""Longer than an election's message exchange, so that a resend reaches the new leader."""


@dataclass(slots=True)
class Pending:
    """A submitted command or lookup; ``event`` is set once ``outcome`` is known."""

    message: Submit | Lookup
    sent_s: float
    deadline_s: float
    event: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None
    settled: Callable[[Outcome], None] | None = None
    """Called with the outcome, also when nobody waits for ``event`` any more."""


class RecordingController:
    """Owns the commands on their way to the controllers."""

    name = "recording"
    tick_s = 0.1
    accepts = (SubmitReply, Assignment)

    def __init__(
        self,
        controller_ids: Sequence[str],
        rng: random.Random,
        assigned: Callable[[Assignment], None],
    ) -> None:
        """
        Start with nothing pending.

        :param controller_ids: all controllers
        :param rng: source of submit ids
        :param assigned: called for work that the leader assigns to this router
        """
        self._controller_ids = controller_ids
        self._rng = rng
        self._assigned = assigned
        self._leader_id = controller_ids[0]
        self._pending: dict[str, Pending] = {}

    def begin(
        self,
        command: Command,
        now_s: float,
        timeout_s: float,
        settled: Callable[[Outcome], None] | None = None,
    ) -> Pending:
        """
        Register a command; ``resend`` sends it.

        :param command: the command
        :param now_s: current time
        :param timeout_s: after this long it is no longer sent
        :param settled: called with the outcome
        :return: the pending command
        """
        message = Submit(self._new_id(), COMMAND_CODEC.encode(command))
        pending = self._register(message, now_s, timeout_s)
        pending.settled = settled
        return pending

    def begin_lookup(self, record_id: str, now_s: float, timeout_s: float) -> Pending:
        """
        Register a lookup; ``resend`` sends it.

        :param record_id: record or work
        :param now_s: current time
        :param timeout_s: after this long it is no longer sent
        :return: the pending lookup
        """
        return self._register(Lookup(self._new_id(), record_id), now_s, timeout_s)

    def resend(self, pending: Pending, now_s: float) -> Iterator[Outgoing]:
        """
        Send a command to the presumed leader.

        :param pending: from ``begin``
        :param now_s: current time
        :return: the message
        """
        pending.sent_s = now_s
        yield Outgoing(self._leader_id, pending.message)

    def drop(self, pending: Pending) -> None:
        """
        Stop resending a command.

        :param pending: from ``begin``
        """
        self._pending.pop(pending.message.submit_id, None)

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Settle a command, follow a leader hint, or take in assigned work.

        :param sender: a controller
        :param message: ``SubmitReply`` or ``Assignment``
        :param now_s: current time
        :return: a resent command
        """
        match message:
            case Assignment():
                self._assigned(message)
            case SubmitReply(submit_id, accepted, leader_id, outcome):
                pending = self._pending.get(submit_id)
                if pending is None:
                    return
                if accepted:
                    self._leader_id = sender.host_id
                    pending.outcome = OUTCOME_CODEC.decode(outcome)
                    del self._pending[submit_id]
                    pending.event.set()
                    if pending.settled is not None:
                        pending.settled(pending.outcome)
                elif leader_id in self._controller_ids and leader_id != sender.host_id:
                    self._leader_id = leader_id
                    yield from self.resend(pending, now_s)

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Resend what has no answer, to the next controller in turn.

        :param now_s: current time
        :return: resent commands
        """
        for submit_id, pending in list(self._pending.items()):
            if now_s >= pending.deadline_s:
                del self._pending[submit_id]
                pending.event.set()
        late = [one for one in self._pending.values() if now_s - one.sent_s > RESEND_S]
        if late:
            position = self._controller_ids.index(self._leader_id)
            self._leader_id = self._controller_ids[(position + 1) % len(self._controller_ids)]
        for pending in late:
            yield from self.resend(pending, now_s)

    def _new_id(self) -> str:
        return f"{self._rng.getrandbits(64):016x}"

    def _register(self, message: Submit | Lookup, now_s: float, timeout_s: float) -> Pending:
        pending = Pending(message, now_s, now_s + timeout_s)
        self._pending[message.submit_id] = pending
        return pending


__all__ = ["Pending", "RecordingController"]
