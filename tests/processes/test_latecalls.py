"""Guards against calls that a stopping router takes though its stop ends before they do."""

from __future__ import annotations

import asyncio
import signal
import unittest

from tests.processes.fleetcase import DEPLOYMENT, Answer, FleetCase, on_loop

SENT_S = (0.5, 3.0)
"""Moments after the signal at which calls are sent; the router listens for 3.75 s."""
SERVICE_MS = 4000
"""A call that is sent at 0.5 s ends within the 6 s of the stop, one sent at 3.0 s does not."""

ANSWERS = [(status, "application/json") for status in (503, 504)]
"""Answers of the router itself to a call that it cannot finish."""


class LateCallTest(FleetCase):
    deployment = DEPLOYMENT._replace(
        router_settings={**DEPLOYMENT.router_settings, "stop_timeout_s": 2.0}
    )

    @on_loop
    async def test_late_call_is_not_cut(self) -> None:
        """Guards against a stopping router that takes a call which it cannot finish: its caller
        gets no answer, though another router would have served it."""
        path = f"/v1/services/booking-desk/slots/1?service_ms={SERVICE_MS}"
        self.fleet.send_signal("router-2", signal.SIGTERM)

        async def call(at_s: float) -> Answer:
            await asyncio.sleep(at_s)
            return await self.call("router-2", path, "slot-check", body={})

        early, late = await asyncio.gather(*(call(at_s) for at_s in SENT_S))
        self.assertEqual(early.status, 200)
        # Not run, or a final answer that says that it may have run.
        self.assertIn((late.status, late.headers.get("content-type")), ANSWERS)


if __name__ == "__main__":
    unittest.main()
