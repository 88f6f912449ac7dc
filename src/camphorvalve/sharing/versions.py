"""Software versions of the upstreams: which ones have served a pool, and for how long."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.wire.messages import GoneVersion, VersionReport

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.persistence.stamps import Elapsed
    from camphorvalve.wire.messages import ListedUpstream

MAX_GAP_S = 5.0
"""Longest time between two reads of the list in which a version may not have come and gone."""
MAX_AGE_S = 3.0
"""Age of the list above which a new version may be missing."""
FORGET_AFTER_S = 600.0
"""Time after which a version that is no longer listed is forgotten."""
MAX_GONE_COUNT = 64
"""Most versions that are remembered after they have left."""
MAX_TRANSIT_S = 1.0
"""Longest time that what another process knows is under way. A version that it has as gone later by
no more than that is not news: the time would grow each time it is sent to and fro."""
MOVED = None
"""Version of a pool to which a manifest moves streams, or away from it: they may have begun at
another pool."""


class SavedVersions(NamedTuple):
    """What a process knows of the versions, for the process that follows it."""

    report: VersionReport
    read_age_ms: int
    """Time since the list was read."""
    listed: tuple[tuple[str, str | None], ...]
    """Pools and their versions in that list."""


class VersionHistory:
    """
    The versions that each pool has had since the list was first read without a gap.

    Processes exchange what they know: each one that has read the list without a gap since some time
    knows every version of that time.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self._observed_s: float | None = None
        self._read_s = float("-inf")
        self._listed: dict[str, frozenset[str | None]] = {}
        self._gone_s: dict[tuple[str, str | None], float] = {}
        """When each version that is no longer listed may have been listed last."""
        self._manifest_version = 0
        """Newest manifest whose moves are known."""

    @property
    def manifest_version(self) -> int:
        """:return: newest manifest whose moves are known"""
        return self._manifest_version

    def apply(self, upstreams: Iterable[Upstream | ListedUpstream], read_s: float) -> None:
        """
        Apply a list.

        :param upstreams: all upstreams, leaving ones included
        :param read_s: when the list was read, in monotonic time
        """
        previous = self._listed
        self._listed = _by_pool((upstream.pool, upstream.software) for upstream in upstreams)
        self.confirm(read_s)
        for pool, software in _pairs(previous):
            if software not in self._listed.get(pool, ()):
                # It may have served until now, though it was listed for the last time before.
                self._gone_s[pool, software] = read_s
        for pair in _pairs(self._listed):
            self._gone_s.pop(pair, None)
        self._forget(read_s)

    def confirm(self, read_s: float) -> None:
        """
        Record that the list was read again without changes.

        :param read_s: when the list was read, in monotonic time
        """
        if self._observed_s is None or read_s - self._read_s > MAX_GAP_S:
            self._observed_s = read_s
        self._read_s = max(self._read_s, read_s)

    def apply_manifest(self, version: int, moved: Iterable[str] | None, now_s: float) -> None:
        """
        Record that a manifest is in force.

        :param version: version of the manifest
        :param moved: pools between which it moves streams, ``None`` if the manifest before is not
            known
        :param now_s: monotonic time
        """
        if moved is not None:
            self._gone_s.update({(pool, MOVED): now_s for pool in moved})
        elif version > self._manifest_version and self._observed_s is not None:
            self._observed_s = now_s
        self._manifest_version = max(version, self._manifest_version)
        self._forget(now_s)

    def merge(self, report: VersionReport, now_s: float) -> None:
        """
        Merge what another process knows; it must have the same list, or a newer one.

        :param report: its report
        :param now_s: monotonic time
        """
        if self._observed_s is None:
            return
        observed_s = now_s - max(0, report.observed_ms) / 1000
        knows_moves = report.manifest_version >= self._manifest_version
        if knows_moves and observed_s <= self._observed_s:
            self._observed_s = observed_s
            self._manifest_version = report.manifest_version
        for pool, software, age_ms in report.gone:
            if software not in self._listed.get(pool, ()):
                left_s = now_s - max(0, age_ms) / 1000
                pair = (pool, software)
                if left_s > self._gone_s.get(pair, float("-inf")) + MAX_TRANSIT_S:
                    self._gone_s[pair] = left_s
        self._forget(now_s)

    def report(self, now_s: float) -> VersionReport:
        """
        Report to another process.

        :param now_s: monotonic time
        :return: what is known besides the list itself
        """
        gone = (
            GoneVersion(pool, software, max(0, int(1000 * (now_s - left_s))))
            for (pool, software), left_s in self._gone_s.items()
        )
        return VersionReport(
            int(1000 * self.observed_age_s(now_s)), tuple(gone), self._manifest_version
        )

    def save(self, now_s: float) -> SavedVersions | None:
        """
        Return what has to outlive this process.

        :param now_s: monotonic time
        :return: for ``restore``, ``None`` before the first list
        """
        if self._observed_s is None:
            return None
        read_age_ms = math.ceil(1000 * max(0.0, now_s - self._read_s))
        return SavedVersions(self.report(now_s), read_age_ms, tuple(_pairs(self._listed)))

    def restore(self, saved: SavedVersions, since: Elapsed, now_s: float) -> None:
        """
        Go on from what a former process knew. A list that is read too late counts as after a gap.

        :param saved: from ``save``
        :param since: bounds on the time since it was saved
        :param now_s: monotonic time
        """
        saved_s = now_s - since.least_s
        self._observed_s = saved_s - max(0, saved.report.observed_ms) / 1000
        self._read_s = now_s - since.most_s - max(0, saved.read_age_ms) / 1000
        self._listed = _by_pool(saved.listed)
        self._gone_s = {
            (pool, software): saved_s - max(0, age_ms) / 1000
            for pool, software, age_ms in saved.report.gone
        }
        self._manifest_version = saved.report.manifest_version

    def observed_age_s(self, now_s: float) -> float:
        """
        Return for how long every version is known.

        :param now_s: monotonic time
        :return: the time in seconds, 0 before the first list and after a gap
        """
        if self._observed_s is None or now_s - self._read_s > MAX_GAP_S:
            return 0.0
        return now_s - self._observed_s

    def listed(self, pool: str) -> Collection[str | None]:
        """
        Return the versions that serve a pool, those of leaving upstreams included.

        :param pool: name of the pool
        :return: the versions
        """
        return self._listed.get(pool, frozenset())

    def is_alone(self, pool: str, span_s: float, now_s: float) -> bool:
        """
        Tell whether one version alone has served a pool for some time, as far as the list shows.

        :param pool: name of the pool
        :param span_s: the time
        :param now_s: monotonic time
        :return: whether it is certain that no other version was listed; never for
            ``FORGET_AFTER_S`` or longer, and where versions are unknown
        """
        return (
            span_s < FORGET_AFTER_S
            and now_s - self._read_s <= MAX_AGE_S
            and len(self.listed(pool)) == 1
            and None not in self.listed(pool)
            and self.observed_age_s(now_s) >= span_s
            and not any(
                gone_pool == pool and now_s - left_s < span_s
                for (gone_pool, _), left_s in self._gone_s.items()
            )
        )

    def _forget(self, now_s: float) -> None:
        recent = {
            pair: left_s for pair, left_s in self._gone_s.items() if now_s - left_s < FORGET_AFTER_S
        }
        if len(recent) > MAX_GONE_COUNT:
            newest_first = sorted(recent, key=recent.__getitem__, reverse=True)
            forgotten = newest_first[MAX_GONE_COUNT:]
            # What is forgotten may have been listed until then.
            observed_s = max(recent[pair] for pair in forgotten)
            self._observed_s = max(observed_s, self._observed_s or observed_s)
            recent = {pair: recent[pair] for pair in newest_first[:MAX_GONE_COUNT]}
        self._gone_s = recent


def _by_pool(pairs: Iterable[tuple[str, str | None]]) -> dict[str, frozenset[str | None]]:
    versions: dict[str, set[str | None]] = {}
    for pool, software in pairs:
        versions.setdefault(pool, set()).add(software)
    return {pool: frozenset(software) for pool, software in versions.items()}


def _pairs(listed: dict[str, frozenset[str | None]]) -> list[tuple[str, str | None]]:
    return [(pool, software) for pool, versions in listed.items() for software in versions]


__all__ = ["SavedVersions", "VersionHistory"]
