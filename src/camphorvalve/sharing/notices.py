"""What upstreams say of themselves in answers: that they leave, or want no more for a time."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.wire.messages import ListedUpstream

MAX_HOLD_OFF_S = 600.0
"""Longest time for which an upstream can hold a router off: a faulty value must not take an
upstream out of use for good."""
FORGET_AFTER_S = 10.0
"""Time after which an upstream that is no longer listed is forgotten; an entry may be missing from
a single list."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """The upstream stops soon and takes no new requests."""


@dataclass(frozen=True, slots=True)
class HoldOff:
    """The upstream wants no requests from this router for a time."""

    duration_s: float


Notice = Leaving | HoldOff


def parse_hold_off(values: Iterable[str]) -> HoldOff | None:
    """
    Read the times for which a refusal asks not to be sent more.

    :param values: values of the header, in seconds; several are separated by commas
    :return: the longest time that can be used, at most ``MAX_HOLD_OFF_S``; ``None`` without one
    """
    durations_s = [_seconds(text) for value in values for text in value.split(",")]
    longest_s = max(durations_s, default=0.0)
    return HoldOff(min(longest_s, MAX_HOLD_OFF_S)) if longest_s > 0 else None


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return 0.0 if math.isnan(seconds) else seconds


class _Mark(NamedTuple):
    started_ms: int | None
    """Start of the upstream when it was marked."""
    listed_s: float
    """When a list last had it."""


class LeavingMarks:
    """Upstreams that said that they are leaving, until they are gone or have started again."""

    def __init__(self) -> None:
        """Start without marks."""
        self._marks: dict[str, _Mark] = {}

    def add(self, upstream_id: str, started_ms: int | None, now_s: float) -> bool:
        """
        Mark an upstream.

        :param upstream_id: the upstream
        :param started_ms: Unix time of its start, ``None`` if unknown
        :param now_s: monotonic time
        :return: whether it was not marked before
        """
        is_new = upstream_id not in self._marks
        self._marks[upstream_id] = _Mark(started_ms, now_s)
        return is_new

    def apply_list(self, listed: Iterable[Upstream | ListedUpstream], now_s: float) -> None:
        """
        Drop the marks of upstreams that are gone or have started again.

        :param listed: all upstreams
        :param now_s: when the list was read, in monotonic time
        """
        if not self._marks:
            return
        for upstream in listed:
            mark = self._marks.get(upstream.upstream_id)
            if mark is None:
                continue
            if upstream.started_ms == mark.started_ms:
                self._marks[upstream.upstream_id] = mark._replace(listed_s=now_s)
            else:
                del self._marks[upstream.upstream_id]
        self._marks = {
            upstream_id: mark
            for upstream_id, mark in self._marks.items()
            if now_s - mark.listed_s <= FORGET_AFTER_S
        }

    def __contains__(self, upstream_id: str) -> bool:
        """:return: whether an upstream is marked"""
        return upstream_id in self._marks

    def __len__(self) -> int:
        """:return: number of marked upstreams"""
        return len(self._marks)


class Notices:
    """Owns the notices that this router has received from upstreams."""

    def __init__(self) -> None:
        """Start without notices."""
        self._leaving = LeavingMarks()
        self._held_until_s: dict[str, float] = {}

    def record(self, upstream: Upstream, notice: Notice, now_s: float) -> bool:
        """
        Record a notice; a shorter time never ends a longer one.

        :param upstream: the upstream that gave it
        :param notice: the notice
        :param now_s: monotonic time
        :return: whether it puts a usable upstream out of use
        """
        upstream_id = upstream.upstream_id
        match notice:
            case Leaving():
                return self._leaving.add(upstream_id, upstream.started_ms, now_s)
            case HoldOff(duration_s):
                was_held = self.is_held_off(upstream_id, now_s)
                until_s = max(self._held_until_s.get(upstream_id, 0.0), now_s + duration_s)
                self._held_until_s[upstream_id] = until_s
                return not was_held

    def apply_list(
        self,
        previous: Mapping[str, Upstream],
        current: Mapping[str, Upstream],
        now_s: float,
    ) -> None:
        """
        Forget the notices of upstreams that are gone or have started again.

        :param previous: the list used before, by id
        :param current: the new list, by id
        :param now_s: when it was read, in monotonic time
        """
        self._leaving.apply_list(current.values(), now_s)
        self._held_until_s = {
            upstream_id: until_s
            for upstream_id, until_s in self._held_until_s.items()
            if until_s > now_s and not has_restarted(upstream_id, previous, current)
        }

    def usable(self, upstream_ids: Sequence[str], now_s: float) -> Sequence[str]:
        """
        Leave out the upstreams that take no requests from this router now.

        :param upstream_ids: upstreams of one pool
        :param now_s: monotonic time
        :return: the others
        """
        if not self._leaving and not self._held_until_s:
            return upstream_ids
        return [
            upstream_id
            for upstream_id in upstream_ids
            if upstream_id not in self._leaving and not self.is_held_off(upstream_id, now_s)
        ]

    def is_held_off(self, upstream_id: str, now_s: float) -> bool:
        """
        Tell whether an upstream wants no requests from this router now.

        :param upstream_id: the upstream
        :param now_s: monotonic time
        :return: whether a hold-off has not ended
        """
        return self._held_until_s.get(upstream_id, 0.0) > now_s

    def hold_off_left_s(self, upstream_ids: Iterable[str], now_s: float) -> float | None:
        """
        Return the time until the first of some upstreams takes requests again.

        :param upstream_ids: the upstreams
        :param now_s: monotonic time
        :return: the time, ``None`` if none of them holds this router off
        """
        left_s = [
            self._held_until_s[upstream_id] - now_s
            for upstream_id in upstream_ids
            if upstream_id not in self._leaving and self.is_held_off(upstream_id, now_s)
        ]
        return min(left_s, default=None)

    def is_leaving(self, upstream_id: str) -> bool:
        """
        Tell whether an upstream has said that it is leaving.

        :param upstream_id: the upstream
        :return: whether it has
        """
        return upstream_id in self._leaving


def has_restarted(
    upstream_id: str, previous: Mapping[str, Upstream], current: Mapping[str, Upstream]
) -> bool:
    """
    Tell whether an upstream has started again under its id.

    :param upstream_id: the upstream
    :param previous: the list used before, by id
    :param current: the new list, by id
    :return: false as well if it is missing in one of them
    """
    before, now = previous.get(upstream_id), current.get(upstream_id)
    return before is not None and now is not None and before.started_ms != now.started_ms


__all__ = [
    "HoldOff",
    "Leaving",
    "LeavingMarks",
    "Notice",
    "Notices",
    "has_restarted",
    "parse_hold_off",
]
