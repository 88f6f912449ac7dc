"""Load shedding: decides which requests a router serves while processor time is short."""

from __future__ import annotations

from dataclasses import dataclass

TARGET_LAG_S = 0.04
"""Highest lag of the event loop above which fewer connections are accepted: a fifth of the 200 ms
within which an event of a stream must be forwarded, as each event passes through the loop several
times."""
LOW_LAG_RATIO = 1 / 4
"""Part of the target below which the loop has spare time."""
LOW_LAG_S = LOW_LAG_RATIO * TARGET_LAG_S
FIRST_EVENT_TURNS_COUNT = 8
"""Turns of the event loop that a request takes until its first event is passed on."""
OBJECTIVE_RATIO = 1 / 4
"""Part of the objective for the first event that these turns may take; the rest is the engine's."""
MIN_TARGET_LAG_S = 0.01
"""Lowest target: a single request takes half of it."""
MIN_DECREASE_FACTOR = 0.5
"""Lower bound of the factor that one measurement applies to the level."""
MAX_REFUSED_LATER_RATIO = 0.3
"""Part of the accepted requests that may be refused later, which costs ten times as much, while the
loop has no spare time; above it fewer connections are accepted."""
REFUSED_LATER_FACTOR = 0.9
INCREASE_FACTOR = 1.05
LOW_LAG_INCREASE_FACTOR = 1.1
"""Factor while the loop has spare time."""
INCREASE_STEP_COUNT = 0.05
"""Added after the factor; with both, the level rises from its minimum to its maximum in 2 s at 20
measurements a second."""
MAX_LEVEL_COUNT = 16.0
"""Maximum level: 320 connections of a team a second. Only connections above it are refused."""
MIN_LEVEL_COUNT = 0.2
"""Minimum level: 4 connections of a team a second, so that measurements show when the load has
fallen."""
MAX_UNPARSED_COUNT = 8
"""Connections between two measurements that are accepted before their team is known, while the
level is at its maximum. Together with the maximum level of one team they stay below
``MAX_ACCEPTED_COUNT``, which leaves connections for other teams."""
MAX_ACCEPTED_COUNT = 32
"""Maximum number of connections of all teams that are accepted between two measurements: each one
takes up to 4 ms to serve at half a core, so that the 512 in the listen queue of a router that was
paused would block the loop for seconds."""
MIN_RETRY_AFTER_S = 1.0
"""Shortest time after which a refused caller is told to retry; in that time, 20 measurements, the
level can more than double."""
MAX_RETRY_AFTER_S = 30.0
"""Longer than the 10 s for which callers of the deployments wait for an answer."""
DECAY_RATIO = 0.95
"""Factor of the counts at each measurement; they then cover about one second."""
MIN_REFUSED_COUNT = 0.5
"""Decayed number of refusals below which the counts of a team are dropped."""


@dataclass(slots=True)
class _RecentCounts:
    """Counts the connections of a team in about the last second."""

    accepted_count: float = 0.0
    refused_count: float = 0.0


def target_lag_s(objective_s: float | None) -> float:
    """
    Derive the target for the lag from the objectives of streams.

    Answers the load of more callers than processor time at routers whose callers want the first
    event soon: with the highest target, all of them would get it late.

    :param objective_s: the shortest objective for a first event, ``None`` without streams
    :return: target in seconds
    """
    if objective_s is None:
        return TARGET_LAG_S
    lag_s = OBJECTIVE_RATIO * objective_s / FIRST_EVENT_TURNS_COUNT
    return min(TARGET_LAG_S, max(MIN_TARGET_LAG_S, lag_s))


class Intake:
    """
    Limits how many new connections of each team are served; others are refused without parsing.
    While processor time is short, requests on open connections count like new connections.

    All teams have the same limit, the level, so that a team whose callers all connect to this
    router is refused before the others. The level falls in proportion to the lag of the event loop,
    and also while too many accepted requests are refused later; otherwise it rises.
    """

    def __init__(self) -> None:
        """Start at the highest level."""
        self.level_count = MAX_LEVEL_COUNT
        """Connections of each team that are accepted between two measurements."""
        self.target_lag_s = TARGET_LAG_S
        """Lag above which the level falls."""
        self._credits: dict[str | None, float] = {}
        """Unused part of the level, for teams that have used some of it."""
        self._recent: dict[str | None, _RecentCounts] = {}
        """Counts of teams with recent refusals."""
        self._last_lag_s = 0.0
        self._accepted_count = 0
        self._served_count = 0
        self._refused_later_count = 0
        self.refused_count = 0
        """Connections refused since the start."""

    def measure(self, lag_s: float, served_count: int = 0, refused_later_count: int = 0) -> None:
        """
        Adapt the level to the lag of the event loop and to the outcomes of accepted requests.

        :param lag_s: lag of the event loop at the latest measurement
        :param served_count: requests since the start that were not refused
        :param refused_later_count: requests since the start that were accepted and refused later
        """
        served, refused = (
            served_count - self._served_count,
            refused_later_count - self._refused_later_count,
        )
        self._served_count, self._refused_later_count = served_count, refused_later_count
        # A single long iteration of the loop says little about the next ones, and a starting router
        # has a few of them.
        steady_lag_s, self._last_lag_s = min(lag_s, self._last_lag_s), lag_s
        target_lag_s = self.target_lag_s
        if steady_lag_s > target_lag_s:
            level = self.level_count * max(MIN_DECREASE_FACTOR, target_lag_s / steady_lag_s)
        elif lag_s < LOW_LAG_RATIO * target_lag_s:
            level = self.level_count * LOW_LAG_INCREASE_FACTOR + INCREASE_STEP_COUNT
        elif refused > MAX_REFUSED_LATER_RATIO * (served + refused):
            level = self.level_count * REFUSED_LATER_FACTOR
        else:
            level = self.level_count * INCREASE_FACTOR + INCREASE_STEP_COUNT
        self.level_count = min(MAX_LEVEL_COUNT, max(MIN_LEVEL_COUNT, level))
        self._accepted_count = 0
        grown = {team: credit + self.level_count for team, credit in self._credits.items()}
        self._credits = {
            team: credit for team, credit in grown.items() if credit < self._max_credit()
        }
        for recent in self._recent.values():
            recent.accepted_count *= DECAY_RATIO
            recent.refused_count *= DECAY_RATIO
        self._recent = {
            team: recent
            for team, recent in self._recent.items()
            if recent.refused_count > MIN_REFUSED_COUNT
        }

    def accepts(self, team: str | None) -> bool:
        """
        Decide whether to serve a connection.

        :param team: team of its request, ``None`` without a known team
        :return: whether to serve it
        """
        credit = self._credits.get(team, self._max_credit())
        if credit >= 1.0 and self._accepted_count < MAX_ACCEPTED_COUNT:
            self._credits[team] = credit - 1.0
            self._accepted_count += 1
            if recent := self._recent.get(team):
                recent.accepted_count += 1
            return True
        self._recent.setdefault(team, _RecentCounts()).refused_count += 1
        self.refused_count += 1
        return False

    def accepts_next(self, team: str | None) -> bool:
        """
        Decide whether to serve a request on a connection that has carried others.

        Answers the load of callers that keep their connections: limited by new connections only,
        the router would serve all of them late.

        :param team: team of the request, ``None`` without a known team
        :return: whether to serve it
        """
        return not self.is_overloaded() or self.accepts(team)

    def retry_after_s(self, team: str | None) -> float:
        """
        Return the time after which a refused caller may retry.

        :param team: team of its request
        :return: time to serve the connections of the team that were refused in the last second
        """
        recent = self._recent.get(team, _RecentCounts())
        wait_s = recent.refused_count / max(1.0, recent.accepted_count)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def is_overloaded(self) -> bool:
        """:return: whether processor time is short, so that the limit of each team applies"""
        return self.level_count < MAX_LEVEL_COUNT

    def accepts_unparsed(self) -> bool:
        """
        Decide whether to serve a connection before its request is parsed and its team is known.

        :return: whether to serve it; otherwise ``accepts`` has to decide
        """
        if self.is_overloaded() or self._accepted_count >= MAX_UNPARSED_COUNT:
            return False
        self._accepted_count += 1
        return True

    def _max_credit(self) -> float:
        return max(1.0, self.level_count)


__all__ = [
    "LOW_LAG_S",
    "MAX_ACCEPTED_COUNT",
    "MAX_LEVEL_COUNT",
    "MAX_RETRY_AFTER_S",
    "MIN_LEVEL_COUNT",
    "MIN_RETRY_AFTER_S",
    "MIN_TARGET_LAG_S",
    "TARGET_LAG_S",
    "Intake",
    "target_lag_s",
]
