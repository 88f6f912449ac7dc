"""Finds the routers that callers must not be sent to, as they have stopped reporting."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

SILENT_S = 1.25
"""Silence of a router after which it is left out: two missed reports of 0.5 s and their delivery.
With the 0.5 s until the next sums arrive, a failed router is out of the answers of the directory
before the 2 s have passed for which callers keep one."""
FORGET_S = 10.0
"""Silence after which no roster lists a router any longer, so that it need not be named."""
REFRESH_S = 0.1
"""Interval at which silent routers are looked for; each router's report would cost the square of
their number."""
MAX_SILENT_COUNT = 64
"""Most silent routers that are named, so that the sums stay small."""
OPINION_LIFETIME_S = 1.2
"""How long the word of a controller counts: two reports and their delivery."""


class SilentRouters:
    """Tracks at a controller when each router has reported last."""

    def __init__(self) -> None:
        """Start without reports."""
        self._heard_s: dict[str, float] = {}
        """Time of the last report by router, the oldest first."""
        self._ids: tuple[str, ...] = ()
        self._computed_s = float("-inf")

    def record_report(self, router_id: str, now_s: float) -> None:
        """
        Record a report.

        :param router_id: the router
        :param now_s: monotonic time
        """
        self._heard_s.pop(router_id, None)
        self._heard_s[router_id] = now_s
        if router_id in self._ids:
            self._computed_s = float("-inf")

    def ids(self, now_s: float) -> tuple[str, ...]:
        """
        Return the routers that have stopped reporting.

        :param now_s: monotonic time
        :return: ids, the longest silent first
        """
        if now_s - self._computed_s >= REFRESH_S:
            self._computed_s = now_s
            self._ids = tuple(islice(self._silent_ids(now_s), MAX_SILENT_COUNT))
        return self._ids

    def _silent_ids(self, now_s: float) -> list[str]:
        silent = []
        for router_id, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > FORGET_S:
                del self._heard_s[router_id]
            elif now_s - heard_s > SILENT_S:
                silent.append(router_id)
            else:
                break
        return silent


class _Opinion(NamedTuple):
    silent_ids: frozenset[str]
    heard_s: float


class SilentOpinions:
    """
    What the controllers say of silent routers, at a router.

    A router counts as silent only if all controllers that were heard recently say so: one that was
    paused or is cut off from a data centre hears nothing of routers that are well.
    """

    def __init__(self) -> None:
        """Start without the word of any controller."""
        self._opinions: dict[str, _Opinion] = {}

    def record(self, controller_id: str, silent_ids: tuple[str, ...], now_s: float) -> None:
        """
        Record what a controller says.

        :param controller_id: the controller
        :param silent_ids: routers that have stopped reporting to it
        :param now_s: monotonic time
        """
        self._opinions[controller_id] = _Opinion(frozenset(silent_ids), now_s)

    def ids(self, now_s: float) -> frozenset[str]:
        """
        Return the routers that callers must not be sent to.

        :param now_s: monotonic time
        :return: ids on which the controllers agree, none if no controller was heard recently
        """
        self._opinions = {
            controller_id: opinion
            for controller_id, opinion in self._opinions.items()
            if now_s - opinion.heard_s <= OPINION_LIFETIME_S
        }
        opinions = [opinion.silent_ids for opinion in self._opinions.values()]
        return frozenset.intersection(*opinions) if opinions else frozenset()


__all__ = [
    "FORGET_S",
    "MAX_SILENT_COUNT",
    "OPINION_LIFETIME_S",
    "REFRESH_S",
    "SILENT_S",
    "SilentOpinions",
    "SilentRouters",
]
