"""Forwards commands from a follower to the leader and tracks them until the leader replies."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from camphorvalve.controllers.quorum.submissions import (
    NotLeaderError,
    OutcomeUnknownError,
    PendingOutcome,
)
from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry.commands import COMMAND_CODEC, OUTCOME_CODEC
from camphorvalve.wire.codec import DecodeError
from camphorvalve.wire.messages import Submit

if TYPE_CHECKING:
    from camphorvalve.registry.commands import Command
    from camphorvalve.wire.messages import SubmitReply

_log = structlog.get_logger(__name__)


class CommandForwarder:
    """Owns the forwarded commands that wait for the leader's reply."""

    def __init__(self, prefix: str) -> None:
        """
        Start without pending commands.

        :param prefix: prefix of the submit ids; unique to this start of this process
        """
        self._prefix = prefix
        self._count = 0
        self._pending: dict[str, PendingOutcome] = {}

    def submit(self, leader_id: str, command: Command) -> tuple[PendingOutcome, Outgoing]:
        """
        Register a command that is forwarded to the leader.

        :param leader_id: host id of the leader
        :param command: the command
        :return: future for the outcome, and the message to send
        """
        self._count += 1
        submit_id = f"{self._prefix}/{self._count}"
        pending = self._pending[submit_id] = PendingOutcome()
        return pending, Outgoing(leader_id, Submit(submit_id, COMMAND_CODEC.encode(command)))

    def handle_reply(self, reply: SubmitReply) -> None:
        """
        Complete the command that the leader replied to.

        :param reply: reply of the leader
        """
        pending = self._pending.pop(reply.submit_id, None)
        if pending is None:
            return
        if not reply.accepted:
            pending.fail(NotLeaderError(reply.leader_id))
            return
        try:
            pending.settle(OUTCOME_CODEC.decode(reply.outcome))
        except DecodeError as error:
            _log.error("reply of the leader cannot be decoded", reason=str(error))
            pending.fail(OutcomeUnknownError(str(error)))

    def forget(self, pending: PendingOutcome) -> None:
        """
        Stop waiting for a command.

        :param pending: from ``submit``
        """
        for submit_id in [key for key, candidate in self._pending.items() if candidate is pending]:
            del self._pending[submit_id]


__all__ = ["CommandForwarder"]
