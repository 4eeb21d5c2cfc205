"""Counters and latencies of an instance."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.metrics_core import CounterMetricFamily, Metric

from swiftpin.core import callback
from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.result import ResultCode
from swiftpin.router.step_failure import StepFailure

LATENCY_BUCKETS: Final = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    1.6,
    2.4,
    5.0,
)
"""Seconds, around the objectives of callers."""

WAIT_BUCKETS: Final = (0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
"""Seconds; a slot that is free takes one exchange between instances, some milliseconds,
and nobody waits for longer than its route's time."""

FAILED_RESULTS: Final = (
    ResultCode.UNKNOWN_SERVICE,
    ResultCode.REQUEST_TOO_LARGE,
    ResultCode.BODY_CUT_SHORT,
    ResultCode.QUARANTINED,
    ResultCode.MALFORMED_REQUEST,
    ResultCode.NO_OWNER,
    ResultCode.QUEUE_FULL,
    ResultCode.TARGET_REFUSED,
    ResultCode.TARGET_UNREACHABLE,
    ResultCode.SHUTTING_DOWN,
    ResultCode.RETRY_BUDGET_SPENT,
    ResultCode.NOT_READY,
    ResultCode.ANSWER_LOST,
    ResultCode.DEADLINE_EXCEEDED,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.ANSWER_CUT_SHORT,
    ResultCode.CALLER_LEFT,
    ResultCode.INTERNAL,
)
"""Results with which the router itself ends requests, in the order of their numbers."""


class Metrics:
    """Metrics of requests and of what the instance believes."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "swiftpin_router_requests",
            "Requests that ended, by outcome: the target's status or a result's name.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._step_failures = Counter(
            "swiftpin_router_step_failures",
            "Steps of requests that failed, by reason; a request may have several.",
            ["service", "reason"],
            registry=self.registry,
        )
        self._late = Counter(
            "swiftpin_router_late_answers",
            "Targets' answers that came after the objective of their route.",
            ["service"],
            registry=self.registry,
        )
        self._latency = Histogram(
            "swiftpin_router_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self._waits = Histogram(
            "swiftpin_router_slot_wait_seconds",
            "Time that a request waited for slots of targets, all its tries together.",
            ["service"],
            buckets=WAIT_BUCKETS,
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
    def add_log(self, writer: LineWriter) -> None:
        """Serve the counts of the log's writer too."""
        self.registry.register(LogCollector(writer))

    @callback
    def note_store_call(self, method: str, kind: str, outcome: str) -> None:
        """Count a call of the store."""
        self._store_calls.labels(method, kind, outcome).inc()

    @callback
    def note_unusable_entry(self, reason: str) -> None:
        """Count an entry of a target that could not be used."""
        self._unusable_entries.labels(reason).inc()

    @callback
    def note_served(
        self, service: str, status: int, seconds: float, *, late: bool
    ) -> None:
        """Count a request that got a target's answer."""
        self._requests.labels(service, f"status_{status}").inc()
        self._latency.labels(service).observe(seconds)
        if late:
            self._late.labels(service).inc()

    @callback
    def note_failed(self, service: str, result: ResultCode, seconds: float) -> None:
        """Count a request that failed here."""
        self._requests.labels(service, outcome_of(result)).inc()
        self._latency.labels(service).observe(seconds)

    @callback
    def note_steps(
        self, service: str, waited: float, failures: Iterable[StepFailure]
    ) -> None:
        """Count what happened to a request on its way to its end."""
        self._waits.labels(service).observe(waited)
        for failure in failures:
            self._step_failures.labels(service, failure.value).inc()


class LogCollector:
    """Reads the counts of the log's writer when they are scraped."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def collect(self) -> Iterator[Metric]:
        """Return the present counts."""
        writer = self._writer
        yield CounterMetricFamily(
            "swiftpin_router_log_lines",
            "Lines written to standard output.",
            value=writer.lines_written,
        )
        yield CounterMetricFamily(
            "swiftpin_router_log_bytes",
            "Bytes written to standard output.",
            value=writer.bytes_written,
        )
        lost = CounterMetricFamily(
            "swiftpin_router_log_lines_dropped",
            "Lines that were lost: `queue` since nobody read the earlier ones,"
            " `volume` since they were too many in one second.",
            labels=["limit"],
        )
        lost.add_metric(["queue"], writer.dropped)
        lost.add_metric(["volume"], writer.over_volume)
        yield lost


@callback
def outcome_of(result: ResultCode) -> str:
    """Return the label's value for a result."""
    return result.name.lower()
