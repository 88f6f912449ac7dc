"""The configuration in force on a router; follows the controllers and never steps back."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import structlog

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.registry import configuration
from camphorvalve.registry.history import decode_changes
from camphorvalve.wire.codec import DecodeError
from camphorvalve.wire.messages import ConfigPoll, ConfigUpdate

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.registry.configuration import Configuration

_log = structlog.get_logger(__name__)


class Load(NamedTuple):
    """What a router tells the controllers of itself."""

    leaving: bool
    waiting_count: int
    running_count: int


class ConfigurationFollower:
    """Owns the configuration in force on this router."""

    name = "following"
    tick_s = 1.0
    accepts = (ConfigUpdate,)

    def __init__(self, controller_ids: Sequence[str], url: str, load: Callable[[], Load]) -> None:
        """
        Start without configuration.

        :param controller_ids: controllers to poll
        :param url: where operators reach this router, for the fleet's status
        :param load: tells the present load
        """
        self._controller_ids = controller_ids
        self._url = url
        self._load = load
        self._on_change: list[Callable[[Configuration], None]] = []
        self._total_shares: dict[str, float] = {}
        self.configuration = configuration.EMPTY
        self.heard_s: dict[str, float] = {}

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
        yield from self._poll()

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Poll every controller.

        :param now_s: current time
        :return: polls
        """
        yield from self._poll()

    def _poll(self) -> Iterator[Outgoing]:
        poll = ConfigPoll(self.configuration.revision, 0, *self._load(), self._url)
        for controller_id in self._controller_ids:
            yield Outgoing(controller_id, poll)


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


__all__ = ["ConfigurationFollower", "Load"]
