"""Chooses the upstream of a request: its prompt's home, as long as that is not overloaded."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from camphorvalve.model.requests import Prompt, RoutedCall
from camphorvalve.sharing.shares import OUTPUT_TOKEN_WEIGHT

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from camphorvalve.model.requests import Call

HOMES_COUNT = 2
"""Upstreams that a prefix may be placed at; with four, more was read again and the worth of scale-1
fell from 0.40 to 0.34."""
LOAD_RATIO = 1.3
"""Load above the mean at which a home is passed over; from the trials in ../docs/platform.md."""
LOAD_SLACK_TOKENS = 60_000
"""Load above that ratio that is still accepted, so that an idle fleet keeps to the homes."""


def prefers_near(prompt: Prompt) -> bool:
    """
    Tell whether a prompt is better read in every data centre than sent to another one.

    :param prompt: the prompt
    :return: whether its shared parts are that short
    """
    return sum(part.tokens_count for part in prompt.parts[:-1]) < NEAR_TOKENS


def cost_tokens(call: Call) -> float:
    """
    Estimate what a call costs an engine.

    :param call: the call
    :return: tokens, generated ones by their weight; 0 for a call without a prompt
    """
    match call:
        case RoutedCall(prompt=Prompt() as prompt):
            return prompt_tokens(prompt)
        case _:
            return 0.0


def prompt_tokens(prompt: Prompt) -> float:
    """
    Estimate what a prompt and its answer cost an engine.

    :param prompt: the prompt
    :return: tokens, generated ones by their weight
    """
    return prompt.input_tokens_count + OUTPUT_TOKEN_WEIGHT * prompt.output_tokens_count


class Load(NamedTuple):
    """What this router has running at an upstream."""

    requests_count: int = 0
    waiting_count: int = 0
    """Of these, requests whose answers have not begun."""
    tokens_count: float = 0.0


def prefix_key(prompt: Prompt | None) -> str | None:
    """
    Name what requests with the same beginning of their prompts share.

    :param prompt: the prompt
    :return: the key, ``None`` for a prompt that shares nothing
    """
    if prompt is None or len(prompt.parts) < 2:
        return None
    shared = prompt.parts[: 2 if len(prompt.parts) > 2 else 1]
    return "/".join(part.part_id for part in shared)


NEAR_TOKENS = 2_000
"""Shared tokens that cost as little to read again as their request costs between data centres:
at the prices of docs/platform.md, 17 KB are worth 2,000 tokens."""

HasRoom = Callable[[str], bool]
"""Tells whether this router may send another request to an upstream."""


def place(ranked_ids: Sequence[str], loads: Mapping[str, Load], has_room: HasRoom) -> str | None:
    """
    Choose among the homes of a prefix; bounded loads as in Mirrokni, Thorup and Zadimoghaddam,
    "Consistent Hashing with Bounded Loads" (2018), by rendezvous hashing.

    :param ranked_ids: usable upstreams, ranked for the key from ``prefix_key``
    :param loads: load by upstream
    :param has_room: which upstreams may get another request
    :return: the upstream, ``None`` when every home is full
    """
    total = sum(loads[one].tokens_count for one in ranked_ids if one in loads)
    bound = LOAD_RATIO * total / max(1, len(ranked_ids)) + LOAD_SLACK_TOKENS
    open_homes = [one for one in ranked_ids[:HOMES_COUNT] if has_room(one)]
    within = (one for one in open_homes if loads.get(one, Load()).tokens_count <= bound)
    return next(within, open_homes[0] if open_homes else None)


def least_loaded(
    upstream_ids: Sequence[str], loads: Mapping[str, Load], has_room: HasRoom
) -> str | None:
    """
    Choose the upstream with the fewest requests of this router.

    :param upstream_ids: usable upstreams in random order
    :param loads: load by upstream
    :param has_room: which upstreams may get another request
    :return: the upstream, ``None`` when all are full
    """
    free = filter(has_room, upstream_ids)
    return min(free, key=lambda one: loads.get(one, Load()).requests_count, default=None)


__all__ = [
    "HOMES_COUNT",
    "HasRoom",
    "Load",
    "cost_tokens",
    "least_loaded",
    "place",
    "prefers_near",
    "prefix_key",
    "prompt_tokens",
]
