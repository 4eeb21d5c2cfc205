#!/usr/bin/env python3
"""Write docs/router-metrics.md from the code; CI fails while the two differ."""

from __future__ import annotations

from collections.abc import Iterator
import io
from pathlib import Path
from typing import Final

from prometheus_client.metrics_core import Metric

from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.permits.queue_counts import QueueCounts
from swiftpin.permits.reservation_counts import ReservationEvent
from swiftpin.result import ResultCode, executed_by_result
from swiftpin.router.metrics import FAILED_RESULTS, Metrics, outcome_label
from swiftpin.router.step_failure import MEANING_BY_STEP_FAILURE, StepFailure

PAGE: Final = Path(__file__).resolve().parent.parent / "docs" / "router-metrics.md"
HEAD: Final = """\
# Metrics of the router

Written by `script/gen_metrics_page.py`; don't edit. `GET /metrics` on the metrics
address of the settings, in Prometheus' text form. Counters count since the start of the
process; a series appears with its first event.
[OPERATIONS.md](OPERATIONS.md) tells what to do with them.
"""
BUCKET_LABEL: Final = "le"


def metrics_with_events() -> Metrics:
    """Return metrics in which everything has happened once, so that labels show."""
    metrics = Metrics()
    metrics.set_log_writer(LineWriter(io.BytesIO()))
    metrics.record_served("service", 200, 0.0, late=True)
    metrics.record_failed("service", ResultCode.INTERNAL, 0.0)
    metrics.record_steps("service", 0.0, StepFailure, sends=2)
    metrics.record_turnaround("service", 0.0)
    metrics.set_queue_counts(lambda: {"service": QueueCounts(waiting=1, rejected=1)})
    metrics.record_hot_key_rejection("service")
    metrics.record_store_call("GET", "kind", "200")
    metrics.capacity.refused["bytes"] += 1
    metrics.capacity.disconnected["stalled"] += 1
    metrics.reservation_counts.record("service", ReservationEvent.MADE)
    metrics.link_traffic.count_items("update")
    metrics.link_traffic.count_lost_link("silent")
    return metrics


def metric_row(metric: Metric) -> str:
    """Return a metric's row."""
    name = f"{metric.name}_total" if metric.type == "counter" else metric.name
    labels = dict.fromkeys(
        label
        for sample in metric.samples
        for label in sample.labels
        if label != BUCKET_LABEL
    )
    return (
        f"| `{name}` | {metric.type} | {', '.join(labels)} | {metric.documentation} |"
    )


def page_lines() -> Iterator[str]:
    """Return the page's lines."""
    yield HEAD
    yield "| Metric | Type | Labels | What it tells |"
    yield "| --- | --- | --- | --- |"
    for metric in metrics_with_events().registry.collect():
        yield metric_row(metric)
    yield "\n## Values of `outcome` in `swiftpin_router_requests_total`\n"
    yield "A target's answer counts as `status_` and its status. What the router ends"
    yield "itself counts as its result ([result-codes.md](result-codes.md)); the log's"
    yield "`outcome` has the same name in capitals.\n"
    yield "| Value | Number | The request ran |"
    yield "| --- | --- | --- |"
    for result in FAILED_RESULTS:
        ran = executed_by_result(result).value
        yield f"| `{outcome_label(result)}` | {result.value} | {ran} |"
    yield "\n## Values of `reason` in `swiftpin_router_step_failures_total`\n"
    yield "| Value | Meaning |"
    yield "| --- | --- |"
    for failure in StepFailure:
        yield f"| `{failure.value}` | {MEANING_BY_STEP_FAILURE[failure]} |"


def page() -> str:
    """Return the page."""
    return "\n".join(page_lines()) + "\n"


if __name__ == "__main__":
    PAGE.write_text(page())
