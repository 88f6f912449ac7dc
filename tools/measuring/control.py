"""Cost of control of each process, and the time until a change is in force."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import httpx

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.fleet import Fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CHANGE_TIMEOUT_S = 20.0
POLL_S = 0.05


class Sample(NamedTuple):
    """Counters of one process."""

    at_s: float
    processor_s: float
    carried_bytes: int
    """Sent and received on the link between processes."""
    carried_count: int


class Rates(NamedTuple):
    """Rates of one process between two samples."""

    processor_fraction: float
    bytes_per_s: float
    messages_per_s: float


def processor_s(pid: int) -> float:
    """
    Read the processor time of a process, all threads included.

    :param pid: id of the process
    :return: user and system time
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(pid: int) -> float:
    """
    Read the resident memory of a process.

    :param pid: id of the process
    :return: megabytes
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def own_ids(fleet: Fleet) -> list[str]:
    """
    List the processes of the system itself, without stand-ins.

    :param fleet: the running fleet
    :return: their ids
    """
    return [*fleet.ids("router"), *fleet.ids("controller")]


async def sample(fleet: Fleet) -> dict[str, Sample]:
    """
    Read the counters of all routers and controllers.

    :param fleet: the running fleet
    :return: samples by id
    """
    found = {}
    for member_id in own_ids(fleet):
        traffic = (await fleet.operate(member_id, "GET", "/v1/status"))["traffic"]
        found[member_id] = Sample(
            time.monotonic(),
            processor_s(fleet.members[member_id].pid),
            traffic["sent_bytes"] + traffic["received_bytes"],
            traffic["sent_count"] + traffic["received_count"],
        )
    return found


def rates(before: Mapping[str, Sample], after: Mapping[str, Sample]) -> dict[str, Rates]:
    """
    Compute rates between two samples.

    :param before: earlier samples
    :param after: later samples of the same processes
    :return: rates by id
    """
    found = {}
    for member_id, late in after.items():
        early = before[member_id]
        elapsed_s = late.at_s - early.at_s
        found[member_id] = Rates(
            (late.processor_s - early.processor_s) / elapsed_s,
            (late.carried_bytes - early.carried_bytes) / elapsed_s,
            (late.carried_count - early.carried_count) / elapsed_s,
        )
    return found


async def change(fleet: Fleet, name: str) -> int:
    """
    Add a team.

    :param fleet: the running fleet
    :param name: name of the new team
    :return: the revision
    """
    template = fleet.configuration()["templates"][0]["name"]
    team = {"name": name, "template": template}
    return (await fleet.change({"type": "put_team", "team": team}))["revision"]


async def change_in_force_s(fleet: Fleet, name: str) -> float:
    """
    Add a team and wait until every router has it in force.

    :param fleet: the running fleet
    :param name: name of the new team
    :return: seconds from the answer to the change until the last router
    """
    revision = await change(fleet, name)
    accepted_s = time.monotonic()
    await asyncio.gather(*(_wait(fleet, one, revision) for one in fleet.ids("router")))
    return time.monotonic() - accepted_s


async def restart_in_force_s(fleet: Fleet, router_id: str) -> float:
    """
    Kill a router, start it with empty state and wait for the newest configuration.

    :param fleet: the running fleet
    :param router_id: the router
    :return: seconds from the start of the process
    """
    revision = (await fleet.operate(router_id, "GET", "/v1/status"))["revision"]
    fleet.kill(router_id)
    process = fleet.members[router_id].process
    assert process is not None
    await process.wait()
    started_s = time.monotonic()
    await fleet.launch(router_id)
    await _wait(fleet, router_id, revision)
    return time.monotonic() - started_s


async def _wait(fleet: Fleet, router_id: str, revision: int) -> None:
    deadline_s = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(httpx.HTTPError):
            status = await fleet.operate(router_id, "GET", "/v1/status")
            if status["revision"] >= revision:
                return
        await asyncio.sleep(POLL_S)


__all__ = [
    "Rates",
    "Sample",
    "change",
    "change_in_force_s",
    "own_ids",
    "processor_s",
    "rates",
    "restart_in_force_s",
    "rss_mb",
    "sample",
]
