"""Hints for prefix affinity: where the prefix of a prompt was served last."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

HINTS_COUNT = 4096
"""Maximum number of hints, which take about 0.6 MB."""
HINT_LIFETIME_S = 300.0


class _Hint(NamedTuple):
    upstream_id: str
    at_s: float


class PrefixAffinity:
    """
    The upstream that served each prefix last, from the requests of this router.

    These are only hints: engines evict prefixes from their caches without notice.
    """

    def __init__(self) -> None:
        """Start without hints."""
        self._hints: OrderedDict[str, _Hint] = OrderedDict()

    def note(self, prefix: str, upstream_id: str, now_s: float) -> None:
        """
        Record where a prefix was served.

        :param prefix: key of the first block of a prompt
        :param upstream_id: the upstream
        :param now_s: current time
        """
        self._hints[prefix] = _Hint(upstream_id, now_s)
        self._hints.move_to_end(prefix)
        if len(self._hints) > HINTS_COUNT:
            self._hints.popitem(last=False)

    def upstream_of(self, prefix: str, now_s: float) -> str | None:
        """
        Return the upstream where a prefix may still be cached.

        :param prefix: key of the first block of a prompt
        :param now_s: current time
        :return: the upstream, ``None`` without a recent hint
        """
        hint = self._hints.get(prefix)
        if hint is None or now_s - hint.at_s > HINT_LIFETIME_S:
            return None
        return hint.upstream_id


__all__ = ["PrefixAffinity"]
