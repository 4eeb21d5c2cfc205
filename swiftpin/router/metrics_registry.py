"""Export of an instance's metrics to Prometheus."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
import math

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from swiftpin.core import callback
from swiftpin.fleet.link_traffic import LinkTraffic
from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.router.capacity_metrics import CapacityMetrics
from swiftpin.router.histogram import Histogram
from swiftpin.router.metrics import Metrics


@callback
def make_registry(metrics: Metrics) -> CollectorRegistry:
    """Return a registry that reads the metrics at each scrape."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return registry


@callback
def expose(metrics: Metrics) -> bytes:
    """Return the metrics in Prometheus' text format."""
    return generate_latest(metrics.registry)


class MetricsCollector:
    """Collects an instance's metrics."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics with their current values."""
        metrics = self._metrics
        yield _counter(
            "swiftpin_router_requests",
            "Requests that ended, by outcome: the target's status or a result's name.",
            ("service", "outcome"),
            metrics.requests,
        )
        yield _counter(
            "swiftpin_router_step_failures",
            "Steps of requests that failed, by reason; a request may have several.",
            ("service", "reason"),
            metrics.step_failures,
        )
        yield _counter(
            "swiftpin_router_retries",
            "Sends of requests after their first.",
            ("service",),
            {(service,): count for service, count in metrics.retries.items()},
        )
        yield _counter(
            "swiftpin_router_client_closes",
            "Connections of clients that were closed at any listener: `silent` (no"
            " request in time), `unread` (an answer was not read), `sent_on` (bytes"
            " without end after the last answer), `replaced` (without a request when"
            " all places were taken), `crowded` (new when all places had requests),"
            " `heads` (an incomplete head when these took too much memory).",
            ("reason",),
            {(reason,): count for reason, count in metrics.closed_by_reason.items()},
        )
        yield GaugeMetricFamily(
            "swiftpin_router_retry_members",
            "Instances that share the slack of the budgets of retries, as this one"
            " knows; 0 while it has no share.",
            value=metrics.retry_members,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_limited_targets",
            "Targets that name a rate limit, as known to this instance.",
            value=metrics.limited_targets,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_announced_drains",
            "Targets that announced in answers to this instance that they are leaving.",
            value=metrics.announced_drains,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_backoff_targets",
            "Targets that asked this instance not to call them for now.",
            value=metrics.backoff_targets,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_suspected_requests",
            "Requests that may have crashed targets, as known to this instance.",
            value=metrics.suspected_requests,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_quarantined_requests",
            "Requests that this instance refuses since they crashed several targets.",
            value=metrics.quarantined_requests,
        )
        counts_by_service = metrics.queue_counts()
        waiting = GaugeMetricFamily(
            "swiftpin_router_waiting_requests",
            "Requests that wait for a slot at this instance's permit issuer.",
            labels=("service",),
        )
        for service, counts in sorted(counts_by_service.items()):
            waiting.add_metric((service,), counts.waiting)
        yield waiting
        yield _counter(
            "swiftpin_router_rejected_permits",
            "Requests that this instance's permit issuer rejected.",
            ("service",),
            {
                (service,): counts.rejected
                for service, counts in counts_by_service.items()
            },
        )
        yield GaugeMetricFamily(
            "swiftpin_router_hot_keys",
            "Keys that get more requests than their owners serve, as known to this"
            " instance as the issuer of permits.",
            value=metrics.hot_keys,
        )
        yield _counter(
            "swiftpin_router_hot_key_rejections",
            "Requests for hot keys that this instance rejected as the issuer of"
            " permits.",
            ("service",),
            {
                (service,): count
                for service, count in metrics.hot_key_rejections.items()
            },
        )
        yield _counter(
            "swiftpin_router_sent_requests",
            "Requests that were sent, by the way of their last send: `direct`, or"
            " `relayed` through another instance.",
            ("service", "way"),
            metrics.ways,
        )
        yield CounterMetricFamily(
            "swiftpin_router_passed_on_requests",
            "Requests of other instances that this one passed on to targets.",
            value=metrics.passed_on,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_lost_target_links",
            "Targets to which this instance's own links are held lost.",
            value=metrics.lost_target_links,
        )
        yield _counter(
            "swiftpin_router_late_answers",
            "Targets' answers that came after the objective of their route.",
            ("service",),
            {(service,): count for service, count in metrics.late_answers.items()},
        )
        yield _histogram(
            "swiftpin_router_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            metrics.latencies_by_service,
        )
        yield _histogram(
            "swiftpin_router_slot_wait_seconds",
            "Time that a request waited for slots of targets, all its tries together.",
            metrics.waits_by_service,
        )
        yield _histogram(
            "swiftpin_router_permit_turnaround_seconds",
            "Time for which this instance's permits were out, less the targets' time.",
            metrics.turnarounds_by_service,
        )
        yield _counter(
            "swiftpin_router_reservations",
            "Reservations of capacity for rejected callers at this issuer of permits:"
            " `made`, `used`, `expired`; `early_return`: its caller came too early.",
            ("service", "event"),
            metrics.reservation_counts.events,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_configuration_version",
            "Version of the configuration in force.",
            value=metrics.configuration,
        )
        yield GaugeMetricFamily(
            "swiftpin_router_assigns_keys",
            "1 while this instance holds the lease to assign keys.",
            value=metrics.leads,
        )
        yield _counter(
            "swiftpin_router_store_calls",
            "Calls of the store, by method, kind and outcome.",
            ("method", "kind", "outcome"),
            metrics.store_calls,
        )
        yield _counter(
            "swiftpin_router_unusable_entries",
            "Entries of targets in the store that could not be used, by reason.",
            ("reason",),
            {(reason,): count for reason, count in metrics.unusable_entries.items()},
        )
        yield GaugeMetricFamily(
            "swiftpin_router_store_lost",
            "1 while the store does not answer this instance.",
            value=metrics.store_lost,
        )
        yield from _capacity_metrics(metrics.capacity)
        yield from _link_metrics(metrics.link_traffic)
        if metrics.log_writer is not None:
            yield from _log_metrics(metrics.log_writer)


def _counter(
    name: str,
    documentation: str,
    labels: tuple[str, ...],
    counts: Mapping[tuple[str, ...], int],
) -> Metric:
    """Return a counter with a sample for each combination of labels."""
    family = CounterMetricFamily(name, documentation, labels=labels)
    for values, count in sorted(counts.items()):
        family.add_metric(values, count)
    return family


def _histogram(
    name: str, documentation: str, counts_by_service: Mapping[str, Histogram]
) -> Metric:
    """Return a histogram for each service."""
    family = HistogramMetricFamily(name, documentation, labels=("service",))
    for service, counts in sorted(counts_by_service.items()):
        buckets = [
            ("+Inf" if math.isinf(bound) else str(bound), count)
            for bound, count in counts.cumulative()
        ]
        family.add_metric((service,), buckets, counts.total)
    return family


def _capacity_metrics(capacity: CapacityMetrics) -> Iterator[Metric]:
    """Yield the metrics of what the instance holds and refuses."""
    yield _counter(
        "swiftpin_router_refused_requests",
        "Requests refused before they were sent, by what the instance had too little"
        " of: `bytes`, `connections`, or time of the `link`.",
        ("reason",),
        {(reason,): count for reason, count in capacity.refused.items()},
    )
    yield _counter(
        "swiftpin_router_slow_callers",
        "Callers disconnected in their answer: `stalled` when they read nothing,"
        " `slow` when they read too slowly.",
        ("reason",),
        {(reason,): count for reason, count in capacity.disconnected.items()},
    )
    yield CounterMetricFamily(
        "swiftpin_router_closed_connections",
        "Connections of callers that were closed without an answer because too many"
        " were open.",
        value=capacity.closed_connections,
    )
    for name, documentation, value in (
        (
            "held_bytes",
            "Bytes of bodies and answers that are held, by the size that they may"
            " reach.",
            capacity.held_bytes,
        ),
        (
            "held_bytes_limit",
            "Bytes that may be held; infinite if the settings name no limit.",
            capacity.held_bytes_limit,
        ),
        (
            "caller_connections",
            "Open connections of callers that have sent a request.",
            capacity.connections,
        ),
        (
            "caller_connections_limit",
            "Connections of callers that are served; infinite if the settings name no"
            " limit.",
            capacity.connections_limit,
        ),
        (
            "deliveries",
            "Long answers that are being delivered.",
            capacity.deliveries,
        ),
        (
            "link_backlog_seconds",
            "Seconds of transmission that are due at the link.",
            capacity.link_backlog,
        ),
        (
            "overloaded",
            "1 while the instance announces that its capacity is nearly used up.",
            capacity.is_overloaded,
        ),
        (
            "readiness_withdrawn",
            "1 while the instance isn't ready since its capacity is nearly used up.",
            capacity.is_withdrawn,
        ),
    ):
        yield GaugeMetricFamily(f"swiftpin_router_{name}", documentation, value=value)


def _link_metrics(traffic: LinkTraffic) -> Iterator[Metric]:
    """Yield the metrics of the links to other instances."""
    yield _counter(
        "swiftpin_router_link_items",
        "Items sent to other instances, by kind; a long one counts once and each of its"
        " parts as a `fragment`.",
        ("kind",),
        {(kind,): count for kind, count in traffic.items_sent.items()},
    )
    yield CounterMetricFamily(
        "swiftpin_router_link_bytes",
        "Bytes sent to other instances.",
        value=traffic.bytes_sent,
    )
    yield _counter(
        "swiftpin_router_links_lost",
        "Links to other instances that ended: `silent` since nothing was heard,"
        " `ended` by either side, `error` with a broken connection.",
        ("reason",),
        {(reason,): count for reason, count in traffic.links_lost.items()},
    )


def _log_metrics(writer: LineWriter) -> Iterator[Metric]:
    """Yield the metrics of the log writer."""
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
