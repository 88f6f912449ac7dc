"""
Replacement of hosts one after the other, under elections, in a group of three or five.

Time passes in seconds. A host is lost for good, its successor starts within two seconds, and the
next host may be lost once the successor has run for ``CATCH_UP_S`` and ``CONTACT_S`` have passed
since an election that no loss has caused. Hosts are interchangeable, so the state only counts the
running members and keeps the silence of each dead one. The deliberate defect adds each successor at
once and removes silent members after ``LOST_S`` only, so that each loss raises the quorum.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

SIZES = (3, 5)
LOSSES_COUNT = 4
CATCH_UP_S = 4
START_DELAYS_S = (1, 2)
CONTACT_S = 3
REPLACED_S = 2
LOST_S = 15
OBSERVED_S = 2
"""Silence that the removing leader itself has to observe."""
ELECTION_S = 2
"""Longest time without a leader after the loss of one."""
MIN_MEMBERS_COUNT = 3


class State(NamedTuple):
    """Global state of the system; initially without members, until a size is chosen."""

    running_count: int
    """Voting members that run."""
    silent_s: tuple[int, ...]
    """Silence of each dead member, as known to the leader."""
    learner_s: int | None
    """Time for which the leader has replicated to a learner, ``None`` without one."""
    start_in_s: int | None
    """Time until the successor of a lost host starts, ``None`` if it has."""
    loss_in_s: int
    """Time until the next host may be lost."""
    losses_left_count: int
    elected_s: int
    """Time since the election, up to ``CONTACT_S``; negative until it is over."""
    grown_s: int
    """Time since a member was last added, up to ``LOST_S``."""


Transition = tuple[str, State]


def _has_majority(state: State) -> bool:
    return state.running_count > len(state.silent_s)


def _may_add(state: State, defect: bool) -> bool:
    size = state.running_count + len(state.silent_s)
    if state.learner_s is None or state.learner_s < 1:
        return False
    is_replaced = bool(state.silent_s) and max(state.silent_s) > REPLACED_S
    if defect:
        return True
    return not state.silent_s or size % 2 == 0 or is_replaced or state.learner_s > REPLACED_S


def _may_remove(state: State, defect: bool) -> bool:
    size = state.running_count + len(state.silent_s)
    if not state.silent_s or size <= MIN_MEMBERS_COUNT or state.elected_s < OBSERVED_S:
        return False
    has_grown = state.grown_s < LOST_S and size % 2 == 0 and not defect
    return max(state.silent_s) > (REPLACED_S if has_grown else LOST_S)


def _change_members(state: State, defect: bool) -> State:
    """Apply the member changes of the leader; each of them needs a majority."""
    while _has_majority(state) and state.elected_s >= 0:
        if _may_add(state, defect):
            state = state._replace(running_count=state.running_count + 1, learner_s=None, grown_s=0)
        elif _may_remove(state, defect):
            state = state._replace(silent_s=tuple(sorted(state.silent_s)[:-1]))
        else:
            break
    return state


def _tick(state: State, defect: bool) -> State:
    return _change_members(
        state._replace(
            silent_s=tuple(sorted(min(LOST_S + 1, silent_s + 1) for silent_s in state.silent_s)),
            learner_s=None if state.learner_s is None else min(LOST_S, state.learner_s + 1),
            start_in_s=None if state.start_in_s is None else state.start_in_s - 1,
            loss_in_s=max(0, state.loss_in_s - 1),
            elected_s=min(CONTACT_S, state.elected_s + 1),
            grown_s=min(LOST_S, state.grown_s + 1),
        ),
        defect,
    )


def _elect(state: State, duration_s: int) -> State:
    learner_s = None if state.learner_s is None else 0
    return state._replace(learner_s=learner_s, elected_s=-duration_s)


def _transitions(state: State, defect: bool) -> Iterator[Transition]:
    if state.running_count == 0:
        for size in SIZES:
            yield f"{size} members", state._replace(running_count=size)
        return
    if state.start_in_s == 0:
        started = state._replace(start_in_s=None, learner_s=0, loss_in_s=CATCH_UP_S)
        yield "start successor", started
        return
    yield "tick", _tick(state, defect)
    if state.elected_s >= CONTACT_S and _has_majority(state):
        elected = _elect(state, 0)
        yield "elect", elected._replace(loss_in_s=max(CONTACT_S, state.loss_in_s))
    may_lose = state.loss_in_s == 0 and state.start_in_s is None
    if may_lose and state.losses_left_count > 0:
        for delay_s in START_DELAYS_S:
            lost = state._replace(
                running_count=state.running_count - 1,
                silent_s=(0, *state.silent_s),
                start_in_s=delay_s,
                losses_left_count=state.losses_left_count - 1,
            )
            yield f"lose follower, successor in {delay_s} s", lost
            yield f"lose leader, successor in {delay_s} s", _elect(lost, ELECTION_S)


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether the leader adds successors regardless of silent members
    :return: the specification
    """
    initial = State(
        running_count=0,
        silent_s=(),
        learner_s=None,
        start_in_s=None,
        loss_in_s=0,
        losses_left_count=LOSSES_COUNT,
        elected_s=CONTACT_S,
        grown_s=LOST_S,
    )
    return Protocol(
        name="replacement of members",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(_transitions(state, defect)),
        invariants={
            "running members are a majority": lambda state: (
                state["running_count"] > len(state["silent_s"]) or not state["silent_s"]
            ),
        },
    )


__all__ = ["protocol"]
