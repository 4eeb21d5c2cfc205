"""Trace of what callers were told."""

from __future__ import annotations

from swiftpin.core import callback
from swiftpin.gateway.request_record import RequestRecord
from swiftpin.trace.result_event import ResultEvent
from swiftpin.trace.writer import TraceWriter


class ResultTrace:
    """Writes one event a request, when a trace was asked for."""

    def __init__(self, instance_id: str, writer: TraceWriter | None) -> None:
        self._instance_id = instance_id
        self._writer = writer

    @callback
    def write(self, record: RequestRecord, now: float) -> None:
        """Write the event of a request that ended."""
        incoming = record.incoming
        if self._writer is None or incoming is None:
            return
        self._writer.write(
            ResultEvent(
                instance=self._instance_id,
                request_id=record.request_id,
                service=incoming.service.name,
                key=incoming.key or None,
                idempotency_key=incoming.idempotency_key,
                result=record.result,
                executed=record.executed,
                at=now,
            )
        )
