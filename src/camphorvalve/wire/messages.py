"""Messages between the processes of the fleet."""

from __future__ import annotations

from typing import NamedTuple


class Ping(NamedTuple):
    """Probe of a router by another."""

    sequence: int
    leaving: bool
    suspected: tuple[str, ...]
    """Upstreams that the sender cannot connect to."""


class Pong(NamedTuple):
    """Answer to a ``Ping``."""

    sequence: int
    leaving: bool
    suspected: tuple[str, ...]


class Demand(NamedTuple):
    """What waits for one team at one entry router; replaces what was announced before."""

    pool: str
    team: str
    share: float
    waiting_count: int
    urgent_count: int
    oldest_age_s: float
    estimate_units: float


class Grant(NamedTuple):
    """Right to start one request of a team on one slot of an upstream."""

    grant_id: int
    pool: str
    upstream_id: str
    team: str
    lifetime_s: float


class GrantReturn(NamedTuple):
    """The entry router has no use for a grant, or could not connect to the upstream."""

    grant_id: int
    pool: str
    upstream_id: str
    team: str
    connect_failed: bool


class GrantProgress(NamedTuple):
    """Service that one granted request received so far."""

    grant_id: int
    upstream_id: str
    pool: str
    team: str
    units: float
    done: bool


class Progress(NamedTuple):
    """Service of all granted requests of one entry router at one scheduler."""

    grants: tuple[GrantProgress, ...]


class FreeSlots(NamedTuple):
    """A scheduler has free slots and nothing is announced to it."""

    pool: str
    slots_count: int


class ServiceEntry(NamedTuple):
    """Service that one scheduler gave to one team, cumulative for its incarnation."""

    pool: str
    team: str
    served_units: float
    lift_units: float
    known_total_units: float
    waiting: bool


class ServiceReport(NamedTuple):
    """Changed counters of one scheduler, for one aggregator."""

    entries: tuple[ServiceEntry, ...]


class TotalEntry(NamedTuple):
    """Service that the whole fleet gave to one team."""

    pool: str
    team: str
    total_units: float
    lift_units: float
    schedulers_count: int
    """Schedulers at which the team waits."""


class ServiceTotal(NamedTuple):
    """Totals of one aggregator, for a scheduler that reported."""

    entries: tuple[TotalEntry, ...]


class ConfigPoll(NamedTuple):
    """A router asks a controller for newer configuration and says how it is."""

    revision: int
    leaving: bool
    waiting_count: int
    running_count: int
    url: str
    """Where operators reach the router."""
    data_centre: str
    caller_address: str
    """Where callers reach the router, as IP number and port."""
    roster_version: int
    """Version of the newest ``Roster`` from this controller; 0 without one."""


class RosterRouter(NamedTuple):
    """A router that a controller has heard recently."""

    router_id: str
    data_centre: str
    caller_address: str
    leaving: bool


class Roster(NamedTuple):
    """The processes that a controller knows; sent to a router whose copy differs."""

    version: int
    """Checksum of the content."""
    controllers: tuple[str, ...]
    routers: tuple[RosterRouter, ...]


class RosterUnchanged(NamedTuple):
    """The roster that the router holds is still the newest one of this controller."""

    version: int


class TeamTokens(NamedTuple):
    """What a team asked for in the window, and what became of it."""

    team: str
    tokens: float
    served_tokens: float
    starved_tokens: float
    """Refused in the last second although it was within the team's share."""


class Asked(NamedTuple):
    """Demand at one router, for the controller that sums it; replaces the report before."""

    entries: tuple[TeamTokens, ...]


class AskedTotals(NamedTuple):
    """Demand at all routers, for a router that reported."""

    entries: tuple[TeamTokens, ...]
    reports_count: int
    """Routers whose demand is in the sums."""


class ListPoll(NamedTuple):
    """A router wants the list of upstreams from a controller, now and for the next seconds."""

    version: int
    """Of the list that it has, 0 without one."""


class ListedUpstream(NamedTuple):
    """One upstream of the list."""

    upstream_id: str
    pool: str
    data_centre: str
    url: str
    slots_count: int
    is_engine: bool
    leaving: bool


class ListUpdate(NamedTuple):
    """The list of upstreams, as a controller has read it."""

    version: int
    """Follows from the content."""
    age_s: float
    """Time since it was read."""
    upstreams: tuple[ListedUpstream, ...]


class ListUnchanged(NamedTuple):
    """A controller has read the list again, and the router has it."""

    version: int
    age_s: float


class ReadRequest(NamedTuple):
    """A controller asks the leader which entries a read has to see."""

    read_id: int


class ReadReply(NamedTuple):
    """Answer to a ``ReadRequest`` once a majority has confirmed the leader."""

    read_id: int
    index: int
    """Entry up to which the state has to be applied; -1 when the receiver does not lead."""


class ConfigUpdate(NamedTuple):
    """Committed changes after ``from_revision``, or a whole snapshot when that is zero."""

    from_revision: int
    to_revision: int
    term: int
    payload: bytes
    """Encoded changes, or the encoded snapshot."""


class Submit(NamedTuple):
    """A command for the replicated state machine."""

    submit_id: str
    command: bytes


class Lookup(NamedTuple):
    """Asks the leader for the state of a record; answered by ``SubmitReply``."""

    submit_id: str
    record_id: str


class SubmitReply(NamedTuple):
    """Outcome of a command once it is committed and applied, or state of a record."""

    submit_id: str
    accepted: bool
    """False when the receiver is not the leader; nothing was appended then."""
    leader_id: str | None
    outcome: bytes


class Assignment(NamedTuple):
    """The leader hands accepted work to a router."""

    work_id: str
    attempt: int
    payload: bytes


MESSAGES: tuple[type, ...] = (
    Ping,
    Pong,
    Demand,
    Grant,
    GrantReturn,
    Progress,
    FreeSlots,
    ServiceReport,
    ServiceTotal,
    ConfigPoll,
    ConfigUpdate,
    Roster,
    RosterUnchanged,
    Asked,
    AskedTotals,
    ListPoll,
    ListUpdate,
    ListUnchanged,
    ReadRequest,
    ReadReply,
    Submit,
    Lookup,
    SubmitReply,
    Assignment,
)

__all__ = [
    "MESSAGES",
    "Asked",
    "AskedTotals",
    "Assignment",
    "ConfigPoll",
    "ConfigUpdate",
    "Demand",
    "FreeSlots",
    "Grant",
    "GrantProgress",
    "GrantReturn",
    "ListPoll",
    "ListUnchanged",
    "ListUpdate",
    "ListedUpstream",
    "Lookup",
    "Ping",
    "Pong",
    "Progress",
    "ReadReply",
    "ReadRequest",
    "Roster",
    "RosterRouter",
    "RosterUnchanged",
    "ServiceEntry",
    "ServiceReport",
    "ServiceTotal",
    "Submit",
    "SubmitReply",
    "TeamTokens",
    "TotalEntry",
]
