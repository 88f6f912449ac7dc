"""Composition root: builds the parts of a router and of a controller and runs them."""

from __future__ import annotations

import random
import signal
import time
from typing import TYPE_CHECKING, NamedTuple

import anyio
import structlog

from camphorvalve.controllers.demand import DemandController
from camphorvalve.controllers.following import ConfigurationFollower, Load
from camphorvalve.controllers.ledgers import LedgerController
from camphorvalve.controllers.membership import MembershipController
from camphorvalve.controllers.recording import RecordingController
from camphorvalve.controllers.records import Records
from camphorvalve.controllers.runtime import Runtime
from camphorvalve.controllers.scheduling import SchedulingController
from camphorvalve.controllers.stopping import Stopping
from camphorvalve.controllers.work import WorkController
from camphorvalve.filters.account import AccountFilter
from camphorvalve.filters.admission import AdmissionFilter
from camphorvalve.filters.chain import compose
from camphorvalve.filters.classify import ClassifyFilter
from camphorvalve.filters.deduplicate import DeduplicateFilter
from camphorvalve.filters.defer import DeferFilter
from camphorvalve.filters.dispatch import Dispatch
from camphorvalve.filters.identify import IdentifyFilter
from camphorvalve.filters.limit import LimitFilter
from camphorvalve.filters.retry import RetryFilter
from camphorvalve.http.callers import CallerApp, Lookups
from camphorvalve.http.lookups import RouterLookups
from camphorvalve.http.operators import controller_app, router_app
from camphorvalve.http.server import serve
from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.model.policies import FirstCome, FleetFair, LocalFair
from camphorvalve.reports.explain import RouterReport
from camphorvalve.reports.logs import configure
from camphorvalve.sharing.aggregate import Aggregator
from camphorvalve.sharing.budget import RetryBudget
from camphorvalve.sharing.ledger import Ledger
from camphorvalve.sharing.scheduler import Scheduler
from camphorvalve.upstreams import platform
from camphorvalve.upstreams.client import create_client
from camphorvalve.wire.keys import KeyPair
from camphorvalve.wire.link import Link
from camphorvalve.wire.messages import MESSAGES

if TYPE_CHECKING:
    from camphorvalve.model.policies import Policy
    from camphorvalve.settings.schema import ControllerSettings, Keys, RouterSettings

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
