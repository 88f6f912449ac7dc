"""
Starts a complete deployment on loopback, each member in a process of its own.

Stand-ins from ``tools.standins`` replace the model engines, the services, the membership feed of
the platform and the network between data centres.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx

from camphorvalve.wire import keys

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence
    from types import TracebackType

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
OPERATOR_TOKEN = "operator-token"
CALLER_TOKEN = "caller-token"


class UpstreamGroup(NamedTuple):
    """A group of identical upstreams in one pool."""

    pool: str
    role: str
    count: int
    slots_count: int
    arguments: tuple[str, ...] = ()
    """Further command-line arguments of the stand-in."""


class DeploymentSpec(NamedTuple):
    """The members, the network and the router settings of a deployment."""

    name: str
    data_centres: tuple[str, ...]
    routers_count: int
    controllers_count: int
    upstreams: tuple[UpstreamGroup, ...]
    delay_ms: float = 0.0
    """One-way delay between data centres; above zero, links use the network stand-in."""
    policy: str = "fleet_fair"
    with_network: bool = False
    with_keys: bool = True
    router_settings: dict[str, Any] = {}  # noqa: RUF012 -- never mutated


PERTH = DeploymentSpec(
    name="perth",
    data_centres=("perth-a", "perth-b", "perth-c", "perth-d"),
    routers_count=8,
    controllers_count=3,
    upstreams=(
        UpstreamGroup("camphor-pool", "engine", 9, 4),
        UpstreamGroup("booking-desk", "service", 4, 4),
    ),
)
KHOMAS = DeploymentSpec(
    name="khomas",
    data_centres=("khomas-a", "khomas-b", "khomas-c"),
    routers_count=8,
    controllers_count=3,
    upstreams=(
        UpstreamGroup("stylist-models", "engine", 9, 4),
        UpstreamGroup("orders-app", "service", 3, 4),
    ),
)
SMALL = PERTH._replace(
    routers_count=3,
    upstreams=(
        UpstreamGroup("camphor-pool", "engine", 2, 4),
        UpstreamGroup("booking-desk", "service", 1, 4),
    ),
)


def free_port() -> int:
    """
    Find a free port that the kernel will not assign to another process for a minute.

    The listening side closes a connection first, which leaves the port in TIME_WAIT: the kernel
    does not assign it for a minute, but a process that sets SO_REUSEADDR can bind it.

    :return: a free port
    """
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        with socket.create_connection(listener.getsockname()):
            accepted, _ = listener.accept()
            accepted.close()
        return listener.getsockname()[1]


@dataclass(slots=True)
class Member:
    """A process of the deployment and its entry in the membership feed."""

    member_id: str
    role: str
    data_centre: str
    command: tuple[str, ...]
    url: str = ""
    operator_url: str = ""
    peer_port: int = 0
    entry: dict[str, Any] = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """:return: process id"""
        assert self.process is not None
        return self.process.pid


class Fleet:
    """Starts and controls the processes of one deployment, and stops all of them at the end."""

    def __init__(self, deployment: DeploymentSpec, folder: Path | None = None) -> None:
        """
        Prepare a deployment without starting it.

        :param deployment: composition of the deployment
        :param folder: folder for settings, logs and data; a temporary one by default
        """
        self.deployment = deployment
        self._temporary_folder = (
            None if folder else tempfile.TemporaryDirectory(prefix="camphorvalve-")
        )
        self.folder = folder or Path(self._temporary_folder.name)
        self.members: dict[str, Member] = {}
        self.platform_url = ""
        self._seed = os.urandom(8).hex()
        self.network_url = ""
        self._keys = keys.generate_key_pair()._asdict() if deployment.with_keys else None
        self.client = httpx.AsyncClient(timeout=60.0, limits=httpx.Limits(max_connections=None))

    async def __aenter__(self) -> Fleet:
        """:return: the fleet, with every process ready"""
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop every process."""
        await self.stop()

    async def start(self) -> None:
        """Start the stand-ins, then the controllers, then the routers."""
        platform = await self._start_standin("platform", "platform", ("tools.standins.platform",))
        self.platform_url = platform.url
        if self._has_network:
            network = await self._start_standin("network", "network", ("tools.standins.network",))
            self.network_url = network.url
        await self._start_upstreams()
        self._plan_hosts()
        await self._register_members()
        hosts = [host for host in self.members.values() if host.role in ("controller", "router")]
        for host in hosts:
            await self._write_settings(host)
        await asyncio.gather(
            *(self._bootstrap(host) for host in hosts if host.role == "controller")
        )
        for host in hosts:
            await self.launch(host.member_id)
        for host in hosts:
            await self._wait_ready(host)

    async def stop(self) -> None:
        """Stop every process: routers with SIGKILL, others with SIGTERM, then SIGKILL after 5 s."""
        running = [member for member in self.members.values() if member.process is not None]
        for member in running:
            self._signal(member, signal.SIGCONT)
            self._signal(member, signal.SIGKILL if member.role == "router" else signal.SIGTERM)
        for member in running:
            assert member.process is not None
            try:
                await asyncio.wait_for(member.process.wait(), 5)
            except TimeoutError:
                self._signal(member, signal.SIGKILL)
                await member.process.wait()
        await self.client.aclose()
        if self._temporary_folder is not None:
            self._temporary_folder.cleanup()

    def member_ids(self, role: str) -> list[str]:
        """
        List members of one role.

        :param role: ``router``, ``controller``, ``engine`` or ``service``
        :return: their ids
        """
        return [member.member_id for member in self.members.values() if member.role == role]

    def send_signal(self, member_id: str, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """
        Send a signal to the process of a member, if it runs.

        :param member_id: id of the member
        :param signal_number: the signal
        """
        self._signal(self.members[member_id], signal_number)

    async def launch(self, member_id: str) -> None:
        """
        Start the process of a member, also again after it has exited.

        :param member_id: id of the member
        """
        member = self.members[member_id]
        with (self.folder / f"{member_id}.log").open("ab") as log:
            member.process = await asyncio.create_subprocess_exec(
                *member.command, stdout=log, stderr=log, cwd=ROOT, env=_process_environment()
            )

    async def restart(self, member_id: str) -> None:
        """
        Wait until the process of a member has exited, start it again and wait until it is ready.

        :param member_id: id of the member
        """
        member = self.members[member_id]
        if member.process is not None:
            await member.process.wait()
        await self.launch(member_id)
        await self._wait_ready(member)

    async def set_members(self, *entries: dict[str, Any]) -> None:
        """
        Update entries of the membership feed.

        :param entries: the ``id`` and the changed fields of each entry
        """
        body = {"members": list(entries)}
        (await self.client.post(f"{self.platform_url}/v1/members", json=body)).raise_for_status()

    async def network(self, path: str, **body: Any) -> dict[str, Any]:
        """
        Send a command to the network stand-in.

        :param path: ``cut``, ``heal``, ``delay`` or ``routes``
        :param body: ``source`` and ``target`` patterns, ``mode`` or ``one_way_ms``
        :return: the decoded response
        """
        answer = await self.client.post(f"{self.network_url}/v1/{path}", json=body)
        return answer.raise_for_status().json()

    async def call_operator(self, member_id: str, method: str, path: str, **options: Any) -> Any:
        """
        Send a request to the operator port of a router or controller.

        :param member_id: id of the member
        :param method: HTTP method
        :param path: path with query
        :param options: further arguments of ``httpx.AsyncClient.request``
        :return: the decoded JSON
        """
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"{self.members[member_id].operator_url}{path}"
        answer = await self.client.request(method, url, headers=headers, **options)
        return answer.json()

    async def change(self, change: dict[str, Any], operation_id: str | None = None) -> Any:
        """
        Change the configuration, trying all controllers until the leader accepts the change.

        :param change: the change with its ``type``
        :param operation_id: random by default
        :return: the response, with the new revision
        :raises TimeoutError: no controller accepted the change in time
        """
        operation_id = operation_id or os.urandom(8).hex()
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for controller_id in self.member_ids("controller"):
                with contextlib.suppress(httpx.HTTPError, KeyError):
                    current = await self.call_operator(controller_id, "GET", "/v1/configuration")
                    body = {
                        "operation_id": operation_id,
                        "expected_revision": current["revision"],
                        "change": change,
                    }
                    answer = await self.call_operator(
                        controller_id, "POST", "/v1/changes", json=body
                    )
                    if "revision" in answer:
                        return answer
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no controller accepted the change {change} in {START_TIMEOUT_S} s")

    async def wait_configured(self, revision: int) -> None:
        """
        Wait until a configuration revision is in force on every router.

        :param revision: the revision
        :raises TimeoutError: a router did not reach the revision in time, or exited
        """
        for router_id in self.member_ids("router"):
            await self._wait_for_status(router_id, lambda status: status["revision"] >= revision)

    async def stream(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> AsyncIterator[str]:
        """
        Request a completion as an event stream and yield its lines.

        :param url: base URL of a router
        :param body: body of the request
        :param headers: further headers
        :return: lines of the event stream
        """
        headers = {"authorization": f"Bearer {CALLER_TOKEN}", **headers}
        request = self.client.stream("POST", f"{url}/v1/completions", json=body, headers=headers)
        async with request as answer:
            async for line in answer.aiter_lines():
                yield line

    @property
    def _has_network(self) -> bool:
        return self.deployment.with_network or self.deployment.delay_ms > 0

    async def _start_standin(
        self, member_id: str, role: str, arguments: Sequence[str], data_centre: str = ""
    ) -> Member:
        command = (sys.executable, "-m", *arguments)
        member = Member(member_id, role, data_centre, command)
        self.members[member_id] = member
        with (self.folder / f"{member_id}.log").open("ab") as log:
            member.process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                env=_process_environment(),
            )
        assert member.process.stdout is not None
        line = await asyncio.wait_for(member.process.stdout.readline(), START_TIMEOUT_S)
        member.url = json.loads(line)["url"]
        return member

    async def _start_upstreams(self) -> None:
        starting = []
        for group in self.deployment.upstreams:
            for number in range(group.count):
                member_id = f"{group.pool}-{number + 1}"
                data_centre = self.deployment.data_centres[
                    number % len(self.deployment.data_centres)
                ]
                arguments = (
                    f"tools.standins.{group.role}",
                    "--id",
                    member_id,
                    "--slots",
                    str(group.slots_count),
                    *group.arguments,
                )
                starting.append(self._start_upstream(group, member_id, arguments, data_centre))
        await asyncio.gather(*starting)

    async def _start_upstream(
        self, group: UpstreamGroup, member_id: str, arguments: Sequence[str], data_centre: str
    ) -> None:
        member = await self._start_standin(member_id, group.role, arguments, data_centre)
        member.entry = {
            "id": member_id,
            "role": group.role,
            "pool": group.pool,
            "data_centre": data_centre,
            "url": member.url,
            "slots": group.slots_count,
            "fencing": "ignores" if "--ignore-fencing" in group.arguments else "checks",
            "state": "live",
        }

    def _plan_hosts(self) -> None:
        for role, count in (
            ("controller", self.deployment.controllers_count),
            ("router", self.deployment.routers_count),
        ):
            for number in range(count):
                member_id = f"{role}-{number + 1}"
                data_centre = self.deployment.data_centres[
                    number % len(self.deployment.data_centres)
                ]
                settings = str(self.folder / f"{member_id}.json")
                command = (sys.executable, "-m", "camphorvalve", role, settings)
                member = Member(member_id, role, data_centre, command)
                member.peer_port = free_port()
                member.operator_url = f"http://127.0.0.1:{free_port()}"
                caller_url = f"http://127.0.0.1:{free_port()}"
                member.url = caller_url if role == "router" else member.operator_url
                member.entry = {
                    "id": member_id,
                    "role": role,
                    "data_centre": data_centre,
                    "url": member.url,
                    "peer_address": f"tcp://127.0.0.1:{member.peer_port}",
                    "state": "live",
                }
                self.members[member_id] = member

    async def _register_members(self) -> None:
        entries = [member.entry for member in self.members.values() if member.entry]
        routes = []
        if self._has_network:
            hosts = [member for member in self.members.values() if member.peer_port]
            for source in hosts:
                for target in hosts:
                    if source is not target:
                        routes.append(await self._add_route(source, target))
        body = {"members": entries, "routes": routes, "at_once": True}
        (await self.client.post(f"{self.platform_url}/v1/members", json=body)).raise_for_status()

    async def _add_route(self, source: Member, target: Member) -> dict[str, str]:
        pair = {"source": source.member_id, "target": target.member_id}
        port = (await self.network("routes", **pair, port=target.peer_port))["port"]
        if self.deployment.delay_ms > 0 and source.data_centre != target.data_centre:
            await self.network("delay", **pair, one_way_ms=self.deployment.delay_ms)
        address = f"tcp://127.0.0.1:{port}"
        self.members[source.member_id].entry.setdefault("_routes", {})[target.member_id] = address
        return {
            "asker_id": source.member_id,
            "member_id": target.member_id,
            "peer_address": address,
        }

    async def _write_settings(self, member: Member) -> None:
        routes = member.entry.get("_routes", {})
        settings: dict[str, Any] = {
            "host_id": member.member_id,
            "data_centre": member.data_centre,
            "operator_bind": member.operator_url.removeprefix("http://"),
            "peer_bind": f"tcp://127.0.0.1:{member.peer_port}",
            "controllers": [
                {
                    "host_id": controller_id,
                    "peer_address": routes.get(
                        controller_id, self.members[controller_id].entry["peer_address"]
                    ),
                }
                for controller_id in self.member_ids("controller")
            ],
            "platform_url": self.platform_url,
            "keys": self._keys,
            "operator_token": OPERATOR_TOKEN,
        }
        if member.role == "router":
            settings |= {
                "caller_bind": member.url.removeprefix("http://"),
                "caller_url": member.url,
                "callers": [{"token": CALLER_TOKEN, "teams": self.team_names()}],
                "policy": self.deployment.policy,
                **self.deployment.router_settings,
            }
        else:
            settings |= {
                "operator_url": member.operator_url,
                "data_folder": str(self.folder / f"{member.member_id}-data"),
            }
        (self.folder / f"{member.member_id}.json").write_text(json.dumps(settings, indent=2))

    def team_names(self) -> list[str]:
        """:return: names of the teams in the deployment's example configuration"""
        return [team["name"] for team in self.configuration()["teams"]]

    def configuration(self) -> dict[str, Any]:
        """:return: the deployment's example configuration"""
        import json5

        return json5.loads(
            (ROOT / "examples" / self.deployment.name / "configuration.json").read_text()
        )

    async def apply_configuration(self) -> int:
        """
        Apply the example configuration, one change for each template and team.

        :return: the last revision
        """
        configuration = self.configuration()
        revision = 0
        for kind in ("template", "team"):
            for value in configuration[f"{kind}s"]:
                answer = await self.change({"type": f"put_{kind}", kind: value})
                revision = answer["revision"]
        return revision

    async def _bootstrap(self, member: Member) -> None:
        settings = str(self.folder / f"{member.member_id}.json")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "camphorvalve", "bootstrap", settings, self._seed, cwd=ROOT,
            env=_process_environment(), stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        if await process.wait() != 0:
            raise RuntimeError(f"bootstrap of {member.member_id} failed")

    async def _wait_ready(self, member: Member) -> None:
        await self._wait_for_status(member.member_id, lambda status: True)

    async def _wait_for_status(self, member_id: str, condition: Any) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        member = self.members[member_id]
        while time.monotonic() < deadline_s:
            if member.process is not None and member.process.returncode is not None:
                break
            with contextlib.suppress(httpx.HTTPError):
                if condition(await self.call_operator(member_id, "GET", "/v1/status")):
                    return
            await asyncio.sleep(0.05)
        log = (self.folder / f"{member_id}.log").read_text()[-2000:]
        raise TimeoutError(
            f"{member_id} exited or did not reach the expected state; end of its log:\n{log}"
        )

    def _signal(self, member: Member, signal_number: signal.Signals) -> None:
        if member.process is not None and member.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                member.process.send_signal(signal_number)


def _process_environment() -> dict[str, str]:
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
    return {**os.environ, "PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}


__all__ = [
    "CALLER_TOKEN",
    "KHOMAS",
    "OPERATOR_TOKEN",
    "PERTH",
    "SMALL",
    "Fleet",
    "Member",
    "DeploymentSpec",
    "UpstreamGroup",
    "free_port",
]
