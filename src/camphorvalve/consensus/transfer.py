"""Snapshots in chunks, from the leader to a replica that lags too far."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import Install, Send
from camphorvalve.consensus.messages import Appended, ChunkStored, Snapshot, SnapshotChunk
from camphorvalve.consensus.roles import Follower, Incoming, answering, follow

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.roles import Progress, ReplicaState

CHUNK_BYTES = 256 << 10


def send_chunk(state: ReplicaState, replica: str, one: Progress, now_s: float) -> Send:
    """
    Send the chunk that the replica needs next.

    :param state: the leader
    :param replica: identity of the receiver
    :param one: what is known of the receiver
    :param now_s: current time
    :return: the message
    """
    snapshot = state.log.snapshot
    chunk = SnapshotChunk(
        state.identity,
        replica,
        state.term,
        now_s,
        snapshot.index,
        snapshot.term,
        snapshot.members,
        one.offset,
        len(snapshot.data),
        snapshot.data[one.offset : one.offset + CHUNK_BYTES],
    )
    return Send(chunk, after_sync=False)


def on_stored(state: ReplicaState, answer: ChunkStored, now_s: float) -> Iterator[Effect]:
    """
    Send the next chunk; a repeated answer sends nothing, the next heartbeat does.

    :param state: the leader
    :param answer: the receiver's answer
    :param now_s: current time
    :return: effects
    """
    if answer.term > state.term:
        yield from follow(state, answer.term, None, now_s)
        return
    one = answering(state, answer.sender, answer.term, answer.sent_s)
    if one is None:
        return
    current = answer.index == state.log.snapshot.index
    advanced = current and answer.held_bytes > one.offset
    one.offset = answer.held_bytes if current else 0
    if advanced and one.next_index <= state.log.base_index:
        yield send_chunk(state, answer.sender, one, now_s)


def on_chunk(state: ReplicaState, chunk: SnapshotChunk, now_s: float) -> Iterator[Effect]:
    """
    Collect a chunk, and install the snapshot when it is complete.

    :param state: the receiver
    :param chunk: the chunk
    :param now_s: current time
    :return: effects
    """
    if chunk.term < state.term:
        yield _appended(state, chunk, 0, accepted=False)
        return
    yield from follow(state, chunk.term, chunk.sender, now_s)
    if chunk.index <= state.commit_index:
        yield _appended(state, chunk, chunk.index, accepted=True)
        return
    match state.role:
        case Follower() as role:
            incoming = _collect(role, chunk)
            if len(incoming.data) < chunk.total_bytes:
                held_bytes = len(incoming.data)
                answer = ChunkStored(
                    state.identity, chunk.sender, state.term, chunk.sent_s, chunk.index, held_bytes
                )
                yield Send(answer)
                return
            role.incoming = None
            snapshot = Snapshot(chunk.index, chunk.index_term, chunk.members, bytes(incoming.data))
            tail = state.log.install(snapshot)
            state.commit_index = snapshot.index
            state.synced_index = state.log.last_index
            yield Install(snapshot, tail)
            yield _appended(state, chunk, snapshot.index, accepted=True)


def _collect(role: Follower, chunk: SnapshotChunk) -> Incoming:
    incoming = role.incoming
    if incoming is None or (incoming.index, incoming.term) != (chunk.index, chunk.index_term):
        incoming = Incoming(chunk.index, chunk.index_term, bytearray())
        role.incoming = incoming
    if chunk.offset == len(incoming.data):
        incoming.data.extend(chunk.data)
    return incoming


def _appended(
    state: ReplicaState, chunk: SnapshotChunk, match_index: int, *, accepted: bool
) -> Send:
    return Send(
        Appended(state.identity, chunk.sender, state.term, chunk.sent_s, accepted, match_index)
    )


__all__ = ["on_chunk", "on_stored", "send_chunk"]
