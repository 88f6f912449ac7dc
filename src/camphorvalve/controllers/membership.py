"""Live routers and upstreams: the lagging feed combined with this router's own probes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from camphorvalve.controllers.runtime import Outgoing
from camphorvalve.controllers.view import View
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
FRESH_S = 0.9
"""A peer that was heard more recently is not pinged; without this both of a pair ping."""


@dataclass(slots=True)
class _Probe:
    unanswered_count: int = 0
    incarnation: int = 0
    leaving: bool = False
    heard_s: float = float("-inf")


class MembershipController:
    """Owns this router's view of the deployment."""

    name = "membership"
    tick_s = 1.0
    accepts = (Ping, Pong)

    def __init__(self, self_host: Host, rng: random.Random) -> None:
        """
        Start with this router alone.

        :param self_host: this router
        :param rng: source of the order of pings
        """
        self._self_host = self_host
        self._rng = rng
        self._hosts: dict[str, Host] = {self_host.host_id: self_host}
        self._upstreams: dict[str, Upstream] = {}
        self._probes: dict[str, _Probe] = {}
        self._draining: frozenset[str] = frozenset()
        self._sequence = 0
        self._restarted: list[str] = []
        self.leaving = False
        self._view: View | None = None
        self._view_version = -1
        self.version = 0
        """Grows with every change of the view, so that others can cache what they derive."""

    @property
    def self_id(self) -> str:
        """:return: id of this router"""
        return self._self_host.host_id

    def apply_feed(self, hosts: Iterable[Host], upstreams: Iterable[Upstream]) -> None:
        """
        Take in changed entries of the membership feed.

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
        Drop members that the feed no longer lists.

        :param member_ids: ids of hosts or upstreams
        """
        for member_id in member_ids:
            self._hosts.pop(member_id, None)
            self._upstreams.pop(member_id, None)
            self._probes.pop(member_id, None)
        self.version += 1

    def set_draining(self, draining: frozenset[str]) -> None:
        """
        Set members that the configuration drains.

        :param draining: ids of hosts and upstreams
        """
        if draining != self._draining:
            self._draining = draining
            self.version += 1

    def set_leaving(self) -> None:
        """Announce from now on that this router leaves."""
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
        """:return: routers that may get new work, this one included unless it leaves"""
        return self.view().routers

    def upstreams(self, pool: str | None = None) -> list[Upstream]:
        """
        List upstreams that may get new work.

        :param pool: only of this pool
        :return: live upstreams that are not drained
        """
        view = self.view()
        return view.upstreams if pool is None else view.by_pool.get(pool, [])

    def view(self) -> View:
        """:return: what may get new work, and who schedules it"""
        if self._view is None or self._view_version != self.version:
            self._view = View(self._staying_routers(), self._staying_upstreams(), self._view)
            self._view_version = self.version
        return self._view

    def _staying_routers(self) -> Iterator[Host]:
        for host in self._hosts.values():
            if host.role is Role.ROUTER and self._is_staying(host):
                yield host

    def _staying_upstreams(self) -> Iterator[Upstream]:
        for upstream in self._upstreams.values():
            if upstream.state is HostState.LIVE and upstream.upstream_id not in self._draining:
                yield upstream

    def upstream(self, upstream_id: str) -> Upstream | None:
        """
        Look up an upstream, leaving ones included.

        :param upstream_id: id of the upstream
        :return: the upstream
        """
        return self._upstreams.get(upstream_id)

    def interface_of(self, pool: str) -> UpstreamInterface | None:
        """
        Tell how the upstreams of a pool are spoken to.

        :param pool: name of the pool
        :return: the interface, ``None`` for a pool without upstreams
        """
        return next((one.interface for one in self._upstreams.values() if one.pool == pool), None)

    def scheduler_of(self, upstream_id: str) -> str | None:
        """
        Find the router that schedules an upstream.

        :param upstream_id: id of the upstream
        :return: id of the router
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

    def gone_routers(self) -> list[str]:
        """:return: routers whose running work is lost, each told once per restart"""
        gone, self._restarted = self._restarted, []
        return gone

    def handle(self, sender: Sender, message: Any, now_s: float) -> Iterator[Outgoing]:
        """
        Answer a ping, or note an answer.

        :param sender: the peer
        :param message: ``Ping`` or ``Pong``
        :param now_s: current time
        :return: the answer
        """
        probe = self._probes.setdefault(sender.host_id, _Probe())
        before = (self._is_suspected(sender.host_id), probe.leaving)
        if probe.incarnation and sender.incarnation > probe.incarnation:
            self._restarted.append(sender.host_id)
        probe.incarnation = max(probe.incarnation, sender.incarnation)
        probe.leaving = message.leaving
        probe.unanswered_count = 0
        probe.heard_s = now_s
        if before != (False, probe.leaving):
            self.version += 1
        if isinstance(message, Ping):
            yield Outgoing(sender.host_id, Pong(message.sequence, self.leaving, ()))

    def tick(self, now_s: float) -> Iterator[Outgoing]:
        """
        Ping some peers.

        :param now_s: current time
        :return: pings
        """
        self._sequence += 1
        peers = [host_id for host_id in self.peer_addresses() if self._is_silent(host_id, now_s)]
        chosen = self._rng.sample(peers, min(PINGS_PER_TICK_COUNT, len(peers)))
        for host_id in chosen:
            probe = self._probes.setdefault(host_id, _Probe())
            probe.unanswered_count += 1
            if probe.unanswered_count == MISSED_PINGS_COUNT + 1:
                self.version += 1
            yield Outgoing(host_id, Ping(self._sequence, self.leaving, ()))

    def _is_silent(self, host_id: str, now_s: float) -> bool:
        """Tell whether a peer has to be pinged; its own ping or answer shows that it lives."""
        probe = self._probes.get(host_id)
        silent = probe is None or now_s - probe.heard_s > FRESH_S
        return silent and host_id != self.self_id

    def _is_suspected(self, host_id: str) -> bool:
        probe = self._probes.get(host_id)
        return probe is not None and probe.unanswered_count > MISSED_PINGS_COUNT

    def _is_staying(self, host: Host) -> bool:
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
