"""
Orders from two leaders to two engines, one of which checks fencing numbers.

Time advances in discrete steps. The old leader's lease ends at ``LEASE`` by its own clock, which
may lag by up to ``DRIFT``; an order is delivered within ``DELIVERY`` or never. The new leader waits
for the sum of the three. The deliberate defect lets the old leader send orders after its lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LEASE = 2
DRIFT = 1
DELIVERY = 2
END_TIME = 9
ENGINES = ("checks", "ignores")
OLD, NEW = 1, 2


class Order(NamedTuple):
    """An order in flight; ``leader`` serves as the fencing number, which grows with each leader."""

    leader: int
    sent_at: int


class State(NamedTuple):
    """Global state of the system."""

    now: int
    clock_lag: int
    """Time by which the old leader's clock lags."""
    elected_at: int | None
    """Time at which the new leader was elected."""
    in_flight: frozenset[Order]
    newest_leaders: tuple[int, int]
    """For each engine, the newest leader whose order it has executed."""
    stale: tuple[bool, bool]
    """For each engine, whether it has executed an order after one from a newer leader."""


Transition = tuple[str, State]


def _send_order(state: State, leader: int) -> Transition:
    order = Order(leader, state.now)
    return f"order of leader {leader}", state._replace(in_flight=state.in_flight | {order})


def _leader_steps(state: State, defect: bool) -> Iterator[Transition]:
    if state.now - state.clock_lag < LEASE or defect:
        yield _send_order(state, OLD)
    if state.elected_at is None:
        yield "elect", state._replace(elected_at=state.now)
    elif state.now > state.elected_at + LEASE + DRIFT + DELIVERY:
        yield _send_order(state, NEW)


def _time_steps(state: State) -> Iterator[Transition]:
    if state.now < END_TIME:
        in_flight = {order for order in state.in_flight if order.sent_at + DELIVERY > state.now}
        yield "time", state._replace(now=state.now + 1, in_flight=frozenset(in_flight))
    if state.clock_lag < DRIFT and state.now > 0:
        yield "old leader's clock lags", state._replace(clock_lag=state.clock_lag + 1)


def _delivery_steps(state: State) -> Iterator[Transition]:
    for order in state.in_flight:
        delivered = state._replace(in_flight=state.in_flight - {order})
        for engine, behaviour in enumerate(ENGINES):
            newest_leader = state.newest_leaders[engine]
            if behaviour == "checks" and order.leader < newest_leader:
                yield f"{behaviour} rejects order of leader {order.leader}", delivered
                continue
            updated_leaders = list(state.newest_leaders)
            updated_leaders[engine] = max(newest_leader, order.leader)
            stale = list(state.stale)
            stale[engine] = stale[engine] or order.leader < newest_leader
            yield (
                f"{behaviour} executes order of leader {order.leader}",
                delivered._replace(newest_leaders=tuple(updated_leaders), stale=tuple(stale)),
            )


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether the old leader sends orders after its lease
    :return: the specification
    """

    def transitions(state: State) -> list[Transition]:
        return [*_leader_steps(state, defect), *_time_steps(state), *_delivery_steps(state)]

    return Protocol(
        name="fenced order",
        candidate=False,
        fields=State._fields,
        initial=State(0, 0, None, frozenset(), (0, 0), (False, False)),
        transitions=transitions,
        invariants={
            "no stale order on an engine that checks fencing numbers": lambda state: (
                not state["stale"][0]
            ),
            "no stale order on an engine that ignores fencing numbers": lambda state: (
                not state["stale"][1]
            ),
        },
    )


__all__ = ["protocol"]
