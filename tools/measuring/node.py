"""One router's state controllers with a link that only encodes, at any size of the fleet."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.demand import DemandController
from camphorvalve.controllers.following import (
    ConfigurationFollower,
    Contact,
    FixedControllers,
    Load,
)
from camphorvalve.controllers.ledgers import LedgerController
from camphorvalve.controllers.membership import MembershipController
from camphorvalve.controllers.runtime import Runtime, Sender
from camphorvalve.controllers.scheduling import SchedulingController
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
    """Stands in for the link: encodes what is sent and counts it."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.host_id = SELF_ID
        self.incarnation = 1
        self.sent_count = 0
        self.sent_bytes = 0
        self.codec = EnvelopeCodec(MESSAGES)

    def send(self, peer_id: str, message: Any) -> bool:
        """
        Encode a message.

        :param peer_id: the receiver
        :param message: the message
        :return: always true
        """
        self.sent_count += 1
        self.sent_bytes += len(self.encode(message))
        return True

    def encode(self, message: Any, sender_id: str = SELF_ID) -> bytes:
        """
        Encode a message as a process sends it.

        :param message: the message
        :param sender_id: the sender
        :return: one frame
        """
        return self.codec.encode(Envelope(sender_id, 1_764_000_000_000_000, message))


class Node:
    """The state of one router in a fleet of a given size."""

    def __init__(self, routers_count: int, upstreams_count: int, teams_count: int) -> None:
        """
        Build the state.

        :param routers_count: routers of the fleet
        :param upstreams_count: upstreams of the fleet
        :param teams_count: teams of the configuration
        """
        rng = random.Random(1)
        policy = FleetFair()
        self.link = EncodingLink()
        self.membership = MembershipController(_router(0), rng)
        self.following = ConfigurationFollower(
            FixedControllers(("controller-1",)), Contact("", "", ""), lambda: Load(False, 0, 0)
        )
        self.following.configuration = a_configuration(teams_count)
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
        Decode a frame, handle it and encode what is sent in return.

        :param frame: the frame
        :param now_s: current time
        """
        envelope = self.link.codec.decode(frame)
        sender = Sender(envelope.sender_id, envelope.incarnation)
        owner = self.runtime._by_type[type(envelope.message)]
        self.runtime.send(owner.handle(sender, envelope.message, now_s))

    def wait(self, team: int, now_s: float) -> Waiter:
        """
        Let a request wait at this router.

        :param team: number of the team
        :param now_s: current time
        :return: the request
        """
        waiter = Waiter(
            key=TeamKey("pool-0", f"team-{team}"),
            kind="draft",
            urgency=Urgency.NORMAL,
            size_bytes=1000,
            estimate_units=250.0,
            arrived_s=now_s,
            deadline_s=now_s + 1e9,
            wake=_nothing,
        )
        self.runtime.send(self.demand.enqueue(waiter, now_s))
        return waiter


def a_configuration(teams_count: int) -> Configuration:
    """
    Build a configuration.

    :param teams_count: teams
    :return: the configuration, three kinds of work per template
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


def _nothing() -> None:
    return


__all__ = ["SELF_ID", "Node", "a_configuration"]
