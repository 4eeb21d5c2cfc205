"""Counters and latencies of an instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from swiftpin.core import callback
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.result import ResultCode
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
    """Counts of requests and of what the instance believes.

    Kept in plain counters; `registry` presents them to Prometheus. Its library is
    imported with the first scrape only, since all that an instance imports before it
    listens is time in which callers are not served after a loss of power.
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, ...]] = Counter()
        """Requests by service and outcome."""

        self.step_failures: Counter[tuple[str, ...]] = Counter()
        """Failed steps by service and reason."""

        self.retries: Counter[str] = Counter()
        """Sends of requests after their first, by service."""

        self.retry_members = 0
        """Instances that share the slack of the budgets of retries, 0 while this one
        has no share."""

        self.late_answers: Counter[str] = Counter()
        """Late answers by service."""

        self.store_calls: Counter[tuple[str, ...]] = Counter()
        """Calls of the store by method, kind and outcome."""

        self.unusable_entries: Counter[str] = Counter()
        """Entries of targets that could not be used, by reason."""

        self.latencies_by_service: dict[str, Histogram] = {}
        self.waits_by_service: dict[str, Histogram] = {}
        self.turnarounds_by_service: dict[str, Histogram] = {}
        self.configuration = 0
        """Version in force."""

        self.leads = False
        self.store_lost = False
        self.log_writer: LineWriter | None = None
        self.link_traffic = LinkTraffic()
        """What goes over the links to other instances."""

        self._registry: CollectorRegistry | None = None

    @property
    def registry(self) -> CollectorRegistry:
        """Return what Prometheus' library reads the counts from."""
        if self._registry is None:
            from swiftpin.router.metrics_registry import make_registry

            self._registry = make_registry(self)
        return self._registry

    @callback
    def set_log_writer(self, writer: LineWriter) -> None:
        """Serve the counts of the log's writer too."""
        self.log_writer = writer

    @callback
    def set_link_traffic(self, traffic: LinkTraffic) -> None:
        """Serve the counts of the links too."""
        self.link_traffic = traffic

    @callback
    def record_store_call(self, method: str, kind: str, outcome: str) -> None:
        """Count a call of the store."""
        self.store_calls[method, kind, outcome] += 1

    @callback
    def record_unusable_entry(self, reason: str) -> None:
        """Count an entry of a target that could not be used."""
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
        """Count a request that failed here."""
        self.requests[service, outcome_label(result)] += 1
        _observe(self.latencies_by_service, service, LATENCY_BUCKETS, seconds)

    @callback
    def record_steps(
        self, service: str, waited: float, failures: Iterable[StepFailure], sends: int
    ) -> None:
        """Count what happened to a request on its way to its end."""
        if sends > 1:
            self.retries[service] += sends - 1
        _observe(self.waits_by_service, service, WAIT_BUCKETS, waited)
        for failure in failures:
            self.step_failures[service, failure.value] += 1

    @callback
    def record_turnaround(self, service: str, seconds: float) -> None:
        """Count a permit that came back to this instance."""
        _observe(self.turnarounds_by_service, service, WAIT_BUCKETS, seconds)


@callback
def _observe(
    counts_by_service: dict[str, Histogram],
    service: str,
    bounds: tuple[float, ...],
    seconds: float,
) -> None:
    """Count a time of a service's request."""
    counts = counts_by_service.get(service)
    if counts is None:
        counts = counts_by_service[service] = Histogram(bounds)
    counts.observe(seconds)


@callback
def outcome_label(result: ResultCode) -> str:
    """Return the label's value for a result."""
    return result.name.lower()
