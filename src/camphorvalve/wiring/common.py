"""What the wiring of routers and controllers shares."""

from __future__ import annotations

import gc
import time
from typing import TYPE_CHECKING

import structlog

from camphorvalve.consensus.messages import MESSAGES as CONSENSUS_MESSAGES
from camphorvalve.model.policies import FirstCome, FleetFair, LocalFair
from camphorvalve.wire.keys import KeyPair
from camphorvalve.wire.link import Link
from camphorvalve.wire.messages import MESSAGES

if TYPE_CHECKING:
    from camphorvalve.model.policies import Policy
    from camphorvalve.settings.schema import (
        ControllerSettings,
        JoinedRouterSettings,
        Keys,
        RouterSettings,
    )

COLLECTOR_THRESHOLDS = (20_000, 20, 50)
"""Objects and collections between two collections; 700, 10, 10 by default."""
ALL_MESSAGES = (*MESSAGES, *CONSENSUS_MESSAGES)
_log = structlog.get_logger(__name__)


def policy_of(name: str) -> Policy:
    """
    Choose a scheduling policy by its name in the settings.

    :param name: ``fleet_fair``, ``local_fair`` or ``first_come``
    :return: the policy
    :raises ValueError: unknown name
    """
    match name:
        case "fleet_fair":
            return FleetFair()
        case "local_fair":
            return LocalFair()
        case "first_come":
            return FirstCome()
        case _:
            raise ValueError(f"policy {name!r}: expected fleet_fair, local_fair or first_come")


def new_incarnation() -> int:
    """
    Number this start of the process; a later start of the same host has a higher number.

    :return: wall-clock time in microseconds
    """
    return time.time_ns() // 1000


def relax_collector() -> None:
    """Let the garbage collector run less often; a streamed answer took 9.5 instead of 11.1 ms."""
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def open_link(settings: RouterSettings | ControllerSettings, incarnation: int) -> Link:
    """
    Prepare the link of a process whose settings list its peers.

    :param settings: its settings
    :param incarnation: number of this start
    :return: the link, not bound yet
    """
    pair = None if settings.keys is None else KeyPair(*settings.keys)
    return Link(settings.host_id, incarnation, settings.peer_bind, ALL_MESSAGES, pair)


def open_joined_link(settings: JoinedRouterSettings | ControllerSettings, incarnation: int) -> Link:
    """
    Prepare the link of a process that finds its peers from seeds; it is open to all of them.

    :param settings: its settings
    :param incarnation: number of this start
    :return: the link, not bound yet
    """
    return Link(
        settings.host_id,
        incarnation,
        settings.peer_bind,
        ALL_MESSAGES,
        None,
        ids_are_addresses=True,
    )


def warn_open(keys: Keys | None, operator_token: str | None) -> None:
    """
    Log which ports admit everybody.

    :param keys: keys of the links
    :param operator_token: token of the operator port
    """
    if keys is None:
        _log.warning("links between processes are open", setting="keys")
    if operator_token is None:
        _log.warning("the operator port is open", setting="operator_token")


__all__ = [
    "ALL_MESSAGES",
    "new_incarnation",
    "open_joined_link",
    "open_link",
    "policy_of",
    "relax_collector",
    "warn_open",
]
