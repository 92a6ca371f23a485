"""Latency histograms."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from hibiscuspoint.util.units import MICROSECONDS_PER_SECOND

__all__ = ["Latencies"]

#: Range of recorded latencies in microseconds: 1 us to 10 min.
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class Latencies:
    """A histogram of latencies with a fixed relative precision."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Return the number of recorded latencies."""
        return self._histogram.get_total_count()

    def record(self, seconds: float) -> None:
        """Record a latency in seconds."""
        microseconds = max(LOWEST_US, min(HIGHEST_US, round(seconds * MICROSECONDS_PER_SECOND)))
        self._histogram.record_value(microseconds)

    def percentile(self, percent: float) -> float:
        """Return the latency in ms below which this share of the values lies."""
        return self._histogram.get_value_at_percentile(percent) / 1000

    def summary(self) -> dict[str, float]:
        """Return the count and the usual percentiles in ms."""
        return {
            "count": self.count,
            "p50_ms": self.percentile(50),
            "p90_ms": self.percentile(90),
            "p99_ms": self.percentile(99),
            "max_ms": self.percentile(100),
        }
