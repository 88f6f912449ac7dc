"""Data derived from a router's view of the deployment, computed once per change of that view."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.hosts import HostState
from camphorvalve.sharing import placement

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from camphorvalve.model.hosts import Host
    from camphorvalve.model.upstreams import Upstream


class DeploymentView:
    """
    Live routers and upstreams, and the assignment of upstreams to schedulers.

    Every announcement and every finished request looks up schedulers. Computing them for each
    lookup cost more processor time than all messages together, and the cost grew with the number of
    routers times the number of upstreams.
    """

    def __init__(
        self,
        routers: Iterable[Host],
        upstreams: Iterable[Upstream],
        previous: DeploymentView | None = None,
    ) -> None:
        """
        Build the view.

        :param routers: routers that may get new work
        :param upstreams: upstreams that may get new work
        :param previous: the previous view; its assignments are reused for data centres whose
            routers have not changed
        """
        self.routers = [router for router in routers if router.state is HostState.LIVE]
        self.upstreams = list(upstreams)
        self.by_pool: dict[str, list[Upstream]] = {}
        for upstream in self.upstreams:
            self.by_pool.setdefault(upstream.pool, []).append(upstream)
        self._slots: dict[str, dict[str, int]] = {}
        self._all_router_ids = tuple(sorted(router.host_id for router in self.routers))
        self._ids_by_data_centre = _by_data_centre(self.routers)
        self._owners: dict[str, dict[str, str | None]] = {}
        if previous is not None:
            self._owners = {
                data_centre: owners
                for data_centre, owners in previous._owners.items()
                if previous._candidates(data_centre) == self._candidates(data_centre)
            }

    def scheduler_of(self, upstream: Upstream) -> str | None:
        """
        Find the router that schedules an upstream, in the same data centre if one is live there.

        :param upstream: the upstream
        :return: id of the router, ``None`` without live routers
        """
        owners = self._owners.setdefault(upstream.data_centre, {})
        if upstream.upstream_id not in owners:
            candidates = self._candidates(upstream.data_centre)
            owners[upstream.upstream_id] = placement.owner(upstream.upstream_id, candidates)
        return owners[upstream.upstream_id]

    def scheduler_slots(self, pool: str) -> dict[str, int]:
        """
        Sum the slots of a pool by scheduler.

        :param pool: name of the pool
        :return: slots by router id; callers must not modify the result
        """
        if pool not in self._slots:
            slots: dict[str, int] = {}
            for upstream in self.by_pool.get(pool, ()):
                scheduler_id = self.scheduler_of(upstream)
                if scheduler_id is not None:
                    slots[scheduler_id] = slots.get(scheduler_id, 0) + upstream.slots_count
            self._slots[pool] = slots
        return self._slots[pool]

    def scheduled_by(self, router_id: str) -> dict[str, Upstream]:
        """
        List the upstreams that a router schedules.

        Upstreams for which the router is no candidate are skipped before hashing.

        :param router_id: the router
        :return: upstreams by id
        """
        return {
            upstream.upstream_id: upstream
            for upstream in self.upstreams
            if router_id in self._candidates(upstream.data_centre)
            and self.scheduler_of(upstream) == router_id
        }

    def _candidates(self, data_centre: str) -> Sequence[str]:
        return self._ids_by_data_centre.get(data_centre, self._all_router_ids)


def _by_data_centre(routers: Iterable[Host]) -> dict[str, tuple[str, ...]]:
    by_data_centre: dict[str, list[str]] = {}
    for host in routers:
        by_data_centre.setdefault(host.data_centre, []).append(host.host_id)
    return {data_centre: tuple(sorted(ids)) for data_centre, ids in by_data_centre.items()}


__all__ = ["DeploymentView"]
