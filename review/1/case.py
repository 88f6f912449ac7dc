"""Four machines of the core are replaced in turn; no manifest is read or taken any more."""

import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet import TROUBLE, CannotRunError, run_case

REPLACED_COUNT = 4
SUCCESSOR_DELAY_S = 2.0
CALM_S = 9.0
"""Time after the start of a successor; ``catchUpS`` is 4, so the machine removed counts no more."""
READ_BACK_S = 25.0
"""The operator reads for ``contactMs`` (3 s) at least; this is eight times as long."""


def manifest(version):
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "r",
                    "host": "desk.example",
                    "pathPrefix": "/a/",
                    "kind": "safe",
                    "timeoutMs": 4000,
                    "targetLatencyMs": 400,
                    "priority": 1,
                    "service": "desk",
                    "maxAttempts": 2,
                    "public": True,
                }
            ],
            "services": [
                {
                    "name": "desk",
                    "healthPath": "/health",
                    "maxConnections": 100,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
    ).encode()


async def play(fleet, record):
    alive = [f"controller-{number}" for number in range(1, 6)]
    for number, name in enumerate(alive):
        fleet.add(name, ("perth-a", "perth-b", "perth-c")[number % 3])
    fleet.list_address = f"{fleet.new_ip()}:{fleet.ports['control']}"
    fleet.seed_ips = [fleet.nodes[name].ip for name in alive[:3]]
    for name in alive:
        await fleet.start(name, bootstrap=True)
    version = 1
    if not await fleet.put_anywhere(alive, manifest(version)):
        raise CannotRunError("the first manifest was not acknowledged")
    await asyncio.sleep(4)
    for step in range(REPLACED_COUNT):
        leader = fleet.leader(alive)
        record(f"step {step + 1}: the machine that acted last is {leader}")
        if TROUBLE:
            record(f"{leader} is removed for good")
            await fleet.stop(leader, signal.SIGTERM)
            alive.remove(leader)
        await asyncio.sleep(SUCCESSOR_DELAY_S)
        if TROUBLE:
            name = f"controller-{6 + step}"
            fleet.add(name, fleet.nodes[leader].zone)
            fleet.seed_ips = [fleet.nodes[other].ip for other in alive[:3]]
            await fleet.start(name)
            alive.append(name)
        await asyncio.sleep(CALM_S)
        if step == REPLACED_COUNT - 1:
            break
        version += 1
        if not await fleet.put_anywhere(alive, manifest(version)):
            raise CannotRunError(
                f"version {version} was not acknowledged before the last replacement"
            )
        record(f"version {version} is acknowledged by the core of {alive}")
    record(f"running: {alive}; none has ended: {[fleet.nodes[name].ends for name in alive]}")
    put = asyncio.create_task(fleet.put_anywhere(alive, manifest(version + 1), READ_BACK_S))
    until_s = time.monotonic() + READ_BACK_S
    newest = None
    while time.monotonic() < until_s and (newest is None or newest < version):
        for name in alive:
            newest = await fleet.read(name) or newest
        await asyncio.sleep(0.5)
    acknowledged = await put
    record(f"acknowledged before: {version}; read back: {newest}; new change taken: {acknowledged}")
    return newest is None or newest < version


run_case(play, str(pathlib.Path(__file__).resolve().parent))
