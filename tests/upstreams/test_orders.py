"""Guards against orders of a former leader that reach an engine."""

from __future__ import annotations

import time
import unittest
from contextlib import AsyncExitStack
from unittest import mock

from tools.standins.engine import Engine
from tools.standins.enginestate import OrderSettings
from tools.standins.network import open_network
from tools.standins.serving import serve_app

from camphorvalve.model.upstreams import ChecksFencing, IgnoresFencing, ModelEngine
from camphorvalve.upstreams.client import create_client
from camphorvalve.upstreams.orderreplies import Accepted, InDoubt, Refused, Stale, Unsent
from camphorvalve.upstreams.orders import OrderingError, read_state, send_order
from tests.builders import an_engine_order, an_upstream

NO_LEASE_END = float("inf")


class SendOrderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.client = await stack.enter_async_context(create_client(unacknowledged_timeout_s=1.0))
        self.network = await stack.enter_async_context(open_network())
        self.checking_engine = Engine(orders=OrderSettings(token="baton"))
        self.ignoring_engine = Engine(orders=OrderSettings(checks_fencing=False))
        checking_url = await stack.enter_async_context(serve_app(self.checking_engine))
        ignoring_url = await stack.enter_async_context(serve_app(self.ignoring_engine))
        self.checking_upstream = an_upstream(url=checking_url)
        interface = ModelEngine(IgnoresFencing())
        self.ignoring_upstream = an_upstream(url=ignoring_url, interface=interface)

    async def test_replies_are_distinguished(self) -> None:
        first = an_engine_order(10, "first")
        cases = [
            ("accepted", self.checking_upstream, first, "baton", Accepted),
            ("repeated", self.checking_upstream, first, "baton", Accepted),
            ("stale number", self.checking_upstream, an_engine_order(9), "baton", Stale),
            ("wrong token", self.checking_upstream, an_engine_order(11), None, Refused),
            ("accepted without fencing", self.ignoring_upstream, first, None, Accepted),
            ("stale, ignored", self.ignoring_upstream, an_engine_order(9), None, Accepted),
            ("refused", an_upstream(), an_engine_order(1), None, Unsent),
        ]
        for name, upstream, order, token, expected in cases:
            with self.subTest(name):
                reply = await send_order(self.client, upstream, order, token, NO_LEASE_END)
                self.assertIs(type(reply), expected)
        self.assertEqual(self.checking_engine.state.runs_count, {"first": 1})

    async def test_nothing_is_written_after_the_lease(self) -> None:
        cases = {
            "before the headers": [10.0],
            "suspended after the headers": [0.0, 10.0],
        }
        for name, times_s in cases.items():
            clock = mock.Mock(wraps=time, monotonic=mock.Mock(side_effect=times_s))
            with self.subTest(name), mock.patch("camphorvalve.upstreams.orders.time", clock):
                order = an_engine_order(1)
                reply = await send_order(self.client, self.ignoring_upstream, order, None, 5.0)
                self.assertIsInstance(reply, Unsent)
        # Once a later order is done, the engine has also handled the broken connection.
        await send_order(
            self.client, self.ignoring_upstream, an_engine_order(2, "later"), None, NO_LEASE_END
        )
        self.assertEqual(self.ignoring_engine.state.runs_count, {"later": 1})

    async def test_an_order_without_a_response_is_in_doubt(self) -> None:
        port = int(self.ignoring_upstream.url.rsplit(":", 1)[1])
        proxy_port = await self.network.open_route("controller", "engine", "127.0.0.1", port)
        await self.network.cut("controller", "engine", "blackhole")
        proxied = self.ignoring_upstream._replace(url=f"http://127.0.0.1:{proxy_port}")
        reply = await send_order(self.client, proxied, an_engine_order(1), None, NO_LEASE_END)
        self.assertIsInstance(reply, InDoubt)

    async def test_the_state_is_read(self) -> None:
        await send_order(
            self.client, self.checking_upstream, an_engine_order(1), "baton", NO_LEASE_END
        )
        state = await read_state(self.client, self.checking_upstream)
        self.assertEqual(state["orders"], [{"order_id": "order", "state": "done"}])
        self.assertEqual(state["models"], [{"model": "chorale", "version": "2"}])
        with self.assertRaises(OrderingError) as caught:
            await read_state(self.client, an_upstream(interface=ModelEngine(ChecksFencing())))
        self.assertIn("engine-1", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
