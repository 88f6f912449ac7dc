"""Leader side of log replication: sends entries, commits, holds the lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import (
    Accepted,
    Commit,
    LeaderChanged,
    Rejected,
    Send,
)
from camphorvalve.consensus.memberchanges import drop_silent_learners, propose_member_change
from camphorvalve.consensus.members import quorum_value
from camphorvalve.consensus.messages import Append, Appended, Entry
from camphorvalve.consensus.roles import (
    Leader,
    Progress,
    append_entry,
    become_follower,
    record_ack,
)
from camphorvalve.consensus.silence import report_to_followers, reported_silence_s
from camphorvalve.consensus.transfer import send_chunk

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect, Propose
    from camphorvalve.consensus.roles import ReplicaState

MAX_BATCH_COUNT = 256
MAX_BATCH_BYTES = 1 << 20
MAX_IN_FLIGHT_COUNT = 2048
"""Entries sent before a response; an unreachable replica is sent no more than these."""
LEASE_RATIO = 0.9
"""Lease duration as a fraction of the election timeout; the rest is a margin for clock drift."""


def become_leader(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Become the leader of the current term and append its first entry.

    :param state: the replica that has won the election
    :param now_s: current time
    :return: effects
    """
    next_index = state.log.last_index + 1
    role = Leader(next_index, now_s, now_s + state.timing.heartbeat_s)
    role.progress = {
        member: Progress(next_index, now_s, reported_silence_s(state, member, now_s))
        for member in state.other_members()
    }
    state.role = role
    yield LeaderChanged(state.term, state.identity)
    yield from append_entry(state, None, state.term_start_command)
    yield from send_pending(state, now_s, heartbeat=True)


def propose(state: ReplicaState, proposal: Propose) -> Iterator[Effect]:
    """
    Append a command if this replica leads, otherwise reject it.

    :param state: the replica
    :param proposal: the command
    :return: effects
    """
    match state.role:
        case Leader():
            yield from append_entry(state, None, proposal.payload)
            yield Accepted(proposal.proposal_id, state.log.last_index, state.term)
        case _:
            yield Rejected(proposal.proposal_id, state.leader)


def check_quorum(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Step down if no majority has responded within an election timeout.

    :param state: the replica
    :param now_s: current time
    :return: effects
    """
    match state.role:
        case Leader(since_s=since_s) as role:
            heard_s = max(since_s, _quorum_ack_s(state, role, now_s))
            if now_s - heard_s > state.timing.election_timeout_s:
                yield from become_follower(state, state.term, None, now_s)


def lease_until_s(state: ReplicaState, now_s: float) -> float | None:
    """
    Get the time until which no other leader can have been elected.

    :param state: the replica
    :param now_s: current time
    :return: the time by this host's clock, or ``None`` when this replica does not lead
    """
    acked_s = majority_acked_s(state, now_s)
    if acked_s is None:
        return None
    return acked_s + LEASE_RATIO * state.timing.election_timeout_s


def majority_acked_s(state: ReplicaState, now_s: float) -> float | None:
    """
    Get when the newest messages were sent that a majority acknowledged in this leader's term.

    A read that started before this time sees every entry that was committed before the read.

    :param state: the replica
    :param now_s: current time
    :return: the time by this host's clock, or ``None`` when this replica does not lead
    """
    match state.role:
        case Leader() as role if state.commit_index >= role.term_start_index:
            return _quorum_ack_s(state, role, now_s)
        case _:
            return None


def send_heartbeats(
    state: ReplicaState, now_s: float, *, at_once: bool = False
) -> Iterator[Effect]:
    """
    Send heartbeats to every replica when they are due, and stop replicating to silent learners.

    :param state: the replica
    :param now_s: current time
    :param at_once: whether to send them before they are due
    :return: effects
    """
    match state.role:
        case Leader(heartbeat_due_s=due_s) as role if at_once or now_s >= due_s:
            role.heartbeat_due_s = now_s + state.timing.heartbeat_s
            drop_silent_learners(state, role, now_s)
            yield from send_pending(state, now_s, heartbeat=True)
            yield from report_to_followers(state, role, now_s)


def send_pending(state: ReplicaState, now_s: float, *, heartbeat: bool) -> Iterator[Effect]:
    """
    Send new entries to every replica.

    :param state: the replica
    :param now_s: current time
    :param heartbeat: whether to send a message even without new entries
    :return: effects
    """
    match state.role:
        case Leader(progress=progress_by_replica):
            for replica, progress in progress_by_replica.items():
                yield from _send_entries(state, replica, progress, now_s, heartbeat=heartbeat)


def on_appended(state: ReplicaState, response: Appended, now_s: float) -> Iterator[Effect]:
    """
    Process a replica's response to an append request.

    :param state: the replica
    :param response: the response
    :param now_s: current time
    :return: effects
    """
    progress = yield from record_ack(state, response, now_s)
    if progress is None:
        return
    if response.accepted:
        progress.match_index = max(progress.match_index, response.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
    elif response.sent_s >= progress.reset_s:
        # Rejections of messages sent before the last reset would only repeat that reset.
        progress.reset_s = now_s
        hint = min(response.match_index, state.log.last_index)
        progress.next_index = max(progress.match_index, hint) + 1
    yield from _send_entries(state, response.sender, progress, now_s, heartbeat=False)
    yield from advance_commit_index(state, now_s)


def advance_commit_index(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Commit the entries that a majority of the members holds, then start a due member change.

    :param state: the replica
    :param now_s: current time
    :return: effects
    """
    match state.role:
        case Leader() as role:
            index = int(
                quorum_value([_match_index(state, role, member) for member in state.log.members])
            )
            # An entry of an older term is committed only by a later one of the current term.
            if index > state.commit_index and state.log.term(index) == state.term:
                committed = state.log.between(state.commit_index + 1, index)
                state.commit_index = index
                yield Commit(committed)
            yield from propose_member_change(state, role, now_s)


def _send_entries(
    state: ReplicaState, replica: str, progress: Progress, now_s: float, *, heartbeat: bool
) -> Iterator[Effect]:
    if progress.next_index <= state.log.base_index:
        if heartbeat:
            yield send_chunk(state, replica, progress, now_s)
        return
    while True:
        last_index = min(
            progress.next_index + MAX_BATCH_COUNT - 1, progress.match_index + MAX_IN_FLIGHT_COUNT
        )
        entries = _limit_batch_bytes(state.log.between(progress.next_index, last_index))
        if not entries and not heartbeat:
            return
        previous_index = progress.next_index - 1
        append = Append(
            state.identity,
            replica,
            state.term,
            now_s,
            previous_index,
            state.log.term(previous_index) or 0,
            state.commit_index,
            entries,
        )
        # The leader counts its own copy only once it is synced, so sending need not wait for that.
        yield Send(append, after_sync=False)
        progress.next_index += len(entries)
        heartbeat = False


def _limit_batch_bytes(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    total_bytes = 0
    for position, entry in enumerate(entries):
        total_bytes += len(entry.payload)
        if position and total_bytes > MAX_BATCH_BYTES:
            return entries[:position]
    return entries


def _match_index(state: ReplicaState, role: Leader, member: str) -> int:
    if member == state.identity:
        return state.synced_index
    progress = role.progress.get(member)
    return 0 if progress is None else progress.match_index


def _quorum_ack_s(state: ReplicaState, role: Leader, now_s: float) -> float:
    return quorum_value(
        [
            now_s if member == state.identity else role.progress[member].acked_s
            for member in state.log.members
        ]
    )


__all__ = [
    "advance_commit_index",
    "become_leader",
    "check_quorum",
    "lease_until_s",
    "majority_acked_s",
    "on_appended",
    "propose",
    "send_heartbeats",
    "send_pending",
]
