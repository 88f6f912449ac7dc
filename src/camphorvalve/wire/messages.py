"""Types of the messages between the processes of the fleet, except those of consensus."""

from __future__ import annotations

from typing import NamedTuple


class Ping(NamedTuple):
    """Probe that a router sends to another one to detect failures."""

    sequence: int
    leaving: bool
    """Whether the sender is stopping."""
    suspected: tuple[str, ...]
    """Ids of upstreams that the sender cannot connect to."""


class Pong(NamedTuple):
    """Answer to a ``Ping``."""

    sequence: int
    leaving: bool
    suspected: tuple[str, ...]


class Demand(NamedTuple):
    """Requests of a team that wait at an entry router; replaces its previous announcement."""

    pool: str
    team: str
    share: float
    waiting_count: int
    urgent_count: int
    oldest_age_s: float
    """Time that the oldest of the requests has waited."""
    estimate_units: float
    """Mean estimated cost of the requests."""


class Grant(NamedTuple):
    """Permission to start one request of a team in one slot of an upstream."""

    grant_id: int
    pool: str
    upstream_id: str
    team: str
    lifetime_s: float


class GrantReturn(NamedTuple):
    """An unused grant that an entry router returns, possibly because it could not connect."""

    grant_id: int
    pool: str
    upstream_id: str
    team: str
    connect_failed: bool


class GrantProgress(NamedTuple):
    """Service that one granted request has received so far."""

    grant_id: int
    upstream_id: str
    pool: str
    team: str
    units: float
    done: bool


class Progress(NamedTuple):
    """Service of all requests of one entry router that one scheduler has granted."""

    grants: tuple[GrantProgress, ...]


class FreeSlots(NamedTuple):
    """Offer of a scheduler that has free slots and no demand for them."""

    pool: str
    slots_count: int


class ServiceEntry(NamedTuple):
    """Service that a scheduler has given to a team since the scheduler started."""

    pool: str
    team: str
    served_units: float
    lift_units: float
    """Service credited without being given, so that the team keeps no claim to service from idle
    time or from a lag beyond the cap."""
    known_total_units: float
    """Highest total of the fleet that the scheduler knows of."""
    waiting: bool
    """Whether requests of the team wait at the scheduler."""


class ServiceReport(NamedTuple):
    """Counters of a scheduler that have changed, for the aggregator of their teams."""

    entries: tuple[ServiceEntry, ...]


class TotalEntry(NamedTuple):
    """Service that the whole fleet has given to a team."""

    pool: str
    team: str
    total_units: float
    lift_units: float
    """Greatest credit that a scheduler has reported; see ``ServiceEntry``."""
    schedulers_count: int
    """Schedulers at which requests of the team wait."""


class ServiceTotal(NamedTuple):
    """Totals of an aggregator, in reply to a ``ServiceReport``."""

    entries: tuple[TotalEntry, ...]


class ConfigPoll(NamedTuple):
    """Poll of a controller by a router, for newer configuration; reports the router's status."""

    revision: int
    """Revision of the configuration that the router has."""
    leaving: bool
    """Whether the router is stopping."""
    waiting_count: int
    running_count: int
    url: str
    """URL at which operators reach the router."""
    data_centre: str
    caller_address: str
    """IP address and port at which callers reach the router."""
    roster_version: int
    """Version of the newest ``Roster`` from this controller; 0 if there is none."""
    cores: float = 0.0
    """Ordinary cores that the router may use; 0 if unknown."""


class RosterRouter(NamedTuple):
    """A router from which a controller has received messages recently."""

    router_id: str
    data_centre: str
    caller_address: str
    leaving: bool
    cores: float = 0.0
    """Ordinary cores that the router may use; 0 if unknown."""


class Roster(NamedTuple):
    """Processes that a controller knows; sent to routers whose copy differs."""

    version: int
    """Checksum of the content."""
    controllers: tuple[str, ...]
    routers: tuple[RosterRouter, ...]


class RosterChange(NamedTuple):
    """Difference between two rosters of a controller, for a router that has the first one."""

    from_version: int
    version: int
    controllers: tuple[str, ...]
    changed: tuple[RosterRouter, ...]
    """Routers that are new or whose entry is another one."""
    removed_ids: tuple[str, ...]


class RosterUnchanged(NamedTuple):
    """Confirms that the router has the newest roster of this controller."""

    version: int


class TeamTokens(NamedTuple):
    """Cost of a team's requests in the recent window, by outcome."""

    team: str
    tokens: float
    """All requests, served or not."""
    served_tokens: float
    starved_tokens: float
    """Requests refused in the last second although they were within the team's share."""


def whole_tokens(
    team: str, tokens: float, served_tokens: float, starved_tokens: float
) -> TeamTokens:
    """
    Round the cost of a team's requests; integers take a third of the bytes of other numbers.

    :param team: name of the team
    :param tokens: all requests
    :param served_tokens: requests that were served
    :param starved_tokens: requests that were refused although they were within the team's share
    :return: the entry
    """
    return TeamTokens(team, round(tokens), round(served_tokens), round(starved_tokens))


class Asked(NamedTuple):
    """Demand at a router, for the controller that sums it; replaces the previous report."""

    entries: tuple[TeamTokens, ...]
    is_pressed: bool = False
    """Whether the router has too much to do to take more callers."""


class AskedTotals(NamedTuple):
    """Sum of the demand at all routers, in reply to ``Asked``."""

    entries: tuple[TeamTokens, ...]
    reports_count: int
    """Routers whose demand is included."""
    pressed_ids: tuple[str, ...] = ()
    """Ids of routers that have too much to do to take more callers."""
    silent_ids: tuple[str, ...] = ()
    """Ids of routers that have stopped reporting, as ones that have failed."""


class GoneVersion(NamedTuple):
    """A software version that served a pool and is no longer listed."""

    pool: str
    software: str | None
    """``None`` if unknown."""
    age_ms: int
    """Time since it may have been listed last."""


class VersionReport(NamedTuple):
    """The software versions that a process has seen in the list, besides those that it has now."""

    observed_ms: int
    """Time for which it has read the list without a gap."""
    gone: tuple[GoneVersion, ...]
    """Versions that left in that time."""
    manifest_version: int = 0
    """Newest manifest whose moves of streams between pools are in ``gone``."""


class ListPoll(NamedTuple):
    """Subscribes a router to a controller's list of upstreams for the next seconds."""

    version: int
    """Version of the list that the router has; 0 if there is none."""
    leaving: tuple[str, ...] = ()
    """Ids of upstreams that told the router that they are leaving, and that its list has as
    live."""
    history: VersionReport | None = None
    """What the router knows of the versions in its list."""


class ListedUpstream(NamedTuple):
    """An upstream in a ``ListUpdate``."""

    upstream_id: str
    pool: str
    data_centre: str
    url: str
    slots_count: int
    is_engine: bool
    leaving: bool
    started_ms: int | None = None
    """Unix time of its start, ``None`` if unknown."""
    software: str | None = None
    """Version of its software, ``None`` if unknown."""
    cold_ms: int = 0
    """Time for which it stays cold after the list was read, 0 if it is not cold."""


class ListUpdate(NamedTuple):
    """The list of upstreams that a controller has read from the platform."""

    version: int
    """Checksum of the content, the same on all controllers."""
    age_s: float
    """Time since the list was read."""
    upstreams: tuple[ListedUpstream, ...]
    history: VersionReport | None = None


class ListUnchanged(NamedTuple):
    """Confirms that a controller has read the list again and that the router's copy is current."""

    version: int
    age_s: float
    """Time since the list was read."""
    history: VersionReport | None = None


class OriginGroup(NamedTuple):
    """Streams that began at the same software version of a pool."""

    pool: str
    software: str | None
    """``None`` if unknown."""
    streams: tuple[tuple[int, int], ...]
    """Key of each stream, and the time in milliseconds for which it may be resumed."""


class OriginReport(NamedTuple):
    """Where streams of a router began, for the controllers that keep it for other routers."""

    groups: tuple[OriginGroup, ...]
    is_whole: bool = False
    """Whether it belongs to a report of all streams that the controller has not been told."""


class OriginRecall(NamedTuple):
    """Asks a router to report all of its streams: the controller has not heard of it before."""


class OriginQuery(NamedTuple):
    """Asks a controller where a stream began that a caller resumes."""

    query_id: int
    key: int


class OriginReply(NamedTuple):
    """Answer to an ``OriginQuery``."""

    query_id: int
    is_known: bool
    pool: str = ""
    software: str | None = None


class SuspectEnd(NamedTuple):
    """The end of an upstream at which a request waited for its answer."""

    upstream: str
    """Identifies the start of the upstream."""
    age_ms: int
    cleared: bool
    """Whether an answer to a request with the same part of a prompt began later."""


class SuspectPart(NamedTuple):
    """A part of a prompt, and the ends of upstreams that it may have caused."""

    part_id: str
    ends: tuple[SuspectEnd, ...]


class EndedUpstream(NamedTuple):
    """The end of an upstream, whatever waited there."""

    upstream: str
    """Identifies the start of the upstream."""
    age_ms: int
    survived: bool
    """Whether it answered soon after it had closed connections."""


class SuspectReport(NamedTuple):
    """Ends that a router has seen or cleared, for the controllers that merge them."""

    parts: tuple[SuspectPart, ...]
    ended: tuple[EndedUpstream, ...]
    unsuspected_version: int = 0
    """Checksum of the ends of parts that are not suspected, if the report has all of them."""


class SuspectPoll(NamedTuple):
    """Subscribes a router to the suspected parts of a controller for the next seconds."""

    version: int
    """Checksum of the suspected parts that the router knows; 0 if there are none."""
    unsuspected_version: int
    """Checksum of the ends that it holds of other parts; 0 if there are none."""
    needs_answer: bool = False
    """Whether the router has had no answer since its start or its last report."""


class SuspectRecall(NamedTuple):
    """Asks a router to report all ends that it holds."""


class SuspectUpdate(NamedTuple):
    """Suspected parts that are new, have changed, or differ from those of the router."""

    parts: tuple[SuspectPart, ...]
    ended: tuple[EndedUpstream, ...]
    """The upstreams that ended last; a part is suspected less if it did not wait at them."""


class ReadRequest(NamedTuple):
    """Query to the leader for the log index that a linearizable read has to reflect."""

    read_id: int


class ReadReply(NamedTuple):
    """Answer to a ``ReadRequest`` once a majority has confirmed the leader."""

    read_id: int
    index: int
    """Log entry up to which the state has to be applied; -1 if the responder is not the leader."""


class ConfigUpdate(NamedTuple):
    """Committed changes after ``from_revision``, or a complete snapshot if that is zero."""

    from_revision: int
    to_revision: int
    term: int
    payload: bytes
    """Encoded changes, or the encoded snapshot."""


class Submit(NamedTuple):
    """A command for the replicated state machine, sent to the leader."""

    submit_id: str
    command: bytes
    """Encoded command."""


class Lookup(NamedTuple):
    """Query to the leader for the state of a record; answered by ``SubmitReply``."""

    submit_id: str
    record_id: str


class SubmitReply(NamedTuple):
    """Outcome of a command once it is committed and applied, or the state of a record."""

    submit_id: str
    accepted: bool
    """False if the responder is not the leader; nothing was appended to the log then."""
    leader_id: str | None
    outcome: bytes
    """Encoded outcome or record state."""


class Assignment(NamedTuple):
    """Assigns accepted work to a router; sent by the leader."""

    work_id: str
    attempt: int
    payload: bytes


class WatchedEngine(NamedTuple):
    """An engine whose load a router wants to know."""

    upstream_id: str
    url: str
    slots_count: int


class EngineTally(NamedTuple):
    """What a router saw of an engine since its last poll."""

    position: int
    """Place of the engine in the list of watched engines."""
    wanted_count: int
    """Requests that it sent or could not send for want of room."""
    answers_count: int
    """Answers that began."""
    objective_ms: int
    """Sum of the objectives for their times to the first event."""


class LoadPoll(NamedTuple):
    """Subscribes a router to the loads of engines for the next seconds."""

    version: int
    """Checksum of the watched engines."""
    tallies: tuple[EngineTally, ...]
    engines: tuple[WatchedEngine, ...] = ()
    """The watched engines, empty if the controller has confirmed that it knows the version."""


class LoadRecall(NamedTuple):
    """Asks a router to name the engines that it wants to be watched."""

    version: int


class EngineLoad(NamedTuple):
    """What the fleet may send to an engine until the next report."""

    position: int
    sequence: int
    """Number of the report."""
    age_ms: int
    granted_tenths: int
    """Requests that all routers together may send, in tenths."""
    limit_tenths: int
    """Requests that the engine takes well, in tenths."""
    wanted_count: int
    """Requests that all routers wanted to send since the report before."""


class LoadView(NamedTuple):
    """Loads of the watched engines that were read since the last view."""

    version: int
    engines: tuple[EngineLoad, ...]
    routers_count: int = 0
    """Routers that polled the controller within 3 s, 0 from an older controller."""


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
    RosterChange,
    RosterUnchanged,
    Asked,
    AskedTotals,
    ListPoll,
    ListUpdate,
    ListUnchanged,
    OriginReport,
    OriginRecall,
    OriginQuery,
    OriginReply,
    SuspectReport,
    SuspectPoll,
    SuspectRecall,
    SuspectUpdate,
    ReadRequest,
    ReadReply,
    Submit,
    Lookup,
    SubmitReply,
    Assignment,
    LoadPoll,
    LoadRecall,
    LoadView,
)

__all__ = [
    "MESSAGES",
    "Asked",
    "AskedTotals",
    "Assignment",
    "ConfigPoll",
    "ConfigUpdate",
    "Demand",
    "EndedUpstream",
    "EngineLoad",
    "EngineTally",
    "FreeSlots",
    "GoneVersion",
    "Grant",
    "GrantProgress",
    "GrantReturn",
    "ListPoll",
    "ListUnchanged",
    "ListUpdate",
    "ListedUpstream",
    "LoadPoll",
    "LoadRecall",
    "LoadView",
    "Lookup",
    "OriginGroup",
    "OriginQuery",
    "OriginRecall",
    "OriginReply",
    "OriginReport",
    "Ping",
    "Pong",
    "Progress",
    "ReadReply",
    "ReadRequest",
    "Roster",
    "RosterChange",
    "RosterRouter",
    "RosterUnchanged",
    "ServiceEntry",
    "ServiceReport",
    "ServiceTotal",
    "Submit",
    "SubmitReply",
    "SuspectEnd",
    "SuspectPart",
    "SuspectPoll",
    "SuspectRecall",
    "SuspectReport",
    "SuspectUpdate",
    "TeamTokens",
    "VersionReport",
    "WatchedEngine",
    "whole_tokens",
    "TotalEntry",
]
