"""All processes are killed at once and are back within a second; requesters take up streams."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from fleet2 import CannotRunError, Fleet, Record, free_ports, run
from streams2 import Engine, Reader, stream_manifest

STREAMS_COUNT = 24
CONTACT_S = 3.0
BACK_S = 0.8
MIN_LEFT_S = 1.5
"""Time that the rest of a stream needs, and more."""


async def _kill_all(fleet: Fleet, record: Record) -> None:
    """Kill all processes at the same moment, and start them again as the platform does."""
    names = list(fleet.processes)
    for name in names:
        fleet.processes[name].kill()
    record.write("killed", processes=",".join(names))
    for name in names:
        await fleet.processes[name].wait()
    await asyncio.sleep(BACK_S)
    for name in names:
        await fleet.start(name, bootstrap=False)


async def _wait_until_ready(fleet: Fleet) -> None:
    for name in fleet.routers:
        while not await fleet.is_ready(name):  # noqa: ASYNC110 -- another process
            await asyncio.sleep(0.05)


async def play(fleet: Fleet, record: Record, troubled: bool) -> list[str]:
    port = free_ports(1)[0]
    workers = [
        Engine(f"i-{number}", "pool", fleet.worker_ip(number), port, record) for number in (1, 2, 3)
    ]
    for worker in workers:
        await worker.start()
    fleet.platform.workers = list(workers)
    await fleet.start_all(stream_manifest())
    await asyncio.sleep(30.0)
    readers = [
        Reader(fleet, record, fleet.routers[number % 2], number + 1)
        for number in range(STREAMS_COUNT)
    ]
    begun = [asyncio.create_task(reader.begin()) for reader in readers]
    await asyncio.sleep(1.0)
    if troubled:
        await _kill_all(fleet, record)
    else:
        # The requesters lose their channels.
        for task in begun:
            task.cancel()
    await asyncio.gather(*begun, return_exceptions=True)
    await _wait_until_ready(fleet)
    record.write("ready", routers=len(fleet.routers))
    # All machines are in touch after this time without a disturbance.
    await asyncio.sleep(CONTACT_S + 0.3)
    resumed = [reader for reader in readers if reader.events and not reader.is_complete]
    if any(reader.left_s < MIN_LEFT_S for reader in resumed):
        raise CannotRunError("the machines were back too late for the streams")
    counts = {id(reader): len(reader.events) for reader in resumed}
    new = [
        Reader(fleet, record, fleet.routers[number % 2], 1000 + number)
        for number in range(STREAMS_COUNT)
    ]
    await asyncio.gather(
        *(reader.resume(fleet.routers[number % 2 - 1]) for number, reader in enumerate(resumed)),
        *(reader.begin() for reader in new),
    )
    gone_on_count = sum(len(reader.events) > counts[id(reader)] for reader in resumed)
    begun_count = sum(bool(reader.events) for reader in new)
    record.write(
        "streams", resumed=len(resumed), gone_on=gone_on_count, new=len(new), begun=begun_count
    )
    if len(resumed) < STREAMS_COUNT / 2 or not begun_count:
        raise CannotRunError("few streams were there to be taken up, or none began")
    if gone_on_count / len(resumed) < begun_count / len(new) / 2:
        return [
            f"{gone_on_count} of {len(resumed)} streams went on, {begun_count} of {len(new)} began"
        ]
    return []


if __name__ == "__main__":
    run(play, str(Path(__file__).resolve().parent))
