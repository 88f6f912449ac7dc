"""Decides which new connections a router takes while it has too little processor time."""

from __future__ import annotations

from dataclasses import dataclass

TARGET_LAG_S = 0.04
"""Lag of the loop above which fewer connections are taken: a fifth of the 200 ms in which an event
of a stream has to be passed on, as an event crosses the loop several times."""
EASY_LAG_S = 0.01
"""Lag below which there is time to spare."""
LEAST_DECREASE_RATIO = 0.5
"""Lowest factor of one measurement."""
REFUSED_RATIO = 0.3
"""Part of the taken requests that may be refused later, at ten times the cost, while there is no
time to spare; beyond it fewer are taken."""
REFUSED_DECREASE_RATIO = 0.9
INCREASE_RATIO = 1.05
EASY_INCREASE_RATIO = 1.1
"""Factor while there is time to spare."""
INCREASE_STEP_COUNT = 0.05
"""With the factor above, from the least level to the most in 2 s, at 20 measurements a second."""
MOST_LEVEL_COUNT = 16.0
"""Level at which nothing is refused but what exceeds it: 320 connections of a team a second."""
LEAST_LEVEL_COUNT = 0.2
"""Level that always remains, 4 connections of a team a second, so that the intake shows when there
is time again."""
UNSEEN_COUNT = 8
"""Connections between two measurements that are taken before their team is known, while processor
time is not short; with the highest level of one team this leaves room for others."""
MOST_TAKEN_COUNT = 32
"""Connections of all teams that are taken between two measurements at most: served ones take up to
4 ms each at half a core, and 512 that waited for a frozen router would keep the loop busy for
seconds."""
LEAST_RETRY_AFTER_S = 1.0
"""When a caller who was not taken may come back at the soonest: the intake changes by half then."""
MOST_RETRY_AFTER_S = 30.0
"""Longer than callers of the deployments wait for an answer, 10 s."""
FADING_RATIO = 0.95
"""Part of the counts that each measurement leaves, which makes them those of about a second."""
FORGOTTEN_COUNT = 0.5
"""Refusals below which a team is forgotten."""


@dataclass(slots=True)
class _Recent:
    """Connections of a team in about the last second."""

    taken_count: float = 0.0
    refused_count: float = 0.0


class Intake:
    """
    How many new connections of each team are served; all others are refused without being parsed.

    All teams have the same level, so that a team whose callers all come to this router is refused
    and the others are not. The level falls in proportion to how late the loop is, and while what is
    taken is refused later on; it grows while the loop is on time.
    """

    def __init__(self) -> None:
        """Start at the highest level."""
        self.level_count = MOST_LEVEL_COUNT
        """Connections of one team between two measurements."""
        self._credits: dict[str | None, float] = {}
        """What is left of the level, of teams that have used some of it."""
        self._recent: dict[str | None, _Recent] = {}
        """Of teams that were refused lately."""
        self._last_lag_s = 0.0
        self._taken_count = 0
        self._served_count = 0
        self._wasted_count = 0
        self.refused_count = 0
        """Connections since the start that were not taken."""

    def measure(self, lag_s: float, served_count: int = 0, wasted_count: int = 0) -> None:
        """
        Learn how late the loop is, and what became of requests that were taken.

        :param lag_s: time by which the loop was late at the last measurement
        :param served_count: requests since the start that were not refused
        :param wasted_count: requests since the start that were taken and refused later
        """
        served, wasted = served_count - self._served_count, wasted_count - self._wasted_count
        self._served_count, self._wasted_count = served_count, wasted_count
        # One long turn says little about the next ones; a router that starts has some.
        steady_lag_s, self._last_lag_s = min(lag_s, self._last_lag_s), lag_s
        if steady_lag_s > TARGET_LAG_S:
            level = self.level_count * max(LEAST_DECREASE_RATIO, TARGET_LAG_S / steady_lag_s)
        elif lag_s < EASY_LAG_S:
            level = self.level_count * EASY_INCREASE_RATIO + INCREASE_STEP_COUNT
        elif wasted > REFUSED_RATIO * (served + wasted):
            level = self.level_count * REFUSED_DECREASE_RATIO
        else:
            level = self.level_count * INCREASE_RATIO + INCREASE_STEP_COUNT
        self.level_count = min(MOST_LEVEL_COUNT, max(LEAST_LEVEL_COUNT, level))
        self._taken_count = 0
        grown = {team: credit + self.level_count for team, credit in self._credits.items()}
        self._credits = {team: credit for team, credit in grown.items() if credit < self._most()}
        for recent in self._recent.values():
            recent.taken_count *= FADING_RATIO
            recent.refused_count *= FADING_RATIO
        self._recent = {
            team: recent
            for team, recent in self._recent.items()
            if recent.refused_count > FORGOTTEN_COUNT
        }

    def takes(self, team: str | None) -> bool:
        """
        Decide about one connection.

        :param team: team of the request on it, ``None`` if it has none that is known
        :return: whether it is served
        """
        credit = self._credits.get(team, self._most())
        if credit >= 1.0 and self._taken_count < MOST_TAKEN_COUNT:
            self._credits[team] = credit - 1.0
            self._taken_count += 1
            if recent := self._recent.get(team):
                recent.taken_count += 1
            return True
        self._recent.setdefault(team, _Recent()).refused_count += 1
        self.refused_count += 1
        return False

    def retry_after_s(self, team: str | None) -> float:
        """
        Tell when a refused caller may come back.

        :param team: team of its request
        :return: how long it takes to serve all that the team was refused in the last second
        """
        recent = self._recent.get(team, _Recent())
        wait_s = recent.refused_count / max(1.0, recent.taken_count)
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))

    def is_short(self) -> bool:
        """:return: whether processor time is short, so that connections are decided about"""
        return self.level_count < MOST_LEVEL_COUNT

    def takes_unseen(self) -> bool:
        """
        Decide about one connection before its request is known, where its team makes no difference.

        :return: whether it is served; otherwise ``takes`` has to decide
        """
        if self.is_short() or self._taken_count >= UNSEEN_COUNT:
            return False
        self._taken_count += 1
        return True

    def _most(self) -> float:
        return max(1.0, self.level_count)


__all__ = [
    "EASY_LAG_S",
    "LEAST_LEVEL_COUNT",
    "LEAST_RETRY_AFTER_S",
    "MOST_LEVEL_COUNT",
    "MOST_RETRY_AFTER_S",
    "MOST_TAKEN_COUNT",
    "TARGET_LAG_S",
    "Intake",
]
