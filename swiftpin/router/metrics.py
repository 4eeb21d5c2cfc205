"""Metrics of an instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Final

from swiftpin.core import callback
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.gateway.close_reason import CloseReason
from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.permits.queue_counts import QueueCounts
from swiftpin.permits.reservation_counts import ReservationCounts
from swiftpin.result import ResultCode
from swiftpin.router.capacity_metrics import CapacityMetrics
from swiftpin.router.histogram import Histogram
from swiftpin.router.step_failure import StepFailure

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

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
"""Upper bounds in seconds, close to the latency objectives of callers."""

WAIT_BUCKETS: Final = (0.001, 0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
"""Upper bounds in seconds. A permit for a free slot takes one exchange between
instances, a few milliseconds, and no request waits longer than its route's timeout."""

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
    ResultCode.OVERLOADED,
    ResultCode.RETRY_BUDGET_SPENT,
    ResultCode.NOT_READY,
    ResultCode.SUSPECTED,
    ResultCode.ANSWER_LOST,
    ResultCode.DEADLINE_EXCEEDED,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.ANSWER_CUT_SHORT,
    ResultCode.CALLER_LEFT,
    ResultCode.INTERNAL,
)
"""Results of requests that the router itself fails, in the order of their numbers."""


class Metrics:
    """Counters of requests, and state of the instance as seen by itself.

    The counts are kept in plain counters; `registry` exposes them to Prometheus. Its
    library is imported with the first scrape, since imports before an instance listens
    delay the service to callers after a power failure.
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, ...]] = Counter()
        """Requests by service and outcome."""

        self.step_failures: Counter[tuple[str, ...]] = Counter()
        """Failed steps by service and reason."""

        self.retries: Counter[str] = Counter()
        """Sends of requests after the first send, by service."""

        self.closed_by_reason: Mapping[CloseReason, int] = {}
        """Connections that were closed because of clients, by reason."""

        self.retry_members = 0
        """Instances that share the slack of the retry budgets, 0 while this instance
        has no share."""

        self.limited_targets = 0
        """Targets that name a rate limit, as known to this instance."""

        self.announced_drains = 0
        """Targets that announced in answers to this instance that they are leaving."""

        self.backoff_targets = 0
        """Targets that asked this instance not to call them for now."""

        self.suspected_requests = 0
        """Requests that may have crashed targets, as known to this instance."""

        self.quarantined_requests = 0
        """Requests that this instance refuses since they crashed several targets."""

        self.hot_keys = 0
        """Keys that get more requests than their owners serve, as known to this
        instance as the issuer of permits."""

        self.hot_key_rejections: Counter[str] = Counter()
        """Requests for hot keys that this instance rejected as the issuer of permits,
        by service."""

        self.ways: Counter[tuple[str, ...]] = Counter()
        """Requests sent, by service and the way of their last send."""

        self.passed_on = 0
        """Requests of other instances that this one passed on to targets."""

        self.lost_target_links = 0
        """Targets to which this instance's own links are held lost."""

        self.late_answers: Counter[str] = Counter()
        """Answers after their latency objective, by service."""

        self.store_calls: Counter[tuple[str, ...]] = Counter()
        """Store calls by method, kind and outcome."""

        self.unusable_entries: Counter[str] = Counter()
        """Target entries that could not be used, by reason."""

        self.latencies_by_service: dict[str, Histogram] = {}
        """Time from a request's arrival to the end of its answer."""

        self.waits_by_service: dict[str, Histogram] = {}
        """Time that a request waited for permits."""

        self.turnarounds_by_service: dict[str, Histogram] = {}
        """Time that a permit was in use, less the target's time."""

        self.configuration = 0
        """Version of the active configuration."""

        self.leads = False
        """Whether this instance holds the lease to assign keys."""

        self.store_lost = False
        """Whether the store does not respond to this instance."""

        self.capacity = CapacityMetrics()
        """What the instance holds and refuses."""

        self.log_writer: LineWriter | None = None
        self.link_traffic = LinkTraffic()
        """Traffic on the links to other instances."""

        self.reservation_counts = ReservationCounts()
        """Reservations made for rejected callers by this instance as permit issuer."""

        self.queue_counts: Callable[[], Mapping[str, QueueCounts]] = dict
        """Returns the counts of requests at this instance's permit issuer, by
        service."""

        self._registry: CollectorRegistry | None = None

    @property
    def registry(self) -> CollectorRegistry:
        """Return the Prometheus registry, creating it on first use."""
        if self._registry is None:
            from swiftpin.router.metrics_registry import make_registry

            self._registry = make_registry(self)
        return self._registry

    @callback
    def set_log_writer(self, writer: LineWriter) -> None:
        """Include the counts of the log writer."""
        self.log_writer = writer

    @callback
    def set_link_traffic(self, traffic: LinkTraffic) -> None:
        """Include the counts of the links to other instances."""
        self.link_traffic = traffic

    @callback
    def set_reservation_counts(self, counts: ReservationCounts) -> None:
        """Include the counts of the reservations."""
        self.reservation_counts = counts

    @callback
    def set_queue_counts(
        self, queue_counts: Callable[[], Mapping[str, QueueCounts]]
    ) -> None:
        """Include the counts of requests at the permit issuer."""
        self.queue_counts = queue_counts

    @callback
    def record_store_call(self, method: str, kind: str, outcome: str) -> None:
        """Count a store call."""
        self.store_calls[method, kind, outcome] += 1

    @callback
    def record_unusable_entry(self, reason: str) -> None:
        """Count a target entry that could not be used."""
        self.unusable_entries[reason] += 1

    @callback
    def record_served(
        self, service: str, status: int, seconds: float, *, late: bool
    ) -> None:
        """Count a request that got a target's answer."""
        self.requests[service, f"status_{status}"] += 1
        _observe(self.latencies_by_service, service, LATENCY_BUCKETS, seconds)
        if late:
            self.late_answers[service] += 1

    @callback
    def record_failed(self, service: str, result: ResultCode, seconds: float) -> None:
        """Count a request that failed at this instance."""
        self.requests[service, outcome_label(result)] += 1
        _observe(self.latencies_by_service, service, LATENCY_BUCKETS, seconds)

    @callback
    def record_steps(
        self, service: str, waited: float, failures: Iterable[StepFailure], sends: int
    ) -> None:
        """Count the wait, the failed steps and the retries of a request."""
        if sends > 1:
            self.retries[service] += sends - 1
        _observe(self.waits_by_service, service, WAIT_BUCKETS, waited)
        for failure in failures:
            self.step_failures[service, failure.value] += 1

    @callback
    def record_way(self, service: str, *, is_relayed: bool) -> None:
        """Count a request that was sent, by the way of its last send."""
        self.ways[service, "relayed" if is_relayed else "direct"] += 1

    @callback
    def record_hot_key_rejection(self, service: str) -> None:
        """Count a request that was rejected because of its hot key."""
        self.hot_key_rejections[service] += 1

    @callback
    def record_turnaround(self, service: str, seconds: float) -> None:
        """Record the turnaround of a permit of this instance."""
        _observe(self.turnarounds_by_service, service, WAIT_BUCKETS, seconds)


@callback
def _observe(
    counts_by_service: dict[str, Histogram],
    service: str,
    bounds: tuple[float, ...],
    seconds: float,
) -> None:
    """Add a duration to the histogram of a service."""
    counts = counts_by_service.get(service)
    if counts is None:
        counts = counts_by_service[service] = Histogram(bounds)
    counts.observe(seconds)


@callback
def outcome_label(result: ResultCode) -> str:
    """Return the value of the label `outcome` for a result."""
    return result.name.lower()
