"""Starts routers and controllers as the platform does, each on a loopback address of its own."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import httpx

from tools.fleet import ROOT, free_port

if TYPE_CHECKING:
    from pathlib import Path

POLL_S = 0.05
START_TIMEOUT_S = 20.0


class Ports(NamedTuple):
    """The same ports on all hosts, as the platform has them."""

    internal: int
    control: int
    front: int
    ready: int
    directory: int


class JoinedFleet:
    """Processes by name; names begin with ``router`` or ``controller``."""

    def __init__(self, folder: Path, list_url: str) -> None:
        """
        Plan the fleet.

        :param folder: for settings, data and logs
        :param list_url: where the list of workers is served
        """
        self.ports = Ports(*(free_port() for _ in Ports._fields))
        self.client = httpx.AsyncClient(trust_env=False, timeout=5.0)
        self._folder = folder
        self._list = list_url.removeprefix("http://")
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._addresses: dict[str, str] = {}
        self.seeds: list[str] = []
        """Names of the controllers that new processes are told."""

    def ip(self, name: str) -> str:
        """
        Find the address of a process.

        :param name: its name
        :return: an IP number
        """
        if name not in self._addresses:
            # Every process has the same ports, some of them fixed, so that two fleets on the same
            # addresses would take each other's.
            high, low = divmod(os.getpid(), 250)
            last = 10 + len(self._addresses)
            self._addresses[name] = f"127.{1 + high % 250}.{1 + low}.{last}"
        return self._addresses[name]

    def url(self, name: str, port: int) -> str:
        """
        Build the URL of a port of a process.

        :param name: its name
        :param port: one of ``ports``
        :return: the URL without a path
        """
        return f"http://{self.ip(name)}:{port}"

    async def start(self, name: str, *, bootstrap: bool = False) -> None:
        """
        Start a process; it need not be ready on return.

        :param name: its name
        :param bootstrap: whether the fleet starts for the first time
        """
        path = self._folder / f"{name}.toml"
        path.write_text(self._settings(name, bootstrap))
        search = os.pathsep.join(str(ROOT / part) for part in ("src", "platform"))
        environment = {
            **os.environ,
            "PYTHONPATH": search,
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAMPHORVALVE_CONFIG": str(path),
        }
        role = name.split("-")[0]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "camphorvalve_platform", role),
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def stop(self, name: str, number: signal.Signals = signal.SIGKILL) -> int:
        """
        Signal a process and wait for its end.

        :param name: its name
        :param number: the signal
        :return: its exit code
        """
        process = self._processes.pop(name)
        process.send_signal(number)
        return await asyncio.wait_for(process.wait(), 20.0)

    def process(self, name: str) -> asyncio.subprocess.Process:
        """
        Look up a running process, to send it signals.

        :param name: its name
        :return: the process
        """
        return self._processes[name]

    def wipe(self, name: str) -> None:
        """
        Empty the data folder of a stopped controller.

        :param name: its name
        """
        shutil.rmtree(self._folder / f"{name}-data", ignore_errors=True)

    def log(self, name: str) -> str:
        """
        Read what a process has logged.

        :param name: its name
        :return: the lines
        """
        return (self._folder / f"{name}.log").read_text()

    async def close(self) -> None:
        """End every process."""
        for name in list(self._processes):
            with contextlib.suppress(ProcessLookupError):
                await self.stop(name)
        await self.client.aclose()

    async def put(self, name: str, document: bytes) -> int:
        """
        Send a manifest to a controller.

        :param name: the controller
        :param document: the manifest
        :return: status, 0 without an answer
        """
        url = f"{self.url(name, self.ports.control)}/-/config"
        with contextlib.suppress(httpx.HTTPError):
            return (await self.client.put(url, content=document)).status_code
        return 0

    async def read(self, name: str) -> Any:
        """
        Read the manifest back from a controller.

        :param name: the controller
        :return: the document, ``None`` unless it was answered
        """
        url = f"{self.url(name, self.ports.control)}/-/config"
        with contextlib.suppress(httpx.HTTPError):
            response = await self.client.get(url)
            return response.json() if response.status_code == 200 else None
        return None

    async def is_ready(self, name: str) -> bool:
        """
        Ask a router whether it takes requests.

        :param name: the router
        :return: whether it does
        """
        with contextlib.suppress(httpx.HTTPError):
            url = f"{self.url(name, self.ports.ready)}/-/ready"
            return (await self.client.get(url)).status_code == 200
        return False

    async def until(self, check: Any, timeout_s: float = START_TIMEOUT_S) -> None:
        """
        Wait for a condition.

        :param check: coroutine function that tells whether it holds
        :param timeout_s: longest wait
        :raises TimeoutError: it never held
        """
        async with asyncio.timeout(timeout_s):
            while not await check():  # noqa: ASYNC110 -- the condition is in other processes
                await asyncio.sleep(POLL_S)

    def _settings(self, name: str, bootstrap: bool) -> str:
        ports, ip = self.ports, self.ip(name)
        seeds = ", ".join(f'"{self.ip(one)}:{ports.control}"' for one in self.seeds)
        return f"""
node = "{name}"
ip = "{ip}"
zone = "zone-a"
internalPorts = [{ports.internal}, {ports.internal}]
seeds = [{seeds}]
bootstrap = {str(bootstrap).lower()}
dataDir = "{self._folder}/{name}-data"
[listen]
control = "{ip}:{ports.control}"
front = "{ip}:{ports.front}"
ready = "{ip}:{ports.ready}"
directory = "{ip}:{ports.directory}"
[bounds]
contactMs = 1000
graceS = 8
retryBudgetRatio = 0.2
retryBudgetMin = 56
[limits]
maxFds = 1024
[cloud]
address = "{self._list}"
"""


__all__ = ["JoinedFleet", "Ports"]
