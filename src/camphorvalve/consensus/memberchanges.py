"""
Leader side of member changes: adds learners, and removes superseded and silent members.

A group of even size bears no more losses than the next smaller one. A voter that makes the size
even is therefore added only while all members respond, or when the next change can remove a silent
member; otherwise each replacement of a host would raise the quorum until only the dead could
complete it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.members import host_of, is_quorum, superseded_member
from camphorvalve.consensus.roles import Leader, Progress, append_entry
from camphorvalve.consensus.silence import observed_silence_s, responds, silence_s

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.roles import ReplicaState

MIN_MEMBERS_COUNT = 3
"""Removal of silent members leaves at least this many: with fewer, one more failure would end the
majority."""
MIN_OBSERVED_RATIO = 2
"""Part of a silence that the removing leader itself has to observe, in election timeouts."""
LEARNER_TIMEOUT_RATIO = 10
"""Silence after which replication to a learner ends, in election timeouts."""


def on_join(state: ReplicaState, replica: str, now_s: float) -> None:
    """
    Start replicating to a replica that is not a member yet.

    :param state: the replica
    :param replica: identity of the new replica
    :param now_s: current time
    """
    match state.role:
        case Leader(progress=progress) if replica not in progress and replica != state.identity:
            progress[replica] = Progress(state.log.last_index + 1, now_s)


def propose_member_change(state: ReplicaState, role: Leader, now_s: float) -> Iterator[Effect]:
    """
    Remove a superseded member, or else add a learner that holds the whole state.

    :param state: the leader
    :param role: its role
    :param now_s: current time
    :return: effects
    """
    members = state.log.members
    if not _may_change_members(state, role):
        return
    if (superseded := superseded_member(members)) is not None:
        yield from _remove(state, role, superseded)
        return
    for replica in role.progress:
        if replica not in members and _may_add(state, role, replica, now_s):
            yield from append_entry(state, (*members, replica), b"")
            return


def remove_silent_member(state: ReplicaState, now_s: float) -> Iterator[Effect]:
    """
    Remove a member that has been silent for too long, if a majority of the others responds.

    :param state: the replica
    :param now_s: current time
    :return: effects
    """
    lost_s = state.timing.member_lost_s
    match state.role:
        case Leader() as role if lost_s is not None and _may_change_members(state, role):
            others = state.other_members()
            if len(others) < MIN_MEMBERS_COUNT:
                return
            silent = _longest_silent(role, others, now_s)
            responding = [
                member for member in others if responds(state, role.progress[member], now_s)
            ]
            remaining = [member for member in state.log.members if member != silent]
            observed_s = observed_silence_s(role.progress[silent], now_s)
            if (
                silence_s(role.progress[silent], now_s) > _tolerated_silence_s(state, lost_s, now_s)
                and observed_s > MIN_OBSERVED_RATIO * state.timing.election_timeout_s
                and is_quorum(remaining, [state.identity, *responding])
            ):
                yield from _remove(state, role, silent)
        case _:
            return


def drop_silent_learners(state: ReplicaState, role: Leader, now_s: float) -> None:
    """
    Stop replicating to learners that have not responded for long.

    :param state: the leader
    :param role: its role
    :param now_s: current time
    """
    timeout_s = LEARNER_TIMEOUT_RATIO * state.timing.election_timeout_s
    for replica in list(role.progress):
        is_silent = observed_silence_s(role.progress[replica], now_s) > timeout_s
        if is_silent and replica not in state.log.members:
            del role.progress[replica]


def _may_change_members(state: ReplicaState, role: Leader) -> bool:
    """Check that the previous member change and the first entry of the term are committed."""
    return max(state.log.members_index, role.term_start_index) <= state.commit_index


def _may_add(state: ReplicaState, role: Leader, replica: str, now_s: float) -> bool:
    """Check that a learner holds the whole state, responds, and does not endanger the quorum."""
    progress = role.progress[replica]
    if progress.match_index < state.commit_index or not responds(state, progress, now_s):
        return False
    replaced_s = state.timing.member_replaced_s
    others = state.other_members()
    is_superseding = host_of(replica) in map(host_of, state.log.members)
    is_even = len(state.log.members) % 2 == 0
    if replaced_s is None or is_superseding or is_even or not others:
        return True
    if all(responds(state, role.progress[member], now_s) for member in others):
        return True
    silent = _longest_silent(role, others, now_s)
    is_replaced = silence_s(role.progress[silent], now_s) > replaced_s
    # A member that only responds now and then must not keep the learner out for ever.
    return is_replaced or now_s - progress.since_s > replaced_s


def _tolerated_silence_s(state: ReplicaState, lost_s: float, now_s: float) -> float:
    """Return the time after which a silent member is removed, shorter if it has a successor."""
    replaced_s = state.timing.member_replaced_s
    has_grown = now_s - state.grown_s <= lost_s and len(state.log.members) % 2 == 0
    return lost_s if replaced_s is None or not has_grown else replaced_s


def _longest_silent(role: Leader, members: tuple[str, ...], now_s: float) -> str:
    return max(members, key=lambda member: silence_s(role.progress[member], now_s))


def _remove(state: ReplicaState, role: Leader, member: str) -> Iterator[Effect]:
    role.progress.pop(member, None)
    remaining = tuple(other for other in state.log.members if other != member)
    yield from append_entry(state, remaining, b"")


__all__ = ["drop_silent_learners", "on_join", "propose_member_change", "remove_silent_member"]
