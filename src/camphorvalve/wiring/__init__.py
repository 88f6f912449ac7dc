"""Composition root: builds the parts of each process and runs them."""

from __future__ import annotations

from camphorvalve.wiring.common import new_incarnation, policy_of
from camphorvalve.wiring.controller import run_controller
from camphorvalve.wiring.edges import ControllerEdge, Port, RouterEdge, RouterView
from camphorvalve.wiring.joinedcontroller import run_joined_controller
from camphorvalve.wiring.joinedrouter import run_joined_router
from camphorvalve.wiring.router import Router, build_router, run_router

__all__ = [
    "ControllerEdge",
    "Port",
    "Router",
    "RouterEdge",
    "RouterView",
    "build_router",
    "new_incarnation",
    "policy_of",
    "run_controller",
    "run_joined_controller",
    "run_joined_router",
    "run_router",
]
