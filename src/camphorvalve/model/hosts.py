"""Hosts of the fleet and what the membership feed says of them."""

from __future__ import annotations

import enum
from typing import NamedTuple


class HostState(enum.StrEnum):
    """Whether a host or an upstream may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.StrEnum):
    """What a member of the deployment does."""

    ROUTER = "router"
    CONTROLLER = "controller"
    ENGINE = "engine"
    SERVICE = "service"


class Host(NamedTuple):
    """A router or a controller as the other processes reach it."""

    host_id: str
    role: Role
    data_centre: str
    url: str
    """Where callers or operators connect."""
    peer_address: str
    """Where the other processes of the fleet connect, such as ``tcp://127.0.0.1:7000``."""
    state: HostState


__all__ = ["Host", "HostState", "Role"]
