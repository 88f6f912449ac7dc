"""
Removal of silent members, one at a time, by leaders of different terms.

Four replicas start as members; a leader may remove one of the others once its newest change of the
members and an entry of its own term are committed. The deliberate defect lets a leader remove a
member before an entry of its term is committed, so that two groups without a common replica decide.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from specs.replicated_log import Entry, Replica

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


def members(log: tuple[Entry, ...]) -> tuple[int, ...]:
    """
    Find the voting members.

    :param log: the log of a replica
    :return: identities by its newest change
    """
    return next((one.members for one in reversed(log) if one.members), FIRST_MEMBERS)


def _majority(log: tuple[Entry, ...], present: set[int]) -> bool:
    voters = members(log)
    return 2 * len(present.intersection(voters)) > len(voters)


def _put(state: State, identity: int, replica: Replica) -> State:
    replicas = list(state.replicas)
    replicas[identity] = replica
    return state._replace(replicas=tuple(replicas))


def _elections(state: State) -> Iterator[Step]:
    for identity in REMOVES:
        replica = state.replicas[identity]
        if replica.term < LAST_TERM and identity in members(replica.log):
            raised = Replica(replica.term + 1, identity, replica.log, stands=True)
            given = state.votes | {(raised.term, identity, identity)}
            yield f"campaign {identity}", _put(state._replace(votes=given), identity, raised)
        if replica.stands:
            yield from _votes_for(state, identity, replica)


def _votes_for(state: State, identity: int, candidate: Replica) -> Iterator[Step]:
    term = candidate.term
    if (term, identity) in state.leaders:
        return
    for voter in set(members(candidate.log)).intersection(REACHES[identity]):
        replica = state.replicas[voter]
        if replica.term < term and _newness(candidate.log) >= _newness(replica.log):
            given = state.votes | {(term, voter, identity)}
            voted = Replica(term, identity, replica.log)
            yield f"vote {voter} for {identity}", _put(state._replace(votes=given), voter, voted)
    present = {voter for at, voter, chosen in state.votes if (at, chosen) == (term, identity)}
    if _majority(candidate.log, present):
        yield f"lead {identity}", state._replace(leaders=state.leaders | {(term, identity)})


def _newness(log: tuple[Entry, ...]) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


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
            yield f"replicate {identity} to {other}", _put(state._replace(acks=acks), other, stored)
        yield from _commits(state, identity, leader)


def _appends(state: State, identity: int, leader: Replica, defect: bool) -> Iterator[Step]:
    if len(leader.log) >= LAST_INDEX:
        return
    opened = bool(leader.log) and leader.log[-1].term == leader.term
    if not opened:
        extended = leader._replace(log=(*leader.log, Entry(leader.term, None)))
        yield f"open term {leader.term}", _put(state, identity, extended)
    if not defect and not (opened and state.committed == leader.log):
        return
    removed = REMOVES[identity]
    if removed in members(leader.log):
        left = tuple(one for one in members(leader.log) if one != removed)
        extended = leader._replace(log=(*leader.log, Entry(leader.term, left)))
        yield f"remove {removed}", _put(state, identity, extended)


def _commits(state: State, identity: int, leader: Replica) -> Iterator[Step]:
    for length in range(1, len(leader.log) + 1):
        if leader.log[length - 1].term != leader.term:
            continue
        present = {who for at, who, held in state.acks if at == leader.term and held >= length}
        if not _majority(leader.log, present | {identity}):
            continue
        prefix = leader.log[:length]
        shared = min(length, len(state.committed))
        changed = prefix[:shared] != state.committed[:shared]
        longest = max(prefix, state.committed, key=len)
        if changed or longest != state.committed:
            following = state._replace(committed=longest, changed=state.changed or changed)
            yield f"commit {length} by {identity}", following


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
