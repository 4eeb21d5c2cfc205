"""Metrics of one instance."""

from __future__ import annotations

from functools import cache
from typing import Final

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    ProcessCollector,
)

from swiftpin.core import callback
from swiftpin.gateway.request_record import RequestRecord

NAMESPACE: Final = "swiftpin"
DURATION_BUCKETS: Final = (
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


class Metrics:
    """Counters of the gateway, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._requests = Counter(
            "requests",
            "Requests answered, by result code.",
            ("service", "class", "entry", "result"),
            namespace=NAMESPACE,
            registry=self.registry,
        )
        self._durations = Histogram(
            "request_duration_seconds",
            "Time from a request's head to the end of its answer.",
            ("service", "entry"),
            namespace=NAMESPACE,
            registry=self.registry,
            buckets=DURATION_BUCKETS,
        )
        self._retries = Counter(
            "request_retries",
            "Times that swiftpin sent a request again.",
            ("service",),
            namespace=NAMESPACE,
            registry=self.registry,
        )
        self._count = cache(self._request_counter)
        self._duration = cache(self._duration_histogram)

    @callback
    def observe(self, record: RequestRecord, now: float) -> None:
        """Count a request that ended."""
        incoming = record.incoming
        service = UNKNOWN if incoming is None else incoming.service.name
        name = UNKNOWN if incoming is None else incoming.request_class.name
        entry = "forward" if record.forwarded else "caller"
        self._count(service, name, entry, record.result).inc()
        self._duration(service, entry).observe(now - record.started_at)

    @callback
    def count_retry(self, service: str) -> None:
        """Count a request that swiftpin sends again."""
        self._retries.labels(service).inc()

    def _request_counter(
        self, service: str, name: str, entry: str, result: int
    ) -> Counter:
        """Return the counter of one label set."""
        return self._requests.labels(service, name, entry, str(result))

    def _duration_histogram(self, service: str, entry: str) -> Histogram:
        """Return the histogram of one label set."""
        return self._durations.labels(service, entry)
