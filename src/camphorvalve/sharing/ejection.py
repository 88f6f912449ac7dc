"""Upstreams that this router leaves out for a while, because requests there fail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the failure ratio, which then covers about ten requests."""
EJECT_RATIO = 0.3
"""Failure ratio at which an upstream is left out; one isolated failure stays below it."""
EJECT_S = 1.0
"""First time that an upstream is left out; doubled each time, as it may just be restarting."""
EJECT_MAX_S = 8.0
USABLE_RATIO = 0.5
"""Part of a pool that stays in use, whatever fails: faults of all upstreams are not theirs."""


@dataclass(slots=True)
class _Record:
    failure_ratio: float = 0.0
    until_s: float = 0.0
    next_s: float = EJECT_S


class Ejections:
    """Failure ratios by upstream, from this router's own requests."""

    def __init__(self) -> None:
        """Start with every upstream usable."""
        self._records: dict[str, _Record] = {}

    def succeed(self, upstream_id: str) -> None:
        """
        Note an answer.

        :param upstream_id: the upstream
        """
        record = self._records.get(upstream_id)
        if record is None:
            return
        record.failure_ratio *= 1 - FAILURE_WEIGHT
        if record.failure_ratio < EJECT_RATIO / 2:
            del self._records[upstream_id]

    def fail(self, upstream_id: str, now_s: float, *, unreachable: bool) -> bool:
        """
        Note a failed request.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :param unreachable: whether no connection came about, which ejects at once
        :return: whether the upstream is left out from now on
        """
        record = self._records.setdefault(upstream_id, _Record())
        weight = 1.0 if unreachable else FAILURE_WEIGHT
        record.failure_ratio += weight * (1 - record.failure_ratio)
        if record.failure_ratio < EJECT_RATIO or record.until_s > now_s:
            return False
        record.until_s = now_s + record.next_s
        record.next_s = min(EJECT_MAX_S, 2 * record.next_s)
        # One more failure after the return ejects again, a success clears the way.
        record.failure_ratio = EJECT_RATIO
        return True

    def usable(self, upstream_ids: Sequence[str], now_s: float) -> list[str]:
        """
        Leave out what is ejected, but never more than a part of a pool.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: upstreams that may get requests
        """
        records = self._records
        kept = [one for one in upstream_ids if one not in records or records[one].until_s <= now_s]
        if len(kept) >= USABLE_RATIO * len(upstream_ids):
            return kept
        by_end = sorted(upstream_ids, key=lambda one: self._until_s(one))
        return by_end[: max(1, round(USABLE_RATIO * len(upstream_ids)))]

    def keep_only(self, upstream_ids: set[str]) -> None:
        """
        Forget upstreams that are gone.

        :param upstream_ids: those that still exist
        """
        for gone in self._records.keys() - upstream_ids:
            del self._records[gone]

    def _until_s(self, upstream_id: str) -> float:
        record = self._records.get(upstream_id)
        return 0.0 if record is None else record.until_s


__all__ = ["Ejections"]
