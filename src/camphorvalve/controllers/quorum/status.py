"""Status of a controller as reported on its operator port."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from camphorvalve.consensus.members import host_of
from camphorvalve.consensus.roles import Candidate, Follower, Leader
from camphorvalve.consensus.silence import silence_s

if TYPE_CHECKING:
    from camphorvalve.consensus.replica import Replica
    from camphorvalve.controllers.quorum.presence import Presence
    from camphorvalve.registry.state import RegistryState


class MemberStatus(TypedDict):
    """One replica; ``match_index`` and ``silent_s`` are set on the leader only."""

    host_id: str
    identity: str
    voter: bool
    match_index: int | None
    """Index of the last entry that the replica is known to hold."""
    silent_s: float | None
    """Time since the replica last answered the leader."""


class RouterStatus(TypedDict):
    """One router, from its newest poll."""

    router_id: str
    incarnation: int
    revision: int
    lag_count: int
    """Revisions by which the router is behind this controller."""
    silent_s: float
    leaving: bool
    waiting_count: int
    running_count: int
    operator_url: str


class ControllerStatus(TypedDict):
    """Body of ``GET /v1/status`` on the operator port of a controller."""

    identity: str
    role: str
    term: int
    leader_id: str | None
    members: list[MemberStatus]
    commit_index: int
    revision: int
    routers: list[RouterStatus]


def describe(
    replica: Replica, state: RegistryState, presence: Presence, now_s: float
) -> ControllerStatus:
    """
    Build the status of a controller.

    :param replica: replica of the controller
    :param state: replicated state of the controller
    :param presence: routers that the controller has received messages from
    :param now_s: monotonic time
    :return: the status
    """
    local = replica.state
    return {
        "identity": local.identity,
        "role": _role(replica),
        "term": local.term,
        "leader_id": None if local.leader is None else host_of(local.leader),
        "members": _members(replica, now_s),
        "commit_index": local.commit_index,
        "revision": state.configuration.revision,
        "routers": _routers(presence, state.configuration.revision, now_s),
    }


def _role(replica: Replica) -> str:
    match replica.state.role:
        case Leader():
            return "leader"
        case Candidate():
            return "candidate"
        case Follower():
            return "follower" if replica.state.is_member else "learner"


def _members(replica: Replica, now_s: float) -> list[MemberStatus]:
    local = replica.state
    match local.role:
        case Leader(progress=progress):
            match_indexes = {identity: peer.match_index for identity, peer in progress.items()}
            match_indexes[local.identity] = local.synced_index
            silent = {identity: silence_s(peer, now_s) for identity, peer in progress.items()}
            silent[local.identity] = 0.0
        case _:
            match_indexes = {}
            silent = {}
    return [
        {
            "host_id": host_of(identity),
            "identity": identity,
            "voter": identity in local.log.members,
            "match_index": match_indexes.get(identity),
            "silent_s": silent.get(identity),
        }
        for identity in dict.fromkeys((*local.log.members, *match_indexes))
    ]


def _routers(presence: Presence, revision: int, now_s: float) -> list[RouterStatus]:
    return [
        {
            "router_id": router.router_id,
            "incarnation": router.incarnation,
            "revision": poll.revision,
            "lag_count": revision - poll.revision,
            "silent_s": now_s - router.heard_s,
            "leaving": poll.leaving,
            "waiting_count": poll.waiting_count,
            "running_count": poll.running_count,
            "operator_url": poll.url,
        }
        for router in sorted(presence.routers.values(), key=lambda router: router.router_id)
        if (poll := router.poll) is not None
    ]


__all__ = ["ControllerStatus", "MemberStatus", "RouterStatus", "describe"]
