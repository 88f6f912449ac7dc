"""Hosts of the fleet: their roles, addresses and states in the membership feed."""

from __future__ import annotations

import enum
from typing import NamedTuple


class HostState(enum.StrEnum):
    """Whether a host or an upstream may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.StrEnum):
    """Function of a member in the deployment."""

    ROUTER = "router"
    CONTROLLER = "controller"
    ENGINE = "engine"
    SERVICE = "service"


class Host(NamedTuple):
    """Identity, location and addresses of a router or a controller."""

    host_id: str
    role: Role
    data_centre: str
    url: str
    """Address for callers or operators."""
    peer_address: str
    """Address for the other processes of the fleet, such as ``tcp://127.0.0.1:7000``."""
    state: HostState


__all__ = ["Host", "HostState", "Role"]
