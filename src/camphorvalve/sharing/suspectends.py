"""Ends of upstreams, and what they show of a part of prompts or of a whole request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.requests import REQUEST_KEY_PREFIX

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

SUSPECTED_COUNT = 2
"""Count of ends with which requests run one at a time."""
CONDEMNED_COUNT = 3
"""Ends after which requests with a part are refused, if it waited at most of the upstreams that
ended meanwhile, and after which another one condemns a whole request."""
MIN_SPAN_S = 1.0
"""Least time between the first and the last of these ends, in which a sound suspect gets an answer.
All upstreams of a service may end in less, by a power failure or by one request, so that a whole
request has to end one more after this time."""
CERTAIN_COUNT = 5
"""Ends after which requests with a part are refused in any case."""
UNEXPLAINED_COUNT = 2
"""Ends that no other condemned suspect explains, with which a condemned one is refused."""
MIN_EXPLAINED_RATIO = 0.75
"""Part of the ends meanwhile; a condemned part has waited at more."""
ANSWERED_CONFIRMING_COUNT = 2
"""Moments that condemn a whole request that was answered before; without an answer, one does."""
SAME_CAUSE_S = 0.25
"""Time between ends that count once: a power failure ends many upstreams at a time."""
LIFETIME_S = 300.0
"""How long an end is remembered; the suspect may be sound by then."""
MAX_ENDS_COUNT = 32
"""Most ends that are remembered of a suspect. Those of a condemned one explain the ends of others,
so that all ends in a burst are needed."""


@dataclass(frozen=True, slots=True)
class SharedPart:
    """A part of prompts: waits at upstreams with many requests, and is answered with sound ones."""


@dataclass(frozen=True, slots=True)
class WholeRequest:
    """All requests with the same caller, path and body: mostly few, and each is like the others."""


SuspectKind = SharedPart | WholeRequest


class End(NamedTuple):
    """The end of an upstream at which a request with the suspect waited for its answer."""

    at_s: float
    """Monotonic time, the earliest that was heard."""
    cleared: bool
    """Whether an answer to a request with the suspect began later."""


class Ended(NamedTuple):
    """The end of an upstream, whatever waited there."""

    at_s: float
    """Monotonic time, the earliest that was heard."""
    survived: bool
    """Whether it answered soon after it had closed connections."""


Ends = dict[str, End]
"""Ends by the start of the upstream."""


def kind_of(key: str) -> SuspectKind:
    """
    Tell what a key stands for.

    :param key: id of a part of prompts, or key of a request
    :return: its kind
    """
    return WholeRequest() if key.startswith(REQUEST_KEY_PREFIX) else SharedPart()


def count_ends(kind: SuspectKind, times_s: Collection[float]) -> int:
    """
    Count the ends of a suspect.

    :param kind: its kind
    :param times_s: monotonic times of its ends at distinct upstreams
    :return: for a part, the moments at which upstreams ended; for a whole request all ends but one,
        as a repeated request may wait at two in the same moment
    """
    match kind:
        case SharedPart():
            return count_causes(times_s)
        case WholeRequest():
            return max(0, len(times_s) - 1)


def is_condemned(
    kind: SuspectKind,
    times_s: Collection[float],
    ended_s: Collection[float] = (),
    *,
    was_answered: bool = False,
) -> bool:
    """
    Decide whether the ends of a suspect condemn it, whatever others explain.

    :param kind: its kind
    :param times_s: monotonic times of its ends at distinct upstreams
    :param ended_s: monotonic times of all ends of upstreams
    :param was_answered: whether it was answered before these ends
    :return: whether it crashes upstreams
    """
    if len(times_s) < CONDEMNED_COUNT:
        return False
    match kind:
        case SharedPart():
            count = count_causes(times_s)
            if not CONDEMNED_COUNT <= count < CERTAIN_COUNT:
                return count >= CERTAIN_COUNT
            first_s, last_s = min(times_s), max(times_s)
            ended_count = _count_between(ended_s, first_s - SAME_CAUSE_S, last_s + SAME_CAUSE_S)
            return count > MIN_EXPLAINED_RATIO * ended_count and last_s - first_s >= MIN_SPAN_S
        case WholeRequest():
            needed_count = ANSWERED_CONFIRMING_COUNT if was_answered else 1
            return count_causes(_confirming(sorted(times_s), ended_s)) >= needed_count


def _confirming(times_s: list[float], ended_s: Collection[float]) -> list[float]:
    """
    Select the ends of a whole request that condemn it.

    Each is a second after the third end, or after the first of three moments; and no other upstream
    ended with it, as in a power failure.
    """
    confirming_s = []
    for number, at_s in enumerate(times_s):
        is_late = at_s - times_s[CONDEMNED_COUNT - 1] >= MIN_SPAN_S or (
            at_s - times_s[0] >= MIN_SPAN_S
            and count_causes(times_s[: number + 1]) >= CONDEMNED_COUNT
        )
        if is_late and _count_near(ended_s, at_s) <= _count_near(times_s, at_s):
            confirming_s.append(at_s)
    return confirming_s


def _count_near(times_s: Iterable[float], at_s: float) -> int:
    return sum(abs(time_s - at_s) <= SAME_CAUSE_S for time_s in times_s)


def _count_between(times_s: Iterable[float], first_s: float, last_s: float) -> int:
    """Count the moments within an interval."""
    return count_causes(time_s for time_s in times_s if first_s <= time_s <= last_s)


def lapses_s(kind: SuspectKind, times_s: Collection[float]) -> float:
    """
    Tell when the ends of a condemned suspect are forgotten that condemn it.

    :param kind: its kind
    :param times_s: monotonic times of its ends at distinct upstreams
    :return: monotonic time
    """
    kept_s, dropped_s = sorted(times_s), float("-inf")
    while is_condemned(kind, kept_s):
        dropped_s, *kept_s = kept_s
    return dropped_s + LIFETIME_S


def may_explain(one: SuspectKind, other: SuspectKind, one_count: int, other_count: int) -> bool:
    """
    Tell whether a condemned suspect may be why upstreams ended while another one waited.

    A whole request and a part of it, or a request that waited beside it, have nearly the same ends;
    the one that has caused them has at least as many.

    :param one: kind of the condemned suspect
    :param other: kind of the other one
    :param one_count: number of upstreams that ended while the condemned suspect waited
    :param other_count: number of upstreams that ended while the other one waited
    :return: whether its ends are to be compared
    """
    match one, other:
        case SharedPart(), SharedPart():
            return True
        case _:
            return one_count >= other_count


def unexplained_count(
    kind: SuspectKind, times_s: Mapping[str, float], explained: Collection[str]
) -> int:
    """
    Count the ends of a suspect without those that another one explains.

    :param kind: its kind
    :param times_s: monotonic times of its ends by the start of the upstream
    :param explained: starts of upstreams that the other one has ended
    :return: the moments of the ends of a part, the ends of a whole request
    """
    remaining_s = [at_s for upstream, at_s in times_s.items() if upstream not in explained]
    match kind:
        case SharedPart():
            return count_causes(remaining_s)
        case WholeRequest():
            return len(remaining_s)


def count_causes(times_s: Iterable[float]) -> int:
    """
    Count moments at which upstreams ended.

    :param times_s: monotonic times
    :return: number of ends; those within a short time of the first of them count once
    """
    return len(_cause_times(times_s))


def most_telling(ends: Ends) -> Ends:
    """
    Select ends within the bound, so that many at a time do not push out the earlier ones.

    :param ends: the ends of a suspect
    :return: those to keep
    """
    causes_s = set(_cause_times(end.at_s for end in ends.values() if not end.cleared))

    def weight(upstream: str) -> tuple[bool, bool, float]:
        end = ends[upstream]
        return end.cleared, end.at_s not in causes_s, -end.at_s

    return {upstream: ends[upstream] for upstream in sorted(ends, key=weight)[:MAX_ENDS_COUNT]}


def merge_end(one: End, other: End) -> End:
    """
    Merge what two processes know of one end.

    :param one: the end
    :param other: the same end
    :return: the earlier time, and either's clearing
    """
    return End(min(one.at_s, other.at_s), cleared=one.cleared or other.cleared)


def state_of(ends: Ends) -> tuple[list[str], list[str]]:
    """
    Reduce ends to what processes have to agree on.

    :param ends: the ends of a suspect
    :return: the upstreams whose ends count, and those whose ends are cleared
    """
    counting = sorted(upstream for upstream, end in ends.items() if not end.cleared)
    return counting, sorted(ends.keys() - set(counting))


def _cause_times(times_s: Iterable[float]) -> list[float]:
    """Return the time of the first of the ends that count once."""
    causes_s: list[float] = []
    for at_s in sorted(times_s):
        if not causes_s or at_s - causes_s[-1] > SAME_CAUSE_S:
            causes_s.append(at_s)
    return causes_s


__all__ = [
    "CONDEMNED_COUNT",
    "LIFETIME_S",
    "MAX_ENDS_COUNT",
    "SAME_CAUSE_S",
    "SUSPECTED_COUNT",
    "UNEXPLAINED_COUNT",
    "End",
    "Ended",
    "Ends",
    "SharedPart",
    "SuspectKind",
    "WholeRequest",
    "count_causes",
    "count_ends",
    "is_condemned",
    "kind_of",
    "lapses_s",
    "may_explain",
    "merge_end",
    "most_telling",
    "state_of",
    "unexplained_count",
]
