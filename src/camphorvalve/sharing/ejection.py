"""Outlier ejection: excludes upstreams temporarily after this router's requests to them failed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the failure ratio, a moving average over about ten requests."""
EJECTION_RATIO = 0.3
"""Failure ratio at which an upstream is ejected; a single failure stays below it, unless the
upstream was unreachable."""
INITIAL_EJECTION_S = 1.0
"""Duration of the first ejection, short as the upstream may only be restarting; doubled for each
further one up to ``MAX_EJECTION_S``."""
MAX_EJECTION_S = 8.0
MIN_USABLE_RATIO = 0.5
"""Part of the upstreams that can be reached that is never ejected: when all of them fail, the cause
lies elsewhere."""


@dataclass(slots=True)
class _FailureRecord:
    failure_ratio: float = 0.0
    ejected_until_s: float = 0.0
    unreachable: bool = False
    """Whether no connection could be established since the last ejection or success."""
    needs_probe: bool = False
    """Whether no request has succeeded since the last ejection began."""
    next_ejection_s: float = INITIAL_EJECTION_S


class Ejections:
    """Tracks failure ratios by upstream from the requests of this router."""

    def __init__(self) -> None:
        """Start with every upstream usable."""
        self._records: dict[str, _FailureRecord] = {}

    def record_success(self, upstream_id: str) -> None:
        """
        Record a successful request.

        :param upstream_id: the upstream
        """
        record = self._records.get(upstream_id)
        if record is None:
            return
        record.unreachable = record.needs_probe = False
        record.failure_ratio *= 1 - FAILURE_WEIGHT
        if record.failure_ratio < EJECTION_RATIO / 2:
            del self._records[upstream_id]

    def record_failure(self, upstream_id: str, now_s: float, *, unreachable: bool) -> bool:
        """
        Record a failed request.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :param unreachable: whether no connection could be established, which ejects at once
        :return: whether this failure ejected the upstream
        """
        record = self._records.setdefault(upstream_id, _FailureRecord())
        is_ejected = record.ejected_until_s > now_s
        record.unreachable = unreachable or (is_ejected and record.unreachable)
        weight = 1.0 if unreachable else FAILURE_WEIGHT
        record.failure_ratio += weight * (1 - record.failure_ratio)
        if record.failure_ratio < EJECTION_RATIO or is_ejected:
            return False
        record.needs_probe = True
        record.ejected_until_s = now_s + record.next_ejection_s
        record.next_ejection_s = min(MAX_EJECTION_S, 2 * record.next_ejection_s)
        # After the ejection, one more failure ejects again; a success lowers the ratio.
        record.failure_ratio = EJECTION_RATIO
        return True

    def usable(
        self, upstream_ids: Sequence[str], now_s: float, *, may_probe: bool = True
    ) -> Sequence[str]:
        """
        Filter out ejected upstreams, but keep ``MIN_USABLE_RATIO`` of those that can be reached.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :param may_probe: whether the request may find out if an upstream whose ejection has ended
            can be used again
        :return: upstreams that may get requests; empty only if there are none
        """
        ejected = {
            upstream_id: record
            for upstream_id, record in self._records.items()
            if record.ejected_until_s > now_s or (record.needs_probe and not may_probe)
        }
        kept = [upstream_id for upstream_id in upstream_ids if upstream_id not in ejected]
        if len(kept) == len(upstream_ids):
            return kept
        # Attempts at unreachable upstreams fail at once, so that these always have the fewest
        # requests and would get most of the next ones.
        reachable = [
            upstream_id
            for upstream_id in upstream_ids
            if upstream_id not in ejected or not ejected[upstream_id].unreachable
        ]
        candidates = reachable or upstream_ids
        if len(kept) >= MIN_USABLE_RATIO * len(candidates):
            return kept
        by_end = sorted(candidates, key=self._ejected_until_s)
        return by_end[: max(1, round(MIN_USABLE_RATIO * len(candidates)))]

    def is_unreachable(self, upstream_id: str) -> bool:
        """
        Tell whether no connection to an upstream could be established since its last success.

        :param upstream_id: the upstream
        :return: false as well for an upstream without failures
        """
        record = self._records.get(upstream_id)
        return record is not None and record.unreachable

    def keep_only(self, upstream_ids: set[str]) -> None:
        """
        Forget upstreams that no longer exist.

        :param upstream_ids: those that still exist
        """
        for removed_id in self._records.keys() - upstream_ids:
            del self._records[removed_id]

    def _ejected_until_s(self, upstream_id: str) -> float:
        record = self._records.get(upstream_id)
        return 0.0 if record is None else record.ejected_until_s


__all__ = ["Ejections"]
