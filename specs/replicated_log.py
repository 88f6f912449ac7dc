"""
The replicated log with one lost disk: elections, replication and member changes.

Host 2 loses its disk once and rejoins as identity 3. Votes and acknowledgements remain valid after
their sender has entered a later term, which models delayed messages. The deliberate defect lets
the host rejoin under its old identity, so that it votes without its earlier state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_TERM = 2
LAST_INDEX = 3
LOST_IDENTITY = 2
NEW_IDENTITY = 3
FIRST_MEMBERS = (0, 1, 2)


class Entry(NamedTuple):
    """One log entry; ``members`` is set if the entry changes the members."""

    term: int
    members: tuple[int, ...] | None


class Replica(NamedTuple):
    """State that one identity has on its disk."""

    term: int
    vote: int | None
    log: tuple[Entry, ...]
    is_candidate_or_leader: bool = False
    """Whether it is a candidate or leader of its term; ends once it stores another leader's log."""


class State(NamedTuple):
    """Global state of the system; initially replica 0 leads term 1."""

    replicas: tuple[Replica | None, ...]
    """Indexed by identity; ``None`` while that identity does not exist."""
    votes: frozenset[tuple[int, int, int]]
    """Granted votes as (term, voter, candidate)."""
    leaders: frozenset[tuple[int, int]]
    """Election winners as (term, replica)."""
    acks: frozenset[tuple[int, int, int]]
    """Acknowledgements as (term, replica, highest index stored for the leader of the term)."""
    committed: tuple[Entry, ...]
    overwritten: bool
    """Whether a committed entry was overwritten."""


Transition = tuple[str, State]


def members(
    log: tuple[Entry, ...], first_members: tuple[int, ...] = FIRST_MEMBERS
) -> tuple[int, ...]:
    """
    Find the voting members according to a log.

    :param log: the log of a replica
    :param first_members: members before any change
    :return: their identities as of the newest change
    """
    return next((entry.members for entry in reversed(log) if entry.members), first_members)


def is_majority(voters: tuple[int, ...], present: set[int]) -> bool:
    """
    Check whether a set of replicas includes a majority of the members.

    :param voters: the members
    :param present: replicas, members or not
    :return: whether more than half of the members are present
    """
    return 2 * len(present.intersection(voters)) > len(voters)


def with_replica(state: Any, identity: int, replica: Replica | None) -> Any:
    """
    Replace the state of one identity.

    :param state: global state of a specification; has ``replicas``
    :param identity: the identity
    :param replica: its new state
    :return: the new global state
    """
    replicas = list(state.replicas)
    replicas[identity] = replica
    return state._replace(replicas=tuple(replicas))


def _election_steps(state: State) -> Iterator[Transition]:
    for identity, replica in enumerate(state.replicas):
        if replica is None:
            continue
        if replica.term < LAST_TERM and identity in members(replica.log):
            candidate = Replica(
                replica.term + 1, identity, replica.log, is_candidate_or_leader=True
            )
            votes = state.votes | {(candidate.term, identity, identity)}
            yield (
                f"campaign {identity}",
                with_replica(state._replace(votes=votes), identity, candidate),
            )
        if replica.is_candidate_or_leader:
            yield from _vote_steps(state, identity, replica)


def _vote_steps(state: State, identity: int, candidate: Replica) -> Iterator[Transition]:
    term = candidate.term
    for voter, replica in enumerate(state.replicas):
        if replica is None or voter not in members(candidate.log):
            continue
        can_vote = replica.term < term or (replica.term == term and replica.vote is None)
        if can_vote and log_rank(candidate.log) >= log_rank(replica.log):
            votes = state.votes | {(term, voter, identity)}
            voter_state = Replica(term, identity, replica.log)
            yield (
                f"vote {voter} for {identity}",
                with_replica(state._replace(votes=votes), voter, voter_state),
            )
    present = {
        voter for vote_term, voter, choice in state.votes if (vote_term, choice) == (term, identity)
    }
    if (term, identity) not in state.leaders and is_majority(members(candidate.log), present):
        yield f"lead {identity}", state._replace(leaders=state.leaders | {(term, identity)})


def log_rank(log: tuple[Entry, ...]) -> tuple[int, int]:
    """
    Rank a log; voters reject candidates whose log has a lower rank than their own.

    :param log: the log of a replica
    :return: term of its last entry, and its length
    """
    return (log[-1].term if log else 0, len(log))


def _replication_steps(state: State) -> Iterator[Transition]:
    for term, identity in state.leaders:
        leader = state.replicas[identity]
        if leader is None or leader.term != term or not leader.is_candidate_or_leader:
            continue
        yield from _append_steps(state, identity, leader)
        for other, replica in enumerate(state.replicas):
            if replica is None or other == identity or replica.term > term:
                continue
            vote = replica.vote if replica.term == term else None
            stored = Replica(term, vote, leader.log)
            # Only the highest acknowledged index matters.
            older = {ack for ack in state.acks if ack[:2] == (term, other)}
            acks = (state.acks - older) | {(term, other, len(leader.log))}
            yield (
                f"replicate {identity} to {other}",
                with_replica(state._replace(acks=acks), other, stored),
            )
        yield from commit_steps(state, identity, leader, FIRST_MEMBERS)


def _append_steps(state: State, identity: int, leader: Replica) -> Iterator[Transition]:
    if len(leader.log) >= LAST_INDEX:
        return
    voters = members(leader.log)
    if not leader.log or leader.log[-1].term != leader.term:
        entry = Entry(leader.term, None)
        yield f"append {identity}", _extend(state, identity, leader, entry)
        return
    # A member change requires all earlier entries to be committed.
    if state.committed != leader.log:
        return
    if NEW_IDENTITY in voters and LOST_IDENTITY in voters:
        entry = Entry(leader.term, tuple(member for member in voters if member != LOST_IDENTITY))
        yield f"remove {LOST_IDENTITY}", _extend(state, identity, leader, entry)
    new = state.replicas[NEW_IDENTITY]
    if new is not None and NEW_IDENTITY not in voters and new.log == leader.log:
        entry = Entry(leader.term, (*voters, NEW_IDENTITY))
        yield f"add {NEW_IDENTITY}", _extend(state, identity, leader, entry)


def _extend(state: State, identity: int, leader: Replica, entry: Entry) -> State:
    return with_replica(state, identity, leader._replace(log=(*leader.log, entry)))


def commit_steps(
    state: Any, identity: int, leader: Replica, first_members: tuple[int, ...]
) -> Iterator[tuple[str, Any]]:
    """
    Commit the entries that a majority of a leader's members has stored.

    :param state: global state of a specification; has ``acks``, ``committed`` and ``overwritten``
    :param identity: the leader
    :param leader: its state
    :param first_members: members before any change
    :return: transitions
    """
    voters = members(leader.log, first_members)
    for length in range(1, len(leader.log) + 1):
        if leader.log[length - 1].term != leader.term:
            continue
        present = {
            acknowledger
            for ack_term, acknowledger, stored_index in state.acks
            if ack_term == leader.term and stored_index >= length
        }
        if not is_majority(voters, present | {identity}):
            continue
        prefix = leader.log[:length]
        shared = min(length, len(state.committed))
        overwritten = prefix[:shared] != state.committed[:shared]
        longest = max(prefix, state.committed, key=len)
        if overwritten or longest != state.committed:
            next_state = state._replace(
                committed=longest, overwritten=state.overwritten or overwritten
            )
            yield f"commit {length} by {identity}", next_state


def _disk_loss_steps(state: State, defect: bool) -> Iterator[Transition]:
    if state.replicas[NEW_IDENTITY] is not None or state.replicas[LOST_IDENTITY] is None:
        return
    empty = Replica(0, None, ())
    if defect:
        if state.replicas[LOST_IDENTITY] != empty:
            yield "lose the disk, keep the identity", with_replica(state, LOST_IDENTITY, empty)
        return
    yield (
        "lose the disk",
        with_replica(with_replica(state, LOST_IDENTITY, None), NEW_IDENTITY, empty),
    )


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether a host keeps its identity, and so its vote, after it has lost its disk
    :return: the specification
    """
    initial_replica = Replica(1, 0, ())
    initial = State(
        replicas=(
            initial_replica._replace(is_candidate_or_leader=True),
            initial_replica,
            initial_replica,
            None,
        ),
        votes=frozenset(),
        leaders=frozenset({(1, 0)}),
        acks=frozenset(),
        committed=(),
        overwritten=False,
    )

    def transitions(state: State) -> list[Transition]:
        return [
            *_election_steps(state),
            *_replication_steps(state),
            *_disk_loss_steps(state, defect),
        ]

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
            "committed entries never change": lambda state: not state["overwritten"],
        },
    )


__all__ = [
    "Entry",
    "Replica",
    "commit_steps",
    "is_majority",
    "log_rank",
    "members",
    "protocol",
    "with_replica",
]
