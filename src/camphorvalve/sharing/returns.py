"""
Promises to refused callers: when to return, and whether room is kept for them then.

The load: callers of a team ask for a multiple of what it can be served, are refused, and return
once, at whichever router. All of them can't be served on their return, so that only a part of them
gets a promise. Which part is drawn from the key of the request, and its size comes from the totals
that all routers have: each router recognises the returns that another one has promised room to.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from camphorvalve.sharing.retrydetection import FIRST_ATTEMPT_RATIO

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

RETURN_RATIO = 0.25
"""Part of a team's service that is kept for returns; first attempts, of which most are still of use
to their callers, get the rest."""
MIN_DELAY_RATIO = 1.02 - FIRST_ATTEMPT_RATIO
"""Shortest time to return, as a part of the longest caller timeout of the kind: all that return are
then told from first attempts by the time that they have left."""
MAX_DELAY_RATIO = 0.3
"""Longest time to return that is promised, as a part of the time that the caller has left: callers
wait for at most a third of it."""
KEPT_S = 4.0
"""How long the promised part of a team counts after it has become smaller: a third of the longest
caller timeout of the deployments of docs/platform.md."""
MAX_DELAY_S = 30.0
"""Longest time to return that is named; the same as at the intake."""


@dataclass(frozen=True, slots=True)
class Kept:
    """Room is kept for the caller when it returns."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Open:
    """The caller can return, and will probably be refused if it does so earlier than told."""

    retry_after_s: float


Promise = Kept | Open


def promised_part(asked_tokens: float, served_tokens: float) -> float:
    """
    Calculate the part of a team's refused requests that can be served on their return.

    :param asked_tokens: demand of the team at all routers
    :param served_tokens: the part of it that was served
    :return: 0 to 1
    """
    refused_tokens = asked_tokens - served_tokens
    if refused_tokens <= RETURN_RATIO * served_tokens:
        return 1.0
    return RETURN_RATIO * served_tokens / refused_tokens


def draw_lot(key: str) -> float:
    """
    Draw the lot of a request, the same at each router and each time that it comes.

    :param key: key of the whole request
    :return: 0 to 1; a request is promised room if this is below the promised part of its team
    """
    return xxhash.xxh3_64_intdigest(key.encode()) / 2.0**64


class _PromisedPart:
    """The promised part of a team, and earlier ones of which promises may still be open."""

    __slots__ = ("_earlier", "asked_ratio", "current")

    def __init__(self) -> None:
        self.current = 0.0
        self.asked_ratio = 1.0
        self._earlier: deque[tuple[float, float]] = deque()

    def set(self, part: float, asked_ratio: float, now_s: float) -> None:
        if part < self.current:
            self._earlier.append((now_s + KEPT_S, self.current))
        self.current, self.asked_ratio = part, asked_ratio
        self.is_open(now_s)

    def is_open(self, now_s: float) -> bool:
        """Tell whether promises of an earlier, larger part may be open."""
        while self._earlier and self._earlier[0][0] <= now_s:
            self._earlier.popleft()
        return bool(self._earlier)

    def kept_at(self, now_s: float) -> float:
        if not self.is_open(now_s):
            return self.current
        return max(self.current, *(part for _, part in self._earlier))


class ReturnBook:
    """The promised parts of all teams, by the latest totals of the fleet."""

    def __init__(self, rng: random.Random) -> None:
        """
        Start without totals; nothing is promised until there are some.

        :param rng: source of random choices
        """
        self._rng = rng
        self._parts: dict[str, _PromisedPart] = {}

    def set_totals(
        self, asked: Mapping[str, float], served: Mapping[str, float], now_s: float
    ) -> None:
        """
        Calculate the promised part of each team.

        :param asked: tokens by team in the window, at all routers
        :param served: the tokens of these that were served
        :param now_s: monotonic time
        """
        # A team that has ended has no open promises once those of its callers have passed.
        self._parts = {
            team: part for team, part in self._parts.items() if team in asked or part.is_open(now_s)
        }
        for team, asked_tokens in asked.items():
            served_tokens = served.get(team, 0.0)
            part = self._parts.setdefault(team, _PromisedPart())
            ratio = asked_tokens / served_tokens if served_tokens > 0 else float("inf")
            part.set(promised_part(asked_tokens, served_tokens), ratio, now_s)

    def promise(self, team: str, key: str, longest_s: float, left_s: float) -> Promise:
        """
        Decide when a refused caller is told to return.

        :param team: name of its team
        :param key: key of its request
        :param longest_s: longest caller timeout of the kind of request
        :param left_s: time that the caller still waits
        :return: the promise
        """
        shortest_s = MIN_DELAY_RATIO * longest_s
        longest_delay_s = max(shortest_s, MAX_DELAY_RATIO * left_s)
        part = self._parts.get(team)
        if part is not None and draw_lot(key) < part.current:
            # Spread, so that refused callers do not all return at once.
            return Kept(min(MAX_DELAY_S, self._rng.uniform(shortest_s, longest_delay_s)))
        # What is refused now waits behind what others ask for in the meantime.
        asked_ratio = 1.0 if part is None else part.asked_ratio
        delay_s = longest_delay_s * max(1.0, asked_ratio) * self._rng.uniform(1.0, 1.5)
        return Open(min(MAX_DELAY_S, delay_s))

    def is_kept(self, team: str, key: str, now_s: float) -> bool:
        """
        Tell whether a caller that returns was promised room, at this router or another.

        :param team: name of its team
        :param key: key of its request
        :param now_s: monotonic time
        :return: whether it was
        """
        part = self._parts.get(team)
        return part is not None and draw_lot(key) < part.kept_at(now_s)

    def part(self, team: str) -> float | None:
        """
        Return the promised part of a team.

        :param team: name of the team
        :return: 0 to 1, ``None`` without totals
        """
        part = self._parts.get(team)
        return None if part is None else part.current


__all__ = [
    "KEPT_S",
    "MAX_DELAY_RATIO",
    "MAX_DELAY_S",
    "MIN_DELAY_RATIO",
    "RETURN_RATIO",
    "Kept",
    "Open",
    "Promise",
    "ReturnBook",
    "draw_lot",
    "promised_part",
]
