"""Snapshot transfer in chunks, from the leader to a replica that lags too far behind its log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.consensus.events import InstallSnapshot, Send
from camphorvalve.consensus.messages import Appended, ChunkStored, Snapshot, SnapshotChunk
from camphorvalve.consensus.roles import Follower, IncomingSnapshot, become_follower, record_ack

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.consensus.events import Effect
    from camphorvalve.consensus.roles import Progress, ReplicaState

CHUNK_BYTES = 256 << 10


def send_chunk(state: ReplicaState, replica: str, progress: Progress, now_s: float) -> Send:
    """
    Build the message with the next chunk for a replica.

    :param state: the leader
    :param replica: identity of the receiver
    :param progress: replication progress of the receiver
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
        progress.offset,
        len(snapshot.data),
        snapshot.data[progress.offset : progress.offset + CHUNK_BYTES],
    )
    return Send(chunk, after_sync=False)


def on_chunk_stored(state: ReplicaState, response: ChunkStored, now_s: float) -> Iterator[Effect]:
    """
    Send the next chunk; after a duplicate response, only the next heartbeat sends it.

    :param state: the leader
    :param response: the receiver's response
    :param now_s: current time
    :return: effects
    """
    progress = yield from record_ack(state, response, now_s)
    if progress is None:
        return
    current = response.index == state.log.snapshot.index
    advanced = current and response.held_bytes > progress.offset
    progress.offset = response.held_bytes if current else 0
    if advanced and progress.next_index <= state.log.base_index:
        yield send_chunk(state, response.sender, progress, now_s)


def on_chunk(state: ReplicaState, chunk: SnapshotChunk, now_s: float) -> Iterator[Effect]:
    """
    Store a chunk, and install the snapshot once it is complete.

    :param state: the receiver
    :param chunk: the chunk
    :param now_s: current time
    :return: effects
    """
    if chunk.term < state.term:
        yield _response(state, chunk, 0, accepted=False)
        return
    yield from become_follower(state, chunk.term, chunk.sender, now_s)
    if chunk.index <= state.commit_index:
        yield _response(state, chunk, chunk.index, accepted=True)
        return
    match state.role:
        case Follower() as role:
            incoming = _store_chunk(role, chunk)
            if len(incoming.data) < chunk.total_bytes:
                held_bytes = len(incoming.data)
                response = ChunkStored(
                    state.identity, chunk.sender, state.term, chunk.sent_s, chunk.index, held_bytes
                )
                yield Send(response)
                return
            role.incoming = None
            snapshot = Snapshot(chunk.index, chunk.index_term, chunk.members, bytes(incoming.data))
            tail = state.log.install(snapshot)
            state.commit_index = snapshot.index
            state.synced_index = state.log.last_index
            yield InstallSnapshot(snapshot, tail)
            yield _response(state, chunk, snapshot.index, accepted=True)


def _store_chunk(role: Follower, chunk: SnapshotChunk) -> IncomingSnapshot:
    incoming = role.incoming
    if incoming is None or (incoming.index, incoming.term) != (chunk.index, chunk.index_term):
        incoming = IncomingSnapshot(chunk.index, chunk.index_term, bytearray())
        role.incoming = incoming
    if chunk.offset == len(incoming.data):
        incoming.data.extend(chunk.data)
    return incoming


def _response(
    state: ReplicaState, chunk: SnapshotChunk, match_index: int, *, accepted: bool
) -> Send:
    return Send(
        Appended(state.identity, chunk.sender, state.term, chunk.sent_s, accepted, match_index)
    )


__all__ = ["on_chunk", "on_chunk_stored", "send_chunk"]
