"""Guards against an invalid or outdated membership feed that replaces a valid list of members."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack
from typing import Any

import anyio
import msgspec
from structlog.testing import capture_logs
from tools.standins.faults import BreakAfter, Refuse
from tools.standins.platform import Platform
from tools.standins.serving import serve_app

from camphorvalve.model.hosts import HostState
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.platform import FeedError, Member, decode_feed, follow
from tests.builders import a_member, a_router, an_upstream


def a_router_member(**fields: Any) -> dict[str, Any]:
    host = a_router(**fields)
    member = {key: value for key, value in host._asdict().items() if key != "host_id"}
    return {"id": host.host_id, **member}


class DecodeFeedTest(unittest.TestCase):
    def test_malformed_feeds_name_the_field(self) -> None:
        cases = {
            "not JSON": (b"{", "truncated"),
            "no version": (b'{"members": []}', "version"),
            "unknown role": (a_member(role="poet"), "poet"),
            "unknown state": (a_member(state="asleep"), "asleep"),
            "no pool": (a_member(pool=None), "pool"),
            "no slots": (a_member(slots=0), "slots"),
            "slots of the wrong type": (a_member(slots="4"), "slots"),
            "unknown fencing": (a_member(fencing="maybe"), "maybe"),
            "router without peer address": (a_member(role="router"), "peer_address"),
        }
        for name, (content, expected) in cases.items():
            with self.subTest(name):
                if isinstance(content, dict):
                    content = msgspec.json.encode({"version": 1, "members": [content]})
                with self.assertRaises(FeedError) as caught:
                    decode_feed(content)
                self.assertIn(expected, str(caught.exception))


class FollowTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.platform = Platform()
        self.platform.set_members([a_member(), a_router_member()])
        url = await stack.enter_async_context(serve_app(self.platform))
        self.client = await stack.enter_async_context(create_client())
        self.feed = follow(self.client, url, "router-9", interval_s=0.01)
        stack.push_async_callback(self.feed.aclose)

    async def next_members(self) -> list[Member]:
        with anyio.fail_after(5):
            return await anext(self.feed)

    async def test_the_complete_list_precedes_changes(self) -> None:
        self.assertEqual(await self.next_members(), [an_upstream(), a_router()])
        self.platform.set_members([{"id": "engine-1", "state": "leaving"}])
        self.assertEqual(await self.next_members(), [an_upstream(state=HostState.LEAVING)])

    async def test_no_change_is_lost_to_faults(self) -> None:
        cases = {"malformed body": BreakAfter(0, times=3), "error status": Refuse(times=3)}
        await self.next_members()
        for name, fault in cases.items():
            with self.subTest(name):
                self.platform.faults.replace([fault])
                self.platform.set_members([a_member(f"engine after {name}")])
                with capture_logs() as logs:
                    (member,) = await self.next_members()
                self.assertEqual(member, an_upstream(f"engine after {name}"))
                levels = [entry["log_level"] for entry in logs]
                self.assertEqual(levels, ["warning", "info"], "logged once, and the recovery")

    async def test_a_restarted_platform_is_read_from_the_start(self) -> None:
        self.platform.set_members([a_member(f"engine-{number}") for number in range(5)])
        await self.next_members()
        self.platform.__init__()
        self.platform.set_members([a_member("engine-new")])
        self.assertEqual(await self.next_members(), [an_upstream("engine-new")])

    async def test_each_host_gets_its_own_peer_addresses(self) -> None:
        self.platform.set_route("router-9", "router-1", "tcp://127.0.0.1:7999")
        members = await self.next_members()
        self.assertEqual(members[1], a_router(peer_address="tcp://127.0.0.1:7999"))


if __name__ == "__main__":
    unittest.main()
