"""Types of the settings of routers and controllers, with default values."""

from __future__ import annotations

from typing import NamedTuple


class Keys(NamedTuple):
    """CURVE key pair that all processes of the fleet share, from ``camphorvalve keys``."""

    public: str
    secret: str


class ControllerAddress(NamedTuple):
    """Id and address of a controller, for connections from its peers."""

    host_id: str
    peer_address: str


class CallerToken(NamedTuple):
    """A token for callers and the teams in whose name it may send requests."""

    token: str
    teams: tuple[str, ...]


class Logging(NamedTuple):
    """Format and level of the process's log."""

    format: str = "json"
    """``json`` or ``console``."""
    level: str = "info"
    """``debug``, ``info``, ``warning`` or ``error``."""


class Metrics(NamedTuple):
    """Address that statsd datagrams are sent to, and the prefix of the metrics' names."""

    host: str
    port: int
    prefix: str = "camphorvalve"


class RouterSettings(NamedTuple):
    """Settings of a router whose file lists its controllers."""

    host_id: str
    data_centre: str
    caller_bind: str
    """IP address and port that listen for callers, such as ``127.0.0.1:8080``."""
    caller_url: str
    """URL of this router in discovery answers."""
    operator_bind: str
    """IP address and port that listen for operators."""
    peer_bind: str
    """Address that listens for other processes of the fleet, as ``tcp://127.0.0.1:7000``."""
    controllers: tuple[ControllerAddress, ...]
    platform_url: str
    """Base URL of the platform's membership feed."""
    keys: Keys | None
    """``null`` disables authentication of peers. It has no default, so that this is explicit."""
    callers: tuple[CallerToken, ...] | None
    """``null`` admits every caller for every team. It has no default, so that this is explicit."""
    operator_token: str | None
    """``null`` admits every operator. It has no default, so that this is explicit."""
    policy: str = "fleet_fair"
    """Scheduling policy: ``fleet_fair``, ``local_fair`` or ``first_come``."""
    address_lifetime_s: float = 2.0
    """How long callers may cache a discovery answer."""
    feed_interval_s: float = 1.0
    """Time between two polls of the platform's membership feed."""
    queue_total_count: int = 8192
    queue_total_bytes: int = 16 << 20
    record_timeout_s: float = 3.0
    stop_timeout_s: float = 600.0
    """Longest time that a graceful stop waits for the last open request."""
    logging: Logging = Logging()
    metrics: Metrics | None = None


class JoinedRouterSettings(NamedTuple):
    """Settings of a router that discovers its fleet from seeds and serves routed calls."""

    host_id: str
    """Its own peer address: IP address and port."""
    data_centre: str
    caller_bind: str
    """IP address and port that listen for callers."""
    seeds: tuple[str, ...]
    """Peer addresses of some controllers, from which the router learns the others."""
    address_lifetime_s: float
    """How long callers may cache a discovery answer."""
    stop_intake_s: float
    """Time after a stop signal in which requests are still taken."""
    stop_open_s: float
    """Time after a stop signal in which connections are still accepted."""
    stop_timeout_s: float
    """Longest time that a graceful stop waits for the last open request."""
    caller_connections_count: int
    """Number of caller connections above which a refused request closes its connection."""
    retry_ratio: float
    """Retries of this router per first attempt at a pool."""
    retry_fleet_count: float
    """Retries in 10 s, of all routers together, that are allowed however few first attempts there
    are."""
    upstream_idle_s: float = 4.0
    """How long an idle connection to an upstream is kept; common servers close it after 5 s."""
    cold_overage_ratio: float = 1.0
    """Multiple of the rate of a cold upstream that all routers together may send in one second."""
    cold_slack_count: float = 0.0
    """Requests that may come in addition."""
    cores: float = 1.0
    """Ordinary cores that the process may use."""
    keeps_returns: bool = False
    """Whether room is promised to refused callers, and kept until they return."""
    shares_engine_loads: bool = False
    """Whether engines are shared by the load that controllers read, and not in fixed parts."""
    collects_events: bool = True
    """Whether events of streams are passed on several at a time: while processor time is short, and
    always in large fleets."""
    bodies_bytes: int = 24 << 20
    """Memory for all bodies of requests together."""
    open_connections_count: int | None = None
    """Most connections of callers that are open at the same time."""

    @property
    def peer_bind(self) -> str:
        """:return: address that listens for the other processes of the fleet"""
        return f"tcp://{self.host_id}"


class ControllerSettings(NamedTuple):
    """Settings of a controller."""

    host_id: str
    data_centre: str
    operator_bind: str
    """IP address and port that listen for operators."""
    operator_url: str
    """URL at which operators reach this controller."""
    peer_bind: str
    """Address that listens for other processes of the fleet, as ``tcp://127.0.0.1:7000``."""
    controllers: tuple[ControllerAddress, ...]
    """All controllers, including this one; empty if ``seeds`` are given."""
    platform_url: str
    """Base URL of the platform's membership feed."""
    data_folder: str
    """Absolute path of the folder that holds the replicated state."""
    keys: Keys | None
    """``null`` disables authentication of peers. It has no default, so that this is explicit."""
    operator_token: str | None
    """``null`` admits every operator. It has no default, so that this is explicit."""
    order_token: str | None = None
    """Sent with orders, for engines that authenticate the sender of an order."""
    weight_store_bytes_per_s: float = 1e9
    """Rate at which the engines together may load model weights from their store."""
    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.2
    snapshot_every_count: int = 10_000
    """Log entries after which a snapshot is written."""
    result_retention_s: float = 3600.0
    """How long the result of a request is kept."""
    result_store_bytes: int = 16 << 20
    """Total size limit of the stored results."""
    router_lost_s: float = 5.0
    """Silence after which a router's accepted work is assigned to another router."""
    logging: Logging = Logging()
    metrics: Metrics | None = None
    seeds: tuple[str, ...] = ()
    """Peer addresses (IP address and port) of some controllers, through which a controller joins.
    The id of each host is then its own peer address."""
    bootstrap: bool = False
    """Whether the fleet starts for the first time, so that the seeds form the first group."""
    stop_timeout_s: float = 5.0
    """Longest time that a graceful stop waits for the last open request."""
    member_lost_s: float | None = None
    """Silence after which the leader removes a controller from the group; it may rejoin."""
    member_replaced_s: float | None = None
    """The same, shorter, for a controller whose successor has joined the group."""
    bodies_bytes: int = 44 << 20
    """Memory for all bodies of manifests together."""


__all__ = [
    "CallerToken",
    "ControllerAddress",
    "ControllerSettings",
    "Keys",
    "Logging",
    "Metrics",
    "RouterSettings",
]
