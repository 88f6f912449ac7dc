"""Registers what a router shows of itself: metrics, and levels in its log."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.controllers.inforce import ManifestInForce
    from camphorvalve.controllers.origins import OriginsFollower
    from camphorvalve.controllers.router.bounds import Rooms
    from camphorvalve.controllers.router.coldstarts import ColdStartsController
    from camphorvalve.controllers.router.returns import ReturnCounts
    from camphorvalve.controllers.router.roster import RosterController
    from camphorvalve.controllers.router.shares import SharesController
    from camphorvalve.controllers.suspects import SuspectsFollower
    from camphorvalve.filters.observe import ObserveFilter
    from camphorvalve.filters.resume import ResumeFilter
    from camphorvalve.http.connections import ConnectionTracker
    from camphorvalve.reports.exposition import Exposition
    from camphorvalve.reports.levels import LevelReporter
    from camphorvalve.reports.outcomes import OutcomeCounts
    from camphorvalve.wiring.routerintake import RouterIntake


class MeasuredParts(NamedTuple):
    """The parts of a router that have something to show."""

    observe_filter: ObserveFilter
    resume_filter: ResumeFilter
    manifest: ManifestInForce
    roster: RosterController
    shares: SharesController
    suspects: SuspectsFollower
    origins: OriginsFollower
    cold_starts: ColdStartsController
    rooms: Rooms
    connections: ConnectionTracker
    intake: RouterIntake
    outcomes: OutcomeCounts
    engine_part: Callable[[], float]
    """Returns the part of each engine that this router may use."""


def register_metrics(exposition: Exposition, parts: MeasuredParts, reporter: LevelReporter) -> None:
    """
    Register the gauges of a router's metrics.

    :param exposition: metrics of the process
    :param parts: parts of the router
    :param reporter: measures the lag of the event loop
    """
    add_gauge = exposition.add_gauge
    add_gauge("running_count", "requests that have not ended", parts.observe_filter.open_count)
    add_gauge("manifest_version", "version in force", parts.manifest.version)
    add_gauge("routers_count", "routers that accept callers", parts.roster.routers_count)
    add_gauge("engine_part", "part of each engine for this router", parts.engine_part)
    add_gauge(
        "totals_age_seconds",
        "time since the fleet's demand was heard",
        lambda: parts.shares.totals_age_s(time.monotonic()),
    )
    add_gauge("reports_count", "routers whose demand is in the totals", parts.shares.reports_count)
    add_gauge("lag_seconds", "time by which the loop was late", lambda: reporter.lag_s)
    add_gauge(
        "intake_level_count",
        "new connections of a team that are served in 50 ms",
        parts.intake.level_count,
    )
    add_gauge(
        "condemned_parts_count",
        "parts of prompts that are refused because they crash upstreams",
        parts.suspects.condemned_count,
    )
    add_gauge(
        "streams_resumed_count",
        "streams of earlier requests that could go on",
        lambda: parts.resume_filter.resumed_count,
    )
    add_gauge(
        "streams_not_resumed_count",
        "streams of earlier requests that had to begin anew",
        lambda: parts.resume_filter.not_resumed_count,
    )
    add_gauge(
        "stream_origins_count",
        "streams whose software version is known here",
        parts.origins.streams_count,
    )
    add_gauge(
        "cold_upstreams_count",
        "upstreams that are cold or may be",
        parts.cold_starts.cold_count,
    )
    add_gauge(
        "cold_requests_count",
        "requests that this router has sent to cold upstreams",
        lambda: parts.cold_starts.requests_count,
    )
    add_gauge(
        "engine_loads_count",
        "engines whose reported load is in use here",
        parts.rooms.loads_count,
    )
    add_gauge(
        "pressed",
        "whether callers are sent elsewhere (0 or 1)",
        lambda: float(parts.intake.is_pressed(time.monotonic())),
    )


def register_levels(reporter: LevelReporter, parts: MeasuredParts) -> None:
    """
    Register the counters and gauges that a router logs.

    :param reporter: logs them
    :param parts: parts of the router
    """
    reporter.add_counter("connections_count", lambda: parts.connections.opened_count)
    reporter.add_counter("answered_count", lambda: parts.outcomes.answered_count)
    reporter.add_counter("refused_count", lambda: parts.outcomes.refused_count)
    reporter.add_counter("failed_count", lambda: parts.outcomes.failed_count)
    reporter.add_counter("callers_left_count", lambda: parts.outcomes.callers_left_count)
    reporter.add_counter("not_taken_count", parts.intake.refused_count)
    reporter.add_gauge("intake_level_count", lambda: round(parts.intake.level_count(), 2))
    reporter.add_gauge("running_count", parts.observe_filter.open_count)
    reporter.add_gauge("routers_count", parts.roster.routers_count)
    reporter.add_gauge("pressed", lambda: float(parts.intake.is_pressed(time.monotonic())))


def register_returns(counts: ReturnCounts, exposition: Exposition, reporter: LevelReporter) -> None:
    """
    Register the counts of callers that come back after a refusal.

    :param counts: the counts
    :param exposition: metrics of the process
    :param reporter: logs them
    """
    readers: list[tuple[str, str, Callable[[], int]]] = [
        ("promises_count", "refused callers promised room", lambda: counts.promises_count),
        (
            "open_refusals_count",
            "refused callers promised no room",
            lambda: counts.open_refusals_count,
        ),
        ("returns_count", "callers that came back", lambda: counts.returns_count),
        (
            "returns_served_count",
            "callers that came back and were served",
            lambda: counts.returns_served_count,
        ),
        (
            "kept_returns_count",
            "callers that came back to promised room",
            lambda: counts.kept_returns_count,
        ),
        (
            "kept_returns_served_count",
            "callers that came back to promised room and were served",
            lambda: counts.kept_returns_served_count,
        ),
    ]
    for name, description, read in readers:
        exposition.add_gauge(name, description, read)
        reporter.add_counter(name, read)


__all__ = ["MeasuredParts", "register_levels", "register_metrics", "register_returns"]
