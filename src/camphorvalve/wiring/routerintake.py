"""Connects a router's intake: measures it by lag and outcomes, and accounts for what it refuses."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from camphorvalve.http.refusing import ConnectionGuard, lack_of_time
from camphorvalve.reports.refusals import RefusalLog
from camphorvalve.sharing.homes import cost_tokens
from camphorvalve.sharing.intake import Intake, target_lag_s
from camphorvalve.sharing.pressure import Pressure

if TYPE_CHECKING:
    from camphorvalve.controllers.inforce import ManifestInForce
    from camphorvalve.controllers.router.shares import SharesController
    from camphorvalve.http.refusing import RefusedRequest
    from camphorvalve.model.requests import Request
    from camphorvalve.reports.outcomes import OutcomeCounts
    from camphorvalve.sharing.routing import RouteTable
    from camphorvalve.wiring.platforms import RouterPlatform


class RouterIntake:
    """The intake of a router and its pressure, with the parts that they are measured by."""

    def __init__(
        self, manifest: ManifestInForce, shares: SharesController, outcomes: OutcomeCounts
    ) -> None:
        """
        Start without lag.

        :param manifest: tells which team a key belongs to
        :param shares: counts the demand of refused requests
        :param outcomes: counts of the requests that ended
        """
        self._manifest = manifest
        self._shares = shares
        self._outcomes = outcomes
        self._lag_s = 0.0
        self._refusals = RefusalLog(self._status)
        self._pressure = Pressure()
        self._intake = Intake()
        self._table: RouteTable | None = None
        """Route table for which the target of the intake was derived."""

    def guard(self, platform: RouterPlatform) -> ConnectionGuard:
        """
        Create the guard of the callers' port.

        :param platform: names of the headers, and the cost of a request by them
        :return: the guard
        """
        return ConnectionGuard(
            self._intake,
            platform.header_names.request_id,
            self._team_name,
            platform.key_header,
            platform.cost_tokens,
            self._on_connection_refused,
        )

    def measure(self, lag_s: float) -> None:
        """
        Adapt the intake and the pressure.

        :param lag_s: time by which the event loop was late
        """
        self._lag_s = lag_s
        self._follow_manifest()
        outcomes = self._outcomes
        self._intake.measure(
            lag_s, outcomes.answered_count + outcomes.failed_count, outcomes.refused_count
        )
        now_s = time.monotonic()
        is_short = self._intake.is_overloaded() or self._shares.needs_relief(now_s)
        self._pressure.measure(now_s, is_overloaded=is_short)
        self._refusals.flush_due()

    def _follow_manifest(self) -> None:
        table = self._manifest.table()
        if table is self._table or table is None:
            return
        self._table = table
        routes = table.manifest.routes
        objective_s = min((route.objective_s for route in routes if route.streamed), default=None)
        self._intake.target_lag_s = target_lag_s(objective_s)

    def is_overloaded(self) -> bool:
        """:return: whether new requests are refused for lack of processor time"""
        return self._intake.is_overloaded()

    def level_count(self) -> float:
        """:return: new connections of a team that are served in one interval of the intake"""
        return self._intake.level_count

    def refused_count(self) -> int:
        """:return: connections that were refused since the start"""
        return self._intake.refused_count

    def is_pressed(self, now_s: float) -> bool:
        """
        Tell whether callers should be sent elsewhere.

        :param now_s: monotonic time
        :return: whether this router is short of processor time, or relieves its data centre
        """
        return self._pressure.is_pressed(now_s)

    def check_load(self, request: Request) -> None:
        """
        Check a request on a connection that has carried others.

        :param request: the request, its body unread
        :raises RequestError: processor time is too short for it
        """
        team = self._team_name(request.token)
        if self._intake.accepts_next(team):
            return
        self._refusals.add(request.request_id)
        self.on_request_refused(request)
        raise lack_of_time(self._intake.retry_after_s(team))

    def on_request_refused(self, request: Request) -> None:
        """
        Count the demand of a request that was refused after it had been decoded.

        :param request: the request
        """
        self._count_refused_demand(self._team_name(request.token), cost_tokens(request.call))

    def _on_connection_refused(self, refused: RefusedRequest) -> None:
        self._refusals.add(refused.request_id)
        self._count_refused_demand(refused.team, refused.cost_tokens)

    def _count_refused_demand(self, team: str | None, tokens: float) -> None:
        if team is not None and tokens:
            self._shares.record_refused_at_intake(team, tokens, time.monotonic())

    def _team_name(self, key: str | None) -> str | None:
        table = self._manifest.table()
        team = None if table is None or key is None else table.team(key)
        return None if team is None else team.name

    def _status(self) -> dict[str, float]:
        return {
            "lag_ms": round(1000 * self._lag_s, 1),
            "intake_level_count": round(self._intake.level_count, 2),
        }


__all__ = ["RouterIntake"]
