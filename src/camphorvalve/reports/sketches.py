"""A mergeable quantile sketch of latencies, with bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ddsketch.ddsketch import BaseDDSketch
from ddsketch.mapping import LogarithmicMapping
from ddsketch.store import CollapsingLowestDenseStore

if TYPE_CHECKING:
    from collections.abc import Mapping

RELATIVE_ACCURACY = 0.05

BIN_LIMIT = 128
"""Covers latencies that spread by a factor of 3.6e5 at the accuracy above, such as 1 ms to 6 min.
If they spread more widely, the lowest ones share one bin."""

_CHUNK_BINS = 16
"""Allocation step of bins; the library's default of 128 would take 1 KB per empty sketch."""

_MAPPING = LogarithmicMapping(RELATIVE_ACCURACY)


class LatencySketch:
    """Counts latencies in logarithmic bins."""

    def __init__(self, bins: Mapping[str, float] | None = None) -> None:
        """
        Create a sketch.

        :param bins: counts by bin, as returned by ``bins`` of another sketch
        """
        self._store = CollapsingLowestDenseStore(BIN_LIMIT)
        self._store.chunk_size = _CHUNK_BINS
        self._sketch = BaseDDSketch(_MAPPING, self._store, CollapsingLowestDenseStore(1), 0.0)
        for key, count in (bins or {}).items():
            self._sketch.add(_MAPPING.value(int(key)), count)

    def add(self, latency_s: float) -> None:
        """
        Count a latency.

        :param latency_s: the latency; less than 1 microsecond counts as 1 microsecond
        """
        self._sketch.add(max(latency_s, 1e-6))

    def merge(self, other: LatencySketch) -> None:
        """
        Add the counts of another sketch.

        :param other: the other sketch, which is not changed
        """
        self._sketch.merge(other._sketch)
        self._store.chunk_size = _CHUNK_BINS

    def quantile_s(self, quantile: float) -> float | None:
        """
        Estimate a quantile.

        :param quantile: between 0 and 1
        :return: the latency within the relative accuracy, ``None`` for an empty sketch
        """
        value = self._sketch.get_quantile_value(quantile)
        return None if value is None else round(value, 6)

    def bins(self) -> dict[str, float]:
        """:return: counts by bin, without empty bins"""
        offset = self._store.offset
        return {
            str(offset + number): count for number, count in enumerate(self._store.bins) if count
        }


__all__ = ["BIN_LIMIT", "RELATIVE_ACCURACY", "LatencySketch"]
