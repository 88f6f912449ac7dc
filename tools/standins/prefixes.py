"""Simulated prefix cache of a model engine, whose cache events come late and with gaps."""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

BLOCK_CHARACTERS = 64
PROMPT_TOKEN_CHARACTERS = 4
MAX_EVENTS_COUNT = 1024


class CacheSettings(NamedTuple):
    """Capacity of the cache, and delay and loss of its events."""

    blocks_count: int = 256
    event_lag_s: float = 0.5
    gap_ratio: float = 0.0
    """Fraction of the events that is never delivered."""
    seed: int = 1


class CacheEvent(NamedTuple):
    """Change of the cache."""

    number: int
    at_s: float
    kind: str
    """``stored`` or ``evicted``."""
    prefix: str


def block_keys(prompt: str) -> Iterator[str]:
    """
    Compute the keys of the cacheable prefixes of a prompt, shortest first.

    :param prompt: the prompt
    :return: a hash of each prefix that consists of whole blocks
    """
    digest = hashlib.blake2b(digest_size=8)
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        yield digest.copy().hexdigest()


class PrefixCache:
    """Cache that keeps the most recently used blocks."""

    def __init__(self, settings: CacheSettings) -> None:
        """
        Create an empty cache.

        :param settings: capacity, and delay and loss of events
        """
        self._settings = settings
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._number = 0
        self._random = random.Random(settings.seed)

    def use(self, prompt: str, now_s: float) -> int:
        """
        Look up the blocks of a prompt and store those that are missing.

        :param prompt: the prompt
        :param now_s: wall-clock time
        :return: number of prompt tokens that were not in the cache
        """
        missed_count = len(prompt) // PROMPT_TOKEN_CHARACTERS
        is_prefix_cached = True
        for key in block_keys(prompt):
            is_prefix_cached = is_prefix_cached and key in self._blocks
            if is_prefix_cached:
                missed_count -= BLOCK_CHARACTERS // PROMPT_TOKEN_CHARACTERS
            self._store(key, now_s)
        return max(0, missed_count)

    def feed(self, after: int, now_s: float) -> dict[str, Any]:
        """
        Return the events that are at least ``event_lag_s`` old.

        :param after: number of the last event that the client has
        :param now_s: wall-clock time
        :return: number of the last visible event, and the delivered events after ``after`` in order
        """
        visible_before_s = now_s - self._settings.event_lag_s
        visible = [event for event in self._events if event.at_s <= visible_before_s]
        return {
            "last": visible[-1].number if visible else 0,
            "events": [event._asdict() for event in visible if event.number > after],
        }

    def _store(self, key: str, now_s: float) -> None:
        if key not in self._blocks:
            self._record_event("stored", key, now_s)
        self._blocks[key] = None
        self._blocks.move_to_end(key)
        while len(self._blocks) > self._settings.blocks_count:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted, now_s)

    def _record_event(self, kind: str, key: str, now_s: float) -> None:
        self._number += 1
        if self._random.random() >= self._settings.gap_ratio:
            self._events.append(CacheEvent(self._number, now_s, kind, key))
            del self._events[:-MAX_EVENTS_COUNT]


__all__ = ["CacheEvent", "CacheSettings", "PrefixCache", "block_keys"]
