"""Base of the process tests: one deployment per test module, faults, calls and logs."""

from __future__ import annotations

import asyncio
import functools
import os
import signal
import time
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, ClassVar, NamedTuple

import httpx
import msgspec
from tools.fleet import CALLER_TOKEN, SMALL, Fleet, Shape, UpstreamShape

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

SEED = int(os.environ.get("CAMPHORVALVE_SEED", "20261204"))
CALLS_COUNT = int(os.environ.get("CAMPHORVALVE_CALLS", "240"))
"""Non-idempotent calls of the at-most-once test; 1,000 and more for the stated bound."""
BROKEN = 0
"""Status of a call that got no whole answer."""

SHAPE = SMALL._replace(
    with_network=True,
    upstreams=(
        UpstreamShape("camphor-pool", "engine", 2, 4),
        UpstreamShape("booking-desk", "service", 2, 4),
    ),
    router_settings={"record_timeout_s": 1.5},
)


class Answer(NamedTuple):
    """What a caller got."""

    status: int
    router_id: str
    headers: dict[str, str] = {}  # noqa: RUF012 -- never changed in place
    body: bytes = b""

    def json(self) -> Any:
        """:return: the decoded body"""
        return msgspec.json.decode(self.body)

    @property
    def error(self) -> dict[str, Any]:
        """:return: the error object, empty for other answers"""
        if self.status < 400:
            return {}
        error = self.json()["error"]
        # An error of an upstream is passed on as it is, and is no error of the router.
        return error if isinstance(error, dict) else {}

    @property
    def run(self) -> str:
        """:return: what the answer says about the run"""
        if self.status == BROKEN:
            return "unknown"
        return self.error.get("run", "yes")


def on_loop(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    """
    Run a test on the loop of its deployment.

    :param test: asynchronous test method
    :return: test method for unittest
    """

    @functools.wraps(test)
    def run(case: FleetCase) -> None:
        case.runner.run(test(case))

    return run


class FleetCase(unittest.TestCase):
    """Tests that share one running deployment."""

    shape: ClassVar[Shape] = SHAPE
    runner: ClassVar[asyncio.Runner]
    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the deployment and put its example configuration in force."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.fleet = cls.runner.run(_started(cls.shape))
        cls.addClassCleanup(lambda: cls.runner.run(cls.fleet.stop()))

    def setUp(self) -> None:
        """Start what an earlier test has left dead."""
        self.runner.run(self._repair())

    async def _repair(self) -> None:
        for role in ("controller", "router"):
            for member_id in set(self.fleet.ids(role)) - set(self.running(role)):
                await self.fleet.restart(member_id)
            # A fault that an earlier test was cancelled in may have left a process just started.
            for member_id in self.fleet.ids(role):
                await self.until(lambda one=member_id: self._is_configured(one), "configured")

    async def _is_configured(self, member_id: str) -> bool:
        return (await self.fleet.operate(member_id, "GET", "/v1/status"))["revision"] > 0

    def shortDescription(self) -> str | None:  # noqa: N802
        """:return: the seed, so that a failure can be repeated"""
        return f"{self.id()} CAMPHORVALVE_SEED={SEED}"

    async def until(
        self, condition: Callable[[], Awaitable[Any]], what: str, deadline_s: float = 10.0
    ) -> Any:
        """
        Poll a condition.

        :param condition: gives a true value once it holds; a failing call counts as false
        :param what: the condition in words
        :param deadline_s: longest wait
        :return: the true value
        """
        end_s = time.monotonic() + deadline_s
        while time.monotonic() < end_s:
            try:
                if value := await condition():
                    return value
            except (httpx.HTTPError, KeyError):
                pass
            await asyncio.sleep(0.05)
        return self.fail(f"not within {deadline_s} s: {what}")

    async def call(
        self,
        router_id: str,
        path: str,
        kind: str,
        *,
        body: Any = None,
        timeout_s: float = 10.0,
        **headers: str,
    ) -> Answer:
        """
        Call a router as a caller.

        :param router_id: the router
        :param path: path on the caller port
        :param kind: kind of work
        :param body: JSON body
        :param timeout_s: after this long the caller leaves
        :param headers: further headers, ``_`` for ``-``
        :return: the answer; status ``BROKEN`` without a whole one
        """
        request = self.fleet.client.build_request(
            "GET" if body is None else "POST",
            f"{self.fleet.members[router_id].url}{path}",
            json=body,
            headers=caller_headers(kind, **headers),
            timeout=timeout_s,
        )
        try:
            got = await self.fleet.client.send(request)
        except httpx.HTTPError:
            return Answer(BROKEN, router_id)
        return Answer(got.status_code, router_id, dict(got.headers), got.content)

    async def leader(self) -> str:
        """
        Find the leader of the controllers.

        :return: its id
        """

        async def find() -> str | None:
            for controller_id in self.running("controller"):
                status = await self.fleet.operate(controller_id, "GET", "/v1/status", timeout=1.0)
                if status["role"] == "leader":
                    return controller_id
            return None

        return await self.until(find, "a controller leads")

    def running(self, role: str) -> list[str]:
        """
        List members whose process runs.

        :param role: their role
        :return: their ids
        """
        members = (self.fleet.members[member_id] for member_id in self.fleet.ids(role))
        return [one.member_id for one in members if one.process and one.process.returncode is None]

    async def kill(self, member_id: str) -> None:
        """
        Kill a process and wait for its end.

        :param member_id: the member
        """
        self.fleet.kill(member_id)
        process = self.fleet.members[member_id].process
        assert process is not None
        await process.wait()

    @asynccontextmanager
    async def frozen(self, member_id: str) -> AsyncIterator[None]:
        """
        Freeze a process for a while.

        :param member_id: the member
        """
        self.fleet.kill(member_id, signal.SIGSTOP)
        try:
            yield
        finally:
            self.fleet.kill(member_id, signal.SIGCONT)

    @asynccontextmanager
    async def cut(self, one: str, other: str, mode: str = "blackhole") -> AsyncIterator[None]:
        """
        Cut the links between members in both directions for a while.

        :param one: name or pattern
        :param other: name or pattern
        :param mode: ``refuse`` or ``blackhole``
        """
        for source, target in ((one, other), (other, one)):
            await self.fleet.network("cut", source=source, target=target, mode=mode)
        try:
            yield
        finally:
            for source, target in ((one, other), (other, one)):
                await self.fleet.network("heal", source=source, target=target)

    async def set_faults(self, upstream_id: str, *faults: dict[str, Any]) -> None:
        """
        Replace the faults of an upstream.

        :param upstream_id: the upstream
        :param faults: faults as in ``POST /v1/faults``
        """
        url = f"{self.fleet.members[upstream_id].url}/v1/faults"
        answer = await self.fleet.client.post(url, json={"faults": faults})
        answer.raise_for_status()

    async def runs(self, *upstream_ids: str) -> list[dict[str, Any]]:
        """
        Collect the logs of upstreams.

        :param upstream_ids: the upstreams
        :return: their runs, each with its ``upstream_id``
        """
        found = []
        for upstream_id in upstream_ids:
            answer = await self.fleet.client.get(f"{self.fleet.members[upstream_id].url}/v1/log")
            found += [{**run, "upstream_id": upstream_id} for run in answer.json()["runs"]]
        return found


def caller_headers(kind: str, team: str = "fremantle", **more: str) -> dict[str, str]:
    """
    Build the headers of a call.

    :param kind: kind of work
    :param team: the team
    :param more: further headers, ``_`` for ``-``
    :return: header fields
    """
    named = {name.replace("_", "-"): value for name, value in more.items()}
    return {
        "authorization": f"Bearer {CALLER_TOKEN}",
        "x-team": team,
        "x-kind": kind,
        **named,
    }


async def _started(shape: Shape) -> Fleet:
    fleet = Fleet(shape)
    try:
        await fleet.start()
        await fleet.wait_configured(await fleet.apply_configuration())
    except BaseException:
        await fleet.stop()
        raise
    return fleet


__all__ = [
    "BROKEN",
    "CALLS_COUNT",
    "SEED",
    "SHAPE",
    "Answer",
    "FleetCase",
    "caller_headers",
    "on_loop",
]
