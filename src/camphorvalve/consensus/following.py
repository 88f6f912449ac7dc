"""The follower's side: taking entries from the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import Commit, Send, StoreEntries
from camphorvalve.consensus.messages import Appended
from camphorvalve.consensus.roles import follow

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.messages import Append, Entry
    from camphorvalve.consensus.roles import ReplicaState


def on_append(state: ReplicaState, message: Append, now_s: float) -> Iterator[Effect]:
    """
    Store the leader's entries and answer.

    :param state: the receiver
    :param message: the entries
    :param now_s: current time
    :return: effects
    """
    if message.term < state.term:
        yield _answer(state, message, 0, accepted=False)
        return
    yield from follow(state, message.term, message.sender, now_s)
    previous_term = state.log.term(message.previous_index)
    known_committed = message.previous_index <= state.log.base_index
    if not known_committed and previous_term != message.previous_term:
        # Committed entries equal the leader's; a shorter log is continued at its end.
        missing = previous_term is None
        hint = state.log.last_index if missing else state.commit_index
        yield _answer(state, message, hint, accepted=False)
        return
    new = _unknown(state, message.entries)
    if new:
        state.log.extend(new)
        state.synced_index = min(state.synced_index, new[0].index - 1)
        yield StoreEntries(new)
    match_index = message.previous_index + len(message.entries)
    yield _answer(state, message, match_index, accepted=True)
    commit_index = min(message.commit_index, match_index)
    if commit_index > state.commit_index:
        committed = state.log.between(state.commit_index + 1, commit_index)
        state.commit_index = commit_index
        yield Commit(committed)


def _unknown(state: ReplicaState, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    for position, entry in enumerate(entries):
        held = entry.index <= state.log.base_index
        if not held and state.log.term(entry.index) != entry.term:
            return entries[position:]
    return ()


def _answer(state: ReplicaState, message: Append, match_index: int, *, accepted: bool) -> Send:
    return Send(
        Appended(state.identity, message.sender, state.term, message.sent_s, accepted, match_index)
    )


__all__ = ["on_append"]
