"""Commits commands for the filters and waits for their outcome."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio

from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.recording import Pending, RecordingController
    from camphorvalve.controllers.runtime import Runtime
    from camphorvalve.registry.commands import Command, Outcome

LATER_TIMEOUT_S = 120.0
"""How long a settling command is resent while there is no quorum."""


class Records:
    """The filters' way to the replicated state machine."""

    def __init__(self, recording: RecordingController, runtime: Runtime, timeout_s: float) -> None:
        """
        Prepare the client.

        :param recording: owns the pending commands
        :param runtime: sends messages
        :param timeout_s: longest wait for a quorum
        """
        self._recording = recording
        self._runtime = runtime
        self._timeout_s = timeout_s

    async def submit(self, command: Command) -> Outcome:
        """
        Commit a command.

        :param command: the command
        :return: its outcome
        :raises RequestError: no quorum in time; the command may still be committed later
        """
        return await self._settle(self._recording.begin(command, time.monotonic(), self._timeout_s))

    async def submit_kept(self, command: Command, settled: Callable[[Outcome], None]) -> Outcome:
        """
        Commit a command that is resent even when nobody waits for its outcome any more.

        :param command: the command
        :param settled: called with the outcome, however late it comes
        :return: the outcome
        :raises RequestError: no quorum in time; the command may still be committed later
        """
        now_s = time.monotonic()
        return await self._settle(
            self._recording.begin(command, now_s, LATER_TIMEOUT_S, settled), keep=True
        )

    async def look_up(self, record_id: str) -> Outcome:
        """
        Read the state of a record or of accepted work.

        :param record_id: id of the record or the work
        :return: ``Done`` while it waits, else the state; ``Invalid`` when there is none
        :raises RequestError: no leader answered in time
        """
        return await self._settle(
            self._recording.begin_lookup(record_id, time.monotonic(), self._timeout_s)
        )

    async def _settle(self, pending: Pending, *, keep: bool = False) -> Outcome:
        now_s = time.monotonic()
        self._runtime.send(self._recording.resend(pending, now_s))
        with anyio.move_on_after(self._timeout_s):
            await pending.event.wait()
        if pending.outcome is None:
            if not keep:
                self._recording.drop(pending)
            raise RequestError(
                "no_quorum", "the controllers have no quorum; nothing was sent", retry_after_s=2.0
            )
        return pending.outcome

    def submit_later(self, command: Command) -> None:
        """
        Commit a command without waiting for its outcome.

        :param command: the command
        """
        now_s = time.monotonic()
        pending = self._recording.begin(command, now_s, LATER_TIMEOUT_S)
        self._runtime.send(self._recording.resend(pending, now_s))


__all__ = ["Records"]
