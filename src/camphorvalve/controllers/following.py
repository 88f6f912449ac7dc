"""The configuration in force on a router; follows the controllers and never steps back."""

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
"""Half of the time in which a change has to be in force on the platform, whose push was lost."""
FIRST_POLL_S = 0.2
"""While there is no configuration: answers are dropped until a connection back stands, so that a
router that starts together with the controllers needs several polls."""
FIRST_POLLS_COUNT = 50
"""Polls after which a fleet without any configuration is left at that."""

_log = structlog.get_logger(__name__)


class Load(NamedTuple):
    """What a router tells the controllers of itself."""

    leaving: bool
    waiting_count: int
    running_count: int


class Contact(NamedTuple):
    """Where a router is and how it is reached."""

    url: str
    """For operators."""
    data_centre: str
    caller_address: str


class Controllers(Protocol):
    """Tells which controllers to poll."""

    def controller_ids(self) -> Iterable[str]:
        """:return: ids of the controllers"""

    def roster_version(self, controller_id: str) -> int:
        """
        Tell which roster is held.

        :param controller_id: the controller that sent it
        :return: its version, 0 without one
        """


class FixedControllers(NamedTuple):
    """Controllers that the settings list."""

    ids: tuple[str, ...]

    def controller_ids(self) -> Iterable[str]:
        """:return: ids of the controllers"""
        return self.ids

    def roster_version(self, controller_id: str) -> int:
        """
        Tell which roster is held.

        :param controller_id: the controller that sent it
        :return: 0, as none is kept
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
        :param contact: where this router is reached
        :param load: tells the present load
        """
        self._controllers = controllers
        self._contact = contact
        self._load = load
        self._on_change: list[Callable[[Configuration], None]] = []
        self._total_shares: dict[str, float] = {}
        self._polls_count = 0
        self.configuration = configuration.EMPTY
        self.heard_s: dict[str, float] = {}

    @property
    def tick_s(self) -> float:
        """:return: time until the next poll"""
        waits = self.configuration.revision == 0 and self._polls_count < FIRST_POLLS_COUNT
        return FIRST_POLL_S if waits else POLL_S

    def subscribe(self, on_change: Callable[[Configuration], None]) -> None:
        """
        Ask to be told of each new revision.

        :param on_change: called with the configuration in force
        """
        self._on_change.append(on_change)

    def share(self, team: str) -> float:
        """
        Look up a team's share.

        :param team: name of the team
        :return: its share, 1 for a team that was removed while work waits
        """
        parameters = self.configuration.parameters(team)
        return 1.0 if parameters is None else parameters.share

    def share_ratio(self, pool: str, team: str) -> float:
        """
        Compare a team's share with those of all teams that may use a pool.

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
        Apply an update unless it is not newer than what is in force.

        :param sender: a controller
        :param message: ``ConfigUpdate``
        :param now_s: current time
        :return: nothing
        """
        self.heard_s[sender.host_id] = now_s
        current = self.configuration
        if message.to_revision <= current.revision:
            return
        if message.from_revision not in (0, current.revision):
            return
        try:
            following = _apply(current, message)
        except (DecodeError, msgspec.MsgspecError, configuration.ChangeError) as error:
            _log.error("configuration update refused", sender=sender.host_id, reason=str(error))
            return
        self.configuration = following
        self._total_shares.clear()
        _log.info("configuration in force", revision=following.revision)
        for on_change in self._on_change:
            on_change(following)
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
        """:return: polls to all controllers, sent before they are due when this router leaves"""
        load = self._load()
        for controller_id in self._controllers.controller_ids():
            version = self._controllers.roster_version(controller_id)
            revision = self.configuration.revision
            yield Outgoing(controller_id, ConfigPoll(revision, *load, *self._contact, version))


def _apply(current: Configuration, message: ConfigUpdate) -> Configuration:
    if message.from_revision == 0:
        following = configuration.decode(message.payload)
    else:
        following = current
        for change in decode_changes(message.payload):
            following = configuration.apply_change(following, change)
    if following.revision != message.to_revision:
        raise configuration.ChangeError(
            f"update to revision {message.to_revision} leads to {following.revision}"
        )
    return following


__all__ = ["ConfigurationFollower", "Contact", "Controllers", "FixedControllers", "Load"]
