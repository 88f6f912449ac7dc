"""Serves the requests that arrive at the operator port of a controller."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import anyio

from camphorvalve.controllers.quorum.submissions import NotLeaderError, OutcomeUnknownError
from camphorvalve.model.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.quorum.replication import ReplicationController
    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.registry.commands import Command, Outcome
    from camphorvalve.registry.configuration import Configuration
    from camphorvalve.settings.schema import ControllerSettings
    from camphorvalve.wire.link import Traffic

SUBMIT_TIMEOUT_S = 10.0


class ControllerBackend:
    """Answers operators from the replicated state and submits their commands."""

    def __init__(
        self,
        settings: ControllerSettings,
        replication: ReplicationController,
        traffic: Callable[[], Traffic],
    ) -> None:
        """
        Prepare the backend.

        :param settings: settings of this controller
        :param replication: the replicated state
        :param traffic: returns the traffic counters of the peer link
        """
        self._traffic = traffic
        self._settings = settings
        self._replication = replication
        self.operator_urls = {settings.host_id: settings.operator_url}
        """Operator URL by controller, from the membership feed."""
        self.upstreams: dict[str, Upstream] = {}
        """Upstreams by id, from the membership feed."""

    async def submit(self, command: Command) -> Outcome:
        """
        Commit a command.

        :param command: the command
        :return: outcome of the command
        :raises RequestError: ``not_leader`` if nothing was appended to the log,
            ``outcome_unknown`` if the entry may still be committed
        """
        pending = self._replication.submit(command, time.monotonic())
        try:
            with anyio.fail_after(SUBMIT_TIMEOUT_S):
                return await pending.wait()
        except NotLeaderError as error:
            raise RequestError("not_leader", str(error)) from error
        except (OutcomeUnknownError, TimeoutError) as error:
            message = "the change may still be committed; resubmit it under the same operation id"
            raise RequestError("outcome_unknown", message, retry_after_s=1.0) from error

    def configuration(self) -> Configuration:
        """:return: the configuration that this controller has applied"""
        return self._replication.state.configuration

    def status(self) -> dict[str, Any]:
        """:return: JSON object that describes the members, the log and the routers"""
        return {
            **self._replication.status(),
            "host_id": self._settings.host_id,
            "operator_urls": dict(self.operator_urls),
            "traffic": self._traffic()._asdict(),
            "processor_s": round(time.process_time(), 3),
        }

    def orders(self) -> list[Any]:
        """:return: all orders to engines with their states"""
        return list(self._replication.state.orders.all())

    def leader_url(self) -> str | None:
        """:return: operator URL of the leader, if one is known"""
        return self.operator_urls.get(self._replication.leader_id or "")

    def is_leader(self) -> bool:
        """:return: whether this controller is the leader"""
        return self._replication.leads


__all__ = ["ControllerBackend"]
