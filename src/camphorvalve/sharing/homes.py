"""
Chooses the upstream of a request by the prefix of its prompt.

The homes of a prefix are the few upstreams that serve it and so keep it in their caches.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.requests import Prompt, RoutedCall
from camphorvalve.sharing.shares import OUTPUT_TOKEN_WEIGHT

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from camphorvalve.model.requests import Call

HOMES_COUNT = 2
"""Homes of each prefix. With four, more prefixes were processed again, and the value of the served
requests fell from 0.40 to 0.34."""
MAX_LOAD_FACTOR = 1.3
"""Load as a multiple of the mean above which a home is skipped."""
LOAD_SLACK_TOKENS = 60_000
"""Load that is accepted in addition, so that an idle fleet uses the first homes."""


def prefers_local(prompt: Prompt) -> bool:
    """
    Tell whether a prompt stays in its data centre even if another one has its prefix cached.

    :param prompt: the prompt
    :return: whether its shared parts are short enough to process again in each data centre
    """
    return sum(part.tokens_count for part in prompt.parts[:-1]) < LOCAL_PREFIX_TOKENS


def cost_tokens(call: Call) -> float:
    """
    Estimate the cost of a call at an engine.

    :param call: the call
    :return: input tokens plus weighted output tokens; 0 for a call without a prompt
    """
    match call:
        case RoutedCall(prompt=Prompt() as prompt):
            return prompt_tokens(prompt)
        case _:
            return 0.0


def prompt_tokens(prompt: Prompt) -> float:
    """
    Estimate the cost of a prompt and its answer at an engine.

    :param prompt: the prompt
    :return: input tokens plus weighted output tokens
    """
    return prompt.input_tokens_count + OUTPUT_TOKEN_WEIGHT * prompt.output_tokens_count


class Load(NamedTuple):
    """Requests that this router has in flight at an upstream."""

    requests_count: int = 0
    waiting_count: int = 0
    """Requests in flight whose answers have not begun."""
    tokens_count: float = 0.0


def prefix_key(prompt: Prompt | None) -> str | None:
    """
    Return the key that requests with the same prefix share.

    :param prompt: the prompt
    :return: the key, ``None`` for a prompt without shared parts
    """
    if prompt is None or len(prompt.parts) < 2:
        return None
    shared = prompt.parts[: 2 if len(prompt.parts) > 2 else 1]
    return "/".join(part.part_id for part in shared)


LOCAL_PREFIX_TOKENS = 2_000
"""Number of shared tokens below which processing them again costs less than sending the request to
another data centre: at the prices of docs/platform.md, 17 KB cost as much as 2,000 tokens."""

HasRoom = Callable[[str], bool]
"""Tells whether this router may send another request to an upstream."""


def place(ranked_ids: Sequence[str], loads: Mapping[str, Load], has_room: HasRoom) -> str | None:
    """
    Choose among the homes of a prefix.

    This is rendezvous hashing with bounded loads as in Mirrokni, Thorup and Zadimoghaddam,
    "Consistent Hashing with Bounded Loads" (2018).

    :param ranked_ids: usable upstreams, ranked for the key from ``prefix_key``
    :param loads: load by upstream
    :param has_room: whether an upstream may get another request
    :return: the upstream, ``None`` when every home is full
    """
    total = sum(
        loads[upstream_id].tokens_count for upstream_id in ranked_ids if upstream_id in loads
    )
    bound = MAX_LOAD_FACTOR * total / max(1, len(ranked_ids)) + LOAD_SLACK_TOKENS
    open_homes = [upstream_id for upstream_id in ranked_ids[:HOMES_COUNT] if has_room(upstream_id)]
    within_bound = (
        upstream_id
        for upstream_id in open_homes
        if loads.get(upstream_id, Load()).tokens_count <= bound
    )
    return next(within_bound, open_homes[0] if open_homes else None)


def least_loaded(
    upstream_ids: Sequence[str], loads: Mapping[str, Load], has_room: HasRoom
) -> str | None:
    """
    Choose the upstream with the fewest requests in flight from this router.

    :param upstream_ids: usable upstreams in random order
    :param loads: load by upstream
    :param has_room: whether an upstream may get another request
    :return: the upstream, ``None`` when all are full
    """
    free = filter(has_room, upstream_ids)
    return min(
        free,
        key=lambda upstream_id: loads.get(upstream_id, Load()).requests_count,
        default=None,
    )


__all__ = [
    "HOMES_COUNT",
    "HasRoom",
    "Load",
    "cost_tokens",
    "least_loaded",
    "place",
    "prefers_local",
    "prefix_key",
    "prompt_tokens",
]
