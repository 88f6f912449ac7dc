"""Guards against a simulated engine that fails the test whose end stops it."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any

from tools.standins.engine import Engine


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_server_cancels_the_lifespan_after_the_shutdown(self) -> None:
        """Guards against tasks that still end when the shutdown is reported as complete: the
        server cancels the lifespan then, and awaits it."""
        messages = iter(("lifespan.startup", "lifespan.shutdown"))

        async def receive() -> dict[str, Any]:
            await asyncio.sleep(0.01)
            return {"type": next(messages)}

        async def send(message: dict[str, Any]) -> None:
            if message["type"] == "lifespan.shutdown.complete":
                asyncio.get_running_loop().call_soon(lifespan.cancel)

        lifespan = asyncio.ensure_future(Engine()({"type": "lifespan"}, receive, send))
        await lifespan


if __name__ == "__main__":
    unittest.main()
