"""Reads load reports and prefix-cache events of engines; both are hints that may be outdated."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING, Any, Literal, NamedTuple, TypedDict

from camphorvalve.upstreams.fetching import DocumentError, FetchLimits, fetch_document

if TYPE_CHECKING:
    from collections.abc import Iterator

    from camphorvalve.model.upstreams import Upstream
    from camphorvalve.upstreams.client import UpstreamClient

REPORT_LIMITS = FetchLimits(timeout_s=2.0, body_bytes=1 << 20)
PREFIX_BLOCK_CHARACTERS = 64
"""Engines identify a cached prefix by a hash over complete blocks of this size."""
MAX_PREFIXES_COUNT = 4096
"""Most prefixes remembered for each engine, which take about 0.5 MB."""


class ReportError(Exception):
    """A report could not be read; the message names the upstream and the cause."""


class LoadReport(NamedTuple):
    """Load that an engine reported, and the age of the report."""

    running_count: int
    waiting_count: int
    slots_count: int
    age_s: float


class _Load(TypedDict):
    running: int
    waiting: int
    slots: int
    measured_at_s: float


class CacheEvent(TypedDict):
    """One change of an engine's prefix cache."""

    number: int
    at_s: float
    kind: Literal["stored", "evicted"]
    prefix: str


class CacheFeed(TypedDict):
    """Cache events after the requested number."""

    last: int
    events: list[CacheEvent]


async def read_load(client: UpstreamClient, upstream: Upstream, now_s: float) -> LoadReport:
    """
    Read an engine's load report.

    :param client: HTTP client
    :param upstream: the engine
    :param now_s: wall-clock time
    :return: the report; its age is never negative, even if the clocks differ
    :raises ReportError: no report, or an invalid one
    """
    load: _Load = await _fetch(client, upstream, "/v1/load", _Load)
    age_s = max(0.0, now_s - load["measured_at_s"])
    return LoadReport(load["running"], load["waiting"], load["slots"], age_s)


async def read_cache_events(client: UpstreamClient, upstream: Upstream, after: int) -> CacheFeed:
    """
    Read the changes of an engine's prefix cache.

    :param client: HTTP client
    :param upstream: the engine
    :param after: number of the last known event
    :return: later events
    :raises ReportError: no response, or an invalid one
    """
    return await _fetch(client, upstream, f"/v1/cache-events?after={after}", CacheFeed)


def prefix_keys(prompt: str) -> Iterator[str]:
    """
    Compute the keys of a prompt's cacheable prefixes, as engines do.

    :param prompt: the prompt
    :return: keys, shortest prefix first
    """
    digest = hashlib.blake2b(digest_size=8)
    for end in range(PREFIX_BLOCK_CHARACTERS, len(prompt) + 1, PREFIX_BLOCK_CHARACTERS):
        digest.update(prompt[end - PREFIX_BLOCK_CHARACTERS : end].encode())
        yield digest.hexdigest()


class PrefixHints:
    """Estimated content of one engine's prefix cache, from its cache events."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self.after = 0
        """Number of the last event that was applied."""
        self.newest_at_s = 0.0
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def apply(self, feed: CacheFeed) -> None:
        """
        Apply events; after a gap or a restart of the numbering, earlier entries are dropped.

        :param feed: response to a request for the events after ``after``
        """
        if feed["last"] < self.after:
            self._reset(0)
            return
        for event in feed["events"]:
            if event["number"] <= self.after:
                continue
            # A lost event may have been an eviction, so older entries cannot be trusted.
            if event["number"] != self.after + 1:
                self._reset(event["number"] - 1)
            self._apply(event)

    def age_s(self, now_s: float) -> float:
        """
        Compute the age of the newest event that was applied.

        :param now_s: wall-clock time
        :return: age in seconds
        """
        return max(0.0, now_s - self.newest_at_s)

    def cached_blocks_count(self, prompt: str) -> int:
        """
        Estimate how much of a prompt the engine has cached.

        :param prompt: the prompt
        :return: number of cached blocks from the start of the prompt
        """
        count = 0
        for key in prefix_keys(prompt):
            if key not in self._prefixes:
                break
            count += 1
        return count

    def _apply(self, event: CacheEvent) -> None:
        self.after = event["number"]
        self.newest_at_s = event["at_s"]
        match event["kind"]:
            case "stored":
                self._prefixes[event["prefix"]] = None
                self._prefixes.move_to_end(event["prefix"])
                if len(self._prefixes) > MAX_PREFIXES_COUNT:
                    self._prefixes.popitem(last=False)
            case "evicted":
                self._prefixes.pop(event["prefix"], None)

    def _reset(self, after: int) -> None:
        self.after = after
        self._prefixes.clear()


async def _fetch(client: UpstreamClient, upstream: Upstream, path: str, response_type: Any) -> Any:
    try:
        return await fetch_document(client, upstream, path, REPORT_LIMITS, response_type)
    except DocumentError as error:
        raise ReportError(str(error)) from error


__all__ = [
    "CacheEvent",
    "CacheFeed",
    "LoadReport",
    "PrefixHints",
    "ReportError",
    "prefix_keys",
    "read_cache_events",
    "read_load",
]
