"""Follower side of log replication: handles append requests from the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import Commit, Send, StoreEntries
from camphorvalve.consensus.messages import Appended
from camphorvalve.consensus.roles import become_follower
from camphorvalve.consensus.silence import report_to_new_leader

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.messages import Append, Entry
    from camphorvalve.consensus.roles import ReplicaState


def on_append(state: ReplicaState, message: Append, now_s: float) -> Iterator[Effect]:
    """
    Store the leader's entries, advance the commit index and respond.

    :param state: the receiver
    :param message: the append request
    :param now_s: current time
    :return: effects
    """
    if message.term < state.term:
        yield _response(state, message, 0, accepted=False)
        return
    has_new_leader = state.leader != message.sender
    yield from become_follower(state, message.term, message.sender, now_s)
    if has_new_leader:
        yield from report_to_new_leader(state, message.sender, now_s)
    previous_term = state.log.term(message.previous_index)
    is_committed = message.previous_index <= state.log.base_index
    if not is_committed and previous_term != message.previous_term:
        # The hint tells the leader where to resume: at the end of a log that is too short, else
        # after the committed entries, which always match the leader's.
        missing = previous_term is None
        hint_index = state.log.last_index if missing else state.commit_index
        yield _response(state, message, hint_index, accepted=False)
        return
    new_entries = _missing_entries(state, message.entries)
    if new_entries:
        state.log.extend(new_entries)
        state.synced_index = min(state.synced_index, new_entries[0].index - 1)
        yield StoreEntries(new_entries)
    match_index = message.previous_index + len(message.entries)
    yield _response(state, message, match_index, accepted=True)
    commit_index = min(message.commit_index, match_index)
    if commit_index > state.commit_index:
        committed = state.log.between(state.commit_index + 1, commit_index)
        state.commit_index = commit_index
        yield Commit(committed)


def _missing_entries(state: ReplicaState, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    for position, entry in enumerate(entries):
        covered = entry.index <= state.log.base_index
        if not covered and state.log.term(entry.index) != entry.term:
            return entries[position:]
    return ()


def _response(state: ReplicaState, message: Append, match_index: int, *, accepted: bool) -> Send:
    return Send(
        Appended(state.identity, message.sender, state.term, message.sent_s, accepted, match_index)
    )


__all__ = ["on_append"]
