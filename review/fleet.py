"""Stand-ins of the review: a small deployment on loopback, its platform, workers and clients.

Uses the standard library only. The programs under test are started with the commands of
``deploy/system.toml`` as separate processes, each on a loopback address of its own, with a settings
file as DEPLOY.md shows it. The platform restarts a process that ends, as DEPLOY.md says.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESTART_DELAY_S = 0.5
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "failClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetMin": 56,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 9.1,
    "quotaWindowS": 4,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


@dataclass
class Reply:
    """Answer to one request; status 0 when the channel ended without a whole answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    reason: str = ""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]], bytes]:
    """Read the first line, the headers and the body of a request or an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    by_name = dict(headers)
    if by_name.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return first, headers, body
            body += chunk[:-2]
    return first, headers, await reader.readexactly(int(by_name.get("content-length", "0")))


async def send_request(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Reply:
    """Send one request on a channel of its own and read the whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if "host" not in {name.lower() for name in headers}:
                lines.append(f"Host: {address}")
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            first, answered, content = await read_message(reader)
            return Reply(int(first.split()[1]), dict(answered), content)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        return Reply(0, reason=f"{type(error).__name__} {error}".strip())
    finally:
        if writer is not None:
            writer.close()


class Worker:
    """A sound worker of one service, which runs whatever is meant for its id."""

    def __init__(self, record: Record, worker_id: str, service: str, address: str) -> None:
        self.record, self.worker_id, self.service = record, worker_id, service
        self.address = address
        self.runs: list[tuple[float, str, str, dict[str, str], bytes]] = []
        """Time, attempt id, target, headers and body of each request that was run."""
        self.work_s = 0.02
        self.events_count = 5
        self.event_pause_s = 0.05
        self.state = "ready"

    def entry(self) -> dict:
        """The worker's entry in the platform's list."""
        return {
            "id": self.worker_id,
            "service": self.service,
            "address": self.address,
            "zone": "perth-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
        }

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await read_message(reader)
                await self._answer(first, dict(headers), body, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, first: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        method, target, _ = first.split(" ", 2)
        if target == "/health":
            await reply(writer, 200, {"Instance-Id": self.worker_id})
            return
        attempt = headers.get("attempt-id", "")
        if headers.get("target-instance", self.worker_id) != self.worker_id:
            self.record(f"{self.worker_id}: {method} {target} of {attempt} is for another: 421")
            await reply(writer, 421, {"Attempt-Id": attempt, "Not-Executed": "1"})
            return
        self.runs.append((self.record.now_s(), attempt, target, headers, body))
        self.record(f"{self.worker_id} of {self.service} runs {method} {target} of {attempt}")
        await asyncio.sleep(self.work_s)
        stamp = f"{self.worker_id}.{self.service}.{attempt}"
        await reply(
            writer,
            200,
            {"Attempt-Id": attempt, "Server-Stamp": stamp},
            f"{self.service} answers {target}".encode(),
        )


async def reply(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes = b""
) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
    await writer.drain()


class WorkerList:
    """The platform's list of workers."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self.address = record, address
        self.workers: list[Worker] = []
        self.odd_entries: list[dict] = []
        """Entries of another writer, which stand after those of the workers."""

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_message(reader)
                entries = [worker.entry() for worker in self.workers] + self.odd_entries
                body = json.dumps({"instances": entries, "nextToken": None}).encode()
                await reply(writer, 200, {"Content-Type": "application/json"}, body)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


def settings_text(node: Node, fleet: Fleet, bootstrap: bool) -> str:
    """The settings file of DEPLOY.md for one process."""
    listens = {
        "router": ("front", "ready", "directory"),
        "controller": ("control",),
    }[node.role]
    lines = [
        f"node = {json.dumps(node.name)}",
        f"role = {json.dumps(node.role)}",
        f"machineClass = {json.dumps('front' if node.role == 'router' else 'core')}",
        f"serves = {json.dumps([name for name in listens if name != 'ready'])}",
        f"ip = {json.dumps(node.ip)}",
        f"zone = {json.dumps(node.zone)}",
        'region = "perth"',
        f"internalPorts = [{fleet.ports['internal']}, {fleet.ports['internal'] + 15}]",
        "seeds = " + json.dumps([f"{ip}:{fleet.ports['control']}" for ip in fleet.seed_ips]),
        f"bootstrap = {json.dumps(bootstrap)}",
        f"toleranceMember = {json.dumps(node.role == 'controller')}",
        'discovery = "cloud_api"',
        'entry = "directory"',
        "heartbeatMs = 1200",
        f"contracts = {json.dumps(CONTRACTS)}",
        'configMode = "highest"',
    ]
    if node.role == "controller":
        lines.append(f"dataDir = {json.dumps(str(node.data))}")
    lines += ["[zones]", 'perth-a = "perth"', 'perth-b = "perth"', 'perth-c = "perth"', "[listen]"]
    lines += [f'{name} = "{node.ip}:{fleet.ports[name]}"' for name in listens]
    lines += ["[limits]", "cpuShare = 0.645", "cpuCores = 1", "memoryMb = 300", "maxFds = 4100"]
    lines += ["linkMbps = 1000.0", "[faultTolerance]", "machines = 1", "zones = 0", "regions = 0"]
    lines += ["[bounds]", *(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())]
    lines += ["[cloud]", f'address = "{fleet.list_address}"', "ratePerS = 44.0", "duties = []"]
    lines += ["maxLagMs = 800"]
    return "\n".join(lines) + "\n"


class Node:
    """A machine with one process of the project."""

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path) -> None:
        self.name, self.ip, self.zone = name, ip, zone
        self.role = name.split("-")[0]
        self.settings = folder / f"{name}.toml"
        self.data = folder / f"{name}-data"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.wanted = False
        self.ends: list[tuple[float, int]] = []
        """Ends of the process that nobody asked for: the time and the exit code."""
        self.watcher: asyncio.Task[None] | None = None


class Fleet:
    """A small deployment: controllers and routers, each restarted when it ends by itself."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record, self.folder = record, folder
        high, low = divmod(os.getpid(), 250)
        self._subnet = f"127.{1 + high % 250}.{1 + low}"
        self._count = 9
        self.ports = self._free_ports()
        self.nodes: dict[str, Node] = {}
        self.seed_ips: list[str] = []
        self.list_address = ""
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._commands = {name: shlex.split(role["run"]) for name, role in system["roles"].items()}

    def new_ip(self) -> str:
        self._count += 1
        return f"{self._subnet}.{self._count}"

    def _free_ports(self) -> dict[str, int]:
        ports = {}
        for name in ("internal", "control", "front", "ready", "directory"):
            with socket.socket() as probe:
                probe.bind((f"{self._subnet}.9", 0))
                ports[name] = probe.getsockname()[1]
        return ports

    def add(self, name: str, zone: str = "perth-a") -> Node:
        node = self.nodes[name] = Node(name, self.new_ip(), zone, self.folder)
        return node

    def address(self, name: str, port: str) -> str:
        return f"{self.nodes[name].ip}:{self.ports[port]}"

    async def start(self, name: str, *, bootstrap: bool = False) -> None:
        node = self.nodes[name]
        node.settings.write_text(settings_text(node, self, bootstrap))
        node.data.mkdir(exist_ok=True)
        node.wanted = True
        await self._spawn(node)
        node.watcher = asyncio.create_task(self._watch(node))

    async def _spawn(self, node: Node) -> None:
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAMPHORVALVE_CONFIG": str(node.settings),
        }
        with node.log.open("ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *self._commands[node.role], env=environment, cwd=ROOT, stdout=log, stderr=log
            )
        self.record(f"{node.name}: started, pid {node.process.pid}, address {node.ip}")

    async def _watch(self, node: Node) -> None:
        while True:
            code = await node.process.wait()
            if not node.wanted:
                return
            node.ends.append((self.record.now_s(), code))
            self.record(f"{node.name}: process ended by itself, exit code {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            if not node.wanted:
                return
            await self._spawn(node)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.record(f"{name}: {number.name}")
        self.nodes[name].process.send_signal(number)

    async def stop(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """End a process for good."""
        node = self.nodes[name]
        if not node.wanted:
            return
        node.wanted = False
        with contextlib.suppress(ProcessLookupError):
            self.send_signal(name, number)
        await asyncio.wait_for(node.process.wait(), 15)
        node.watcher.cancel()

    async def close(self) -> None:
        for node in self.nodes.values():
            if node.wanted:
                node.wanted = False
                node.watcher.cancel()
                with contextlib.suppress(ProcessLookupError):
                    node.process.kill()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(node.process.wait(), 10)

    async def put(self, name: str, manifest: bytes, timeout_s: float = 1.0) -> Reply:
        """Send a manifest to a controller, as the operator does, and record the answer."""
        version = json.loads(manifest)["version"]
        reply = await send_request(
            self.address(name, "control"),
            "PUT",
            "/-/config",
            {"Content-Type": "application/json"},
            manifest,
            timeout_s,
        )
        self.record(f"operator: PUT version {version} at {name}: {reply.status} {reply.reason}")
        return reply

    async def put_anywhere(
        self, names: list[str], manifest: bytes, patience_s: float = 20.0
    ) -> bool:
        """Send a manifest to one controller after the other until one acknowledges it."""
        until_s = time.monotonic() + patience_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            for name in names:
                reply = await self.put(name, manifest)
                if reply.status == 200:
                    return True
                if reply.status in (400, 409, 412, 413, 422):
                    return False
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        return False

    async def read(self, name: str) -> int | None:
        """Read the manifest at a controller; returns its version, ``None`` without a 200."""
        reply = await send_request(
            self.address(name, "control"), "GET", "/-/config", {}, timeout_s=1.5
        )
        version = json.loads(reply.body)["version"] if reply.status == 200 else None
        self.record(f"operator: GET at {name}: {reply.status} version {version} {reply.reason}")
        return version

    def logged(self, name: str, event: str) -> list[dict]:
        """Log lines of a process with an event; used to find the leader, never to judge."""
        lines = []
        for line in self.nodes[name].log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if isinstance(entry, dict) and entry.get("event") == event:
                    lines.append(entry)
        return lines

    async def wait_ready(self, names: list[str], patience_s: float = 20.0) -> None:
        """Wait until the platform's check finds each router ready."""
        until_s = time.monotonic() + patience_s
        for name in names:
            while (
                await send_request(self.address(name, "ready"), "GET", "/-/ready", {})
            ).status != 200:
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{name} is not ready")
                await asyncio.sleep(0.2)

    def leader(self, names: list[str]) -> str | None:
        """Name of the controller that became leader in the highest term."""
        best = None
        for name in names:
            for entry in self.logged(name, "leader changed"):
                leader = entry.get("leader")
                if leader and (best is None or entry["term"] > best[0]):
                    best = (entry["term"], leader.split("#")[0].split(":")[0])
        if best is None:
            return None
        return next((n.name for n in self.nodes.values() if n.ip == best[1]), None)


def run_case(play, folder: str) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    case_folder = pathlib.Path(folder)
    record = Record(case_folder / "record.txt")
    record(f"TROUBLE={'1' if TROUBLE else '0'}")

    async def main() -> int:
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            fleet = Fleet(record, pathlib.Path(temporary))
            try:
                async with asyncio.timeout(110):
                    broken = await play(fleet, record)
            except (CannotRunError, TimeoutError) as error:
                record(f"could not run: {type(error).__name__} {error}")
                return 2
            except Exception as error:  # the stand-ins failed, not the system
                record(f"could not run: {type(error).__name__} {error}")
                return 2
            finally:
                await fleet.close()
                if keep := os.environ.get("KEEP_LOGS"):
                    import shutil

                    shutil.copytree(temporary, keep, dirs_exist_ok=True)
            record("result: the rule was BROKEN" if broken else "result: the rule held")
            return 1 if broken else 0

    async def main_until_signalled() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        sys.exit(asyncio.run(main_until_signalled()))
    except (asyncio.CancelledError, KeyboardInterrupt):
        record("could not run: ended from outside")
        sys.exit(2)
