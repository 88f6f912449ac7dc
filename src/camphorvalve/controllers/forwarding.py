"""Commands that a controller which does not lead submits at the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.controllers.submissions import NotLeaderError, OutcomeUnknownError, Pending
from camphorvalve.registry.commands import COMMAND_CODEC, OUTCOME_CODEC
from camphorvalve.wire.codec import DecodeError
from camphorvalve.wire.messages import Submit

if TYPE_CHECKING:
    from camphorvalve.registry.commands import Command
    from camphorvalve.wire.messages import SubmitReply

_log = structlog.get_logger(__name__)


class Forwarding:
    """Owns the commands that wait for the leader's reply."""

    def __init__(self, prefix: str) -> None:
        """
        Start without commands.

        :param prefix: text that no other start of this process has, for the ids of commands
        """
        self._prefix = prefix
        self._count = 0
        self._waiting: dict[str, Pending] = {}

    def submit(self, leader_id: str, command: Command) -> tuple[Pending, Outgoing]:
        """
        Submit a command.

        :param leader_id: the leader
        :param command: the command
        :return: to wait for the outcome, and the message to send
        """
        self._count += 1
        submit_id = f"{self._prefix}/{self._count}"
        pending = self._waiting[submit_id] = Pending()
        return pending, Outgoing(leader_id, Submit(submit_id, COMMAND_CODEC.encode(command)))

    def settle(self, reply: SubmitReply) -> None:
        """
        Take the leader's reply.

        :param reply: the reply
        """
        pending = self._waiting.pop(reply.submit_id, None)
        if pending is None:
            return
        if not reply.accepted:
            pending.fail(NotLeaderError(reply.leader_id))
            return
        try:
            pending.settle(OUTCOME_CODEC.decode(reply.outcome))
        except DecodeError as error:
            _log.error("reply of the leader is not readable", reason=str(error))
            pending.fail(OutcomeUnknownError(str(error)))

    def forget(self, pending: Pending) -> None:
        """
        Stop waiting for a command.

        :param pending: from ``submit``
        """
        for submit_id in [one for one, held in self._waiting.items() if held is pending]:
            del self._waiting[submit_id]


__all__ = ["Forwarding"]
