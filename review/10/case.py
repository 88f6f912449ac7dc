"""The settings files get a field that is new, and the routers are restarted in turn."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet2 import CannotRunError, Fleet, Record, Worker, free_ports, manifest_of, route, run

NEW_FIELD = "backlog = 512"
RESTART_S = 1.0
READY_S = 12.0


async def play(fleet: Fleet, record: Record, troubled: bool) -> list[str]:
    port = free_ports(1)[0]
    workers = [
        Worker(f"i-{number}", "desk", fleet.worker_ip(number), port, record) for number in (1, 2)
    ]
    for worker in workers:
        await worker.start()
    fleet.platform.workers = workers
    await fleet.start_all(manifest_of(1, [route("lookup", "/slots/", "desk")], ["desk"]))
    if troubled:
        fleet.listen_field = NEW_FIELD
    fleet.change_settings()
    await asyncio.sleep(2.0)
    broken: list[str] = []
    served_count = 0
    for turn, name in enumerate(fleet.routers):
        answer = await fleet.request(name, "GET", "/slots/17", f"before{turn:010x}")
        if answer.status != 200:
            raise CannotRunError(f"{name} does not serve before it is stopped")
        await fleet.stop(name)
        await asyncio.sleep(RESTART_S)
        ends_count = 0
        until_s = record.now_s() + READY_S
        await fleet.start(name, bootstrap=False)
        while record.now_s() < until_s and not await fleet.is_ready(name):
            await asyncio.sleep(0.1)
            if fleet.processes[name].returncode is not None:
                ends_count += 1
                record.write("ended", process=name, code=fleet.processes[name].returncode)
                # The platform restarts a process that exits, after a short delay.
                await asyncio.sleep(RESTART_S)
                await fleet.start(name, bootstrap=False)
        if ends_count:
            broken.append(f"{name} did not start: it ended by itself {ends_count} times")
        answer = await fleet.request(name, "GET", "/slots/17", f"after{turn:011x}")
        served_count += answer.status == 200
    if not served_count:
        broken.append("no request was served after the restarts")
    return broken


if __name__ == "__main__":
    run(play, str(Path(__file__).resolve().parent))
