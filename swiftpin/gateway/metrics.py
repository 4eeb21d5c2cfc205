"""Metrics of requests."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.core import (
    CounterMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from swiftpin.core import callback
from swiftpin.gateway.request_record import RequestRecord

DURATION_BOUNDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    60.0,
    300.0,
)
UNKNOWN: Final = "unknown"
"""Label of what a caller named but no declaration knows, so that callers can't make
up label values."""

ENTRY_CALLER: Final = "caller"
ENTRY_FORWARD: Final = "forward"


class _RequestLabels(NamedTuple):
    service: str
    request_class: str
    entry: str
    result: int


class _Durations:
    """Counts by bucket, not yet added up, and the sum in seconds."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(DURATION_BOUNDS) + 1)
        self.total = 0.0


class Metrics(Collector):
    """Counts requests, in a registry of its own.

    The counts are plain numbers that are turned into metrics when they are scraped:
    the library's counters and histograms take a lock for each request.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests: Counter[_RequestLabels] = Counter()
        self._retries: Counter[str] = Counter()
        self._durations_by_labels: dict[tuple[str, str], _Durations] = {}
        ProcessCollector(registry=self.registry)
        self.registry.register(self)

    @callback
    def observe(self, record: RequestRecord, now: float) -> None:
        """Count a request that ended."""
        incoming = record.incoming
        service = UNKNOWN if incoming is None else incoming.service.name
        name = UNKNOWN if incoming is None else incoming.request_class.name
        entry = ENTRY_FORWARD if record.forwarded else ENTRY_CALLER
        self._requests[_RequestLabels(service, name, entry, record.result)] += 1
        durations = self._durations_by_labels.get((service, entry))
        if durations is None:
            durations = self._durations_by_labels[service, entry] = _Durations()
        seconds = now - record.started_at
        durations.counts[bisect_left(DURATION_BOUNDS, seconds)] += 1
        durations.total += seconds

    @callback
    def count_retry(self, service: str) -> None:
        """Count a request that swiftpin sends again."""
        self._retries[service] += 1

    def collect(self) -> Iterable[Metric]:
        """Give the present values."""
        requests = CounterMetricFamily(
            "swiftpin_requests",
            "Requests answered, by result code.",
            labels=("service", "class", "entry", "result"),
        )
        for labels, count in self._requests.items():
            requests.add_metric((*labels[:3], str(labels.result)), count)
        retries = CounterMetricFamily(
            "swiftpin_request_retries",
            "Times that swiftpin sent a request again.",
            labels=("service",),
        )
        for service, count in self._retries.items():
            retries.add_metric((service,), count)
        yield from (requests, retries, self._duration_metric())

    def _duration_metric(self) -> HistogramMetricFamily:
        """Return the histograms of durations."""
        metric = HistogramMetricFamily(
            "swiftpin_request_duration_seconds",
            "Time from a request's head to the end of its answer.",
            labels=("service", "entry"),
        )
        bounds = [*map(str, DURATION_BOUNDS), "+Inf"]
        for labels, durations in self._durations_by_labels.items():
            buckets = []
            below = 0
            for bound, count in zip(bounds, durations.counts, strict=True):
                below += count
                buckets.append((bound, float(below)))
            metric.add_metric(labels, buckets, durations.total)
        return metric
