"""Workers and requesters of streams, for the cases that need them."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

from fleet2 import HOST, KEY, Fleet, Head, Record, Worker, manifest_of, message, read_head, route

LIST_LAG_S = 0.8
"""``maxLagMs`` of the settings."""
EVENTS_COUNT = 20
PAUSE_S = 0.1
BUDGET_S = 10.0
"""Time budget of a requester for a stream, its further tries included."""


class Engine(Worker):
    """A sound worker of streams, which can start again under its id and address."""

    is_engine = True

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.is_engine = True
        self.version = "v1"
        self.born_ms = int(time.time() * 1000)
        self._listed = (self.version, self.born_ms)
        self._writers: set[asyncio.StreamWriter] = set()

    def entry(self) -> dict[str, Any]:
        version, born_ms = self._listed
        return {**super().entry(), "version": version, "born": born_ms}

    async def restart(self, version: str, down_s: float) -> None:
        """Crash, come back, and be listed so ``maxLagMs`` later."""
        self.crash()
        await asyncio.sleep(down_s)
        self.version, self.born_ms = version, int(time.time() * 1000)
        await self.start()
        self._record.write("restart", worker=self.worker_id, version=version, born=self.born_ms)
        await asyncio.sleep(LIST_LAG_S)
        self._listed = (self.version, self.born_ms)
        self._record.write("list", worker=self.worker_id, version=version, born=self.born_ms)

    def crash(self) -> None:
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()
        self._record.write("crash", worker=self.worker_id, version=self.version)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await reader.readexactly(int(head.headers.get("content-length", "0")))
                await self._respond(head, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, head: Head, writer: asyncio.StreamWriter) -> None:
        _, target, _ = head.start.split(" ")
        if target == "/-/report":
            report = {"stage": "both", "queued": 0, "running": 0, "born": self.born_ms}
            writer.write(message("HTTP/1.1 200 OK", {}, json.dumps(report).encode()))
            return
        if not target.startswith("/drafts/"):
            writer.write(await self._answer(head, b""))
            return
        attempt_id = head.headers.get("attempt-id", "")
        if head.headers.get("target-instance", self.worker_id) != self.worker_id:
            headers = {"Instance-Id": self.worker_id, "Not-Executed": "1"}
            writer.write(message("HTTP/1.1 421 Misdirected Request", headers))
            return
        first = int(head.headers.get("last-event-id", "0")) + 1
        version = self.version
        self._record.write(
            "run", worker=self.worker_id, version=version, id=attempt_id, first=first
        )
        lines = (
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt_id}",
            f"Server-Stamp: {self.worker_id}.{attempt_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "",
        )
        writer.write("\r\n".join(lines).encode())
        for number in range(first, EVENTS_COUNT + 1):
            await asyncio.sleep(PAUSE_S)
            event = f"id: {number}\ndata: {version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Reader:
    """A requester that takes its stream up once if it breaks off."""

    def __init__(self, fleet: Fleet, record: Record, name: str, number: int) -> None:
        self.events: list[tuple[int, str]] = []
        self.is_complete = False
        self._fleet, self._record, self._name, self._number = fleet, record, name, number
        self._until_s = 0.0

    async def run(self) -> None:
        first_id = f"{self._number:016x}"
        await self.begin()
        if not self.is_complete and self.events:
            await self.resume(self._name)
        versions = "".join(f"{number}{version} " for number, version in self.events)
        self._record.write("stream", id=first_id, complete=self.is_complete, events=versions)

    async def begin(self) -> None:
        self._until_s = time.monotonic() + BUDGET_S
        await self._send(f"{self._number:016x}", {})

    async def resume(self, name: str) -> None:
        """Take the stream up at a router."""
        self._name = name
        last = {"Last-Event-Id": str(self.events[-1][0]), "Resumes": f"{self._number:016x}"}
        await self._send(f"r{self._number:015x}", last)

    @property
    def left_s(self) -> float:
        """What is left of the time budget."""
        return self._until_s - time.monotonic()

    @property
    def is_joined(self) -> bool:
        return len({version for _, version in self.events}) > 1

    async def _send(self, attempt_id: str, more: dict[str, str]) -> None:
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(max(1, int(1000 * self.left_s))),
            "Credential": KEY,
            "Model": "m",
            "Token-Count": "1460,80",
            "Prompt-Prefix": f"{self._number:08x}:800,{self._number + 999:08x}:660",
            **more,
        }
        self._record.write("sent", to=self._name, id=attempt_id, **more)
        writer = None
        try:
            async with asyncio.timeout(11.0):
                reader, writer = await asyncio.open_connection(
                    self._fleet.ip(self._name), self._fleet.ports["front"]
                )
                writer.write(message("POST /drafts/17 HTTP/1.1", headers))
                head = await read_head(reader)
                if head is None or " 200 " not in head.start:
                    self._record.write("answered", id=attempt_id, head=head and head.start)
                    return
                await self._read_events(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self._record.write("broken off", id=attempt_id)
        finally:
            if writer is not None:
                writer.close()

    async def _read_events(self, reader: asyncio.StreamReader) -> None:
        text = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            text += await reader.readexactly(size)
            await reader.readline()
            *events, text = text.split(b"\n\n")
            for event in events:
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                self.events.append((int(fields["id"]), fields["data"]))
        self.is_complete = True


def stream_manifest() -> dict[str, Any]:
    streams = {"resumable": True, "sticky": True, "maxAttempts": 2, "timeoutMs": 10000}
    routes = [route("draft", "/drafts/", "pool", "streaming", gapTargetMs=300, **streams)]
    document = manifest_of(1, routes, ["pool"])
    document["services"][0]["engine"] = {"slots": 96, "kvCapacityTokens": 1198278}
    document["limits"]["tokensPerS"] = 850000
    return document
