"""Leader election: election timeouts, pre-votes and votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import LeaderChanged, SaveVote, Send
from camphorvalve.consensus.members import is_quorum
from camphorvalve.consensus.messages import Vote, VoteRequest
from camphorvalve.consensus.replication import become_leader
from camphorvalve.consensus.roles import Candidate, Follower, Leader, become_follower
from camphorvalve.consensus.silence import record_silent_leader

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.roles import ReplicaState


def check_election_timeout(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Start an election when the election timeout has passed without contact from a leader.

    :param state: the replica
    :param now_s: current time
    :return: effects
    """
    match state.role:
        case Follower(deadline_s=deadline_s) | Candidate(deadline_s=deadline_s):
            if now_s >= deadline_s and state.is_member:
                yield from _campaign(state, now_s, pre=True)


def on_vote_request(state: ReplicaState, request: VoteRequest, now_s: float) -> Iterator[Effect]:
    """
    Respond to a vote request; a replica without any state does not respond.

    Candidates request votes only from the members in their own log, and a leader adds a replica
    only once it holds the whole state. A new member therefore votes even before it receives the
    entry that adds it: without its vote, the members that hold this entry might never form a
    majority again.

    :param state: the replica
    :param request: the request
    :param now_s: current time
    :return: effects
    """
    if not state.is_member and state.log.last_index == 0:
        return
    has_leader = isinstance(state.role, Leader) or _leader_heard_recently(state, now_s)
    own_last = (state.log.last_term, state.log.last_index)
    up_to_date = (request.last_term, request.last_index) >= own_last
    if request.pre:
        granted = request.term > state.term and up_to_date and not has_leader
        term = request.term if granted else state.term
        yield Send(Vote(state.identity, request.sender, term, granted, True))
        return
    # A leader's lease is valid only because members refuse to vote while they hear from it.
    if has_leader and request.term > state.term:
        return
    if request.term > state.term:
        yield from become_follower(state, request.term, None, now_s)
    can_vote = state.voted_for in (None, request.sender)
    granted = request.term == state.term and up_to_date and can_vote
    if granted and state.voted_for is None:
        state.voted_for = request.sender
        yield SaveVote(state.term, state.voted_for)
        yield from _reset_election_timer(state, now_s)
    yield Send(Vote(state.identity, request.sender, state.term, granted, False))


def on_vote(state: ReplicaState, vote: Vote, now_s: float) -> Iterator[Effect]:
    """
    Count a vote.

    :param state: the replica
    :param vote: response of a member
    :param now_s: current time
    :return: effects
    """
    if not vote.granted:
        if vote.term > state.term:
            yield from become_follower(state, vote.term, None, now_s)
        return
    match state.role:
        case Candidate(pre=pre, votes=votes) if pre == vote.pre:
            if vote.term == state.term + pre:
                votes.add(vote.sender)
                yield from _count_votes(state, now_s)


def _campaign(state: ReplicaState, now_s: float, *, pre: bool) -> Iterator[Effect]:
    known_leader = state.leader
    if not pre:
        state.term += 1
        state.voted_for = state.identity
        yield SaveVote(state.term, state.identity)
    state.role = Candidate(pre, {state.identity}, state.next_deadline_s(now_s))
    if known_leader is not None:
        record_silent_leader(state, known_leader, now_s)
        yield LeaderChanged(state.term, None)
    for member in state.other_members():
        yield Send(
            VoteRequest(
                state.identity,
                member,
                state.term + pre,
                state.log.last_index,
                state.log.last_term,
                pre,
            )
        )
    yield from _count_votes(state, now_s)


def _count_votes(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    match state.role:
        case Candidate(pre=pre, votes=votes) if is_quorum(state.log.members, votes):
            if pre:
                yield from _campaign(state, now_s, pre=False)
            else:
                yield from become_leader(state, now_s)


def _reset_election_timer(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    match state.role:
        case Follower() as role:
            role.deadline_s = state.next_deadline_s(now_s)
        case _:
            yield from become_follower(state, state.term, None, now_s)


def _leader_heard_recently(state: ReplicaState, now_s: float) -> bool:
    return now_s - state.heard_s < state.timing.election_timeout_s


__all__ = ["check_election_timeout", "on_vote", "on_vote_request"]
