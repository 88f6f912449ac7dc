"""Commits orders to evacuate a data centre, and to end it, on any controller."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

import anyio
import structlog

from camphorvalve.controllers.quorum.resubmission import RETRY_DELAY_S, Resubmitter
from camphorvalve.model.errors import RequestError
from camphorvalve.registry.commands import (
    CHANGE_CODEC,
    ChangeConfiguration,
    Conflict,
    Done,
    Invalid,
    SetEvacuation,
)
from camphorvalve.registry.configuration import Evacuation

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.quorum.replication import ReplicationController

ORDER_TIMEOUT_S = 2.5
"""May exceed the one second after which operators resend an order to another controller."""

_log = structlog.get_logger(__name__)


class EvacuationStore:
    """
    Commits evacuations through the replicated log, whichever controller leads.

    An order takes effect only on the state that a majority confirmed after the order had arrived.
    An order that is still under way when a later one is acknowledged is therefore not applied after
    it, and its caller gets no clear answer.
    """

    def __init__(
        self,
        replication: ReplicationController,
        clock: Callable[[], float] = time.monotonic,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        """
        Prepare the store.

        :param replication: the replicated state
        :param clock: monotonic time
        :param retry_delay_s: pause after an attempt that reached no leader
        """
        self._replication = replication
        self._clock = clock
        self._resubmitter = Resubmitter(
            replication, "resubmitting an evacuation", clock, retry_delay_s
        )

    async def order(self, data_centre: str, *, evacuated: bool) -> int:
        """
        Commit an order; one that is in force already changes nothing and is acknowledged.

        :param data_centre: the data centre
        :param evacuated: whether its upstreams get no new work from now on
        :return: revision of the configuration in which the order is in force
        :raises RequestError: ``bad_body`` if the name is invalid, ``no_quorum`` if the order is not
            known to be committed or was overtaken by another one
        """
        received_s = self._clock()
        with anyio.move_on_after(ORDER_TIMEOUT_S):
            base = await self._confirmed(data_centre)
            change = CHANGE_CODEC.encode(SetEvacuation(data_centre, evacuated))
            while True:
                configuration = self._replication.state.configuration
                current = configuration.evacuations.get(data_centre, Evacuation())
                if current.in_force == evacuated:
                    self._log_decision(data_centre, evacuated, "in force", received_s)
                    return configuration.revision
                if current.changes_count != base.changes_count:
                    self._log_decision(data_centre, evacuated, "overtaken", received_s)
                    raise RequestError("no_quorum", "another order on this data centre came first")
                command = ChangeConfiguration(uuid.uuid4().hex, configuration.revision, change)
                # Its operation id makes it take effect once, however often it is submitted.
                match await self._resubmitter.commit(command):
                    case Done(revision=revision):
                        self._log_decision(data_centre, evacuated, "committed", received_s)
                        return revision
                    case Conflict():
                        # Another change of the configuration came first, such as a manifest.
                        await self._confirmed(data_centre)
                    case Invalid(reason):
                        raise RequestError("bad_body", reason)
                    case unexpected:
                        raise RequestError("internal_error", f"unexpected outcome {unexpected!r}")
        self._log_decision(data_centre, evacuated, "unknown", received_s)
        raise RequestError("no_quorum", "the evacuation is not known to be committed")

    async def _confirmed(self, data_centre: str) -> Evacuation:
        """Return a data centre's state once it holds all that was committed before the call."""
        await self._resubmitter.confirm()
        evacuations = self._replication.state.configuration.evacuations
        return evacuations.get(data_centre, Evacuation())

    def _log_decision(
        self, data_centre: str, evacuated: bool, outcome: str, received_s: float
    ) -> None:
        _log.info(
            "evacuation decided",
            data_centre=data_centre,
            evacuated=evacuated,
            outcome=outcome,
            waited_ms=round(1000 * (self._clock() - received_s), 1),
        )


__all__ = ["EvacuationStore"]
