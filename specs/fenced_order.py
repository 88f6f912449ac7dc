"""
Orders of two leaders to two engines, of which one checks fencing numbers and one does not.

Time passes in steps. The old leader's lease ends at ``LEASE`` by its own clock, which may run late
by ``DRIFT``; an order arrives within ``DELIVERY`` or never. The new leader waits for the sum of the
three. The deliberate defect lets the old leader give orders after its lease.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

LEASE = 2
DRIFT = 1
DELIVERY = 2
END = 9
ENGINES = ("checks", "ignores")
OLD, NEW = 1, 2


class Order(NamedTuple):
    """An order on its way; the leader stands for the fencing number, which grows with it."""

    leader: int
    sent_at: int


class State(NamedTuple):
    """The whole system."""

    now: int
    late: int
    """How far the old leader's clock is behind."""
    elected_at: int | None
    """When the new leader was elected."""
    flying: frozenset[Order]
    newest: tuple[int, int]
    """Newest leader whose order each engine has carried out."""
    stale: tuple[bool, bool]
    """Whether an engine has carried out an order after one of a newer leader."""


Step = tuple[str, State]


def _give(state: State, leader: int) -> Step:
    order = Order(leader, state.now)
    return f"order of leader {leader}", state._replace(flying=state.flying | {order})


def _leaders(state: State, defect: bool) -> Iterator[Step]:
    if state.now - state.late < LEASE or defect:
        yield _give(state, OLD)
    if state.elected_at is None:
        yield "elect", state._replace(elected_at=state.now)
    elif state.now > state.elected_at + LEASE + DRIFT + DELIVERY:
        yield _give(state, NEW)


def _time(state: State) -> Iterator[Step]:
    if state.now < END:
        kept = {one for one in state.flying if one.sent_at + DELIVERY > state.now}
        yield "time", state._replace(now=state.now + 1, flying=frozenset(kept))
    if state.late < DRIFT and state.now > 0:
        yield "clock runs late", state._replace(late=state.late + 1)


def _deliveries(state: State) -> Iterator[Step]:
    for order in state.flying:
        left = state._replace(flying=state.flying - {order})
        for engine, behaviour in enumerate(ENGINES):
            newest = state.newest[engine]
            if behaviour == "checks" and order.leader < newest:
                yield f"{behaviour} refuses leader {order.leader}", left
                continue
            carried_out = list(state.newest)
            carried_out[engine] = max(newest, order.leader)
            stale = list(state.stale)
            stale[engine] = stale[engine] or order.leader < newest
            yield (
                f"{behaviour} carries out leader {order.leader}",
                left._replace(newest=tuple(carried_out), stale=tuple(stale)),
            )


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether the old leader gives orders after its lease
    :return: the specification
    """

    def transitions(state: State) -> list[Step]:
        return [*_leaders(state, defect), *_time(state), *_deliveries(state)]

    return Protocol(
        name="fenced order",
        candidate=False,
        fields=State._fields,
        initial=State(0, 0, None, frozenset(), (0, 0), (False, False)),
        transitions=transitions,
        invariants={
            "no stale order where numbers are checked": lambda state: not state["stale"][0],
            "no stale order where numbers are ignored": lambda state: not state["stale"][1],
        },
    )


__all__ = ["protocol"]
