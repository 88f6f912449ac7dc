"""Follows the platform's membership feed and passes its changes to the state controllers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from camphorvalve.model.hosts import Host, Role
from camphorvalve.model.upstreams import Upstream
from camphorvalve.upstreams import platform

if TYPE_CHECKING:
    import httpx

    from camphorvalve.controllers.quorum.backend import ControllerBackend
    from camphorvalve.controllers.router.membership import MembershipController
    from camphorvalve.settings.schema import ControllerSettings, RouterSettings
    from camphorvalve.wire.link import Link


async def follow_as_controller(
    settings: ControllerSettings,
    client: httpx.AsyncClient,
    link: Link,
    backend: ControllerBackend,
) -> None:
    """
    Follow the feed in a controller: addresses of peers, and upstreams that can execute orders.

    :param settings: settings of this controller
    :param client: HTTP client
    :param link: receives the addresses of routers
    :param backend: receives operator URLs and upstreams
    """
    addresses = {controller.host_id: controller.peer_address for controller in settings.controllers}
    async for members in platform.follow(client, settings.platform_url, settings.host_id, 1.0):
        for member in members:
            match member:
                case Host(role=Role.ROUTER, host_id=host_id, peer_address=peer_address):
                    addresses[host_id] = peer_address
                case Host(role=Role.CONTROLLER):
                    backend.operator_urls[member.host_id] = member.url
                case Upstream():
                    backend.upstreams[member.upstream_id] = member
        link.set_peers(addresses)


async def follow_as_router(
    settings: RouterSettings,
    client: httpx.AsyncClient,
    membership: MembershipController,
    link: Link,
) -> None:
    """
    Follow the feed in a router: peers, and upstreams that requests may be sent to.

    :param settings: settings of this router
    :param client: HTTP client
    :param membership: receives the changed members
    :param link: receives the addresses of peers
    """
    controllers = {
        controller.host_id: controller.peer_address for controller in settings.controllers
    }
    link.set_peers(controllers)
    changes = platform.follow(
        client, settings.platform_url, settings.host_id, settings.feed_interval_s
    )
    async for members in changes:
        hosts = [member for member in members if isinstance(member, Host)]
        upstreams = [member for member in members if isinstance(member, Upstream)]
        membership.apply_feed(hosts, upstreams)
        link.set_peers({**membership.peer_addresses(), **controllers})


__all__ = ["follow_as_controller", "follow_as_router"]
