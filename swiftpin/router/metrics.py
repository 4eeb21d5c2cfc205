"""Counters and latencies of an instance."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from swiftpin.core import callback

LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.4, 5.0)
"""Seconds, around the objectives of callers."""


class Metrics:
    """Metrics of requests and of what the instance believes."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "swiftpin_router_requests",
            "Requests that ended, by outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "swiftpin_router_request_seconds",
            "Time from a request's arrival to its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.configuration = Gauge(
            "swiftpin_router_configuration_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.leads = Gauge(
            "swiftpin_router_assigns_keys",
            "1 while this instance holds the lease to assign keys.",
            registry=self.registry,
        )
        self.lines_dropped = Gauge(
            "swiftpin_router_log_lines_dropped",
            "Lines for which there was no room, since the start.",
            registry=self.registry,
        )
        self._store_calls = Counter(
            "swiftpin_router_store_calls",
            "Calls of the store, by method, kind and outcome.",
            ["method", "kind", "outcome"],
            registry=self.registry,
        )
        self._unusable_entries = Counter(
            "swiftpin_router_unusable_entries",
            "Entries of targets in the store that could not be used, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.store_lost = Gauge(
            "swiftpin_router_store_lost",
            "1 while the store does not answer this instance.",
            registry=self.registry,
        )

    @callback
    def note_store_call(self, method: str, kind: str, outcome: str) -> None:
        """Count a call of the store."""
        self._store_calls.labels(method, kind, outcome).inc()

    @callback
    def note_unusable_entry(self, reason: str) -> None:
        """Count an entry of a target that could not be used."""
        self._unusable_entries.labels(reason).inc()

    @callback
    def note_served(self, service: str, status: int, seconds: float) -> None:
        """Count a request that got a target's answer."""
        self._requests.labels(service, f"status_{status}").inc()
        self._latency.labels(service).observe(seconds)

    @callback
    def note_failed(self, service: str, outcome: str, seconds: float) -> None:
        """Count a request that failed here."""
        self._requests.labels(service, outcome.lower()).inc()
        self._latency.labels(service).observe(seconds)
