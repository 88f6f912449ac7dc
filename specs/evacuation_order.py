"""
An operator evacuates a data centre and then ends it; each order is sent to two controllers.

A controller confirms the count of changes when an order arrives, and commits the order only on that
count. A copy of the first order may be unfinished when the second one is committed, but has arrived
before that: a call that the network holds back longer cannot be told from a new order. The
deliberate defect commits an order on any count.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

from minicheck import Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

COPIES_COUNT = 2
"""Controllers that each order is sent to."""


class Phase(enum.IntEnum):
    """Progress of a copy of an order at its controller."""

    UNDER_WAY = 0
    CONFIRMED = 1
    ACKNOWLEDGED = 2
    OVERTAKEN = 3


class Copy(NamedTuple):
    """A copy of an order at one controller."""

    phase: Phase = Phase.UNDER_WAY
    base_count: int = 0
    """Changes that a majority confirmed when the copy had arrived."""


class State(NamedTuple):
    """Global state of the system."""

    in_force: bool
    changes_count: int
    evacuate: tuple[Copy, ...]
    end: tuple[Copy, ...]


Transition = tuple[str, State]


def _is_acknowledged(copies: tuple[Copy, ...]) -> bool:
    return any(copy.phase is Phase.ACKNOWLEDGED for copy in copies)


def _order_steps(state: State, order: str, defect: bool) -> Iterator[Transition]:
    copies: tuple[Copy, ...] = getattr(state, order)
    wanted = order == "evacuate"
    for index, copy in enumerate(copies):

        def moved(phase: Phase, index: int = index, base_count: int = 0) -> State:
            changed = list(copies)
            changed[index] = Copy(phase, base_count)
            return state._replace(**{order: tuple(changed)})

        if copy.phase is Phase.UNDER_WAY and not _is_acknowledged(state.end):
            yield (
                f"{order} arrives at controller {index}",
                moved(Phase.CONFIRMED, base_count=state.changes_count),
            )
        if copy.phase is not Phase.CONFIRMED:
            continue
        if state.in_force == wanted:
            yield f"{order} is in force at controller {index}", moved(Phase.ACKNOWLEDGED)
        elif copy.base_count == state.changes_count or defect:
            committed = moved(Phase.ACKNOWLEDGED)
            yield (
                f"{order} is committed by controller {index}",
                committed._replace(in_force=wanted, changes_count=state.changes_count + 1),
            )
        else:
            yield f"{order} is overtaken at controller {index}", moved(Phase.OVERTAKEN)


def protocol(*, defect: bool) -> Protocol:
    """
    Build the specification.

    :param defect: whether orders are committed on any count of changes
    :return: the specification
    """

    def transitions(state: State) -> list[Transition]:
        steps = list(_order_steps(state, "evacuate", defect))
        if _is_acknowledged(state.evacuate):
            steps.extend(_order_steps(state, "end", defect))
        return steps

    copies = (Copy(),) * COPIES_COUNT
    return Protocol(
        name="evacuation order",
        candidate=False,
        fields=State._fields,
        initial=State(False, 0, copies, copies),
        transitions=transitions,
        invariants={
            "the last acknowledged order is in force": lambda state: (
                not _is_acknowledged(state["end"]) or not state["in_force"]
            ),
        },
    )


__all__ = ["Phase", "protocol"]
