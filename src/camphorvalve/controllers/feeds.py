"""Follows the platform's membership feed and hands its changes to the state controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.hosts import Host, Role
from camphorvalve.model.upstreams import Upstream
from camphorvalve.upstreams import platform

if TYPE_CHECKING:
    import httpx

    from camphorvalve.controllers.backend import ControllerBackend
    from camphorvalve.controllers.membership import MembershipController
    from camphorvalve.settings.schema import ControllerSettings, RouterSettings
    from camphorvalve.wire.link import Link


async def follow_as_controller(
    settings: ControllerSettings,
    client: httpx.AsyncClient,
    link: Link,
    backend: ControllerBackend,
) -> None:
    """
    Follow the feed in a controller: addresses of peers, and upstreams that take orders.

    :param settings: settings of this controller
    :param client: HTTP client
    :param link: gets the addresses of routers
    :param backend: gets operator URLs and upstreams
    """
    addresses = {one.host_id: one.peer_address for one in settings.controllers}
    async for members in platform.follow(client, settings.platform_url, settings.host_id, 1.0):
        for member in members:
            match member:
                case Host(role=Role.ROUTER, host_id=host_id, peer_address=peer_address):
                    addresses[host_id] = peer_address
                case Host(role=Role.CONTROLLER):
                    backend.operator_urls[member.host_id] = member.url
                case Upstream():
                    backend.upstreams[member.upstream_id] = member
        link.connect(addresses)


async def follow_as_router(
    settings: RouterSettings,
    client: httpx.AsyncClient,
    membership: MembershipController,
    link: Link,
) -> None:
    """
    Follow the feed in a router: peers, and upstreams that may get work.

    :param settings: settings of this router
    :param client: HTTP client
    :param membership: gets the changed members
    :param link: gets the addresses of peers
    """
    controllers = {one.host_id: one.peer_address for one in settings.controllers}
    link.connect(controllers)
    changes = platform.follow(
        client, settings.platform_url, settings.host_id, settings.feed_interval_s
    )
    async for members in changes:
        hosts = [one for one in members if isinstance(one, Host)]
        upstreams = [one for one in members if isinstance(one, Upstream)]
        membership.apply_feed(hosts, upstreams)
        link.connect({**membership.peer_addresses(), **controllers})


__all__ = ["follow_as_controller", "follow_as_router"]
