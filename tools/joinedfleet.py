"""Starts ``camphorvalve_platform`` routers and controllers, each on its own loopback address."""

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

POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0


class Ports(NamedTuple):
    """Port numbers, the same on every host, as on the platform."""

    internal: int
    control: int
    front: int
    ready: int
    directory: int


class RetryBudgetSettings(NamedTuple):
    """Limit on the retries of all routers together."""

    ratio: float = 0.2
    """Retries per first attempt."""
    floor_count: int = 56
    """Retries that are always allowed."""


class JoinedFleet:
    """Starts and controls processes by name; the role is the part of the name before ``-``."""

    def __init__(self, folder: Path, list_url: str, code_folder: Path = ROOT) -> None:
        """
        Prepare a fleet without starting it.

        :param folder: folder for settings, data and logs
        :param list_url: URL that serves the list of workers
        :param code_folder: checkout whose code the processes run
        """
        self.ports = Ports(*(free_port() for _ in Ports._fields))
        self.client = httpx.AsyncClient(trust_env=False, timeout=5.0)
        self._folder = folder
        self._code_folder = code_folder
        self._list_url = list_url
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._ips: dict[str, str] = {}
        self.seeds: list[str] = []
        """Controllers named as seeds in the settings of processes started from now on."""
        self.list_urls: dict[str, str] = {}
        """URLs that serve the list of workers to processes started from now on, by name, where
        they differ from that of the fleet."""
        self.retry_budget = RetryBudgetSettings()
        """Limit on retries in the settings of processes started from now on."""
        self.grace_s = 8
        """Time of a graceful stop in the settings of processes started from now on."""
        self.memory_mb = 300
        """Memory of a machine in the settings of processes started from now on."""
        self.descriptors_count = 1024
        """Descriptors that a process may open, in the settings of those started from now on."""

    def ip(self, name: str) -> str:
        """
        Return the loopback address of a process, which the first call assigns.

        :param name: name of the process
        :return: the IP address
        """
        if name not in self._ips:
            # Every process uses the same ports, some of them fixed, so that concurrent fleets need
            # different addresses: the process id selects the subnet.
            high, low = divmod(os.getpid(), 250)
            last_octet = 10 + len(self._ips)
            self._ips[name] = f"127.{1 + high % 250}.{1 + low}.{last_octet}"
        return self._ips[name]

    def url(self, name: str, port: int) -> str:
        """
        Build the URL of a port of a process.

        :param name: name of the process
        :param port: one of ``ports``
        :return: the URL without a path
        """
        return f"http://{self.ip(name)}:{port}"

    async def start(self, name: str, *, bootstrap: bool = False) -> None:
        """
        Start a process without waiting until it is ready.

        :param name: name of the process
        :param bootstrap: the ``bootstrap`` setting; true when the fleet starts for the first time
        """
        path = self._folder / f"{name}.toml"
        path.write_text(self._settings(name, bootstrap))
        python_path = os.pathsep.join(str(self._code_folder / part) for part in ("src", "platform"))
        environment = {
            **os.environ,
            "PYTHONPATH": python_path,
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

    def change_settings(self, name: str) -> None:
        """
        Write the settings file of a running process again, with the seeds and times of now.

        :param name: name of the process
        """
        (self._folder / f"{name}.toml").write_text(self._settings(name, False))

    async def stop(self, name: str, signal_number: signal.Signals = signal.SIGKILL) -> int:
        """
        Send a signal to a process and wait until it exits.

        :param name: name of the process
        :param signal_number: the signal
        :return: its exit code
        """
        process = self._processes.pop(name)
        process.send_signal(signal_number)
        return await asyncio.wait_for(process.wait(), 20.0)

    def process(self, name: str) -> asyncio.subprocess.Process:
        """
        Return a running process, to send signals to it.

        :param name: name of the process
        :return: the process
        """
        return self._processes[name]

    def delete_data(self, name: str) -> None:
        """
        Delete the data folder of a stopped controller.

        :param name: name of the controller
        """
        shutil.rmtree(self._folder / f"{name}-data", ignore_errors=True)

    def log(self, name: str) -> str:
        """
        Read the log of a process.

        :param name: name of the process
        :return: content of its log file
        """
        return (self._folder / f"{name}.log").read_text()

    async def close(self) -> None:
        """Stop every process and close the client."""
        for name in list(self._processes):
            with contextlib.suppress(ProcessLookupError):
                await self.stop(name)
        await self.client.aclose()

    async def put_manifest(self, name: str, document: bytes) -> int:
        """
        Send a manifest to a controller.

        :param name: name of the controller
        :param document: the manifest
        :return: HTTP status, or 0 if the controller did not respond
        """
        url = f"{self.url(name, self.ports.control)}/-/config"
        with contextlib.suppress(httpx.HTTPError):
            return (await self.client.put(url, content=document)).status_code
        return 0

    async def store_manifest(self, name: str, document: bytes) -> None:
        """
        Send a manifest until a controller has acknowledged it.

        A controller without a leader refuses it: when a machine is busy, processes stand still for
        longer than their leader is trusted.

        :param name: name of the controller
        :param document: the manifest
        :raises TimeoutError: the controller did not acknowledge it in time
        """

        async def is_stored() -> bool:
            return await self.put_manifest(name, document) == 200

        await self.wait_until(is_stored)

    async def read_manifest(self, name: str) -> Any:
        """
        Read the manifest from a controller.

        :param name: name of the controller
        :return: the manifest, or ``None`` if the controller did not return one
        """
        url = f"{self.url(name, self.ports.control)}/-/config"
        with contextlib.suppress(httpx.HTTPError):
            response = await self.client.get(url)
            return response.json() if response.status_code == 200 else None
        return None

    async def is_ready(self, name: str) -> bool:
        """
        Check whether a router accepts requests.

        :param name: name of the router
        :return: whether its readiness check succeeds
        """
        with contextlib.suppress(httpx.HTTPError):
            url = f"{self.url(name, self.ports.ready)}/-/ready"
            return (await self.client.get(url)).status_code == 200
        return False

    async def wait_until(self, check: Any, timeout_s: float = START_TIMEOUT_S) -> None:
        """
        Poll until a condition holds.

        :param check: coroutine function that returns whether the condition holds
        :param timeout_s: longest wait
        :raises TimeoutError: the condition did not hold in time
        """
        async with asyncio.timeout(timeout_s):
            while not await check():  # noqa: ASYNC110 -- the condition depends on other processes
                await asyncio.sleep(POLL_INTERVAL_S)

    def _settings(self, name: str, bootstrap: bool) -> str:
        ports, ip = self.ports, self.ip(name)
        list_url = self.list_urls.get(name, self._list_url)
        seeds = ", ".join(f'"{self.ip(seed)}:{ports.control}"' for seed in self.seeds)
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
catchUpS = 4
graceS = {self.grace_s}
retryBudgetRatio = {self.retry_budget.ratio}
retryBudgetMin = {self.retry_budget.floor_count}
[limits]
maxFds = {self.descriptors_count}
memoryMb = {self.memory_mb}
[cloud]
address = "{list_url.removeprefix("http://")}"
[zones]
zone-a = "area-a"
zone-b = "area-b"
"""


__all__ = ["JoinedFleet", "Ports", "RetryBudgetSettings"]
