"""Stand-in of the platform's membership feed: ``python -m tools.standins.platform --lag-s 1``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import defopt

from camphorvalve.http.asgi import run_lifespan
from tools.standins.asgi import HttpCall, read_call, send_head, send_json, send_part
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
    """ASGI app of the feed; each asker may see other peer addresses of the members."""

    def __init__(self, lag_s: float = 0.0) -> None:
        """
        Start with an empty list.

        :param lag_s: time until a change is visible in the feed
        """
        self.lag_s = lag_s
        self.faults = Faults()
        self._changes: list[_Change] = []
        self._routes: dict[tuple[str, str], str] = {}

    def set_members(self, members: Iterable[Member], *, at_once: bool = False) -> None:
        """
        Add or change members; fields that are left out keep their value.

        :param members: entries with at least ``id``
        :param at_once: whether the change is visible without the lag
        """
        known = {change.member["id"]: change.member for change in self._changes}
        at_s = time.monotonic() - (self.lag_s if at_once else 0.0)
        for member in members:
            merged = {**known.get(member["id"], {}), **member}
            self._changes.append(_Change(len(self._changes) + 1, at_s, merged))

    def set_route(self, asker_id: str, member_id: str, peer_address: str) -> None:
        """
        Give one asker another peer address of a member.

        :param asker_id: who asks
        :param member_id: whose address is replaced
        :param peer_address: such as the address of a forwarder
        """
        self._routes[asker_id, member_id] = peer_address

    def members(self, after: int, asker_id: str) -> dict[str, Any]:
        """
        Give the list as the feed shows it now.

        :param after: version that the asker has; 0 for none
        :param asker_id: who asks
        :return: body of the response
        """
        visible_s = time.monotonic() - self.lag_s
        visible = [change for change in self._changes if change.at_s <= visible_s]
        latest = {c.member["id"]: c.member for c in visible if c.version > after}
        version = visible[-1].version if visible else 0
        members = [self._routed(member, asker_id) for member in latest.values()]
        return {"version": version, "members": members}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await run_lifespan(receive, send)
            return
        call = await read_call(scope, receive)
        match (call.method, call.path):
            case ("GET", "/v1/members"):
                await self._feed(call, send)
            case ("POST", "/v1/members"):
                body = call.json()
                self.set_members(body.get("members", ()), at_once=body.get("at_once", False))
                for route in body.get("routes", ()):
                    self.set_route(route["asker_id"], route["member_id"], route["peer_address"])
                self.lag_s = body.get("lag_s", self.lag_s)
                await send_json(send, {"version": len(self._changes)})
            case ("POST", "/v1/faults"):
                self.faults.replace_from_json(call.json())
                await send_json(send, {})
            case _:
                await send_json(send, {"error": "not found"}, status=404)

    async def _feed(self, call: HttpCall, send: Send) -> None:
        if self.faults.take(Hang):
            await anyio.sleep(30)
        if refusal := self.faults.take(Refuse):
            await send_json(send, {"error": "refused"}, status=refusal.status)
            return
        value = self.members(int(call.query.get("after", "0")), call.query.get("for", ""))
        if self.faults.take(BreakAfter):
            await send_head(send, 200, {"content-type": "application/json"})
            await send_part(send, b'{"version": 99, "members": [{"id": "router-1"}]}', last=True)
            return
        await send_json(send, value)

    def _routed(self, member: Member, asker_id: str) -> Member:
        address = self._routes.get((asker_id, member["id"]))
        return member if address is None else {**member, "peer_address": address}


def main(*, port: int = 0, lag_s: float = 0.0) -> None:
    """
    Run a stand-in platform.

    :param port: port to listen on; 0 lets the system choose
    :param lag_s: time until a change is visible in the feed
    """
    anyio.run(lambda: run_until_stopped(Platform(lag_s), port, id="platform"))


if __name__ == "__main__":
    defopt.run(main)


__all__ = ["Member", "Platform", "main"]
