"""Client of the replicated records: commits commands for the filters and awaits their outcomes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.router.submitting import PendingMessage, SubmissionController
    from camphorvalve.controllers.runtime import Runtime
    from camphorvalve.registry.commands import Command, Outcome

BACKGROUND_TIMEOUT_S = 120.0
"""How long a command that nobody needs to wait for is resent while there is no quorum."""


class RecordClient:
    """Gives the filters access to the replicated state machine."""

    def __init__(
        self, submissions: SubmissionController, runtime: Runtime, timeout_s: float
    ) -> None:
        """
        Prepare the client.

        :param submissions: owns the pending commands
        :param runtime: sends the messages
        :param timeout_s: longest time to wait for a quorum
        """
        self._submissions = submissions
        self._runtime = runtime
        self._timeout_s = timeout_s

    async def submit(self, command: Command) -> Outcome:
        """
        Commit a command.

        :param command: the command
        :return: outcome of the command
        :raises RequestError: there was no quorum in time; the command may still be committed
        """
        return await self._send_and_wait(
            self._submissions.begin(command, time.monotonic(), self._timeout_s)
        )

    async def submit_and_keep_resending(
        self, command: Command, on_outcome: Callable[[Outcome], None]
    ) -> Outcome:
        """
        Commit a command that is still resent after this call has timed out.

        :param command: the command
        :param on_outcome: called with the outcome, even after the timeout
        :return: the outcome
        :raises RequestError: there was no quorum in time; the command may still be committed
        """
        now_s = time.monotonic()
        return await self._send_and_wait(
            self._submissions.begin(command, now_s, BACKGROUND_TIMEOUT_S, on_outcome),
            keep_resending=True,
        )

    async def look_up(self, record_id: str) -> Outcome:
        """
        Read the state of a record or of accepted work.

        :param record_id: id of the record or the work
        :return: ``Done`` while it waits, ``Invalid`` if it does not exist, else its state
        :raises RequestError: no leader answered in time
        """
        return await self._send_and_wait(
            self._submissions.begin_lookup(record_id, time.monotonic(), self._timeout_s)
        )

    async def _send_and_wait(
        self, pending: PendingMessage, *, keep_resending: bool = False
    ) -> Outcome:
        now_s = time.monotonic()
        self._runtime.send(self._submissions.resend(pending, now_s))
        with anyio.move_on_after(self._timeout_s):
            await pending.event.wait()
        if pending.outcome is None:
            if not keep_resending:
                self._submissions.drop(pending)
            raise RequestError(
                "no_quorum", "the controllers have no quorum; nothing was sent", retry_after_s=2.0
            )
        return pending.outcome

    def submit_in_background(self, command: Command) -> None:
        """
        Commit a command without waiting for its outcome.

        :param command: the command
        """
        now_s = time.monotonic()
        pending = self._submissions.begin(command, now_s, BACKGROUND_TIMEOUT_S)
        self._runtime.send(self._submissions.resend(pending, now_s))


__all__ = ["RecordClient"]
