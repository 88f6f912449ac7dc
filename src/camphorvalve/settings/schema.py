"""Shape of the settings files."""

from __future__ import annotations

from typing import NamedTuple


class Keys(NamedTuple):
    """CURVE keys of the fleet, from ``camphorvalve keys``."""

    public: str
    secret: str


class ControllerAddress(NamedTuple):
    """Where a controller is reached."""

    host_id: str
    peer_address: str


class CallerToken(NamedTuple):
    """A token of callers and the teams that it may speak for."""

    token: str
    teams: tuple[str, ...]


class Logging(NamedTuple):
    """How the process logs."""

    format: str = "json"
    """``json`` or ``console``."""
    level: str = "info"


class Metrics(NamedTuple):
    """Where statsd datagrams go."""

    host: str
    port: int
    prefix: str = "camphorvalve"


class RouterSettings(NamedTuple):
    """Settings of a router."""

    host_id: str
    data_centre: str
    caller_bind: str
    """IP number and port for callers, such as ``127.0.0.1:8080``."""
    caller_url: str
    """URL that discovery gives to callers."""
    operator_bind: str
    peer_bind: str
    """Such as ``tcp://127.0.0.1:7000``."""
    controllers: tuple[ControllerAddress, ...]
    platform_url: str
    keys: Keys | None
    """``null`` leaves links between processes open; has to be written out."""
    callers: tuple[CallerToken, ...] | None
    """``null`` admits every caller for every team; has to be written out."""
    operator_token: str | None
    """``null`` admits every operator; has to be written out."""
    policy: str = "fleet_fair"
    """``fleet_fair``, ``local_fair`` or ``first_come``."""
    address_lifetime_s: float = 2.0
    """How long callers may keep a discovery answer."""
    feed_interval_s: float = 1.0
    queue_total_count: int = 8192
    queue_total_bytes: int = 16 << 20
    record_timeout_s: float = 3.0
    stop_timeout_s: float = 600.0
    """Longest time that a graceful stop waits for its last answer."""
    logging: Logging = Logging()
    metrics: Metrics | None = None


class JoinedRouterSettings(NamedTuple):
    """Settings of a router that finds its fleet from seeds and serves routed calls."""

    host_id: str
    """Its own peer address: IP number and port."""
    data_centre: str
    caller_bind: str
    """IP number and port for callers."""
    seeds: tuple[str, ...]
    """Peer addresses of some controllers; the router learns the others from them."""
    address_lifetime_s: float
    """How long callers may keep a discovery answer."""
    stop_timeout_s: float
    """Longest time that a graceful stop waits for its last answer."""
    caller_connections_count: int
    """Connections of callers above which a refusal closes its connection."""
    retry_ratio: float
    """Retries of this router per first try at a pool."""
    retry_fleet_count: int
    """Retries in 10 s, of all routers together, that are allowed however few first tries there
    are."""
    upstream_idle_s: float = 4.0
    """How long an idle connection to an upstream is kept; common servers close it after 5 s."""

    @property
    def peer_bind(self) -> str:
        """:return: where the other processes of the fleet reach this one"""
        return f"tcp://{self.host_id}"


class ControllerSettings(NamedTuple):
    """Settings of a controller."""

    host_id: str
    data_centre: str
    operator_bind: str
    operator_url: str
    peer_bind: str
    controllers: tuple[ControllerAddress, ...]
    """All controllers, this one included; empty where ``seeds`` are given."""
    platform_url: str
    data_folder: str
    keys: Keys | None
    operator_token: str | None
    order_token: str | None = None
    """Sent with orders to engines that check who gives them an order."""
    weight_store_bytes_per_s: float = 1e9
    election_timeout_s: float = 1.0
    heartbeat_s: float = 0.2
    snapshot_every_count: int = 10_000
    """Log entries after which a snapshot is written."""
    result_retention_s: float = 3600.0
    result_store_bytes: int = 16 << 20
    router_lost_s: float = 5.0
    """Silence after which a router's accepted work is assigned to another."""
    logging: Logging = Logging()
    metrics: Metrics | None = None
    seeds: tuple[str, ...] = ()
    """Peer addresses, IP number and port, of some controllers; a controller joins through them.
    The id of each host is then its own peer address."""
    bootstrap: bool = False
    """Whether the fleet starts for the first time: the seeds form the first group."""
    stop_timeout_s: float = 5.0
    """Longest time that a graceful stop waits for its last answer."""
    member_lost_s: float | None = None
    """Silence after which the leader removes a controller from the group; it may join again."""


__all__ = [
    "CallerToken",
    "ControllerAddress",
    "ControllerSettings",
    "Keys",
    "Logging",
    "Metrics",
    "RouterSettings",
]
