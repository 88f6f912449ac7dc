"""A small fleet of the project's own processes for the cases, with stand-ins on loopback."""

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
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 25.0
MAX_HEAD_BYTES = 64 << 10
HOST = "desk.example"
KEY = "asnmgkcuyj8pjbvk9m68"


class CannotRunError(Exception):
    """The case could not be set up."""


class Answer(NamedTuple):
    """What a client has received; status 0 for none."""

    status: int
    headers: dict[str, str]
    body: bytes


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def write(self, event: str, **fields: Any) -> None:
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        print(f"{self.now_s():8.3f} {event} {text}", file=self._file, flush=True)


class Head(NamedTuple):
    """Start line and headers of a message."""

    start: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return Head(start, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class Worker:
    """A sound worker: runs what names it, and says so in the record."""

    def __init__(self, worker_id: str, service: str, ip: str, port: int, record: Record) -> None:
        self.is_engine = False
        self.worker_id = worker_id
        self.service = service
        self.address = f"{ip}:{port}"
        self.ip, self.port = ip, port
        self.state = "ready"
        self._record = record
        self.runs: list[tuple[float, str]] = []
        self._server: asyncio.Server | None = None

    def entry(self) -> dict[str, Any]:
        engine = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldRemainingMs": 0,
            **(engine if self.is_engine else {}),
            "id": self.worker_id,
        }

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head.headers)
                writer.write(await self._answer(head, body))
                await writer.drain()
        writer.close()

    async def _answer(self, head: Head, body: bytes) -> bytes:
        _, target, _ = head.start.split(" ")
        if target == "/health":
            return message("HTTP/1.1 200 OK", {"Instance-Id": self.worker_id})
        if target == "/-/report":
            report = {"busy": False, "sequence": 0, "queued": 0, "running": 0}
            return message("HTTP/1.1 200 OK", {}, json.dumps(report).encode())
        attempt_id = head.headers.get("attempt-id", "")
        if head.headers.get("target-instance", self.worker_id) != self.worker_id:
            headers = {"Instance-Id": self.worker_id, "Not-Executed": "1"}
            return message("HTTP/1.1 421 Misdirected Request", headers)
        self.runs.append((self._record.now_s(), attempt_id))
        self._record.write("run", worker=self.worker_id, service=self.service, id=attempt_id)
        await asyncio.sleep(0.01)
        headers = {"Attempt-Id": attempt_id, "Server-Stamp": f"{self.worker_id}.{attempt_id}"}
        return message("HTTP/1.1 200 OK", headers, f"run by {self.service}".encode() + body)


class Platform:
    """Serves the list of workers, as whole entries or as the bytes that another writer left."""

    def __init__(self, ip: str, port: int) -> None:
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port
        self.workers: list[Worker] = []
        self.foreign_entries: list[bytes] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await read_head(reader) is not None:
                entries = [json.dumps(worker.entry()).encode() for worker in self.workers]
                content = b",".join([*entries, *self.foreign_entries])
                page = b'{"instances":[' + content + b'],"nextToken":null}'
                headers = {"Content-Type": "application/json"}
                writer.write(message("HTTP/1.1 200 OK", headers, page))
                await writer.drain()
        writer.close()


class Fleet:
    """Controllers and routers, each a process on an address of its own."""

    def __init__(self, folder: Path, record: Record, controllers: int = 3, routers: int = 2):
        high, low = divmod(os.getpid(), 250)
        self._net = f"127.{1 + high % 250}.{1 + low}"
        self._folder = folder
        self._record = record
        self.ports = dict(
            zip(
                ("internal", "control", "front", "ready", "directory"),
                free_ports(5),
                strict=True,
            )
        )
        self.controllers = [f"controller-{number}" for number in range(1, controllers + 1)]
        self.routers = [f"router-{number}" for number in range(1, routers + 1)]
        self._ips = {
            name: f"{self._net}.{10 + number}"
            for number, name in enumerate([*self.controllers, *self.routers])
        }
        self.platform = Platform(f"{self._net}.200", free_ports(1)[0])
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.listen_field = ""
        """A line that the platform's settings files have under ``listen`` from now on."""

    def ip(self, name: str) -> str:
        return self._ips[name]

    def worker_ip(self, number: int) -> str:
        return f"{self._net}.{100 + number}"

    async def start(self, name: str, *, bootstrap: bool) -> None:
        path = self._folder / f"{name}.toml"
        path.write_text(self._settings(name, bootstrap=bootstrap))
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CAMPHORVALVE_CONFIG": str(path),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *("python3", "-m", "camphorvalve_platform", name.split("-")[0]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write("started", process=name, bootstrap=bootstrap)

    def change_settings(self) -> None:
        """Place the settings of now at all machines, and tell the processes with SIGHUP."""
        for name, process in self.processes.items():
            path = self._folder / f"{name}.toml"
            new_path = path.with_suffix(".new")
            new_path.write_text(self._settings(name, bootstrap=False))
            new_path.replace(path)
            process.send_signal(signal.SIGHUP)
        self._record.write("settings", listen=self.listen_field)

    async def stop(self, name: str, timeout_s: float = 8.0) -> None:
        """Stop a process as the platform does: SIGTERM, and SIGKILL after ``graceS``."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), timeout_s)
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        self._record.write("stopped", process=name, code=process.returncode)

    async def start_all(self, manifest: dict[str, Any]) -> None:
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file")
        await self.platform.start()
        for name in [*self.controllers, *self.routers]:
            await self.start(name, bootstrap=True)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while (await self.put(self.controllers[0], json.dumps(manifest).encode())).status != 200:
            await self._pause(deadline_s, "the first manifest is not acknowledged")
        for name in self.routers:
            while not await self.is_ready(name):
                await self._pause(deadline_s, f"{name} is not ready")

    async def _pause(self, deadline_s: float, problem: str) -> None:
        if time.monotonic() > deadline_s:
            raise CannotRunError(problem)
        await asyncio.sleep(0.1)

    async def is_ready(self, name: str) -> bool:
        answer = await call(self.ip(name), self.ports["ready"], "GET", "/-/ready", {})
        return answer.status == 200

    async def put(self, name: str, document: bytes) -> Answer:
        headers = {"Host": "control", "Content-Type": "application/json"}
        return await call(
            self.ip(name), self.ports["control"], "PUT", "/-/config", headers, document
        )

    async def read_manifest(self, name: str) -> Answer:
        headers = {"Host": "control"}
        return await call(self.ip(name), self.ports["control"], "GET", "/-/config", headers)

    async def request(
        self,
        name: str,
        method: str,
        target: str,
        attempt_id: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send a request on a new channel, and write it and its answer to the record."""
        fields = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": "4000",
            "Credential": KEY,
            **(headers or {}),
        }
        self._record.write("sent", to=name, method=method, target=target, id=attempt_id)
        answer = await call(self.ip(name), self.ports["front"], method, target, fields, body)
        self._record.write("answered", id=attempt_id, status=answer.status, body=answer.body[:60])
        return answer

    async def close(self) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        self.platform.close()
        for worker in self.platform.workers:
            worker.close()

    def _settings(self, name: str, *, bootstrap: bool) -> str:
        ip, ports = self.ip(name), self.ports
        is_router = name.startswith("router")
        seeds = ",".join(f'"{self.ip(seed)}:{ports["control"]}"' for seed in self.controllers[:3])
        listen = ("front", "ready", "directory") if is_router else ("control",)
        addresses = "\n".join(f'{port} = "{ip}:{ports[port]}"' for port in listen)
        data = "" if is_router else f'dataDir = "{self._folder}/{name}-data"'
        return f"""
node = "{name}"
role = "{name.split("-")[0]}"
machineClass = "{"front" if is_router else "core"}"
ip = "{ip}"
zone = "zone-a"
region = "area"
internalPorts = [{ports["internal"]},{ports["internal"]}]
seeds = [{seeds}]
bootstrap = {str(bootstrap).lower()}
toleranceMember = {str(not is_router).lower()}
{data}
discovery = "cloud_api"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
configMode = "highest"
[zones]
zone-a = "area"
[listen]
{addresses}
{self.listen_field}
[limits]
cpuShare = 0.645
cpuCores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 128
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetMin = 56
recoveryS = 12
passMs = 120
retryAfterS = 9.1
quotaWindowS = 4
ttl_max_s = 5
[cloud]
address = "{self.platform.address}"
ratePerS = 44.0
duties = []
maxLagMs = 800
"""


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(("0.0.0.0", 0))
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


async def call(
    ip: str,
    port: int,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 6.0,
) -> Answer:
    """Send one request on a new channel; no answer has status 0."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            fields = {"Host": HOST, **headers}
            writer.write(message(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, {}, b"")
            content = await read_body(reader, head.headers)
            return Answer(int(head.start.split(" ")[1]), head.headers, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")
    finally:
        if writer is not None:
            writer.close()


def route(name: str, prefix: str, service: str, kind: str = "safe", **fields: Any) -> dict:
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def manifest_of(version: int, routes: list[dict], services: list[str]) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1}],
    }


def run(case: Any, folder: str, timeout_s: float = 110.0) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(Path(folder))
    troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", trouble=int(troubled))

    async def play() -> list[str]:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            fleet = Fleet(Path(temporary), record)
            try:
                async with asyncio.timeout(timeout_s):
                    return await case(fleet, record, troubled)
            finally:
                await fleet.close()

    try:
        broken = asyncio.run(play())
    except Exception as error:
        record.write("cannot run", reason=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in broken:
        record.write("broken", what=line)
        print(line)
    record.write("end", broken=len(broken))
    sys.exit(1 if broken else 0)
