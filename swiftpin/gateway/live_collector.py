"""Metrics that are read from the instance's parts when they are asked for."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from swiftpin.gateway.held_groups import HeldGroups
from swiftpin.gateway.lifecycle import Lifecycle
from swiftpin.gateway.ports import Ownership
from swiftpin.gateway.request_handler import RequestHandler
from swiftpin.gateway.target_queues import TargetQueues
from swiftpin.helpers.logging_writer import LineWriter
from swiftpin.membership.peer_counters import PeerCounters
from swiftpin.store.client import StoreClient

TARGET_LABELS = ("service", "target")
GROUP_LABELS = ("service", "group")


class LiveCollector(Collector):
    """Collects what changes too often to be pushed into gauges."""

    def __init__(
        self,
        *,
        lifecycle: Lifecycle,
        handler: RequestHandler,
        queues: TargetQueues,
        groups: HeldGroups,
        ownership: Ownership,
        stores: Iterable[StoreClient],
        peers: PeerCounters,
        log_writer: LineWriter,
    ) -> None:
        self._lifecycle = lifecycle
        self._handler = handler
        self._queues = queues
        self._groups = groups
        self._ownership = ownership
        self._stores = tuple(stores)
        self._peers = peers
        self._log_writer = log_writer

    def collect(self) -> Iterable[Metric]:
        """Give the present values."""
        yield from self._instance_metrics()
        yield from self._queue_metrics()
        yield from self._journal_metrics()
        yield from self._traffic_metrics()

    def _instance_metrics(self) -> Iterable[Metric]:
        """Give the state of the instance."""
        yield GaugeMetricFamily(
            "swiftpin_ready",
            "1 when the instance takes requests.",
            value=float(self._lifecycle.ready),
        )
        yield GaugeMetricFamily(
            "swiftpin_requests_in_flight",
            "Requests being served.",
            value=self._handler.in_flight,
        )
        yield GaugeMetricFamily(
            "swiftpin_groups_held",
            "Groups whose lease the instance holds.",
            value=len(self._ownership.held_groups()),
        )
        yield CounterMetricFamily(
            "swiftpin_log_lines_dropped",
            "Log lines lost because their reader stalled.",
            value=self._log_writer.dropped,
        )

    def _queue_metrics(self) -> Iterable[Metric]:
        """Give the state of the targets' queues."""
        waiting = GaugeMetricFamily(
            "swiftpin_target_requests_waiting",
            "Requests waiting for a slot of the target.",
            labels=TARGET_LABELS,
        )
        working = GaugeMetricFamily(
            "swiftpin_target_requests_working",
            "Requests in a slot of the target.",
            labels=TARGET_LABELS,
        )
        backlog = GaugeMetricFamily(
            "swiftpin_target_backlog_seconds",
            "Expected time to work off the requests waiting for the target.",
            labels=TARGET_LABELS,
        )
        for name, queue in self._queues.queues_by_name.items():
            waiting.add_metric(name, queue.waiting)
            working.add_metric(name, queue.working)
            backlog.add_metric(name, queue.backlog)
        yield from (waiting, working, backlog)

    def _journal_metrics(self) -> Iterable[Metric]:
        """Give the state of the held groups' journals."""
        available = GaugeMetricFamily(
            "swiftpin_journal_available",
            "1 when the group's journal is open and the store took its last write.",
            labels=GROUP_LABELS,
        )
        records = GaugeMetricFamily(
            "swiftpin_journal_records",
            "Idempotency keys on record.",
            labels=GROUP_LABELS,
        )
        writes = CounterMetricFamily(
            "swiftpin_journal_writes",
            "Writes of the group's journal to the store.",
            labels=GROUP_LABELS,
        )
        for group, journal in self._groups.journals_by_group.items():
            labels = (group.service, str(group.group))
            status = journal.status
            available.add_metric(labels, float(status.loaded and status.available))
            records.add_metric(labels, status.records)
            writes.add_metric(labels, status.writes)
        yield from (available, records, writes)

    def _traffic_metrics(self) -> Iterable[Metric]:
        """Give what the instance costs the platform and other instances."""
        yield CounterMetricFamily(
            "swiftpin_store_calls",
            "Calls of the platform's store.",
            value=sum(store.calls for store in self._stores),
        )
        messages = CounterMetricFamily(
            "swiftpin_peer_messages",
            "Messages between instances.",
            labels=("direction",),
        )
        messages.add_metric(("sent",), self._peers.sent)
        messages.add_metric(("received",), self._peers.received)
        sizes = CounterMetricFamily(
            "swiftpin_peer_bytes",
            "Bytes of the messages between instances, without their framing.",
            labels=("direction",),
        )
        sizes.add_metric(("sent",), self._peers.sent_bytes)
        sizes.add_metric(("received",), self._peers.received_bytes)
        yield from (messages, sizes)
        yield CounterMetricFamily(
            "swiftpin_peer_calls_failed",
            "Calls of other instances that ended without a reply.",
            value=self._peers.failed,
        )
