"""What a controller tells operators about itself."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from camphorvalve.consensus.members import host_of
from camphorvalve.consensus.roles import Candidate, Follower, Leader

if TYPE_CHECKING:
    from camphorvalve.consensus.replica import Replica
    from camphorvalve.controllers.presence import Presence
    from camphorvalve.registry.state import RegistryState


class MemberStatus(TypedDict):
    """One replica, as the leader sees it."""

    host_id: str
    identity: str
    voter: bool
    match_index: int | None
    """Last entry known to be held; only the leader knows it."""
    silent_s: float | None
    """Time since it last answered the leader; only the leader knows it."""


class RouterStatus(TypedDict):
    """One router, as its polls describe it."""

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
    Describe a controller.

    :param replica: its replica
    :param state: its replicated state
    :param presence: the routers it has heard of
    :param now_s: monotonic time
    :return: the body
    """
    own = replica.state
    return {
        "identity": own.identity,
        "role": _role(replica),
        "term": own.term,
        "leader_id": None if own.leader is None else host_of(own.leader),
        "members": _members(replica, now_s),
        "commit_index": own.commit_index,
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
    own = replica.state
    match own.role:
        case Leader(progress=progress):
            known = {identity: one.match_index for identity, one in progress.items()}
            known[own.identity] = own.synced_index
            silent = {
                identity: now_s - max(one.since_s, one.acked_s)
                for identity, one in progress.items()
            }
            silent[own.identity] = 0.0
        case _:
            known = {}
            silent = {}
    return [
        {
            "host_id": host_of(identity),
            "identity": identity,
            "voter": identity in own.log.members,
            "match_index": known.get(identity),
            "silent_s": silent.get(identity),
        }
        for identity in dict.fromkeys((*own.log.members, *known))
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
        for router in sorted(presence.routers.values(), key=lambda one: one.router_id)
        if (poll := router.poll) is not None
    ]


__all__ = ["ControllerStatus", "MemberStatus", "RouterStatus", "describe"]
