"""
Removal of unresponsive members, one at a time, by leaders of different terms.

The initial members are four replicas. A leader may remove another member once the latest member
change and an entry of its own term are committed. The deliberate defect lets a leader remove a
member before an entry of its term is committed, so that two groups without a common replica can
both commit entries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

from specs.replicated_log import (
    Entry,
    Replica,
    commit_steps,
    is_majority,
    log_rank,
    members,
    with_replica,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

LAST_TERM = 3
LAST_INDEX = 2
FIRST_MEMBERS = (0, 1, 2, 3)
REMOVED_MEMBERS = {0: 3, 2: 0}
"""Replicas that stand for election, and the member that each removes; other choices are
symmetric."""


REACHABLE_REPLICAS = {0: (1,), 2: (1, 3)}
"""Permanent network partition: the replicas that each candidate reaches. It limits the state space
to the critical case of two groups that share only replica 1."""


class State(NamedTuple):
    """Global state of the system; initially replica 0 leads term 1."""

    replicas: tuple[Replica, ...]
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


def _election_steps(state: State) -> Iterator[Transition]:
    for identity in REMOVED_MEMBERS:
        replica = state.replicas[identity]
        if replica.term < LAST_TERM and identity in members(replica.log, FIRST_MEMBERS):
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
    if (term, identity) in state.leaders:
        return
    for voter in set(members(candidate.log, FIRST_MEMBERS)).intersection(
        REACHABLE_REPLICAS[identity]
    ):
        replica = state.replicas[voter]
        if replica.term < term and log_rank(candidate.log) >= log_rank(replica.log):
            votes = state.votes | {(term, voter, identity)}
            voter_state = Replica(term, identity, replica.log)
            yield (
                f"vote {voter} for {identity}",
                with_replica(state._replace(votes=votes), voter, voter_state),
            )
    present = {
        voter for vote_term, voter, choice in state.votes if (vote_term, choice) == (term, identity)
    }
    if is_majority(members(candidate.log, FIRST_MEMBERS), present):
        yield f"lead {identity}", state._replace(leaders=state.leaders | {(term, identity)})


def _leader_steps(state: State, defect: bool) -> Iterator[Transition]:
    for term, identity in state.leaders:
        leader = state.replicas[identity]
        if leader.term != term or not leader.is_candidate_or_leader:
            continue
        yield from _append_steps(state, identity, leader, defect)
        for other in REACHABLE_REPLICAS[identity]:
            replica = state.replicas[other]
            if replica.term > term or replica.log == leader.log:
                continue
            vote = replica.vote if replica.term == term else None
            acks = state.acks | {(term, other, len(leader.log))}
            stored = Replica(term, vote, leader.log)
            yield (
                f"replicate {identity} to {other}",
                with_replica(state._replace(acks=acks), other, stored),
            )
        yield from commit_steps(state, identity, leader, FIRST_MEMBERS)


def _append_steps(
    state: State, identity: int, leader: Replica, defect: bool
) -> Iterator[Transition]:
    if len(leader.log) >= LAST_INDEX:
        return
    term_started = bool(leader.log) and leader.log[-1].term == leader.term
    if not term_started:
        extended = leader._replace(log=(*leader.log, Entry(leader.term, None)))
        yield f"start term {leader.term}", with_replica(state, identity, extended)
    if not defect and not (term_started and state.committed == leader.log):
        return
    removed = REMOVED_MEMBERS[identity]
    if removed in members(leader.log, FIRST_MEMBERS):
        remaining = tuple(
            member for member in members(leader.log, FIRST_MEMBERS) if member != removed
        )
        extended = leader._replace(log=(*leader.log, Entry(leader.term, remaining)))
        yield f"remove {removed}", with_replica(state, identity, extended)


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether a leader removes a member before an entry of its term is committed
    :return: the specification
    """
    initial_replica = Replica(1, 0, ())
    initial = State(
        replicas=(
            initial_replica._replace(is_candidate_or_leader=True),
            initial_replica,
            initial_replica,
            initial_replica,
        ),
        votes=frozenset(),
        leaders=frozenset({(1, 0)}),
        acks=frozenset(),
        committed=(),
        overwritten=False,
    )

    def transitions(state: State) -> list[Transition]:
        return [*_election_steps(state), *_leader_steps(state, defect)]

    return Protocol(
        name="removal of members",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=transitions,
        invariants={
            "committed entries never change": lambda state: not state["overwritten"],
        },
    )


__all__ = ["protocol"]
