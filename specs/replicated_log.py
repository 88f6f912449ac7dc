"""
The replicated log with one lost disk: elections, replication, and the change of members.

Host 2 loses its disk once and comes back as identity 3. Votes and acknowledgements stay valid after
the replica that gave them has moved on, as if their messages were late. The deliberate defect lets
the host come back under its old identity, so that it votes without its state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_TERM = 2
LAST_INDEX = 3
LOST = 2
NEW = 3
FIRST_MEMBERS = (0, 1, 2)


class Entry(NamedTuple):
    """One entry: its term, and the members from it on if it changes them."""

    term: int
    members: tuple[int, ...] | None


class Replica(NamedTuple):
    """What one identity has on its disk."""

    term: int
    vote: int | None
    log: tuple[Entry, ...]
    stands: bool = False
    """Whether it is a candidate or leader of its term; ends with the first entry of a leader."""


class State(NamedTuple):
    """The whole system; terms start at 1, led by replica 0."""

    replicas: tuple[Replica | None, ...]
    """By identity; ``None`` while it does not exist."""
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


def members(
    log: tuple[Entry, ...], first_members: tuple[int, ...] = FIRST_MEMBERS
) -> tuple[int, ...]:
    """
    Find the voting members.

    :param log: the log of a replica
    :param first_members: members before any change
    :return: identities by its newest change
    """
    return next((one.members for one in reversed(log) if one.members), first_members)


def is_majority(voters: tuple[int, ...], present: set[int]) -> bool:
    """
    Tell whether replicas hold a majority of the members.

    :param voters: the members
    :param present: replicas, members or not
    :return: whether more than half of the members are present
    """
    return 2 * len(present.intersection(voters)) > len(voters)


def put(state: Any, identity: int, replica: Replica | None) -> Any:
    """
    Replace what one identity has.

    :param state: state of a specification, with ``replicas``
    :param identity: the identity
    :param replica: what it has from now on
    :return: the state after
    """
    replicas = list(state.replicas)
    replicas[identity] = replica
    return state._replace(replicas=tuple(replicas))


def _elections(state: State) -> Iterator[Step]:
    for identity, replica in enumerate(state.replicas):
        if replica is None:
            continue
        if replica.term < LAST_TERM and identity in members(replica.log):
            raised = Replica(replica.term + 1, identity, replica.log, stands=True)
            given = state.votes | {(raised.term, identity, identity)}
            yield f"campaign {identity}", put(state._replace(votes=given), identity, raised)
        if replica.stands:
            yield from _votes_for(state, identity, replica)


def _votes_for(state: State, identity: int, candidate: Replica) -> Iterator[Step]:
    term = candidate.term
    for voter, replica in enumerate(state.replicas):
        if replica is None or voter not in members(candidate.log):
            continue
        free = replica.term < term or (replica.term == term and replica.vote is None)
        if free and newness(candidate.log) >= newness(replica.log):
            given = state.votes | {(term, voter, identity)}
            voted = Replica(term, identity, replica.log)
            yield f"vote {voter} for {identity}", put(state._replace(votes=given), voter, voted)
    present = {voter for at, voter, chosen in state.votes if (at, chosen) == (term, identity)}
    if (term, identity) not in state.leaders and is_majority(members(candidate.log), present):
        yield f"lead {identity}", state._replace(leaders=state.leaders | {(term, identity)})


def newness(log: tuple[Entry, ...]) -> tuple[int, int]:
    """
    Rank a log; voters refuse candidates of a lower rank.

    :param log: the log of a replica
    :return: term of its last entry, and its length
    """
    return (log[-1].term if log else 0, len(log))


def _replication(state: State) -> Iterator[Step]:
    for term, identity in state.leaders:
        leader = state.replicas[identity]
        if leader is None or leader.term != term or not leader.stands:
            continue
        yield from _appends(state, identity, leader)
        for other, replica in enumerate(state.replicas):
            if replica is None or other == identity or replica.term > term:
                continue
            vote = replica.vote if replica.term == term else None
            stored = Replica(term, vote, leader.log)
            # Only the highest index of an acknowledgement matters.
            older = {one for one in state.acks if one[:2] == (term, other)}
            acks = (state.acks - older) | {(term, other, len(leader.log))}
            yield f"replicate {identity} to {other}", put(state._replace(acks=acks), other, stored)
        yield from commits(state, identity, leader, FIRST_MEMBERS)


def _appends(state: State, identity: int, leader: Replica) -> Iterator[Step]:
    if len(leader.log) >= LAST_INDEX:
        return
    voters = members(leader.log)
    if not leader.log or leader.log[-1].term != leader.term:
        entry = Entry(leader.term, None)
        yield f"append {identity}", _extend(state, identity, leader, entry)
        return
    # A change of the members needs all earlier entries to be committed.
    if state.committed != leader.log:
        return
    if NEW in voters and LOST in voters:
        entry = Entry(leader.term, tuple(one for one in voters if one != LOST))
        yield f"remove {LOST}", _extend(state, identity, leader, entry)
    new = state.replicas[NEW]
    if new is not None and NEW not in voters and new.log == leader.log:
        entry = Entry(leader.term, (*voters, NEW))
        yield f"add {NEW}", _extend(state, identity, leader, entry)


def _extend(state: State, identity: int, leader: Replica, entry: Entry) -> State:
    return put(state, identity, leader._replace(log=(*leader.log, entry)))


def commits(
    state: Any, identity: int, leader: Replica, first_members: tuple[int, ...]
) -> Iterator[tuple[str, Any]]:
    """
    Commit what a majority of a leader's members has stored.

    :param state: state of a specification, with ``acks``, ``committed`` and ``changed``
    :param identity: the leader
    :param leader: what it has
    :param first_members: members before any change
    :return: steps
    """
    voters = members(leader.log, first_members)
    for length in range(1, len(leader.log) + 1):
        if leader.log[length - 1].term != leader.term:
            continue
        present = {who for at, who, held in state.acks if at == leader.term and held >= length}
        if not is_majority(voters, present | {identity}):
            continue
        prefix = leader.log[:length]
        shared = min(length, len(state.committed))
        changed = prefix[:shared] != state.committed[:shared]
        longest = max(prefix, state.committed, key=len)
        if changed or longest != state.committed:
            following = state._replace(committed=longest, changed=state.changed or changed)
            yield f"commit {length} by {identity}", following


def _losses(state: State, defect: bool) -> Iterator[Step]:
    if state.replicas[NEW] is not None or state.replicas[LOST] is None:
        return
    empty = Replica(0, None, ())
    if defect:
        if state.replicas[LOST] != empty:
            yield "lose the disk, keep the identity", put(state, LOST, empty)
        return
    yield "lose the disk", put(put(state, LOST, None), NEW, empty)


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether a replica votes after it has lost its disk
    :return: the specification
    """
    first = Replica(1, 0, ())
    initial = State(
        replicas=(first._replace(stands=True), first, first, None),
        votes=frozenset(),
        leaders=frozenset({(1, 0)}),
        acks=frozenset(),
        committed=(),
        changed=False,
    )

    def transitions(state: State) -> list[Step]:
        return [*_elections(state), *_replication(state), *_losses(state, defect)]

    return Protocol(
        name="replicated log",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "one leader per term": lambda state: (
                len({term for term, _ in state["leaders"]}) == len(state["leaders"])
            ),
            "committed entries never change": lambda state: not state["changed"],
        },
    )


__all__ = [
    "Entry",
    "Replica",
    "commits",
    "is_majority",
    "members",
    "newness",
    "protocol",
    "put",
]
