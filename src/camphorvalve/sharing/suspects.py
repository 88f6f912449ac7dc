"""Parts of prompts that may crash upstreams: the ends of upstreams while requests waited there."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

SUSPECTED_COUNT = 2
"""Ends after which requests with a part run one at a time."""
CONDEMNED_COUNT = 3
"""Ends after which requests with a part are refused, if it waited at most of the upstreams that
ended meanwhile."""
MIN_SPAN_S = 1.0
"""Least time between the first and the last of these ends, in which a sound part gets an answer."""
CERTAIN_COUNT = 5
"""Ends after which they are refused in any case."""
UNEXPLAINED_COUNT = 2
"""Ends that no other condemned part explains, with which a condemned part is refused."""
MIN_EXPLAINED_RATIO = 0.75
"""Part of the ends meanwhile; a condemned part has waited at more."""
SAME_CAUSE_S = 0.25
"""Time between ends that count once: a power failure ends many upstreams at a time."""
SAME_END_S = 0.5
"""Longest time between reports of one end. An upstream that closes connections again later, without
a restart, has not crashed before."""
RESTART_S = 1.0
"""Least time until an upstream that has crashed may answer again, possibly under the same id; one
that answers earlier has not crashed."""
LIFETIME_S = 300.0
"""How long an end is remembered; the part may be sound by then."""
MAX_PARTS_COUNT = 4096
TRIM_COUNT = 256
"""Parts that are added beyond the bound before the least important ones are dropped."""
MAX_ENDS_COUNT = 32
"""Most ends that are remembered of one part. Those of a condemned part explain the ends of others,
so that all ends in a burst are needed."""
MAX_ENDED_COUNT = 256
"""Most upstreams whose ends are remembered."""
MAX_ANSWERED_COUNT = 4096
"""Parts whose newest answer is remembered, about 0.6 MB."""
MAX_LISTED_COUNT = 64
"""Most suspected parts that processes exchange."""
MAX_LISTED_ENDED_COUNT = 32
"""Most upstreams that have ended that processes exchange, the newest."""


class End(NamedTuple):
    """The end of an upstream at which a request with the part waited for its answer."""

    at_s: float
    """Monotonic time, the earliest that was heard."""
    cleared: bool
    """Whether an answer to a request with the part began later."""


class Ended(NamedTuple):
    """The end of an upstream, whatever waited there."""

    at_s: float
    """Monotonic time, the earliest that was heard."""
    survived: bool
    """Whether it answered soon after it had closed connections."""


Ends = dict[str, End]
"""Ends by the start of the upstream."""


class Listing(NamedTuple):
    """Parts that processes exchange."""

    part_ids: tuple[str, ...]
    """Those with most ends first, within a bound."""
    version: int
    """Checksum of their ends that count, without the times; 0 without parts."""


@dataclass(frozen=True, slots=True)
class Sound:
    """No part is suspected."""


@dataclass(frozen=True, slots=True)
class Suspected:
    """Several upstreams ended while the parts waited, which may be chance."""

    part_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Condemned:
    """Upstreams end when they begin to answer a request with the part."""

    part_id: str


Verdict = Sound | Suspected | Condemned


class SuspectParts:
    """
    Ends by part, merged from all processes.

    Merging two records takes the union of the ends, the earlier time and either's ``cleared``, so
    that lost, repeated and reordered messages do no harm. Only ends that are not cleared count.
    """

    def __init__(self) -> None:
        """Start without ends."""
        self._parts: dict[str, Ends] = {}
        self._counts: dict[str, int] = {}
        """Number of ends of each part that are not cleared, if there are any."""
        self._ranking: list[tuple[int, str]] = []
        """The negative count of each part with such ends, and its id, sorted."""
        self._suspected: Listing | None = None
        """``None`` after a change."""
        self._unsuspected: Listing | None = None
        """``None`` after a change."""
        self._oldest_s = float("inf")
        """No end is older."""
        self._dropped_ids: list[str] = []
        """Parts that the bound has dropped since the last call of ``expire``."""
        self._ended: dict[str, Ended] = {}
        """Ends of upstreams with and without waiting requests."""
        self._candidates: set[str] = set()
        """Parts with enough ends to be condemned; the other ends meanwhile decide."""
        self._condemned: dict[str, frozenset[str]] = {}
        """The upstreams that each condemned part has ended."""
        self._answered_s: OrderedDict[str, float] = OrderedDict()
        """When the newest answer on each part began, from the requests of this process."""

    def judge(self, part_ids: Sequence[str]) -> Verdict:
        """
        Judge the parts of a prompt.

        Parts that came together have the same ends. A prompt with only some of them is suspected,
        not condemned: its answer or the end of its upstream shows which part is at fault.

        :param part_ids: its shared parts
        :return: the gravest verdict
        """
        suspected_ids = []
        explanations: set[frozenset[str]] | None = None
        for part_id in part_ids:
            if self.count(part_id) < SUSPECTED_COUNT:
                continue
            if explanations is None:
                explanations = self._explanations(set(part_ids))
            count = self._unexplained_count(part_id, explanations)
            is_condemned = part_id in self._condemned
            if is_condemned and count >= UNEXPLAINED_COUNT:
                return Condemned(part_id)
            if is_condemned or count >= SUSPECTED_COUNT:
                suspected_ids.append(part_id)
        return Suspected(tuple(suspected_ids)) if suspected_ids else Sound()

    def count(self, part_id: str) -> int:
        """
        Count the ends of a part that are not cleared.

        :param part_id: the part
        :return: number of ends at distinct upstreams, those at about the same time counted once
        """
        return self._counts.get(part_id, 0)

    def ends(self, part_id: str) -> Ends:
        """
        Return the ends of a part.

        :param part_id: the part
        :return: its ends, empty for an unknown part
        """
        return self._parts.get(part_id, {})

    def record_end(self, part_ids: Iterable[str], upstream: str, now_s: float) -> list[str]:
        """
        Record that an upstream ended before it had begun to answer a request.

        :param part_ids: shared parts of the request
        :param upstream: identifies the start of the upstream
        :param now_s: monotonic time
        :return: parts whose ends have changed
        """
        return [
            part_id
            for part_id in part_ids
            if self.merge(part_id, {upstream: End(now_s, cleared=False)}, now_s)
        ]

    def record_answer(self, part_ids: Iterable[str], begun_s: float) -> list[str]:
        """
        Record that an upstream has outlived the beginning of an answer.

        :param part_ids: shared parts of the request
        :param begun_s: monotonic time at which the answer began
        :return: parts whose ends have changed
        """
        changed = []
        for part_id in part_ids:
            self._answered_s[part_id] = max(begun_s, self._answered_s.get(part_id, begun_s))
            self._answered_s.move_to_end(part_id)
            if part_id in self._parts and self.merge(part_id, {}, begun_s):
                changed.append(part_id)
        while len(self._answered_s) > MAX_ANSWERED_COUNT:
            self._answered_s.popitem(last=False)
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

    def merge(self, part_id: str, ends: Ends, now_s: float) -> bool:
        """
        Merge ends that another process has reported.

        :param part_id: the part
        :param ends: its ends
        :param now_s: monotonic time
        :return: whether the ends of the part have changed
        """
        known = self._parts.get(part_id, {})
        merged = dict(known)
        for upstream, end in ends.items():
            if now_s - end.at_s < LIFETIME_S:
                merged[upstream] = _merge_end(known.get(upstream, end), end)
                self._oldest_s = min(self._oldest_s, end.at_s)
                self.merge_ended(upstream, Ended(end.at_s, survived=False), now_s)
        answered_s = self._answered_s.get(part_id, float("-inf"))
        merged = {
            upstream: End(end.at_s, cleared=end.cleared or end.at_s < answered_s)
            for upstream, end in merged.items()
        }
        if len(merged) > MAX_ENDS_COUNT:
            merged = _most_telling(merged)
        if merged == known:
            return False
        self._store(part_id, merged)
        if len(self._parts) > MAX_PARTS_COUNT + TRIM_COUNT:
            self._trim()
        return _state(merged) != _state(known)

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
        for part_id in list(self._candidates):
            self._refresh(part_id)
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
        :return: parts whose ends have changed, and those that the bound has dropped since the last
            call
        """
        changed, self._dropped_ids = self._dropped_ids, []
        if now_s - self._oldest_s < LIFETIME_S:
            return changed
        for part_id, ends in list(self._parts.items()):
            kept = {
                upstream: end for upstream, end in ends.items() if now_s - end.at_s < LIFETIME_S
            }
            if len(kept) == len(ends):
                continue
            changed.append(part_id)
            self._store(part_id, kept)
        self._ended = {
            upstream: ended
            for upstream, ended in self._ended.items()
            if now_s - ended.at_s < LIFETIME_S
        }
        times_s = [ended.at_s for ended in self._ended.values()]
        times_s += [end.at_s for ends in self._parts.values() for end in ends.values()]
        self._oldest_s = min(times_s, default=float("inf"))
        return changed

    def suspected(self) -> Listing:
        """:return: the parts with enough ends to be suspected"""
        if self._suspected is None:
            self._suspected = self._listing(self._ranking[: self._suspected_end()])
        return self._suspected

    def unsuspected(self) -> Listing:
        """:return: the parts with ends that count but are too few to suspect"""
        if self._unsuspected is None:
            self._unsuspected = self._listing(self._ranking[self._suspected_end() :])
        return self._unsuspected

    def condemned_count(self) -> int:
        """:return: number of condemned parts"""
        return len(self._condemned)

    def _store(self, part_id: str, ends: Ends) -> None:
        """Replace the ends of a part, and bring up to date what depends on them."""
        known_count = self._counts.pop(part_id, 0)
        count = _count_causes(end.at_s for end in ends.values() if not end.cleared)
        if ends:
            self._parts[part_id] = ends
        else:
            self._parts.pop(part_id, None)
        if count:
            self._counts[part_id] = count
        if known_count != count:
            if known_count:
                del self._ranking[bisect_left(self._ranking, (-known_count, part_id))]
            if count:
                insort(self._ranking, (-count, part_id))
        if max(known_count, count) >= SUSPECTED_COUNT:
            self._suspected = None
        if 0 < known_count < SUSPECTED_COUNT or 0 < count < SUSPECTED_COUNT:
            self._unsuspected = None
        self._refresh(part_id)

    def _suspected_end(self) -> int:
        """Return the position in the ranking after the last suspected part."""
        return bisect_left(self._ranking, (1 - SUSPECTED_COUNT,))

    def _listing(self, ranking: Sequence[tuple[int, str]]) -> Listing:
        part_ids = tuple(part_id for _, part_id in ranking[:MAX_LISTED_COUNT])
        if not part_ids:
            return Listing((), 0)
        content = [(part_id, _state(self._parts[part_id])[0]) for part_id in sorted(part_ids)]
        return Listing(part_ids, 1 + xxhash.xxh32_intdigest(msgspec.msgpack.encode(content)))

    def _refresh(self, part_id: str) -> None:
        """Decide whether the ends of a part condemn it, whatever other parts explain."""
        if self.count(part_id) < CONDEMNED_COUNT:
            self._candidates.discard(part_id)
            self._condemned.pop(part_id, None)
            return
        self._candidates.add(part_id)
        counting = self._counting(part_id)
        count = _count_causes(counting.values())
        is_condemned = count >= CERTAIN_COUNT
        if CONDEMNED_COUNT <= count < CERTAIN_COUNT:
            first_s = min(counting.values()) - SAME_CAUSE_S
            last_s = max(counting.values()) + SAME_CAUSE_S
            ended_count = _count_causes(
                ended.at_s
                for ended in self._ended.values()
                if not ended.survived and first_s <= ended.at_s <= last_s
            )
            is_condemned = (
                count > MIN_EXPLAINED_RATIO * ended_count
                and last_s - first_s >= MIN_SPAN_S + 2 * SAME_CAUSE_S
            )
        if is_condemned:
            self._condemned[part_id] = frozenset(counting)
        else:
            self._condemned.pop(part_id, None)

    def _counting(self, part_id: str) -> dict[str, float]:
        """Return the times of the ends that count, by upstream."""
        return {
            upstream: end.at_s
            for upstream, end in self.ends(part_id).items()
            if not end.cleared and not self._has_survived(upstream, end.at_s)
        }

    def _has_survived(self, upstream: str, at_s: float) -> bool:
        """Tell whether an upstream answered after an end, or had closed connections long before."""
        ended = self._ended.get(upstream)
        return ended is not None and (ended.survived or at_s > ended.at_s + SAME_END_S)

    def _explanations(self, asked_ids: set[str]) -> set[frozenset[str]]:
        """Return the ends that condemned parts of other prompts explain; many have the same."""
        return {ended for part_id, ended in self._condemned.items() if part_id not in asked_ids}

    def _unexplained_count(self, part_id: str, explanations: Iterable[frozenset[str]]) -> int:
        """Count the ends of a part without those that a condemned part elsewhere explains."""
        counting = self._counting(part_id)
        counts = [
            _count_causes(at_s for upstream, at_s in counting.items() if upstream not in ended)
            for ended in explanations
        ]
        return min(counts, default=_count_causes(counting.values()))

    def _trim(self) -> None:
        def weight(part_id: str) -> tuple[int, float]:
            return self.count(part_id), max(end.at_s for end in self._parts[part_id].values())

        for part_id in sorted(self._parts, key=weight)[:-MAX_PARTS_COUNT]:
            self._store(part_id, {})
            self._dropped_ids.append(part_id)


def _count_causes(times_s: Iterable[float]) -> int:
    """Count ends; those within a short time of the first of them count once."""
    return len(_cause_times(times_s))


def _cause_times(times_s: Iterable[float]) -> list[float]:
    """Return the time of the first of the ends that count once."""
    causes_s: list[float] = []
    for at_s in sorted(times_s):
        if not causes_s or at_s - causes_s[-1] > SAME_CAUSE_S:
            causes_s.append(at_s)
    return causes_s


def _most_telling(ends: Ends) -> Ends:
    """Select ends within the bound, so that many at a time do not push out the earlier ones."""
    causes_s = set(_cause_times(end.at_s for end in ends.values() if not end.cleared))

    def weight(upstream: str) -> tuple[bool, bool, float]:
        end = ends[upstream]
        return end.cleared, end.at_s not in causes_s, -end.at_s

    return {upstream: ends[upstream] for upstream in sorted(ends, key=weight)[:MAX_ENDS_COUNT]}


def _merge_end(one: End, other: End) -> End:
    return End(min(one.at_s, other.at_s), cleared=one.cleared or other.cleared)


def _state(ends: Ends) -> tuple[list[str], list[str]]:
    """Return the upstreams whose ends count, and those whose ends are cleared."""
    counting = sorted(upstream for upstream, end in ends.items() if not end.cleared)
    return counting, sorted(ends.keys() - set(counting))


__all__ = [
    "SUSPECTED_COUNT",
    "Condemned",
    "End",
    "Ended",
    "Ends",
    "Listing",
    "Sound",
    "SuspectParts",
    "Suspected",
    "Verdict",
]
