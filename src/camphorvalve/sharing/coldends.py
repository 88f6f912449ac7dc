"""When upstreams that are cold stop being so, for the version of the list."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from camphorvalve.wire.messages import ListedUpstream

SAME_END_S = 1.5
"""Difference of two ends that are taken to be the same: the list lags by up to 0.8 s, and more or
less from read to read."""


class ColdEnds:
    """
    End of the cold time of each upstream, which each read of the list states a little differently.

    A stamp stays the same until the end is later than known, so that the version of the list does
    not change with each read.
    """

    def __init__(self) -> None:
        """Start without cold upstreams."""
        self._ends_s: dict[str, float] = {}

    def apply_list(self, listed: Iterable[ListedUpstream], read_s: float) -> None:
        """
        Apply a list.

        :param listed: all upstreams
        :param read_s: when it was read, in monotonic time
        """
        previous, self._ends_s = self._ends_s, {}
        for upstream in listed:
            if upstream.cold_ms > 0:
                end_s = read_s + upstream.cold_ms / 1000
                known_s = previous.get(upstream.upstream_id)
                is_same = known_s is not None and abs(end_s - known_s) <= SAME_END_S
                self._ends_s[upstream.upstream_id] = known_s if is_same else end_s

    def stamps(self) -> Mapping[str, int]:
        """:return: a number for each cold upstream that stays the same while its end does"""
        # Another controller has another clock, so that its list has another version.
        return {upstream_id: 1 + int(end_s) for upstream_id, end_s in self._ends_s.items()}


__all__ = ["ColdEnds"]
