"""Sends configuration updates and the roster of processes from a controller to routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.wire.messages import ConfigUpdate, RosterUnchanged

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.controllers.presence import Presence
    from camphorvalve.registry.state import RegistryState
    from camphorvalve.wire.messages import ConfigPoll


class ConfigurationPublisher:
    """Answers routers' polls and pushes newly committed configurations."""

    def __init__(self, presence: Presence) -> None:
        """
        Start without a pushed revision.

        :param presence: the routers that have polled
        """
        self._presence = presence
        self._pushed_revision = 0

    def answer(
        self,
        router_id: str,
        poll: ConfigPoll,
        state: RegistryState,
        controller_ids: Iterable[str],
        term: int,
        now_s: float,
    ) -> Iterator[Outgoing]:
        """
        Answer a poll.

        :param router_id: the router
        :param poll: its poll
        :param state: the replicated state
        :param controller_ids: ids of the known controllers
        :param term: current term
        :param now_s: monotonic time
        :return: the configuration if the router's is older, and the roster or its unchanged version
        """
        yield from _configuration_update(router_id, poll.revision, state, term)
        roster = self._presence.roster(controller_ids, now_s)
        changed = roster.version != poll.roster_version
        yield Outgoing(router_id, roster if changed else RosterUnchanged(roster.version))

    def push(self, state: RegistryState, term: int, now_s: float) -> Iterator[Outgoing]:
        """
        Send a new configuration to the routers without waiting for their polls; used by the leader.

        :param state: the replicated state
        :param term: current term
        :param now_s: monotonic time
        :return: updates
        """
        if state.configuration.revision <= self._pushed_revision:
            return
        self._pushed_revision = state.configuration.revision
        for router in self._presence.live(now_s):
            yield from _configuration_update(router.router_id, router.poll.revision, state, term)


def _configuration_update(
    router_id: str, revision: int, state: RegistryState, term: int
) -> Iterator[Outgoing]:
    delta = state.history.update_from(revision)
    if delta is not None:
        message = ConfigUpdate(delta.from_revision, delta.to_revision, term, delta.payload)
        yield Outgoing(router_id, message)


__all__ = ["ConfigurationPublisher"]
