"""Histogram of latencies."""

from __future__ import annotations

from typing import Final, Self

from hdrh.histogram import HdrHistogram

LOWEST_US: Final = 1
HIGHEST_US: Final = 3_600_000_000
SIGNIFICANT_FIGURES: Final = 3
MICROSECONDS: Final = 1_000_000
MILLISECOND_US: Final = 1_000


class LatencyHistogram:
    """HDR histogram in microseconds, 1 µs to 1 h, three figures."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_FIGURES)

    @property
    def count(self) -> int:
        """Return how many latencies were recorded."""
        return int(self._histogram.get_total_count())

    def record(self, seconds: float) -> None:
        """Record one latency."""
        value = max(LOWEST_US, min(HIGHEST_US, int(seconds * MICROSECONDS)))
        self._histogram.record_value(value)

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile, 0 to 100, in milliseconds."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / MILLISECOND_US

    def max_ms(self) -> float:
        """Return the largest latency in milliseconds."""
        return float(self._histogram.get_max_value()) / MILLISECOND_US

    def encode(self) -> str:
        """Return the histogram as base64 text."""
        encoded: bytes = self._histogram.encode()
        return encoded.decode()

    def add_encoded(self, encoded: str) -> None:
        """Add the counts of an encoded histogram."""
        self._histogram.decode_and_add(encoded.encode())

    @classmethod
    def decode(cls, encoded: str) -> Self:
        """Return the histogram that `encode` gave."""
        histogram = cls()
        histogram.add_encoded(encoded)
        return histogram
