"""Keeps a router's configuration up to date; it never returns to an older revision."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec
import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry import configuration
from camphorvalve.registry.history import decode_changes
from camphorvalve.wire.codec import DecodeError
from camphorvalve.wire.messages import ConfigPoll, ConfigUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.registry.configuration import Configuration

POLL_S = 1.0
"""Poll interval: half of the time within which a change must be in force, so that a change whose
push was lost still arrives in time."""
INITIAL_POLL_S = 0.2
"""Poll interval without a configuration: answers are dropped until the controller has connected
back, so that a router that starts together with the controllers needs several polls."""
INITIAL_POLLS_COUNT = 50
"""Polls at the short interval, after which the fleet is assumed to have no configuration yet."""

_log = structlog.get_logger(__name__)


class Load(NamedTuple):
    """Load of a router, as reported to the controllers."""

    leaving: bool
    waiting_count: int
    running_count: int


class Contact(NamedTuple):
    """Location and addresses of a router."""

    url: str
    """URL of the operator interface."""
    data_centre: str
    caller_address: str
    cores: float = 0.0
    """Ordinary cores that the router may use; 0 if unknown."""


class Controllers(Protocol):
    """Provides the controllers to poll."""

    def controller_ids(self) -> Iterable[str]:
        """:return: ids of the controllers"""

    def roster_version(self, controller_id: str) -> int:
        """
        Look up the version of the stored roster.

        :param controller_id: the controller that sent the roster
        :return: its version, 0 without one
        """


class FixedControllers(NamedTuple):
    """Controllers that are listed in the settings."""

    ids: tuple[str, ...]

    def controller_ids(self) -> Iterable[str]:
        """:return: ids of the controllers"""
        return self.ids

    def roster_version(self, controller_id: str) -> int:
        """
        Look up the version of the stored roster.

        :param controller_id: the controller that sent the roster
        :return: 0, as no roster is stored
        """
        return 0


class ConfigurationFollower:
    """Owns the configuration in force on this router."""

    name = "following"
    accepts = (ConfigUpdate,)

    def __init__(
        self, controllers: Controllers, contact: Contact, load: Callable[[], Load]
    ) -> None:
        """
        Start without configuration.

        :param controllers: controllers to poll
        :param contact: location and addresses of this router
        :param load: returns the current load
        """
        self._controllers = controllers
        self._contact = contact
        self._load = load
        self._callbacks: list[Callable[[Configuration], None]] = []
        self._total_shares: dict[str, float] = {}
        self._polls_count = 0
        self.configuration = configuration.EMPTY_CONFIGURATION
        self.heard_s: dict[str, float] = {}

    @property
    def tick_s(self) -> float:
        """:return: time until the next poll"""
        is_initial = self.configuration.revision == 0 and self._polls_count < INITIAL_POLLS_COUNT
        return INITIAL_POLL_S if is_initial else POLL_S

    def subscribe(self, on_change: Callable[[Configuration], None]) -> None:
        """
        Register a callback for new revisions.

        :param on_change: called with each new configuration in force
        """
        self._callbacks.append(on_change)

    def share(self, team: str) -> float:
        """
        Look up a team's share.

        :param team: name of the team
        :return: its share, 1 for a team that was removed while its requests are queued
        """
        parameters = self.configuration.parameters(team)
        return 1.0 if parameters is None else parameters.share

    def share_ratio(self, pool: str, team: str) -> float:
        """
        Compute a team's fraction of the shares of all teams that may use a pool.

        :param pool: name of the pool
        :param team: name of the team
        :return: 0 to 1
        """
        if pool not in self._total_shares:
            self._total_shares[pool] = self.configuration.total_share(pool)
        total = self._total_shares[pool]
        return self.share(team) / total if total > 0 else 1.0

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Apply an update if it is newer than the configuration in force.

        :param sender: a controller
        :param message: ``ConfigUpdate``
        :param now_s: current time
        :return: polls that report the new revision, if the update was applied
        """
        self.heard_s[sender.host_id] = now_s
        current = self.configuration
        if message.to_revision <= current.revision:
            return
        if message.from_revision not in (0, current.revision):
            return
        try:
            updated = _apply_update(current, message)
        except (DecodeError, msgspec.MsgspecError, configuration.ChangeError) as error:
            _log.error("configuration update refused", sender=sender.host_id, reason=str(error))
            return
        self.configuration = updated
        self._total_shares.clear()
        _log.info("configuration in force", revision=updated.revision)
        for on_change in self._callbacks:
            on_change(updated)
        yield from self.poll()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Poll every controller.

        :param now_s: current time
        :return: polls
        """
        self._polls_count += 1
        yield from self.poll()

    def poll(self) -> Iterator[Outgoing]:
        """:return: polls to all controllers; also sent between ticks, as when this router leaves"""
        load = self._load()
        *addresses, cores = self._contact
        for controller_id in self._controllers.controller_ids():
            version = self._controllers.roster_version(controller_id)
            revision = self.configuration.revision
            yield Outgoing(controller_id, ConfigPoll(revision, *load, *addresses, version, cores))


def _apply_update(current: Configuration, message: ConfigUpdate) -> Configuration:
    if message.from_revision == 0:
        updated = configuration.decode(message.payload)
    else:
        updated = current
        for change in decode_changes(message.payload):
            updated = configuration.apply_change(updated, change)
    if updated.revision != message.to_revision:
        raise configuration.ChangeError(
            f"update to revision {message.to_revision} resulted in revision {updated.revision}"
        )
    return updated


__all__ = ["ConfigurationFollower", "Contact", "Controllers", "FixedControllers", "Load"]
