"""Cost of news while nothing changes."""

from __future__ import annotations

from dataclasses import dataclass

from swiftpin.bench.news.usage_count import UsageCount


@dataclass(frozen=True, kw_only=True, slots=True)
class RestResult:
    """Rates of one instance a second, `store_calls_per_second` of the fleet.

    `cpu_share` is of one core.
    """

    seconds: float
    messages_per_second: float
    message_bytes_per_second: float
    wire_bytes_per_second: float
    cpu_share: float
    store_calls_per_second: float

    @classmethod
    def between(cls, first: UsageCount, last: UsageCount, size: int) -> RestResult:
        """Return the rates between two counts of a fleet."""
        seconds = last.at - first.at
        share = 1 / (seconds * size)
        return cls(
            seconds=seconds,
            messages_per_second=(last.messages - first.messages) * share,
            message_bytes_per_second=(last.message_bytes - first.message_bytes) * share,
            wire_bytes_per_second=(last.wire_bytes - first.wire_bytes) * share,
            cpu_share=(last.cpu - first.cpu) * share,
            store_calls_per_second=(last.store_calls - first.store_calls) / seconds,
        )
