"""Prefix cache of a model engine and its cache events, which come late and with gaps."""

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
    """Size of the cache and quality of its events."""

    blocks_count: int = 256
    event_lag_s: float = 0.5
    gap_ratio: float = 0.0
    """Part of the events that is never delivered."""
    seed: int = 1


class CacheEvent(NamedTuple):
    """One change of the cache."""

    number: int
    at_s: float
    kind: str
    """``stored`` or ``evicted``."""
    prefix: str


def block_keys(prompt: str) -> Iterator[str]:
    """
    Name the cacheable prefixes of a prompt, shortest first.

    :param prompt: the prompt
    :return: a hash of each prefix that ends at a whole block
    """
    digest = hashlib.blake2b(digest_size=8)
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        yield digest.copy().hexdigest()


class PrefixCache:
    """Keeps the most recently used blocks."""

    def __init__(self, settings: CacheSettings) -> None:
        """
        Start empty.

        :param settings: size and quality
        """
        self._settings = settings
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[CacheEvent] = []
        self._number = 0
        self._random = random.Random(settings.seed)

    def use(self, prompt: str, now_s: float) -> int:
        """
        Look up a prompt and store its blocks.

        :param prompt: the prompt
        :param now_s: wall-clock time
        :return: prompt tokens that were not in the cache
        """
        missed_count = len(prompt) // PROMPT_TOKEN_CHARACTERS
        hit = True
        for key in block_keys(prompt):
            hit = hit and key in self._blocks
            if hit:
                missed_count -= BLOCK_CHARACTERS // PROMPT_TOKEN_CHARACTERS
            self._store(key, now_s)
        return max(0, missed_count)

    def feed(self, after: int, now_s: float) -> dict[str, Any]:
        """
        Give the events that are old enough to be known.

        :param after: number of the last event that the reader has
        :param now_s: wall-clock time
        :return: number of the last event, and the events after ``after`` in order, with gaps
        """
        visible_s = now_s - self._settings.event_lag_s
        visible = [event for event in self._events if event.at_s <= visible_s]
        return {
            "last": visible[-1].number if visible else 0,
            "events": [event._asdict() for event in visible if event.number > after],
        }

    def _store(self, key: str, now_s: float) -> None:
        if key not in self._blocks:
            self._note("stored", key, now_s)
        self._blocks[key] = None
        self._blocks.move_to_end(key)
        while len(self._blocks) > self._settings.blocks_count:
            evicted, _ = self._blocks.popitem(last=False)
            self._note("evicted", evicted, now_s)

    def _note(self, kind: str, key: str, now_s: float) -> None:
        self._number += 1
        if self._random.random() >= self._settings.gap_ratio:
            self._events.append(CacheEvent(self._number, now_s, kind, key))
            del self._events[:-MAX_EVENTS_COUNT]


__all__ = ["CacheEvent", "CacheSettings", "PrefixCache", "block_keys"]
