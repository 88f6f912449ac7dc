"""Simulated membership feed of the platform: ``python -m tools.standins.platform --lag-s 1``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import defopt

from camphorvalve.http.asgi import run_lifespan
from tools.standins.asgi import HttpRequest, read_request, send_chunk, send_head, send_json
from tools.standins.faults import BreakAfter, Faults, Hang, Refuse
from tools.standins.serving import run_until_stopped

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.standins.asgi import Receive, Scope, Send

Member = dict[str, Any]


class _Change(NamedTuple):
    version: int
    at_s: float
    member: Member


class Platform:
    """ASGI application of the feed; a member's peer address can differ from client to client."""

    def __init__(self, lag_s: float = 0.0) -> None:
        """
        Create a feed without members.

        :param lag_s: delay until a change is visible in the feed
        """
        self.lag_s = lag_s
        self.faults = Faults()
        self._changes: list[_Change] = []
        self._routes: dict[tuple[str, str], str] = {}

    def set_members(self, members: Iterable[Member], *, at_once: bool = False) -> None:
        """
        Add or update members; fields that are left out keep their values.

        :param members: entries, each with at least the field ``id``
        :param at_once: whether the change is visible without ``lag_s``
        """
        known = {change.member["id"]: change.member for change in self._changes}
        at_s = time.monotonic() - (self.lag_s if at_once else 0.0)
        for member in members:
            merged = {**known.get(member["id"], {}), **member}
            self._changes.append(_Change(len(self._changes) + 1, at_s, merged))

    def set_route(self, asker_id: str, member_id: str, peer_address: str) -> None:
        """
        Replace the peer address of a member in the responses to one client.

        :param asker_id: id of the client
        :param member_id: id of the member
        :param peer_address: the address, such as that of a forwarder
        """
        self._routes[asker_id, member_id] = peer_address

    def members(self, after: int, asker_id: str) -> dict[str, Any]:
        """
        Return the members that changed after a version, as far as they are visible.

        :param after: version that the client has; 0 for none
        :param asker_id: id of the client
        :return: body of the response
        """
        visible_before_s = time.monotonic() - self.lag_s
        visible = [change for change in self._changes if change.at_s <= visible_before_s]
        latest = {
            change.member["id"]: change.member for change in visible if change.version > after
        }
        version = visible[-1].version if visible else 0
        members = [self._with_routed_address(member, asker_id) for member in latest.values()]
        return {"version": version, "members": members}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI scope."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        request = await read_request(scope, receive)
        match (request.method, request.path):
            case ("GET", "/v1/members"):
                await self._send_members(request, send)
            case ("POST", "/v1/members"):
                body = request.json()
                self.set_members(body.get("members", ()), at_once=body.get("at_once", False))
                for route in body.get("routes", ()):
                    self.set_route(route["asker_id"], route["member_id"], route["peer_address"])
                self.lag_s = body.get("lag_s", self.lag_s)
                await send_json(send, {"version": len(self._changes)})
            case ("POST", "/v1/faults"):
                self.faults.replace_from_json(request.json())
                await send_json(send, {})
            case _:
                await send_json(send, {"error": "not found"}, status=404)

    async def _send_members(self, request: HttpRequest, send: Send) -> None:
        if self.faults.take(Hang):
            await anyio.sleep(30)
        if refuse := self.faults.take(Refuse):
            await send_json(send, {"error": "refused"}, status=refuse.status)
            return
        body = self.members(int(request.query.get("after", "0")), request.query.get("for", ""))
        if self.faults.take(BreakAfter):
            await send_head(send, 200, {"content-type": "application/json"})
            await send_chunk(send, b'{"version": 99, "members": [{"id": "router-1"}]}', last=True)
            return
        await send_json(send, body)

    def _with_routed_address(self, member: Member, asker_id: str) -> Member:
        address = self._routes.get((asker_id, member["id"]))
        return member if address is None else {**member, "peer_address": address}


def main(*, port: int = 0, lag_s: float = 0.0) -> None:
    """
    Run a simulated membership feed.

    :param port: port to listen on; 0 lets the system choose
    :param lag_s: delay until a change is visible in the feed
    """
    anyio.run(lambda: run_until_stopped(Platform(lag_s), port, id="platform"))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["Member", "Platform", "main"]
