"""Base class of the process tests: runs a deployment, injects faults and makes calls."""

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
from tools.fleet import CALLER_TOKEN, SMALL, DeploymentSpec, Fleet, UpstreamGroup

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

SEED = int(os.environ.get("CAMPHORVALVE_SEED", "20261204"))
CALLS_COUNT = int(os.environ.get("CAMPHORVALVE_CALLS", "240"))
"""Non-idempotent calls of the at-most-once test; the stated bound needs 1,000 or more."""
INCOMPLETE = 0
"""``Answer.status`` of a call without a complete answer."""

DEPLOYMENT = SMALL._replace(
    with_network=True,
    upstreams=(
        UpstreamGroup("camphor-pool", "engine", 2, 4),
        UpstreamGroup("booking-desk", "service", 2, 4),
    ),
    router_settings={"record_timeout_s": 1.5},
)


class Answer(NamedTuple):
    """Answer to a call, as the caller received it."""

    status: int
    router_id: str
    headers: dict[str, str] = {}  # noqa: RUF012 -- never changed in place
    body: bytes = b""

    def json(self) -> Any:
        """:return: the decoded body"""
        return msgspec.json.decode(self.body)

    @property
    def error(self) -> dict[str, Any]:
        """:return: the error object of the router, empty for other answers"""
        if self.status < 400:
            return {}
        error = self.json()["error"]
        # An error of an upstream is passed on unchanged and is not an error of the router.
        return error if isinstance(error, dict) else {}

    @property
    def run(self) -> str:
        """:return: whether the request ran according to the answer: ``yes``, ``no``, ``unknown``"""
        if self.status == INCOMPLETE:
            return "unknown"
        return self.error.get("run", "yes")


def on_loop(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    """
    Run a test on the event loop of its deployment.

    :param test: asynchronous test method
    :return: test method for unittest
    """

    @functools.wraps(test)
    def run(case: FleetCase) -> None:
        case.runner.run(test(case))

    return run


class FleetCase(unittest.TestCase):
    """Base class of tests that share one running deployment."""

    deployment: ClassVar[DeploymentSpec] = DEPLOYMENT
    runner: ClassVar[asyncio.Runner]
    fleet: ClassVar[Fleet]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the deployment and apply its example configuration."""
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.fleet = cls.runner.run(_start_fleet(cls.deployment))
        cls.addClassCleanup(lambda: cls.runner.run(cls.fleet.stop()))

    def setUp(self) -> None:
        """Restart the processes that ended in an earlier test."""
        self.runner.run(self._restart_ended())

    async def _restart_ended(self) -> None:
        for role in ("controller", "router"):
            for member_id in set(self.fleet.member_ids(role)) - set(self.running(role)):
                await self.fleet.restart(member_id)
            # An earlier test, cancelled during a fault, may have left a process that just started.
            for member_id in self.fleet.member_ids(role):
                await self.until(
                    lambda member_id=member_id: self._is_configured(member_id), "configured"
                )

    async def _is_configured(self, member_id: str) -> bool:
        return (await self.fleet.call_operator(member_id, "GET", "/v1/status"))["revision"] > 0

    def shortDescription(self) -> str | None:  # noqa: N802
        """:return: the id of the test and the seed that repeats a failure"""
        return f"{self.id()} CAMPHORVALVE_SEED={SEED}"

    async def until(
        self, condition: Callable[[], Awaitable[Any]], description: str, timeout_s: float = 10.0
    ) -> Any:
        """
        Poll a condition.

        :param condition: coroutine function with a true result once the condition holds; a failed
            HTTP call or a missing key counts as false
        :param description: text for the condition in the failure message
        :param timeout_s: time after which the test fails
        :return: the true result
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            try:
                if value := await condition():
                    return value
            except (httpx.HTTPError, KeyError):
                pass
            await asyncio.sleep(0.05)
        return self.fail(f"condition does not hold after {timeout_s} s: {description}")

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
        Send a request to the caller port of a router.

        :param router_id: the router
        :param path: path on the caller port
        :param kind: kind of work
        :param body: JSON body
        :param timeout_s: time after which the caller disconnects
        :param headers: additional headers, with ``_`` for ``-`` in their names
        :return: the answer; its status is ``INCOMPLETE`` if no complete answer arrived
        """
        request = self.fleet.client.build_request(
            "GET" if body is None else "POST",
            f"{self.fleet.members[router_id].url}{path}",
            json=body,
            headers=caller_headers(kind, **headers),
            timeout=timeout_s,
        )
        try:
            response = await self.fleet.client.send(request)
        except httpx.HTTPError:
            return Answer(INCOMPLETE, router_id)
        return Answer(response.status_code, router_id, dict(response.headers), response.content)

    async def leader(self) -> str:
        """
        Find the leader of the controllers.

        :return: its id
        """

        async def find() -> str | None:
            for controller_id in self.running("controller"):
                status = await self.fleet.call_operator(
                    controller_id, "GET", "/v1/status", timeout=1.0
                )
                if status["role"] == "leader":
                    return controller_id
            return None

        return await self.until(find, "a controller is the leader")

    def running(self, role: str) -> list[str]:
        """
        List the members of a role whose process is running.

        :param role: the role
        :return: their ids
        """
        members = (self.fleet.members[member_id] for member_id in self.fleet.member_ids(role))
        return [
            member.member_id
            for member in members
            if member.process and member.process.returncode is None
        ]

    async def kill(self, member_id: str) -> None:
        """
        Kill a process and wait for its end.

        :param member_id: the member
        """
        self.fleet.send_signal(member_id)
        process = self.fleet.members[member_id].process
        assert process is not None
        await process.wait()

    @asynccontextmanager
    async def frozen(self, member_id: str) -> AsyncIterator[None]:
        """
        Suspend a process with SIGSTOP while the context lasts.

        :param member_id: the member
        """
        self.fleet.send_signal(member_id, signal.SIGSTOP)
        try:
            yield
        finally:
            self.fleet.send_signal(member_id, signal.SIGCONT)

    @asynccontextmanager
    async def cut(self, side: str, other_side: str, mode: str = "blackhole") -> AsyncIterator[None]:
        """
        Cut the links between members in both directions while the context lasts.

        :param side: name or pattern of the members on one side
        :param other_side: name or pattern of the members on the other side
        :param mode: ``refuse`` or ``blackhole``
        """
        for source, target in ((side, other_side), (other_side, side)):
            await self.fleet.network("cut", source=source, target=target, mode=mode)
        try:
            yield
        finally:
            for source, target in ((side, other_side), (other_side, side)):
                await self.fleet.network("heal", source=source, target=target)

    async def set_faults(self, upstream_id: str, *faults: dict[str, Any]) -> None:
        """
        Replace the faults of an upstream.

        :param upstream_id: the upstream
        :param faults: the faults, in the format of ``POST /v1/faults``
        """
        url = f"{self.fleet.members[upstream_id].url}/v1/faults"
        answer = await self.fleet.client.post(url, json={"faults": faults})
        answer.raise_for_status()

    async def runs(self, *upstream_ids: str) -> list[dict[str, Any]]:
        """
        Collect the runs that upstreams have logged.

        :param upstream_ids: the upstreams
        :return: the runs, each with its ``upstream_id``
        """
        logged_runs = []
        for upstream_id in upstream_ids:
            answer = await self.fleet.client.get(f"{self.fleet.members[upstream_id].url}/v1/log")
            logged_runs += [{**run, "upstream_id": upstream_id} for run in answer.json()["runs"]]
        return logged_runs


def caller_headers(kind: str, team: str = "fremantle", **more: str) -> dict[str, str]:
    """
    Build the headers of a call.

    :param kind: kind of work
    :param team: the team
    :param more: additional headers, with ``_`` for ``-`` in their names
    :return: header fields
    """
    extra_headers = {name.replace("_", "-"): value for name, value in more.items()}
    return {
        "authorization": f"Bearer {CALLER_TOKEN}",
        "x-team": team,
        "x-kind": kind,
        **extra_headers,
    }


async def _start_fleet(deployment: DeploymentSpec) -> Fleet:
    fleet = Fleet(deployment)
    try:
        await fleet.start()
        await fleet.wait_configured(await fleet.apply_configuration())
    except BaseException:
        await fleet.stop()
        raise
    return fleet


__all__ = [
    "CALLS_COUNT",
    "INCOMPLETE",
    "SEED",
    "DEPLOYMENT",
    "Answer",
    "FleetCase",
    "caller_headers",
    "on_loop",
]
