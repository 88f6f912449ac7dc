"""
Silence of members, which survives a change of the leader.

The leader reports the silent members to its followers with each heartbeat. A replica that becomes
leader continues to count from the newest report, and its followers send it theirs, so that it need
not have received one itself. Time without a leader does not count, as nobody listens then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import Send
from camphorvalve.consensus.messages import MemberSilence, SilenceReport
from camphorvalve.consensus.roles import NEVER_S, Follower, Leader, ReportedSilences

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.roles import Progress, ReplicaState

REPORT_LIFETIME_RATIO = 5
"""Age up to which a report is used, in election timeouts; the member may have answered since."""


def observed_silence_s(progress: Progress, now_s: float) -> float:
    """
    Get how long the current leader has heard nothing from a replica.

    :param progress: replication progress of the replica
    :param now_s: current time
    :return: seconds, not more than the age of the leadership
    """
    return now_s - max(progress.since_s, progress.acked_s)


def silence_s(progress: Progress, now_s: float) -> float:
    """
    Get how long a replica has been silent, to earlier leaders as well.

    :param progress: replication progress of the replica
    :param now_s: current time
    :return: seconds
    """
    earlier_s = progress.earlier_silence_s if progress.acked_s == NEVER_S else 0.0
    return earlier_s + observed_silence_s(progress, now_s)


def responds(state: ReplicaState, progress: Progress, now_s: float) -> bool:
    """
    Check whether a replica has acknowledged a recent message of this leader.

    :param state: the leader
    :param progress: replication progress of the replica
    :param now_s: current time
    :return: whether the message was sent within the last election timeout
    """
    return now_s - progress.acked_s <= state.timing.election_timeout_s


def reported_silence_s(state: ReplicaState, member: str, now_s: float) -> float:
    """
    Look up what this replica knows about the silence of a member from reports.

    :param state: the replica
    :param member: identity of the member
    :param now_s: current time
    :return: seconds; zero without a recent report
    """
    return _recent_silences(state, now_s).get(member, 0.0)


def record_silent_leader(state: ReplicaState, leader: str, now_s: float) -> None:
    """
    Record the silence of a leader that this replica has stopped following.

    :param state: the follower, which starts an election
    :param leader: identity of the leader
    :param now_s: current time
    """
    silent_s = {**_recent_silences(state, now_s), leader: now_s - state.heard_s}
    state.reported = ReportedSilences(now_s, silent_s)


def report_to_followers(state: ReplicaState, role: Leader, now_s: float) -> Iterator[Effect]:
    """
    Send the silent members to the others.

    After the last one has answered, empty reports go on for as long as an earlier report is used.

    :param state: the leader
    :param role: its role
    :param now_s: current time
    :return: effects
    """
    silences = tuple(
        MemberSilence(member, silence_s(role.progress[member], now_s))
        for member in state.other_members()
        if silence_s(role.progress[member], now_s) > state.timing.election_timeout_s
    )
    if silences:
        role.report_until_s = now_s + _report_lifetime_s(state)
    if now_s > role.report_until_s:
        return
    silent = {silence.member for silence in silences}
    for member in state.other_members():
        if member not in silent:
            report = SilenceReport(state.identity, member, state.term, silences)
            yield Send(report, after_sync=False)


def report_to_new_leader(state: ReplicaState, leader: str, now_s: float) -> Iterator[Effect]:
    """
    Send the silent members that the previous leader has reported, if there are any.

    :param state: the follower
    :param leader: identity of the new leader
    :param now_s: current time
    :return: effects
    """
    silent_s = _recent_silences(state, now_s)
    silences = tuple(MemberSilence(member, silent_s[member]) for member in silent_s)
    if silences:
        yield Send(SilenceReport(state.identity, leader, state.term, silences), after_sync=False)


def on_report(state: ReplicaState, report: SilenceReport, now_s: float) -> None:
    """
    Store the report of the leader, or add the report of a follower to what this leader knows.

    :param state: the replica
    :param report: the report
    :param now_s: current time
    """
    if report.term != state.term:
        return
    match state.role:
        case Follower(leader=report.sender):
            state.reported = ReportedSilences(now_s, dict(report.silences))
        case Leader(progress=progress_by_replica):
            for member, silent_s in report.silences:
                progress = progress_by_replica.get(member)
                if progress is not None and silent_s > 0:
                    # The shortest silence is the newest knowledge.
                    known_s = progress.earlier_silence_s or silent_s
                    progress.earlier_silence_s = min(known_s, silent_s)


def _recent_silences(state: ReplicaState, now_s: float) -> dict[str, float]:
    if now_s - state.reported.received_s > _report_lifetime_s(state):
        return {}
    return state.reported.silent_s


def _report_lifetime_s(state: ReplicaState) -> float:
    return REPORT_LIFETIME_RATIO * state.timing.election_timeout_s


__all__ = [
    "observed_silence_s",
    "on_report",
    "record_silent_leader",
    "report_to_followers",
    "report_to_new_leader",
    "reported_silence_s",
    "responds",
    "silence_s",
]
