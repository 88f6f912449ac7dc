"""The leader's side: sending entries, commitment, and the lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import (
    Accepted,
    Commit,
    LeaderChanged,
    Refused,
    Send,
    StoreEntries,
)
from camphorvalve.consensus.members import is_quorum, quorum_value, replaced
from camphorvalve.consensus.messages import Append, Appended, Entry
from camphorvalve.consensus.roles import Leader, Progress, answering, follow
from camphorvalve.consensus.transfer import send_chunk

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect, Propose
    from camphorvalve.consensus.roles import ReplicaState

BATCH_COUNT = 256
BATCH_BYTES = 1 << 20
WINDOW_COUNT = 2048
"""Entries sent ahead of an answer; a replica that is away gets no more than these."""
LEASE_RATIO = 0.9
"""Part of the election timeout for which a lease holds; the rest covers clocks that drift."""
MIN_MEMBERS_COUNT = 3
"""Silent members are kept in a group of this size: with fewer, one more loss stops it."""
LEARNER_TIMEOUT_RATIO = 10
"""Election timeouts of silence after which a learner is forgotten."""


def open_term(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Lead the current term.

    :param state: the replica that has won the election
    :param now_s: current time
    :return: effects
    """
    next_index = state.log.last_index + 1
    role = Leader(next_index, now_s, now_s + state.timing.heartbeat_s)
    role.progress = {member: Progress(next_index, now_s) for member in state.others()}
    state.role = role
    yield LeaderChanged(state.term, state.identity)
    yield from _append(state, None, state.opening)
    yield from send_pending(state, now_s, heartbeat=True)


def propose(state: ReplicaState, proposal: Propose) -> Iterator[Effect]:
    """
    Append a command, if this replica leads.

    :param state: the replica
    :param proposal: the command
    :return: effects
    """
    match state.role:
        case Leader():
            yield from _append(state, None, proposal.payload)
            yield Accepted(proposal.proposal_id, state.log.last_index, state.term)
        case _:
            yield Refused(proposal.proposal_id, state.leader)


def check_quorum(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Step down when a majority has not answered for an election timeout.

    :param state: the replica
    :param now_s: current time
    :return: effects
    """
    match state.role:
        case Leader(since_s=since_s) as role:
            heard_s = max(since_s, _quorum_heard_s(state, role, now_s))
            if now_s - heard_s > state.timing.election_timeout_s:
                yield from follow(state, state.term, None, now_s)


def lease_until_s(state: ReplicaState, now_s: float) -> float | None:
    """
    Tell until when no other leader can have been elected.

    :param state: the replica
    :param now_s: current time
    :return: the time by this host's clock, or ``None`` when this replica does not lead
    """
    heard_s = confirmed_s(state, now_s)
    if heard_s is None:
        return None
    return heard_s + LEASE_RATIO * state.timing.election_timeout_s


def confirmed_s(state: ReplicaState, now_s: float) -> float | None:
    """
    Tell when the newest messages were sent that a majority answered in this leader's term.

    A read that began before this time sees every entry that was committed before it.

    :param state: the replica
    :param now_s: current time
    :return: the time by this host's clock, or ``None`` when this replica does not lead
    """
    match state.role:
        case Leader() as role if state.commit_index >= role.opening_index:
            return _quorum_heard_s(state, role, now_s)
        case _:
            return None


def remove_lost(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Remove one member that has been silent for too long, if a majority of the others answers.

    :param state: the replica
    :param now_s: current time
    :return: effects
    """
    lost_s = state.timing.member_lost_s
    match state.role:
        case Leader() as role if lost_s is not None and _settled(state, role):
            heard = {
                one: max(role.progress[one].since_s, role.progress[one].acked_s)
                for one in state.others()
            }
            if len(heard) < MIN_MEMBERS_COUNT or not heard:
                return
            silent = min(heard, key=heard.__getitem__)
            staying = tuple(one for one in state.log.members if one != silent)
            answering = [
                one
                for one in staying
                if one == state.identity or now_s - heard[one] <= state.timing.election_timeout_s
            ]
            if now_s - heard[silent] > lost_s and is_quorum(staying, answering):
                role.progress.pop(silent)
                yield from _append(state, staying, b"")
        case _:
            return


def send_heartbeats(
    state: ReplicaState, now_s: float, *, at_once: bool = False
) -> Iterator[Effect]:
    """
    Send a message to every replica when the heartbeat is due.

    :param state: the replica
    :param now_s: current time
    :param at_once: whether to send before it is due
    :return: effects
    """
    match state.role:
        case Leader(heartbeat_due_s=due_s) as role if at_once or now_s >= due_s:
            role.heartbeat_due_s = now_s + state.timing.heartbeat_s
            _forget_learners(state, role, now_s)
            yield from send_pending(state, now_s, heartbeat=True)


def send_pending(state: ReplicaState, now_s: float, *, heartbeat: bool) -> Iterator[Effect]:
    """
    Send new entries to every replica.

    :param state: the replica
    :param now_s: current time
    :param heartbeat: whether to send to a replica for which there are no new entries, too
    :return: effects
    """
    match state.role:
        case Leader(progress=progress):
            for replica, one in progress.items():
                yield from _send(state, replica, one, now_s, heartbeat=heartbeat)


def on_appended(state: ReplicaState, answer: Appended, now_s: float) -> Iterator[Effect]:
    """
    Take a replica's answer.

    :param state: the replica
    :param answer: the answer
    :param now_s: current time
    :return: effects
    """
    if answer.term > state.term:
        yield from follow(state, answer.term, None, now_s)
        return
    one = answering(state, answer.sender, answer.term, answer.sent_s)
    if one is None:
        return
    if answer.accepted:
        one.match_index = max(one.match_index, answer.match_index)
        one.next_index = max(one.next_index, one.match_index + 1)
    elif answer.sent_s >= one.reset_s:
        # Answers to messages sent before the last step back would only repeat it.
        one.reset_s = now_s
        hint = min(answer.match_index, state.log.last_index)
        one.next_index = max(one.match_index, hint) + 1
    yield from _send(state, answer.sender, one, now_s, heartbeat=False)
    yield from advance(state)


def advance(state: ReplicaState) -> Iterator[Effect]:
    """
    Commit what a majority of the members holds, then change the members if that is due.

    :param state: the replica
    :return: effects
    """
    match state.role:
        case Leader() as role:
            index = int(quorum_value([_match(state, role, one) for one in state.log.members]))
            # An entry of an older term commits only together with one of this term.
            if index > state.commit_index and state.log.term(index) == state.term:
                committed = state.log.between(state.commit_index + 1, index)
                state.commit_index = index
                yield Commit(committed)
            yield from _change_members(state, role)


def on_join(state: ReplicaState, replica: str, now_s: float) -> None:
    """
    Start to bring a replica up to date that is not a member.

    :param state: the replica
    :param replica: identity of the new replica
    :param now_s: current time
    """
    match state.role:
        case Leader(progress=progress) if replica not in progress and replica != state.identity:
            progress[replica] = Progress(state.log.last_index + 1, now_s)


def _append(
    state: ReplicaState, members: tuple[str, ...] | None, payload: bytes
) -> Iterator[Effect]:
    entry = Entry(state.log.last_index + 1, state.term, members, payload)
    state.log.extend((entry,))
    yield StoreEntries((entry,))


def _change_members(state: ReplicaState, role: Leader) -> Iterator[Effect]:
    members = state.log.members
    if not _settled(state, role):
        return
    if (old := replaced(members)) is not None:
        role.progress.pop(old, None)
        yield from _append(state, tuple(one for one in members if one != old), b"")
        return
    for replica, one in role.progress.items():
        if replica not in members and one.match_index >= state.commit_index:
            yield from _append(state, (*members, replica), b"")
            return


def _settled(state: ReplicaState, role: Leader) -> bool:
    """Tell whether the newest change of the members and the term's first entry are committed."""
    return max(state.log.members_index, role.opening_index) <= state.commit_index


def _send(
    state: ReplicaState, replica: str, one: Progress, now_s: float, *, heartbeat: bool
) -> Iterator[Effect]:
    if one.next_index <= state.log.base_index:
        if heartbeat:
            yield send_chunk(state, replica, one, now_s)
        return
    while True:
        last_index = min(one.next_index + BATCH_COUNT - 1, one.match_index + WINDOW_COUNT)
        entries = _within_bytes(state.log.between(one.next_index, last_index))
        if not entries and not heartbeat:
            return
        previous_index = one.next_index - 1
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
        # The leader's own copy counts only once it is synced, so others need not wait for it.
        yield Send(append, after_sync=False)
        one.next_index += len(entries)
        heartbeat = False


def _within_bytes(entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    total_bytes = 0
    for position, entry in enumerate(entries):
        total_bytes += len(entry.payload)
        if position and total_bytes > BATCH_BYTES:
            return entries[:position]
    return entries


def _match(state: ReplicaState, role: Leader, member: str) -> int:
    if member == state.identity:
        return state.synced_index
    one = role.progress.get(member)
    return 0 if one is None else one.match_index


def _quorum_heard_s(state: ReplicaState, role: Leader, now_s: float) -> float:
    return quorum_value(
        [
            now_s if member == state.identity else role.progress[member].acked_s
            for member in state.log.members
        ]
    )


def _forget_learners(state: ReplicaState, role: Leader, now_s: float) -> None:
    silence_s = LEARNER_TIMEOUT_RATIO * state.timing.election_timeout_s
    for replica in list(role.progress):
        one = role.progress[replica]
        heard_s = max(one.since_s, one.acked_s)
        if replica not in state.log.members and now_s - heard_s > silence_s:
            del role.progress[replica]


__all__ = [
    "advance",
    "check_quorum",
    "confirmed_s",
    "lease_until_s",
    "on_appended",
    "on_join",
    "open_term",
    "propose",
    "remove_lost",
    "send_heartbeats",
    "send_pending",
]
