"""Submits commands and reads to the replicated log again until one attempt has an outcome."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.controllers.quorum.submissions import NotLeaderError, OutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.quorum.replication import ReplicationController
    from camphorvalve.registry.commands import Command, Outcome

ATTEMPT_TIMEOUT_S = 0.6
"""A message to a failed leader is lost, so the command is submitted again after this time; an
election takes one to two election timeouts."""
RETRY_DELAY_S = 0.05

_log = structlog.get_logger(__name__)


class Resubmitter:
    """Repeats attempts at the replicated log, whoever leads; its callers bound the time."""

    def __init__(
        self,
        replication: ReplicationController,
        event: str,
        clock: Callable[[], float] = time.monotonic,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        """
        Prepare the attempts.

        :param replication: the replicated state
        :param event: event of the log line that the first failed attempt at a command writes
        :param clock: monotonic time
        :param retry_delay_s: pause after an attempt that reached no leader
        """
        self._replication = replication
        self._event = event
        self._clock = clock
        self._retry_delay_s = retry_delay_s

    async def commit(self, command: Command) -> Outcome:
        """
        Submit a command until its outcome is known.

        :param command: a command that takes effect once, however often it is submitted
        :return: its outcome
        """
        is_logged = False
        while True:
            pending = self._replication.submit_anywhere(command, self._clock())
            try:
                with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                    return await pending.wait()
            except (NotLeaderError, OutcomeUnknownError) as error:
                if not is_logged:
                    is_logged = True
                    _log.info(self._event, reason=str(error))
                await anyio.sleep(self._retry_delay_s)
            finally:
                self._replication.forget(pending)

    async def confirm(self, attempt_timeout_s: float = ATTEMPT_TIMEOUT_S) -> None:
        """
        Wait until the local state holds all that was committed before the call.

        :param attempt_timeout_s: time after which a read without a reply is repeated
        """
        while True:
            try:
                with anyio.move_on_after(attempt_timeout_s):
                    await self._replication.read(self._clock())
                    return
            except NotLeaderError:
                await anyio.sleep(self._retry_delay_s)


__all__ = ["RETRY_DELAY_S", "Resubmitter"]
