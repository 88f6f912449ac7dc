"""Measures the control-plane cost of each process and how long changes take to be in force."""

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

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CHANGE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class Sample(NamedTuple):
    """Counters of one process at one time."""

    at_s: float
    processor_s: float
    traffic_bytes: int
    """Bytes sent and received on the links to other processes."""
    messages_count: int
    """Messages sent and received on the links to other processes."""


class Rates(NamedTuple):
    """Rates of one process between two samples."""

    processor_fraction: float
    bytes_per_s: float
    messages_per_s: float


def processor_s(pid: int) -> float:
    """
    Read the processor time of a process and all its threads.

    :param pid: process id
    :return: user and system time in seconds
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid: int) -> float:
    """
    Read the resident memory of a process.

    :param pid: process id
    :return: mebibytes
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def host_ids(fleet: Fleet) -> list[str]:
    """
    List the routers and controllers of a fleet.

    :param fleet: the running fleet
    :return: their ids
    """
    return [*fleet.member_ids("router"), *fleet.member_ids("controller")]


async def sample(fleet: Fleet) -> dict[str, Sample]:
    """
    Read the counters of all routers and controllers.

    :param fleet: the running fleet
    :return: samples by member id
    """
    samples = {}
    for member_id in host_ids(fleet):
        traffic = (await fleet.call_operator(member_id, "GET", "/v1/status"))["traffic"]
        samples[member_id] = Sample(
            time.monotonic(),
            processor_s(fleet.members[member_id].pid),
            traffic["sent_bytes"] + traffic["received_bytes"],
            traffic["sent_count"] + traffic["received_count"],
        )
    return samples


def rates(before: Mapping[str, Sample], after: Mapping[str, Sample]) -> dict[str, Rates]:
    """
    Compute rates between two samples.

    :param before: earlier samples
    :param after: later samples of the same processes
    :return: rates by member id
    """
    rates_by_id = {}
    for member_id, later in after.items():
        earlier = before[member_id]
        elapsed_s = later.at_s - earlier.at_s
        rates_by_id[member_id] = Rates(
            (later.processor_s - earlier.processor_s) / elapsed_s,
            (later.traffic_bytes - earlier.traffic_bytes) / elapsed_s,
            (later.messages_count - earlier.messages_count) / elapsed_s,
        )
    return rates_by_id


async def add_team(fleet: Fleet, name: str) -> int:
    """
    Add a team to the configuration.

    :param fleet: the running fleet
    :param name: name of the new team
    :return: the new revision
    """
    template = fleet.configuration()["templates"][0]["name"]
    team = {"name": name, "template": template}
    return (await fleet.change({"type": "put_team", "team": team}))["revision"]


async def change_in_force_s(fleet: Fleet, name: str) -> float:
    """
    Add a team and wait until the change is in force on every router.

    :param fleet: the running fleet
    :param name: name of the new team
    :return: seconds from the response to the change until the last router
    """
    revision = await add_team(fleet, name)
    accepted_s = time.monotonic()
    await asyncio.gather(
        *(
            _wait_for_revision(fleet, router_id, revision)
            for router_id in fleet.member_ids("router")
        )
    )
    return time.monotonic() - accepted_s


async def restart_in_force_s(fleet: Fleet, router_id: str) -> float:
    """
    Kill a router, restart it with empty state and wait until its former revision is in force.

    :param fleet: the running fleet
    :param router_id: id of the router
    :return: seconds from the start of the process
    """
    revision = (await fleet.call_operator(router_id, "GET", "/v1/status"))["revision"]
    fleet.send_signal(router_id)
    process = fleet.members[router_id].process
    assert process is not None
    await process.wait()
    started_s = time.monotonic()
    await fleet.launch(router_id)
    await _wait_for_revision(fleet, router_id, revision)
    return time.monotonic() - started_s


async def _wait_for_revision(fleet: Fleet, router_id: str, revision: int) -> None:
    deadline_s = time.monotonic() + CHANGE_TIMEOUT_S
    while time.monotonic() < deadline_s:
        with contextlib.suppress(httpx.HTTPError):
            status = await fleet.call_operator(router_id, "GET", "/v1/status")
            if status["revision"] >= revision:
                return
        await asyncio.sleep(POLL_INTERVAL_S)


__all__ = [
    "Rates",
    "Sample",
    "add_team",
    "change_in_force_s",
    "host_ids",
    "processor_s",
    "rates",
    "restart_in_force_s",
    "rss_mb",
    "sample",
]
