"""
Removal of silent members, one at a time, by leaders of different terms.

Four replicas start as members; a leader may remove one of the others once its newest change of the
members and an entry of its own term are committed. The deliberate defect lets a leader remove a
member before an entry of its term is committed, so that two groups without a common replica decide.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from specs.replicated_log import (
    Entry,
    Replica,
    commits,
    is_majority,
    members,
    newness,
    put,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_TERM = 3
LAST_INDEX = 2
FIRST_MEMBERS = (0, 1, 2, 3)
REMOVES = {0: 3, 2: 0}
"""Replicas that stand for election, and whom each removes; the others are alike but for names."""


REACHES = {0: (1,), 2: (1, 3)}
"""A cut for the whole run: which replicas each of them reaches. It bounds the states and is the
case that matters, two groups that share only replica 1."""


class State(NamedTuple):
    """The whole system; replica 0 leads term 1."""

    replicas: tuple[Replica, ...]
    votes: frozenset[tuple[int, int, int]]
    """Term, voter, candidate."""
    leaders: frozenset[tuple[int, int]]
    """Term, replica."""
    acks: frozenset[tuple[int, int, int]]
    """Term, replica, highest index that it has stored for the leader of the term."""
    committed: tuple[Entry, ...]
    changed: bool
    """Whether a committed entry was replaced."""


Step = tuple[str, State]


def _elections(state: State) -> Iterator[Step]:
    for identity in REMOVES:
        replica = state.replicas[identity]
        if replica.term < LAST_TERM and identity in members(replica.log, FIRST_MEMBERS):
            raised = Replica(replica.term + 1, identity, replica.log, stands=True)
            given = state.votes | {(raised.term, identity, identity)}
            yield f"campaign {identity}", put(state._replace(votes=given), identity, raised)
        if replica.stands:
            yield from _votes_for(state, identity, replica)


def _votes_for(state: State, identity: int, candidate: Replica) -> Iterator[Step]:
    term = candidate.term
    if (term, identity) in state.leaders:
        return
    for voter in set(members(candidate.log, FIRST_MEMBERS)).intersection(REACHES[identity]):
        replica = state.replicas[voter]
        if replica.term < term and newness(candidate.log) >= newness(replica.log):
            given = state.votes | {(term, voter, identity)}
            voted = Replica(term, identity, replica.log)
            yield f"vote {voter} for {identity}", put(state._replace(votes=given), voter, voted)
    present = {voter for at, voter, chosen in state.votes if (at, chosen) == (term, identity)}
    if is_majority(members(candidate.log, FIRST_MEMBERS), present):
        yield f"lead {identity}", state._replace(leaders=state.leaders | {(term, identity)})


def _leaders(state: State, defect: bool) -> Iterator[Step]:
    for term, identity in state.leaders:
        leader = state.replicas[identity]
        if leader.term != term or not leader.stands:
            continue
        yield from _appends(state, identity, leader, defect)
        for other in REACHES[identity]:
            replica = state.replicas[other]
            if replica.term > term or replica.log == leader.log:
                continue
            vote = replica.vote if replica.term == term else None
            acks = state.acks | {(term, other, len(leader.log))}
            stored = Replica(term, vote, leader.log)
            yield f"replicate {identity} to {other}", put(state._replace(acks=acks), other, stored)
        yield from commits(state, identity, leader, FIRST_MEMBERS)


def _appends(state: State, identity: int, leader: Replica, defect: bool) -> Iterator[Step]:
    if len(leader.log) >= LAST_INDEX:
        return
    opened = bool(leader.log) and leader.log[-1].term == leader.term
    if not opened:
        extended = leader._replace(log=(*leader.log, Entry(leader.term, None)))
        yield f"open term {leader.term}", put(state, identity, extended)
    if not defect and not (opened and state.committed == leader.log):
        return
    removed = REMOVES[identity]
    if removed in members(leader.log, FIRST_MEMBERS):
        left = tuple(one for one in members(leader.log, FIRST_MEMBERS) if one != removed)
        extended = leader._replace(log=(*leader.log, Entry(leader.term, left)))
        yield f"remove {removed}", put(state, identity, extended)


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether a leader removes a member before an entry of its term is committed
    :return: the specification
    """
    first = Replica(1, 0, ())
    initial = State(
        replicas=(first._replace(stands=True), first, first, first),
        votes=frozenset(),
        leaders=frozenset({(1, 0)}),
        acks=frozenset(),
        committed=(),
        changed=False,
    )

    def transitions(state: State) -> list[Step]:
        return [*_elections(state), *_leaders(state, defect)]

    return Protocol(
        name="removal of members",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "committed entries never change": lambda state: not state["changed"],
        },
    )


__all__ = ["protocol"]
