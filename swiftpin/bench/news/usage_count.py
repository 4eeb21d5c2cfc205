"""What a fleet has used so far."""

from __future__ import annotations

from dataclasses import dataclass
import time

from swiftpin.bench.news.bench_fleet import BenchFleet
from swiftpin.bench.news.counting_transport import WireCounter


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCount:
    """Totals of the fleet; times in seconds, sizes in bytes.

    `messages` counts requests and replies; `message_bytes` is without framing,
    `wire_bytes` with HTTP/2's. `cpu` is the whole process's, stand-ins included.
    """

    at: float
    cpu: float
    messages: int
    message_bytes: int
    wire_bytes: int
    store_calls: int
    duplicates: int
    repaired: int

    @classmethod
    def of(cls, fleet: BenchFleet, wire: WireCounter) -> UsageCount:
        """Return the totals now."""
        counters = [instance.counters for instance in fleet.instances]
        return cls(
            at=time.monotonic(),
            cpu=time.process_time(),
            messages=sum(item.sent for item in counters),
            message_bytes=sum(item.sent_bytes for item in counters),
            wire_bytes=wire.written,
            store_calls=sum(item.store_calls for item in counters),
            duplicates=sum(item.news_duplicates for item in counters),
            repaired=sum(item.repaired for item in counters),
        )
