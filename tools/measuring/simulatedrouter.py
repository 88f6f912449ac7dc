"""The state controllers of one router without sockets, to measure them at any size of the fleet."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.router.demand import DemandController
from camphorvalve.controllers.router.following import (
    ConfigurationFollower,
    Contact,
    FixedControllers,
    Load,
)
from camphorvalve.controllers.router.ledgers import LedgerController
from camphorvalve.controllers.router.membership import MembershipController
from camphorvalve.controllers.router.scheduling import SchedulingController
from camphorvalve.controllers.runtime import Runtime, Sender
from camphorvalve.model.hosts import Host, HostState, Role
from camphorvalve.model.policies import FleetFair
from camphorvalve.model.teams import KindParameters, Team, Template, Urgency
from camphorvalve.model.upstreams import ChecksFencing, ModelEngine, Upstream
from camphorvalve.registry.configuration import Configuration
from camphorvalve.sharing.aggregate import Aggregator
from camphorvalve.sharing.backlog import Waiter
from camphorvalve.sharing.ledger import Ledger, TeamKey
from camphorvalve.sharing.scheduler import Scheduler
from camphorvalve.wire.codec import Envelope, EnvelopeCodec
from camphorvalve.wire.messages import MESSAGES

if TYPE_CHECKING:
    from collections.abc import Iterator

SELF_ID = "router-0"
DATA_CENTRES_COUNT = 17
POOLS_COUNT = 36
SLOTS_COUNT = 16


class EncodingLink:
    """Test double of the link that encodes and counts messages but does not send them."""

    def __init__(self) -> None:
        """Start with counters at zero."""
        self.host_id = SELF_ID
        self.incarnation = 1
        self.sent_count = 0
        self.sent_bytes = 0
        self.codec = EnvelopeCodec(MESSAGES)

    def send(self, peer_id: str, message: Any) -> bool:
        """
        Encode and count a message.

        :param peer_id: id of the receiver
        :param message: the message
        :return: always true, as if the message had been sent
        """
        self.sent_count += 1
        self.sent_bytes += len(self.encode(message))
        return True

    def encode(self, message: Any, sender_id: str = SELF_ID) -> bytes:
        """
        Encode a message into a frame.

        :param message: the message
        :param sender_id: id of the sender
        :return: the frame
        """
        return self.codec.encode(Envelope(sender_id, 1_764_000_000_000_000, message))


class SimulatedRouter:
    """The state controllers of one router in a fleet of a given size."""

    def __init__(self, routers_count: int, upstreams_count: int, teams_count: int) -> None:
        """
        Build the state controllers.

        :param routers_count: number of routers of the fleet
        :param upstreams_count: number of upstreams of the fleet
        :param teams_count: number of teams of the configuration
        """
        rng = random.Random(1)
        policy = FleetFair()
        self.link = EncodingLink()
        self.membership = MembershipController(_router(0), rng)
        self.following = ConfigurationFollower(
            FixedControllers(("controller-1",)), Contact("", "", ""), lambda: Load(False, 0, 0)
        )
        self.following.configuration = build_configuration(teams_count)
        self.demand = DemandController(policy, self.membership, self.following)
        self.ledger = Ledger(policy)
        self.scheduler = Scheduler(policy, self.ledger, rng)
        self.scheduling = SchedulingController(self.scheduler, self.membership, rng)
        self.ledgers = LedgerController(self.ledger, Aggregator(), self.membership, policy)
        self.runtime = Runtime(
            self.link,  # type: ignore[arg-type]
            (self.membership, self.following, self.demand, self.scheduling, self.ledgers),
        )
        self.routers = [_router(number) for number in range(routers_count)]
        self.upstreams = [_upstream(number) for number in range(upstreams_count)]
        self.membership.apply_feed(self.routers, self.upstreams)

    def receive(self, frame: bytes, now_s: float) -> None:
        """
        Decode and handle a frame and encode the messages sent in response.

        :param frame: the frame
        :param now_s: current time
        """
        envelope = self.link.codec.decode(frame)
        sender = Sender(envelope.sender_id, envelope.incarnation)
        controller = self.runtime._by_type[type(envelope.message)]
        self.runtime.send(controller.handle(sender, envelope.message, now_s))

    def add_waiter(self, team_number: int, now_s: float) -> Waiter:
        """
        Add a waiting request to this router.

        :param team_number: number of the team
        :param now_s: current time
        :return: the waiting request
        """
        waiter = Waiter(
            key=TeamKey("pool-0", f"team-{team_number}"),
            kind="draft",
            urgency=Urgency.NORMAL,
            size_bytes=1000,
            estimate_units=250.0,
            arrived_s=now_s,
            deadline_s=now_s + 1e9,
            wake=_do_nothing,
        )
        self.runtime.send(self.demand.enqueue(waiter, now_s))
        return waiter


def build_configuration(teams_count: int) -> Configuration:
    """
    Build a configuration with one template of three kinds.

    :param teams_count: number of teams
    :return: the configuration
    """
    kinds = {
        "draft": KindParameters("pool-0"),
        "reply": KindParameters("pool-0", Urgency.DEFERRABLE),
        "check": KindParameters("pool-1", Urgency.URGENT),
    }
    template = Template("plain", 1.0, kinds)
    teams = {name: Team(name, "plain", 2.0) for name in _team_names(teams_count)}
    return Configuration(1, {"plain": template}, teams, frozenset())


def _team_names(count: int) -> Iterator[str]:
    return (f"team-{number}" for number in range(count))


def _router(number: int) -> Host:
    data_centre = f"dc-{number % DATA_CENTRES_COUNT}"
    address = f"tcp://127.0.0.1:{10_000 + number}"
    return Host(f"router-{number}", Role.ROUTER, data_centre, address, address, HostState.LIVE)


def _upstream(number: int) -> Upstream:
    return Upstream(
        f"engine-{number}",
        f"pool-{number % POOLS_COUNT}",
        f"dc-{number % DATA_CENTRES_COUNT}",
        f"http://127.0.0.1:{20_000 + number}",
        SLOTS_COUNT,
        ModelEngine(ChecksFencing()),
        HostState.LIVE,
    )


def _do_nothing() -> None:
    return


__all__ = ["SELF_ID", "SimulatedRouter", "build_configuration"]
