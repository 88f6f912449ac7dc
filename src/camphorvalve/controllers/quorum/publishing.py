"""Sends configuration updates and the roster of processes from a controller to routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.wire.messages import ConfigUpdate, RosterChange, RosterUnchanged

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from camphorvalve.controllers.quorum.presence import Presence
    from camphorvalve.registry.state import RegistryState
    from camphorvalve.wire.messages import ConfigPoll, Roster

ROSTER_INTERVAL_S = 0.1
"""Interval at which routers that have become silent are looked for; hundreds of routers poll, and
computing the roster for each poll would cost the square of their number."""
RECENT_ROSTERS_COUNT = 32
"""Rosters that are kept; a router polls every second, and has one that is not older unless it was
cut off."""


class ConfigurationPublisher:
    """Answers routers' polls and pushes newly committed configurations."""

    def __init__(self, presence: Presence) -> None:
        """
        Start without a pushed revision.

        :param presence: the routers that have polled
        """
        self._presence = presence
        self._rosters = _Rosters(presence)
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
        :return: the configuration if the router's is older, and the roster, its difference to the
            router's or its unchanged version
        """
        yield from _configuration_update(router_id, poll.revision, state, term)
        yield Outgoing(router_id, self._rosters.answer(poll.roster_version, controller_ids, now_s))

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


class _Rosters:
    """
    The recent rosters of this controller, and the differences between them.

    A whole roster for each router at each change would grow with the square of their number.
    """

    def __init__(self, presence: Presence) -> None:
        self._presence = presence
        self._current: Roster | None = None
        self._computed_s = float("-inf")
        self._presence_version = -1
        self._recent: dict[int, Roster] = {}
        self._changes: dict[int, RosterChange] = {}
        """Changes to the current roster, by version of the roster that they start from."""

    def answer(
        self, known_version: int, controller_ids: Iterable[str], now_s: float
    ) -> Roster | RosterChange | RosterUnchanged:
        """Return what brings a router that has a roster of this version up to date."""
        roster = self._update(controller_ids, now_s)
        if known_version == roster.version:
            return RosterUnchanged(roster.version)
        known = self._recent.get(known_version)
        if known is None:
            return roster
        change = self._changes.get(known_version)
        if change is None:
            change = self._changes[known_version] = _difference(known, roster)
        return change

    def _update(self, controller_ids: Iterable[str], now_s: float) -> Roster:
        current, presence_version = self._current, self._presence.version
        is_recent = now_s - self._computed_s < ROSTER_INTERVAL_S
        if current is not None and is_recent and presence_version == self._presence_version:
            return current
        self._computed_s, self._presence_version = now_s, presence_version
        roster = self._presence.roster(controller_ids, now_s)
        if current is None or roster.version != current.version:
            self._current = roster
            self._changes.clear()
            self._recent.pop(roster.version, None)
            self._recent[roster.version] = roster
            if len(self._recent) > RECENT_ROSTERS_COUNT:
                del self._recent[next(iter(self._recent))]
        return roster


def _difference(known: Roster, roster: Roster) -> RosterChange:
    known_routers = {router.router_id: router for router in known.routers}
    changed = tuple(
        router for router in roster.routers if known_routers.get(router.router_id) != router
    )
    removed_ids = known_routers.keys() - {router.router_id for router in roster.routers}
    return RosterChange(
        known.version, roster.version, roster.controllers, changed, tuple(sorted(removed_ids))
    )


def _configuration_update(
    router_id: str, revision: int, state: RegistryState, term: int
) -> Iterator[Outgoing]:
    delta = state.history.update_from(revision)
    if delta is not None:
        message = ConfigUpdate(delta.from_revision, delta.to_revision, term, delta.payload)
        yield Outgoing(router_id, message)


__all__ = ["ConfigurationPublisher"]
