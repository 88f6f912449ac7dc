"""Builders of fleets in which one request, the same each time, crashes the engines that run it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from tests.controllers.enginefleet import DEADLY, FIRST, EngineFleet, run_simulated
from tests.routebuilders import a_route

if TYPE_CHECKING:
    from collections.abc import Callable

    from camphorvalve.model.routes import Route

SHARED = "shared"
"""Body of many sound requests."""
SHARED_RATIO = 0.3
SOUND_PER_S = 30.0
SAFE_2 = a_route(idempotent=True, attempts_count=2)
SAFE_3 = a_route(idempotent=True, attempts_count=3)
ONCE = a_route(attempts_count=1)
STREAM = a_route(idempotent=True, streamed=True, resumable=True, attempts_count=3)
ROUTES = {"safe, 2 attempts": SAFE_2, "safe, 3 attempts": SAFE_3, "once": ONCE, "stream": STREAM}
SOUND_REPEATS_COUNT = 2


class Setup(NamedTuple):
    """A service, its routers, and how often its deadly request comes."""

    engines_count: int
    route: Route
    routers_count: int
    deadly_per_s: float


def drawn_setup(seed: int, engines_count: int, route: Route) -> Setup:
    """Draw the routers and the rate by the seed."""
    return Setup(engines_count, route, (2, 8)[seed % 2], (3.0, 8.0, 15.0)[seed % 3])


def play_deadly_request(
    seed: int,
    setup: Setup,
    duration_s: float,
    deadly_from_s: float,
    prepare: Callable[[EngineFleet], None],
) -> EngineFleet:
    """Run a fleet in which a request is deadly from some time on; with infinity, it isn't sent."""
    fleets = []

    async def main() -> None:
        fleet = EngineFleet(
            seed, routers_count=setup.routers_count, engines_count=setup.engines_count
        )
        fleets.append(fleet)
        fleet.route, fleet.has_prompts = setup.route, setup.route.streamed
        fleet.requests_per_s = SOUND_PER_S + setup.deadly_per_s
        fleet.deadly_ratio = setup.deadly_per_s / fleet.requests_per_s
        fleet.deadly_from_s = fleet.start_s + deadly_from_s
        fleet.sound_repeats_count = SOUND_REPEATS_COUNT
        fleet.random_parts = lambda: _random_parts(fleet)
        prepare(fleet)
        await fleet.run(duration_s)

    run_simulated(main)
    return fleets[0]


def _random_parts(fleet: EngineFleet) -> tuple[str, ...]:
    """Draw a request, of which the last part is its own; it is all that a plain one has."""
    shared = (FIRST, fleet.rng.choice(fleet.middle_parts)) if fleet.has_prompts else ()
    if fleet.now_s() >= fleet.deadly_from_s and fleet.rng.random() < fleet.deadly_ratio:
        # Always the same, and its shared parts are those of sound requests too.
        return (*shared[:1], *fleet.middle_parts[: len(shared[1:])], DEADLY)
    if fleet.rng.random() < SHARED_RATIO:
        return (*shared[:1], *fleet.middle_parts[: len(shared[1:])], SHARED)
    return *shared, f"own-{fleet.rng.random()}"


__all__ = ["ROUTES", "Setup", "drawn_setup", "play_deadly_request"]
