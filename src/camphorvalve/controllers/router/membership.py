"""Tracks live routers and upstreams from the lagging membership feed and from own pings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.router.view import DeploymentView
from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.model.hosts import HostState, Role
from camphorvalve.wire.messages import Ping, Pong

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from camphorvalve.controllers.runtime import Sender
    from camphorvalve.model.hosts import Host
    from camphorvalve.model.upstreams import Upstream, UpstreamInterface

PINGS_PER_TICK_COUNT = 8
MISSED_PINGS_COUNT = 3
RECENTLY_HEARD_S = 0.9
"""A peer that sent a message more recently is not pinged; otherwise both peers of a pair would
ping each other."""


@dataclass(slots=True)
class _Probe:
    unanswered_count: int = 0
    incarnation: int = 0
    leaving: bool = False
    heard_s: float = float("-inf")


class MembershipController:
    """Owns this router's view of the routers and upstreams of the deployment."""

    name = "membership"
    tick_s = 1.0
    accepts = (Ping, Pong)

    def __init__(self, self_host: Host, rng: random.Random) -> None:
        """
        Start with this router alone.

        :param self_host: this router
        :param rng: random source for the choice of peers to ping
        """
        self._self_host = self_host
        self._rng = rng
        self._hosts: dict[str, Host] = {self_host.host_id: self_host}
        self._upstreams: dict[str, Upstream] = {}
        self._probes: dict[str, _Probe] = {}
        self._draining: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._sequence = 0
        self._restarted_router_ids: list[str] = []
        self.leaving = False
        self._view: DeploymentView | None = None
        self._view_version = -1
        self.version = 0
        """Increases with every change of the view; other parts use it to cache what they derive."""

    @property
    def self_id(self) -> str:
        """:return: id of this router"""
        return self._self_host.host_id

    def apply_feed(self, hosts: Iterable[Host], upstreams: Iterable[Upstream]) -> None:
        """
        Apply changed entries of the membership feed.

        :param hosts: changed routers and controllers
        :param upstreams: changed upstreams
        """
        for host in hosts:
            if host.host_id != self.self_id:
                self._hosts[host.host_id] = host
        for upstream in upstreams:
            self._upstreams[upstream.upstream_id] = upstream
        self.version += 1

    def remove(self, member_ids: Iterable[str]) -> None:
        """
        Remove members that the feed no longer lists.

        :param member_ids: ids of hosts or upstreams
        """
        for member_id in member_ids:
            self._hosts.pop(member_id, None)
            self._upstreams.pop(member_id, None)
            self._probes.pop(member_id, None)
        self.version += 1

    def set_draining(self, draining: frozenset[str]) -> None:
        """
        Set the members that are drained by the configuration.

        :param draining: ids of hosts and upstreams
        """
        if draining != self._draining:
            self._draining = draining
            self.version += 1

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """
        Set the data centres whose upstreams get no new work.

        :param data_centres: all that are evacuated
        """
        if data_centres != self._evacuated:
            self._evacuated = data_centres
            self.version += 1

    def set_leaving(self) -> None:
        """Announce from now on that this router is leaving."""
        self.leaving = True
        self.version += 1

    def peer_addresses(self) -> dict[str, str]:
        """:return: peer address of every router by id"""
        return {
            host.host_id: host.peer_address
            for host in self._hosts.values()
            if host.role is Role.ROUTER
        }

    def live_routers(self) -> list[Host]:
        """:return: routers that may get new work, including this one unless it is leaving"""
        return self.view().routers

    def upstreams(self, pool: str | None = None) -> list[Upstream]:
        """
        List upstreams that may get new work.

        :param pool: restrict the list to this pool
        :return: live upstreams that are not drained, in data centres that are not evacuated
        """
        view = self.view()
        return view.upstreams if pool is None else view.by_pool.get(pool, [])

    def view(self) -> DeploymentView:
        """:return: routers and upstreams that may get new work, and who schedules the upstreams"""
        if self._view is None or self._view_version != self.version:
            self._view = DeploymentView(
                self._available_routers(), self._available_upstreams(), self._view
            )
            self._view_version = self.version
        return self._view

    def _available_routers(self) -> Iterator[Host]:
        for host in self._hosts.values():
            if host.role is Role.ROUTER and self._is_available(host):
                yield host

    def _available_upstreams(self) -> Iterator[Upstream]:
        for upstream in self._upstreams.values():
            is_excluded = (
                upstream.upstream_id in self._draining or upstream.data_centre in self._evacuated
            )
            if upstream.state is HostState.LIVE and not is_excluded:
                yield upstream

    def upstream(self, upstream_id: str) -> Upstream | None:
        """
        Look up an upstream, including leaving and drained ones.

        :param upstream_id: id of the upstream
        :return: the upstream, ``None`` if it is unknown
        """
        return self._upstreams.get(upstream_id)

    def interface_of(self, pool: str) -> UpstreamInterface | None:
        """
        Return the interface that the upstreams of a pool provide.

        :param pool: name of the pool
        :return: the interface, ``None`` for a pool without upstreams
        """
        return next(
            (upstream.interface for upstream in self._upstreams.values() if upstream.pool == pool),
            None,
        )

    def scheduler_of(self, upstream_id: str) -> str | None:
        """
        Find the router that schedules an upstream.

        :param upstream_id: id of the upstream
        :return: id of the router, ``None`` if there is none
        """
        upstream = self._upstreams.get(upstream_id)
        return None if upstream is None else self.view().scheduler_of(upstream)

    def scheduler_slots(self, pool: str) -> dict[str, int]:
        """
        Sum the slots of a pool by scheduler.

        :param pool: name of the pool
        :return: slots by router id
        """
        return self.view().scheduler_slots(pool)

    def take_restarted_routers(self) -> list[str]:
        """:return: routers whose running work was lost in a restart; each restart is listed once"""
        restarted, self._restarted_router_ids = self._restarted_router_ids, []
        return restarted

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Record that a peer is alive, and answer its ping.

        :param sender: the peer
        :param message: ``Ping`` or ``Pong``
        :param now_s: monotonic time
        :return: the pong if the message is a ping
        """
        probe = self._probes.setdefault(sender.host_id, _Probe())
        previous = (self._is_suspected(sender.host_id), probe.leaving)
        if probe.incarnation and sender.incarnation > probe.incarnation:
            self._restarted_router_ids.append(sender.host_id)
        probe.incarnation = max(probe.incarnation, sender.incarnation)
        probe.leaving = message.leaving
        probe.unanswered_count = 0
        probe.heard_s = now_s
        if previous != (False, probe.leaving):
            self.version += 1
        if isinstance(message, Ping):
            yield Outgoing(sender.host_id, Pong(message.sequence, self.leaving, ()))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Ping a random selection of the peers that have been silent.

        :param now_s: monotonic time
        :return: pings
        """
        self._sequence += 1
        peers = [host_id for host_id in self.peer_addresses() if self._needs_ping(host_id, now_s)]
        targets = self._rng.sample(peers, min(PINGS_PER_TICK_COUNT, len(peers)))
        for host_id in targets:
            probe = self._probes.setdefault(host_id, _Probe())
            probe.unanswered_count += 1
            if probe.unanswered_count == MISSED_PINGS_COUNT + 1:
                self.version += 1
            yield Outgoing(host_id, Ping(self._sequence, self.leaving, ()))

    def _needs_ping(self, host_id: str, now_s: float) -> bool:
        """Check whether a peer has to be pinged; a recent ping or pong shows that it is alive."""
        probe = self._probes.get(host_id)
        silent = probe is None or now_s - probe.heard_s > RECENTLY_HEARD_S
        return silent and host_id != self.self_id

    def _is_suspected(self, host_id: str) -> bool:
        probe = self._probes.get(host_id)
        return probe is not None and probe.unanswered_count > MISSED_PINGS_COUNT

    def _is_available(self, host: Host) -> bool:
        if host.host_id == self.self_id:
            return not self.leaving and host.host_id not in self._draining
        probe = self._probes.get(host.host_id)
        return (
            host.state is HostState.LIVE
            and host.host_id not in self._draining
            and not self._is_suspected(host.host_id)
            and not (probe is not None and probe.leaving)
        )


__all__ = ["MembershipController"]
