"""Reads from the logs of the stand-ins what they served."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from tools.measuring.fairness import Run

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.fleet import Fleet


async def model_runs(fleet: Fleet, teams: Mapping[str, str]) -> dict[str, Run]:
    """
    Read the runs of all engines; the service of a run is its tokens.

    :param fleet: the running fleet
    :param teams: team by request id, as engines know no teams
    :return: runs by request id
    """
    runs = {}
    for upstream_id in fleet.ids("engine"):
        for one in await _log(fleet, upstream_id):
            end_s = one["end_s"] or time.time()
            team = teams.get(one["request_id"], "")
            run = Run(upstream_id, team, one["start_s"], end_s, one["tokens_count"])
            runs[one["request_id"]] = run
    return runs


async def service_runs(fleet: Fleet) -> dict[str, Run]:
    """
    Read the calls of all services; the service of a call is its milliseconds.

    :param fleet: the running fleet
    :return: runs by request id
    """
    runs = {}
    for upstream_id in fleet.ids("service"):
        for one in await _log(fleet, upstream_id):
            end_s = one["end_s"] or time.time()
            team = one["path"].rpartition("/")[2]
            units = (end_s - one["start_s"]) * 1000
            run = Run(upstream_id, team, one["start_s"], end_s, units)
            runs[one["request_id"]] = run
    return runs


async def _log(fleet: Fleet, upstream_id: str) -> list[dict[str, Any]]:
    url = f"{fleet.members[upstream_id].url}/v1/log"
    return (await fleet.client.get(url)).json()["runs"]


__all__ = ["model_runs", "service_runs"]
