"""Reads the runs that the stand-ins of upstreams have logged."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from tools.measuring.fairness import Run

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.fleet import Fleet


async def model_runs(fleet: Fleet, teams: Mapping[str, str]) -> dict[str, Run]:
    """
    Read the runs of all engines, with tokens as units of service.

    :param fleet: the running fleet
    :param teams: team by request id, as engines do not log the team
    :return: runs by request id
    """
    runs = {}
    for upstream_id in fleet.member_ids("engine"):
        for entry in await _read_log(fleet, upstream_id):
            end_s = entry["end_s"] or time.time()
            team = teams.get(entry["request_id"], "")
            run = Run(upstream_id, team, entry["start_s"], end_s, entry["tokens_count"])
            runs[entry["request_id"]] = run
    return runs


async def service_runs(fleet: Fleet) -> dict[str, Run]:
    """
    Read the calls of all services, with milliseconds as units of service.

    :param fleet: the running fleet
    :return: runs by request id
    """
    runs = {}
    for upstream_id in fleet.member_ids("service"):
        for entry in await _read_log(fleet, upstream_id):
            end_s = entry["end_s"] or time.time()
            team = entry["path"].rpartition("/")[2]
            units = (end_s - entry["start_s"]) * 1000
            run = Run(upstream_id, team, entry["start_s"], end_s, units)
            runs[entry["request_id"]] = run
    return runs


async def _read_log(fleet: Fleet, upstream_id: str) -> list[dict[str, Any]]:
    url = f"{fleet.members[upstream_id].url}/v1/log"
    return (await fleet.client.get(url)).json()["runs"]


__all__ = ["model_runs", "service_runs"]
