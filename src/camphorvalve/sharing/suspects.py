"""Parts of prompts and whole requests that may crash upstreams, by the ends while they waited."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

from camphorvalve.sharing.suspectends import (
    CONDEMNED_COUNT,
    LIFETIME_S,
    MAX_ENDS_COUNT,
    SAME_CAUSE_S,
    SUSPECTED_COUNT,
    UNEXPLAINED_COUNT,
    End,
    Ended,
    SharedPart,
    WholeRequest,
    count_ends,
    is_condemned,
    kind_of,
    lapses_s,
    may_explain,
    merge_end,
    most_telling,
    state_of,
    unexplained_count,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from camphorvalve.sharing.suspectends import Ends, SuspectKind

SAME_END_S = 0.5
"""Longest time between reports of one end. An upstream that closes connections again later, without
a restart, has not crashed before."""
RESTART_S = 1.0
"""Least time until an upstream that has crashed may answer again, possibly under the same id; one
that answers earlier has not crashed."""
MAX_PARTS_COUNT = 4096
"""Most parts and requests together."""
TRIM_COUNT = 256
"""Suspects that are added beyond the bound before the least important ones are dropped."""
MAX_ENDED_COUNT = 256
"""Most upstreams whose ends are remembered."""
MAX_ANSWERED_COUNT = 4096
"""Parts, and as many requests, whose newest answer is remembered; about 1.2 MB."""
MAX_LISTED_COUNT = 64
"""Most suspects that processes exchange."""
MAX_LISTED_ENDED_COUNT = 32
"""Most upstreams that have ended that processes exchange, the newest."""


class Listing(NamedTuple):
    """Suspects that processes exchange."""

    keys: tuple[str, ...]
    """Those with most ends first, within a bound."""
    version: int
    """Checksum of their ends that count, without the times; 0 without suspects."""


@dataclass(frozen=True, slots=True)
class Sound:
    """Nothing is suspected."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """Several upstreams ended while these waited, which may be chance."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Condemned:
    """Upstreams end when they begin to answer a request with this."""

    key: str


Verdict = Sound | Suspected | Condemned


class SuspectRecord:
    """
    Ends by suspect, merged from all processes.

    A suspect is a part of prompts or a whole request, named by its key. Merging two records takes
    the union of the ends, the earlier time and either's ``cleared``, so that lost, repeated and
    reordered messages do no harm. Only ends that are not cleared count.
    """

    def __init__(self) -> None:
        """Start without ends."""
        self._suspects: dict[str, Ends] = {}
        self._counts: dict[str, int] = {}
        """Count of the ends of each suspect that are not cleared, if it is not zero."""
        self._ranking: list[tuple[int, str]] = []
        """The negative count of each suspect that has one, and its key, sorted."""
        self._suspected: Listing | None = None
        """``None`` after a change."""
        self._unsuspected: Listing | None = None
        """``None`` after a change."""
        self._oldest_s = float("inf")
        """No end is older."""
        self._dropped_keys: list[str] = []
        """Suspects that the bound has dropped since the last call of ``expire``."""
        self._ended: dict[str, Ended] = {}
        """Ends of upstreams with and without waiting requests."""
        self._candidates: set[str] = set()
        """Parts with enough ends to be condemned; the other ends meanwhile decide."""
        self._condemned: dict[str, frozenset[str]] = {}
        """The upstreams that each condemned suspect has ended."""
        self._answered_s: dict[SuspectKind, OrderedDict[str, float]] = {
            SharedPart(): OrderedDict(),
            WholeRequest(): OrderedDict(),
        }
        """When the newest answer on each suspect began, from the requests of this process. Requests
        that don't come again would push out the parts."""

    def judge(self, keys: Sequence[str]) -> Verdict:
        """
        Judge a request by its parts and its key.

        Suspects that came together have the same ends. A request with only some of them is
        suspected, not condemned: its answer or the end of its upstream shows which is at fault.

        :param keys: its shared parts, and its own key
        :return: the gravest verdict
        """
        suspected_keys = []
        explanations: set[tuple[SuspectKind, frozenset[str]]] | None = None
        for key in keys:
            if self.count(key) < SUSPECTED_COUNT:
                continue
            if explanations is None:
                explanations = self._explanations(set(keys))
            count = self._unexplained_count(key, explanations)
            is_condemned = key in self._condemned
            if is_condemned and count >= UNEXPLAINED_COUNT:
                return Condemned(key)
            if is_condemned or count >= SUSPECTED_COUNT:
                suspected_keys.append(key)
        return Suspected(tuple(suspected_keys)) if suspected_keys else Sound()

    def has_condemned(self, key: str) -> bool:
        """
        Tell whether the ends of a suspect condemn it, whatever others explain.

        :param key: the suspect
        :return: whether they do
        """
        return key in self._condemned

    def condemned_between_s(self, key: str) -> tuple[float, float]:
        """
        Tell for how long the ends of a condemned suspect condemn it.

        :param key: the suspect
        :return: monotonic times of its newest end, and at which they are forgotten
        """
        times_s = self._counting(key).values()
        return max(times_s), lapses_s(kind_of(key), times_s)

    def count(self, key: str) -> int:
        """
        Count the ends of a suspect that are not cleared.

        :param key: the suspect
        :return: the count, see ``count_ends``
        """
        return self._counts.get(key, 0)

    def ends(self, key: str) -> Ends:
        """
        Return the ends of a suspect.

        :param key: the suspect
        :return: its ends, empty for an unknown one
        """
        return self._suspects.get(key, {})

    def record_end(self, keys: Iterable[str], upstream: str, now_s: float) -> list[str]:
        """
        Record that an upstream ended before it had begun to answer a request.

        :param keys: shared parts and key of the request
        :param upstream: identifies the start of the upstream
        :param now_s: monotonic time
        :return: suspects whose ends have changed
        """
        return [
            key for key in keys if self.merge(key, {upstream: End(now_s, cleared=False)}, now_s)
        ]

    def record_answer(self, keys: Iterable[str], begun_s: float) -> list[str]:
        """
        Record that an upstream has outlived the beginning of an answer.

        :param keys: shared parts and key of the request
        :param begun_s: monotonic time at which the answer began
        :return: suspects whose ends have changed
        """
        changed = []
        for key in keys:
            answered_s = self._answered_s[kind_of(key)]
            answered_s[key] = max(begun_s, answered_s.get(key, begun_s))
            answered_s.move_to_end(key)
            if len(answered_s) > MAX_ANSWERED_COUNT:
                answered_s.popitem(last=False)
            if key in self._suspects and self.merge(key, {}, begun_s):
                changed.append(key)
        return changed

    def record_survival(self, upstream: str, begun_s: float) -> bool:
        """
        Record that an upstream has begun an answer, perhaps after it had closed connections.

        :param upstream: identifies the start of the upstream
        :param begun_s: monotonic time at which the answer began
        :return: whether this shows that it has not crashed
        """
        ended = self._ended.get(upstream)
        if ended is None or not SAME_CAUSE_S < begun_s - ended.at_s < RESTART_S:
            return False
        return self.merge_ended(upstream, ended._replace(survived=True), begun_s)

    def merge(self, key: str, ends: Ends, now_s: float) -> bool:
        """
        Merge ends that another process has reported.

        :param key: the suspect
        :param ends: its ends
        :param now_s: monotonic time
        :return: whether the ends of the suspect have changed
        """
        known = self._suspects.get(key, {})
        merged = dict(known)
        for upstream, end in ends.items():
            if now_s - end.at_s < LIFETIME_S:
                merged[upstream] = merge_end(known.get(upstream, end), end)
                self._oldest_s = min(self._oldest_s, end.at_s)
                self.merge_ended(upstream, Ended(end.at_s, survived=False), now_s)
        answered_s = self._answered_s[kind_of(key)].get(key, float("-inf"))
        merged = {
            upstream: End(end.at_s, cleared=end.cleared or end.at_s < answered_s)
            for upstream, end in merged.items()
        }
        if len(merged) > MAX_ENDS_COUNT:
            merged = most_telling(merged)
        if merged == known:
            return False
        self._store(key, merged)
        if len(self._suspects) > MAX_PARTS_COUNT + TRIM_COUNT:
            self._trim()
        return state_of(merged) != state_of(known)

    def merge_ended(self, upstream: str, ended: Ended, now_s: float) -> bool:
        """
        Merge the end of an upstream, whatever waited there.

        :param upstream: identifies the start of the upstream
        :param ended: its end
        :param now_s: monotonic time
        :return: whether the end is new, or the upstream is found to have survived it
        """
        known = self._ended.get(upstream)
        if now_s - ended.at_s >= LIFETIME_S:
            return False
        merged = ended
        if known is not None:
            merged = Ended(min(known.at_s, ended.at_s), known.survived or ended.survived)
        if merged == known:
            return False
        self._ended[upstream] = merged
        self._oldest_s = min(self._oldest_s, ended.at_s)
        if len(self._ended) > MAX_ENDED_COUNT:
            del self._ended[min(self._ended, key=lambda key: self._ended[key].at_s)]
        for key in [*self._candidates, *self._condemned.keys() - self._candidates]:
            self._refresh(key)
        return known is None or merged.survived != known.survived

    def ended(self, upstreams: Iterable[str]) -> list[tuple[str, Ended]]:
        """
        Look up ends of upstreams.

        :param upstreams: identify starts of upstreams that have ended
        :return: those that are known
        """
        return [
            (upstream, self._ended[upstream]) for upstream in upstreams if upstream in self._ended
        ]

    def newest_ended(self) -> list[tuple[str, Ended]]:
        """:return: the upstreams that ended last, within a bound"""
        newest = sorted(self._ended.items(), key=lambda item: -item[1].at_s)
        return newest[:MAX_LISTED_ENDED_COUNT]

    def expire(self, now_s: float) -> list[str]:
        """
        Forget ends that are too old.

        :param now_s: monotonic time
        :return: suspects whose ends have changed, and those that the bound has dropped since the
            last call
        """
        changed, self._dropped_keys = self._dropped_keys, []
        if now_s - self._oldest_s < LIFETIME_S:
            return changed
        for key, ends in list(self._suspects.items()):
            kept = {
                upstream: end for upstream, end in ends.items() if now_s - end.at_s < LIFETIME_S
            }
            if len(kept) == len(ends):
                continue
            changed.append(key)
            self._store(key, kept)
        self._ended = {
            upstream: ended
            for upstream, ended in self._ended.items()
            if now_s - ended.at_s < LIFETIME_S
        }
        times_s = [ended.at_s for ended in self._ended.values()]
        times_s += [end.at_s for ends in self._suspects.values() for end in ends.values()]
        self._oldest_s = min(times_s, default=float("inf"))
        return changed

    def suspected(self) -> Listing:
        """:return: those with enough ends to be suspected"""
        if self._suspected is None:
            self._suspected = self._listing(self._ranking[: self._suspected_end()])
        return self._suspected

    def unsuspected(self) -> Listing:
        """:return: those with ends that count but are too few to suspect"""
        if self._unsuspected is None:
            self._unsuspected = self._listing(self._ranking[self._suspected_end() :])
        return self._unsuspected

    def condemned_count(self) -> int:
        """:return: number of condemned suspects"""
        return len(self._condemned)

    def _store(self, key: str, ends: Ends) -> None:
        """Replace the ends of a suspect, and bring up to date what depends on them."""
        known_count = self._counts.pop(key, 0)
        times_s = [end.at_s for end in ends.values() if not end.cleared]
        count = count_ends(kind_of(key), times_s)
        if ends:
            self._suspects[key] = ends
        else:
            self._suspects.pop(key, None)
        if count:
            self._counts[key] = count
        if known_count != count:
            if known_count:
                del self._ranking[bisect_left(self._ranking, (-known_count, key))]
            if count:
                insort(self._ranking, (-count, key))
        if max(known_count, count) >= SUSPECTED_COUNT:
            self._suspected = None
        if 0 < known_count < SUSPECTED_COUNT or 0 < count < SUSPECTED_COUNT:
            self._unsuspected = None
        self._refresh(key)

    def _suspected_end(self) -> int:
        """Return the position in the ranking after the last suspected one."""
        return bisect_left(self._ranking, (1 - SUSPECTED_COUNT,))

    def _listing(self, ranking: Sequence[tuple[int, str]]) -> Listing:
        keys = tuple(key for _, key in ranking[:MAX_LISTED_COUNT])
        if not keys:
            return Listing((), 0)
        content = [(key, state_of(self._suspects[key])[0]) for key in sorted(keys)]
        return Listing(keys, 1 + xxhash.xxh32_intdigest(msgspec.msgpack.encode(content)))

    def _refresh(self, key: str) -> None:
        """Decide whether the ends of a suspect condemn it, whatever others explain."""
        kind = kind_of(key)
        if kind == SharedPart() and self.count(key) >= CONDEMNED_COUNT:
            self._candidates.add(key)
        else:
            self._candidates.discard(key)
        counting = self._counting(key) if self.count(key) >= SUSPECTED_COUNT else {}
        ended_s = [ended.at_s for ended in self._ended.values() if not ended.survived]
        was_answered = key in self._answered_s[kind]
        if is_condemned(kind, counting.values(), ended_s, was_answered=was_answered):
            self._condemned[key] = frozenset(counting)
        else:
            self._condemned.pop(key, None)

    def _counting(self, key: str) -> dict[str, float]:
        """Return the times of the ends that count, by upstream."""
        return {
            upstream: end.at_s
            for upstream, end in self.ends(key).items()
            if not end.cleared and not self._has_survived(upstream, end.at_s)
        }

    def _has_survived(self, upstream: str, at_s: float) -> bool:
        """Tell whether an upstream answered after an end, or had closed connections long before."""
        ended = self._ended.get(upstream)
        return ended is not None and (ended.survived or at_s > ended.at_s + SAME_END_S)

    def _explanations(self, asked_keys: set[str]) -> set[tuple[SuspectKind, frozenset[str]]]:
        """Return the ends that condemned suspects elsewhere explain; many have the same."""
        return {
            (kind_of(key), ended) for key, ended in self._condemned.items() if key not in asked_keys
        }

    def _unexplained_count(
        self, key: str, explanations: Iterable[tuple[SuspectKind, frozenset[str]]]
    ) -> int:
        """Count the ends of a suspect without those that a condemned one elsewhere explains."""
        kind, counting = kind_of(key), self._counting(key)
        counts = [
            unexplained_count(kind, counting, ended)
            for other_kind, ended in explanations
            if may_explain(other_kind, kind, len(ended), len(counting))
        ]
        return min(counts, default=unexplained_count(kind, counting, ()))

    def _trim(self) -> None:
        def weight(key: str) -> tuple[int, float]:
            return self.count(key), max(end.at_s for end in self._suspects[key].values())

        for key in sorted(self._suspects, key=weight)[:-MAX_PARTS_COUNT]:
            self._store(key, {})
            self._dropped_keys.append(key)


__all__ = [
    "Condemned",
    "Listing",
    "Sound",
    "SuspectRecord",
    "Suspected",
    "Verdict",
]
