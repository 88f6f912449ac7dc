"""Keeps requests of every team of a deployment waiting."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.measuring.load import Call, select_routers
from tools.measuring.plans import TOKEN_MS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tools.measuring.load import Load
    from tools.measuring.plans import Kind, Workload

BACKLOG_FACTOR = 2.0
"""Requests of a backlogged team, as a multiple of the slots that its share amounts to."""
MODEL_BACKLOG_COUNT = 12
"""Requests for models added to the backlog of every team, whatever its share."""
SERVICE_BACKLOG_COUNT = 3
"""The same for requests for services."""


class Backlogs:
    """Generates the load of the phases in which requests of every team always wait."""

    def __init__(
        self, workload: Workload, shares: Mapping[str, float], load: Load, router_ids: Sequence[str]
    ) -> None:
        """
        Prepare the backlogs.

        :param workload: the deployment and its kinds
        :param shares: shares by team
        :param load: load generator
        :param router_ids: all routers
        """
        self._workload = workload
        self._shares = shares
        self._load = load
        self._router_ids = router_ids

    def occupy_engines(self, duration_s: float) -> None:
        """
        Occupy every engine slot with requests that return nothing until they finish.

        :param duration_s: duration of the requests
        """
        total = sum(self._shares.values())
        tokens_count = duration_s * 1000 / TOKEN_MS
        due_slots = 0.0
        for team_index, (team, share) in enumerate(self._shares.items()):
            due_slots += share / total * self._workload.model_slots_count
            router_id = select_routers(team_index, self._router_ids)[0]
            for _ in range(round(due_slots)):
                call = Call(
                    team, self._workload.least_urgent, router_id, tokens_count, streamed=False
                )
                self._load.send(call)
            due_slots -= round(due_slots)

    def maintain_models(self) -> None:
        """Keep requests of all teams waiting for models, a quarter of them urgent."""
        kinds = (self._workload.least_urgent,) * 3 + (self._workload.most_urgent,)
        self._maintain(kinds, self._workload.model_slots_count, MODEL_BACKLOG_COUNT)

    def maintain_services(self) -> None:
        """Keep requests of all teams waiting for services."""
        kinds = (self._workload.service_backlog,)
        self._maintain(kinds, self._workload.service_slots_count, SERVICE_BACKLOG_COUNT)

    def _maintain(self, kinds: tuple[Kind, ...], slots_count: int, min_count: int) -> None:
        total = sum(self._shares.values())
        for team_index, (team, share) in enumerate(self._shares.items()):
            router_ids = select_routers(team_index, self._router_ids)
            if team == self._workload.single_router_team:
                router_ids = router_ids[:1]
            count = min_count + round(BACKLOG_FACTOR * slots_count * share / total)
            self._load.maintain_backlog(team, kinds, router_ids, count)


__all__ = ["Backlogs"]
