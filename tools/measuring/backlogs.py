"""Keeps every team of a deployment backlogged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tools.measuring.load import Call, routers_of
from tools.measuring.plans import TOKEN_MS

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from tools.measuring.load import Load
    from tools.measuring.plans import Kind, Work

BACKLOG_FACTOR = 2.0
"""Requests of a backlogged team in the fleet, in units of the slots of its share."""
MODEL_BACKLOG_COUNT = 12
SERVICE_BACKLOG_COUNT = 3
"""Added to the former for every team."""


class Backlogs:
    """Starts the load of the phases in which work always waits."""

    def __init__(
        self, work: Work, shares: Mapping[str, float], load: Load, router_ids: Sequence[str]
    ) -> None:
        """
        Prepare the backlogs.

        :param work: the deployment and its kinds
        :param shares: shares by team
        :param load: sends the requests
        :param router_ids: all routers
        """
        self._work = work
        self._shares = shares
        self._load = load
        self._router_ids = router_ids

    def hold(self, duration_s: float) -> None:
        """
        Occupy every slot of the models with requests that send nothing until they end.

        :param duration_s: how long
        """
        total = sum(self._shares.values())
        tokens_count = duration_s * 1000 / TOKEN_MS
        owed = 0.0
        for place, (team, share) in enumerate(self._shares.items()):
            owed += share / total * self._work.model_slots_count
            router_id = routers_of(place, self._router_ids)[0]
            for _ in range(round(owed)):
                call = Call(team, self._work.least_urgent, router_id, tokens_count, streamed=False)
                self._load.send(call)
            owed -= round(owed)

    def keep_models(self) -> None:
        """Keep work of all teams waiting for models, a quarter of it urgent."""
        kinds = (self._work.least_urgent,) * 3 + (self._work.most_urgent,)
        self._keep(kinds, self._work.model_slots_count, MODEL_BACKLOG_COUNT)

    def keep_services(self) -> None:
        """Keep work of all teams waiting for services."""
        kinds = (self._work.service_backlog,)
        self._keep(kinds, self._work.service_slots_count, SERVICE_BACKLOG_COUNT)

    def _keep(self, kinds: tuple[Kind, ...], slots_count: int, least_count: int) -> None:
        total = sum(self._shares.values())
        for place, (team, share) in enumerate(self._shares.items()):
            own = routers_of(place, self._router_ids)
            if team == self._work.single_router_team:
                own = own[:1]
            count = least_count + round(BACKLOG_FACTOR * slots_count * share / total)
            self._load.keep_backlog(team, kinds, own, count)


__all__ = ["Backlogs"]
